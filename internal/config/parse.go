package config

import (
	"fmt"
	"net/url"
	"os"
	"reflect"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// maxFile is the size limit of a settings file, in bytes.
const maxFile = 1 << 20

// Load reads and checks a settings file. The error is of type Faults if the
// content is invalid.
func Load[T Program](path string) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var none T
		return none, fmt.Errorf("settings file %q: %w", path, err)
	}
	return Parse[T](path, data)
}

// Parse parses and checks the content of a settings file. Keys that the file does
// not set have their defaults. The error is of type Faults, and uses name as the
// file name.
func Parse[T Program](name string, data []byte) (T, error) {
	var settings T
	p := parser{file: name, sections: schema(reflect.TypeFor[T]()), lines: scanLines(data)}
	p.defaults(reflect.ValueOf(&settings).Elem())
	p.parse(data, reflect.ValueOf(&settings).Elem())
	if len(p.faults) > 0 {
		var none T
		return none, p.sorted()
	}
	return settings, nil
}

// Defaults returns the default settings. Required keys have no default and are
// empty.
func Defaults[T Program]() T {
	var settings T
	p := parser{sections: schema(reflect.TypeFor[T]())}
	p.defaults(reflect.ValueOf(&settings).Elem())
	return settings
}

// parser parses one file and collects its faults.
type parser struct {
	file     string
	sections []section
	lines    lines
	faults   Faults
}

func (p *parser) defaults(settings reflect.Value) {
	for _, s := range p.sections {
		for _, d := range s.fields {
			if d.defaultText == "" {
				continue
			}
			if err := d.set(settings, d.defaultText); err != nil {
				panic(fmt.Sprintf("config: default of key %q: %v", d.key, err))
			}
		}
	}
}

func (p *parser) parse(data []byte, settings reflect.Value) {
	if len(data) > maxFile {
		p.fault(Fault{Found: fmt.Sprintf("%d bytes", len(data)), Expected: fmt.Sprintf("up to %d bytes", maxFile)})
		return
	}
	file := p.read(data)
	if file == nil {
		return
	}
	for _, s := range file.Sections() {
		p.parseSection(s, settings)
	}
	p.checkRequired(file)
	p.checkGroups(settings)
	p.checkListeners(settings)
}

// maxBadLines is the number of malformed lines after which parsing stops.
const maxBadLines = 100

// read parses the INI syntax. The INI library stops at the first malformed line.
// read reports this line, empties it and parses the file again. It returns nil
// if the library's message does not identify the line, or after maxBadLines
// malformed lines.
func (p *parser) read(data []byte) *ini.File {
	options := ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		IgnoreContinuation:         true,
		SpaceBeforeInlineComment:   true,
	}
	for range maxBadLines {
		file, err := ini.LoadSources(options, data)
		if err == nil {
			return file
		}
		n := p.lines.find(err.Error())
		p.fault(Fault{
			Line:     n,
			Found:    fmt.Sprintf("%q", strings.TrimSpace(err.Error())),
			Expected: "lines of [section], key = value or ; comment",
		})
		if n == 0 {
			return nil
		}
		data = p.lines.without(n)
	}
	return nil
}

func (p *parser) parseSection(s *ini.Section, settings reflect.Value) {
	if s.Name() == ini.DefaultSection {
		p.outsideSections(s)
		return
	}
	known := p.section(s.Name())
	if known == nil {
		p.fault(Fault{
			Line:     p.lines.section(s.Name()),
			Section:  s.Name(),
			Found:    "an unknown section",
			Expected: expectedName(s.Name(), p.sectionNames()),
		})
		return
	}
	for _, key := range s.Keys() {
		p.parseKey(known, key, settings)
	}
}

// outsideSections reports the keys that stand before the first section.
func (p *parser) outsideSections(s *ini.Section) {
	for _, key := range s.Keys() {
		p.fault(Fault{
			Line:     p.lines.key("", key.Name()),
			Key:      key.Name(),
			Found:    "a key outside of the sections",
			Expected: "a section before it, such as [" + p.sections[0].name + "]",
		})
	}
}

func (p *parser) parseKey(s *section, key *ini.Key, settings reflect.Value) {
	f := Fault{Line: p.lines.key(s.name, key.Name()), Section: s.name, Key: key.Name()}
	d := s.field(key.Name())
	if d == nil {
		f.Found, f.Expected = "an unknown key", expectedName(key.Name(), s.keys())
		p.fault(f)
		return
	}
	f.Expected = d.expected()
	if values := key.ValueWithShadows(); len(values) > 1 {
		f.Found, f.Expected = fmt.Sprintf("%d values", len(values)), "the key once"
		p.fault(f)
		return
	}
	text := key.Value()
	if text == "" && d.required {
		return // reported by checkRequired
	}
	if err := d.set(settings, text); err != nil {
		f.Found = fmt.Sprintf("%q", withoutPassword(text))
		p.fault(f)
	}
}

// checkRequired reports the required keys that the file does not set.
func (p *parser) checkRequired(file *ini.File) {
	for _, s := range p.sections {
		for _, d := range s.fields {
			if !d.required || file.Section(s.name).Key(d.key).Value() != "" {
				continue
			}
			p.fault(Fault{Section: s.name, Key: d.key, Found: "no value", Expected: d.expected()})
		}
	}
}

func (p *parser) fault(f Fault) {
	f.File = p.file
	p.faults = append(p.faults, f)
}

// sorted returns the faults in the order of their lines. Faults without a line
// come last.
func (p *parser) sorted() Faults {
	slices.SortStableFunc(p.faults, func(a, b Fault) int {
		if (a.Line == 0) != (b.Line == 0) {
			return b.Line - a.Line
		}
		return a.Line - b.Line
	})
	return p.faults
}

func (p *parser) section(name string) *section {
	for i := range p.sections {
		if p.sections[i].name == name {
			return &p.sections[i]
		}
	}
	return nil
}

func (p *parser) sectionNames() []string {
	var names []string
	for _, s := range p.sections {
		names = append(names, s.name)
	}
	return names
}

func (s *section) field(key string) *field {
	for i := range s.fields {
		if s.fields[i].key == key {
			return &s.fields[i]
		}
	}
	return nil
}

func (s *section) keys() []string {
	var keys []string
	for _, d := range s.fields {
		keys = append(keys, d.key)
	}
	return keys
}

// withoutPassword returns the text with the password redacted if it is a URL that
// has one.
func withoutPassword(text string) string {
	u, err := url.Parse(text)
	if err != nil || u.User == nil {
		return text
	}
	return u.Redacted()
}

// expectedName suggests the known name that is most similar, or lists all known
// names if none is.
func expectedName(name string, known []string) string {
	if near := nearest(name, known); near != "" {
		return fmt.Sprintf("%s, the most similar known name", near)
	}
	return "one of " + strings.Join(known, ", ")
}
