package config

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// section is a section of a settings struct.
type section struct {
	name   string
	doc    string
	fields []field
}

// field is a key of a section, as its struct tags describe it.
type field struct {
	section  string
	key      string
	doc      string
	fallback string
	min, max string
	text     string
	oneof    []string
	required bool
	typ      reflect.Type
	// index leads from the settings struct to the field.
	index []int
}

// schema lists the sections of a settings struct in their order.
func schema(t reflect.Type) []section {
	var list []section
	for i := range t.NumField() {
		f := t.Field(i)
		s := section{name: f.Tag.Get("section"), doc: f.Tag.Get("doc")}
		for j := range f.Type.NumField() {
			s.fields = append(s.fields, newField(s.name, f.Type.Field(j), []int{i, j}))
		}
		list = append(list, s)
	}
	return list
}

func newField(section string, f reflect.StructField, index []int) field {
	d := field{
		section:  section,
		key:      f.Tag.Get("key"),
		doc:      f.Tag.Get("doc"),
		fallback: f.Tag.Get("default"),
		min:      f.Tag.Get("min"),
		max:      f.Tag.Get("max"),
		text:     f.Tag.Get("type"),
		required: f.Tag.Get("required") == "yes",
		typ:      f.Type,
		index:    index,
	}
	if list := f.Tag.Get("oneof"); list != "" {
		d.oneof = strings.Split(list, "|")
	}
	return d
}

// expected says which values the key takes.
func (d *field) expected() string {
	if d.oneof != nil {
		return "one of " + strings.Join(d.oneof, ", ")
	}
	if d.text != "" {
		return textTypes[d.text].expected
	}
	switch reflect.Zero(d.typ).Interface().(type) {
	case Bytes:
		return fmt.Sprintf("a size with its unit, from %s to %s", d.min, d.max)
	case Share:
		return fmt.Sprintf("a share from %s to %s", d.min, d.max)
	case time.Duration:
		return fmt.Sprintf("a duration with its unit, from %s to %s", d.min, d.max)
	case int:
		return fmt.Sprintf("a whole number from %s to %s", d.min, d.max)
	case bool:
		return "yes or no"
	case Layers:
		return fmt.Sprintf("a list of LAYER=LEVEL with the layers %s and the levels %s",
			strings.Join(LogLayers, ", "), strings.Join(logLevels, ", "))
	}
	panic(fmt.Sprintf("config: key %q has the type %v, which is not supported", d.key, d.typ))
}

// set parses the text into the field of the settings.
func (d *field) set(settings reflect.Value, text string) error {
	v, err := d.parse(text)
	if err != nil {
		return err
	}
	settings.FieldByIndex(d.index).Set(reflect.ValueOf(v))
	return nil
}

// parse reads a value and checks it against the key's bounds.
func (d *field) parse(text string) (any, error) {
	switch reflect.Zero(d.typ).Interface().(type) {
	case Bytes:
		return bounded(d, text, ParseBytes)
	case Share:
		return bounded(d, text, ParseShare)
	case time.Duration:
		return bounded(d, text, time.ParseDuration)
	case int:
		return bounded(d, text, strconv.Atoi)
	case bool:
		return parseBool(text)
	case Layers:
		return ParseLayers(text)
	}
	return d.parseText(text)
}

// parseText checks a string against the key's type or list of values.
func (d *field) parseText(text string) (any, error) {
	for _, choice := range d.oneof {
		if text == choice {
			return text, nil
		}
	}
	if d.oneof != nil {
		return nil, fmt.Errorf("%q is none of the values", text)
	}
	if text != "" && !textTypes[d.text].valid(text) {
		return nil, fmt.Errorf("%q is no %s", text, d.text)
	}
	return text, nil
}

// ordered is a value that has bounds.
type ordered interface {
	Bytes | Share | time.Duration | int
}

// bounded parses a value and its bounds alike, and compares them.
func bounded[T ordered](d *field, text string, parse func(string) (T, error)) (any, error) {
	v, err := parse(text)
	if err != nil {
		return nil, err
	}
	low, high := must(parse(d.min)), must(parse(d.max))
	if v < low || v > high {
		return nil, fmt.Errorf("%q is out of range", text)
	}
	return v, nil
}

// must returns a value that comes from a struct tag of this package.
func must[T any](v T, err error) T {
	if err != nil {
		panic(fmt.Sprintf("config: struct tag: %v", err))
	}
	return v
}
