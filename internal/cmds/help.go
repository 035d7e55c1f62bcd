package cmds

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"
)

const rootShort = "Operate beryllanding"

const rootLong = `Publishes and reads the catalogue, tops up budgets of prepaid tokens, and shows
which instances hold the tokens. An entry instance accepts callers' requests and
routes them to targets, which are model engines and applications. A side process
runs next to each target, and bills its work.

A command that changes something waits for the outcome and prints it: accepted,
conflict (another change came first, and is named), not-appended (the log
service refused the change; nothing was changed) or unknown. If it is unknown,
run the same command with the id that it printed: it prints the outcome, and
makes the change only once.

The addresses of the platform's services come from options, from environment
variables or from the settings file.`

// write prints the help of a command.
func (t *tree) write(w io.Writer, n *node) error {
	_, err := io.WriteString(w, t.help(n))
	return err
}

// help returns the help text of a command.
func (t *tree) help(n *node) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Usage: %s\n\n", n.usage())
	fmt.Fprintf(&b, "%s.\n", n.command.Short)
	if n.command.Long != "" {
		fmt.Fprintf(&b, "\n%s\n", n.command.Long)
	}
	n.helpExamples(&b)
	n.helpCommands(&b)
	n.helpArgs(&b)
	n.helpOptions(&b)
	if n == t.root {
		b.WriteString("\n" + exitHelp)
	} else {
		b.WriteString("\nGlobal options and exit codes: beryl --help\n")
	}
	return b.String()
}

// usage returns the line that shows how to call the command.
func (n *node) usage() string {
	text := n.path()
	if len(n.options()) > 0 {
		text += " [OPTIONS]"
	}
	if len(n.children) > 0 {
		return text + " COMMAND"
	}
	for _, a := range n.parsed.Args() {
		if !n.parsed.ArgsRequired && a.Required < 1 {
			text += " [" + a.Name + "]"
			continue
		}
		text += " " + a.Name
	}
	return text
}

func (n *node) helpExamples(b *strings.Builder) {
	if len(n.command.Examples) == 0 {
		return
	}
	b.WriteString("\nExamples:\n")
	for _, e := range n.command.Examples {
		fmt.Fprintf(b, "  %s\n      %s\n", e.Line, e.Does)
	}
}

func (n *node) helpCommands(b *strings.Builder) {
	if len(n.children) == 0 {
		return
	}
	b.WriteString("\nCommands:\n")
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	for _, child := range n.children {
		if child.command.Hidden {
			continue
		}
		row(w, "  "+strings.Join(append([]string{child.command.Name}, child.command.Aliases...), ", "), child.command.Short)
	}
	_ = w.Flush()
}

func (n *node) helpArgs(b *strings.Builder) {
	args := n.parsed.Args()
	if len(args) == 0 {
		return
	}
	b.WriteString("\nArguments:\n")
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	for _, a := range args {
		row(w, "  "+a.Name, a.Description)
	}
	_ = w.Flush()
}

func (n *node) helpOptions(b *strings.Builder) {
	options := n.options()
	if len(options) == 0 {
		return
	}
	b.WriteString("\nOptions:\n")
	for _, o := range options {
		fmt.Fprintf(b, "  %s\n      %s\n", optionName(o), o.Description+optionNote(o))
	}
}

// options lists the visible options of the command.
func (n *node) options() []*flags.Option {
	list := visible(n.parsed.Group)
	if n.parent == nil {
		for _, g := range n.parsed.Groups() {
			list = append(list, visible(g)...)
		}
	}
	return list
}

func visible(g *flags.Group) []*flags.Option {
	var list []*flags.Option
	for _, o := range g.Options() {
		if !o.Hidden && o.LongName != "help" {
			list = append(list, o)
		}
	}
	return list
}

func optionName(o *flags.Option) string {
	name := "--" + o.LongName
	if o.ShortName != 0 {
		name = fmt.Sprintf("-%c, %s", o.ShortName, name)
	}
	switch {
	case len(o.Choices) > 0:
		return name + "=" + strings.Join(o.Choices, "|")
	case o.ValueName != "":
		return name + "=" + o.ValueName
	}
	return name
}

// optionNote returns, in parentheses, whether the option is required, its default
// and its environment variable.
func optionNote(o *flags.Option) string {
	var notes []string
	if o.Required {
		notes = append(notes, "required")
	}
	if len(o.Default) > 0 {
		notes = append(notes, "default: "+o.Default[0])
	}
	if o.EnvDefaultKey != "" {
		notes = append(notes, "environment: "+o.EnvDefaultKey)
	}
	if len(notes) == 0 {
		return ""
	}
	return " (" + strings.Join(notes, "; ") + ")"
}

// referenceHead starts docs/COMMANDS.md.
const referenceHead = "# Commands\n\nThe help of every command of `beryl`, as `--help` prints it.\n" +
	"This page is generated from the command tree by `beryl docs`.\n"

// WriteReference writes docs/COMMANDS.md for the built-in commands and extra.
func WriteReference(w io.Writer, extra []Command) error {
	t := newTree(append(Builtin(), extra...))
	return t.reference(w)
}

func (t *tree) reference(w io.Writer) error {
	var b strings.Builder
	b.WriteString(referenceHead)
	t.section(&b, t.root)
	_, err := io.WriteString(w, b.String())
	return err
}

// section writes the help of a command and of its subcommands.
func (t *tree) section(b *strings.Builder, n *node) {
	if n.command.Hidden {
		return
	}
	fmt.Fprintf(b, "\n## %s\n\n```\n%s```\n", n.path(), t.help(n))
	for _, child := range n.children {
		t.section(b, child)
	}
}
