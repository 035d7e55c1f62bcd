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
	section     string
	key         string
	doc         string
	defaultText string
	min, max    string
	textType    string
	oneof       []string
	required    bool
	typ         reflect.Type
	// index is the field's index for reflect.Value.FieldByIndex on the settings
	// struct.
	index []int
}

// schema returns the sections of a settings struct in the order of its fields.
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
		section:     section,
		key:         f.Tag.Get("key"),
		doc:         f.Tag.Get("doc"),
		defaultText: f.Tag.Get("default"),
		min:         f.Tag.Get("min"),
		max:         f.Tag.Get("max"),
		textType:    f.Tag.Get("type"),
		required:    f.Tag.Get("required") == "yes",
		typ:         f.Type,
		index:       index,
	}
	if list := f.Tag.Get("oneof"); list != "" {
		d.oneof = strings.Split(list, "|")
	}
	return d
}

// expected describes the values that are valid for the key.
func (d *field) expected() string {
	if d.oneof != nil {
		return "one of " + strings.Join(d.oneof, ", ")
	}
	if d.textType != "" {
		return textTypes[d.textType].expected
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
		return nil, fmt.Errorf("%q is not one of the values of the key", text)
	}
	if text != "" && !textTypes[d.textType].valid(text) {
		return nil, fmt.Errorf("%q is not a valid %s", text, d.textType)
	}
	return text, nil
}

// ordered is the type of a value with bounds.
type ordered interface {
	Bytes | Share | time.Duration | int
}

// bounded parses a value and checks it against the bounds of its key. It uses
// parse for the value and for the bounds.
func bounded[T ordered](d *field, text string, parse func(string) (T, error)) (any, error) {
	v, err := parse(text)
	if err != nil {
		return nil, err
	}
	low, high := must(parse(d.min)), must(parse(d.max))
	if v < low || v > high {
		return nil, fmt.Errorf("%q is outside of the bounds of the key", text)
	}
	return v, nil
}

// must returns a value that was parsed from a struct tag of this package. It
// panics if the tag is invalid, which is a programming error.
func must[T any](v T, err error) T {
	if err != nil {
		panic(fmt.Sprintf("config: struct tag: %v", err))
	}
	return v
}
