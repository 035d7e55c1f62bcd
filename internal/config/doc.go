package config

import (
	"fmt"
	"io"
	"reflect"
	"strings"
)

// program is a program with the type of its settings struct.
type program struct {
	name    string
	program string
	typ     reflect.Type
}

var programs = []program{
	{"router", "beryl-router", reflect.TypeFor[Router]()},
	{"side", "beryl-side", reflect.TypeFor[Side]()},
	{"operator", "beryl", reflect.TypeFor[Operator]()},
}

// ProgramNames lists the names that Check and WriteDefaults take.
func ProgramNames() []string {
	var names []string
	for _, f := range programs {
		names = append(names, f.name)
	}
	return names
}

// Check reads a settings file as the named program does, and
// returns its faults.
func Check(familyName, path string) error {
	var err error
	switch familyName {
	case "router":
		_, err = Load[Router](path)
	case "side":
		_, err = Load[Side](path)
	case "operator":
		_, err = Load[Operator](path)
	default:
		err = unknownFamily(familyName)
	}
	return err
}

// WriteDefaults writes a settings file of the named program with every key, its
// description and its default. Keys without a default are commented out.
func WriteDefaults(w io.Writer, familyName string) error {
	for _, f := range programs {
		if f.name == familyName {
			_, err := io.WriteString(w, f.defaults())
			return err
		}
	}
	return unknownFamily(familyName)
}

func unknownFamily(name string) error {
	return fmt.Errorf("there are no settings for %q, expected one of %s", name, strings.Join(ProgramNames(), ", "))
}

func (f program) defaults() string {
	var b strings.Builder
	fmt.Fprintf(&b, "; Settings of %s with their defaults.\n", f.program)
	for _, s := range schema(f.typ) {
		fmt.Fprintf(&b, "\n; %s\n[%s]\n", s.doc, s.name)
		for _, d := range s.fields {
			fmt.Fprintf(&b, "\n; %s\n; Expected: %s.\n%s\n", d.doc, d.expected(), d.line())
		}
	}
	return b.String()
}

// line returns the key with its default as a line of a settings file. It is
// commented out if the key has no default.
func (d *field) line() string {
	switch {
	case d.defaultText != "":
		return d.key + " = " + d.defaultText
	case d.required:
		return "; " + d.key + " = (required)"
	}
	return "; " + d.key + " ="
}

// referenceHead starts docs/SETTINGS.md.
const referenceHead = `# Settings

Each program reads one INI file, given by --settings, and checks all of it before
it does anything else. If the file has faults, the program does not start. It
prints all faults, each with file, line, section, key, what was found and what is
expected.
` + "`beryl settings check FILE --for router|side|operator`" + ` makes the same check, and
` + "`beryl settings show-defaults --for router|side|operator`" + ` prints a file to
start from.

Durations carry a unit (` + "`500ms`, `2s`, `1m30s`" + `), sizes as well (` + "`32KiB`, `8MiB`" + `),
and shares a per cent sign (` + "`10%`" + `). A comment starts with ` + "`;` or `#`" + `.
Addresses are IP addresses with a port: ` + "`0.0.0.0:8080`" + ` listens on all
interfaces. By default, all listeners are on loopback.

This page is generated from the structs in internal/config by ` + "`beryl docs`" + `.
`

// WriteReference writes docs/SETTINGS.md.
func WriteReference(w io.Writer) error {
	var b strings.Builder
	b.WriteString(referenceHead)
	for _, f := range programs {
		f.reference(&b)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (f program) reference(b *strings.Builder) {
	fmt.Fprintf(b, "\n## %s (`--for %s`)\n", f.program, f.name)
	for _, s := range schema(f.typ) {
		fmt.Fprintf(b, "\n### [%s]\n\n%s\n\n", s.name, s.doc)
		b.WriteString("| key | default | expected | meaning |\n|---|---|---|---|\n")
		for _, d := range s.fields {
			fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", d.key, d.defaultCell(), d.expected(), d.doc)
		}
	}
}

// defaultCell returns the default as a cell of the reference's table.
func (d *field) defaultCell() string {
	switch {
	case d.required:
		return "required"
	case d.defaultText == "":
		return "none"
	}
	return "`" + d.defaultText + "`"
}
