// Package cmds defines the commands of beryl, the operators' program: their
// names, options, help texts and output. Package opsvc implements them.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/jessevdk/go-flags"

	"github.com/beryllanding/beryllanding/internal/config"
	"github.com/beryllanding/beryllanding/internal/opsvc"
)

// Command is a node of the command tree.
type Command struct {
	Name    string
	Aliases []string
	// Short is one line without a full stop.
	Short string
	// Long explains what the command does, when to use it and what its output
	// means. Lines are at most 80 bytes.
	Long     string
	Examples []Example
	// Hidden keeps the command out of help and reference.
	Hidden bool
	// New returns a new Runner, a struct that holds the command's options. It is
	// nil for a node that only has children.
	New      func() Runner
	Children []Command
}

// Example is a command line and a description of what it does.
type Example struct {
	Line string
	Does string
}

// Runner is a command. The struct that implements it declares the command's
// options with go-flags tags. Exit maps the error of Run to an exit code.
type Runner interface {
	Run(ctx context.Context, app *App) error
}

// Connect returns a service for the platform that the settings name.
type Connect func(settings config.Operator) (*opsvc.Service, error)

// Program is the beryl program. The zero value has no input, no output and no
// connection to a platform.
type Program struct {
	In       io.Reader
	Out, Err io.Writer
	// Connect is called by the commands that need the platform. If it is nil,
	// they fail.
	Connect Connect
	// Extra holds top-level commands in addition to the built-in ones.
	Extra []Command
}

// Run parses the arguments, runs the command and returns its exit code.
func (p Program) Run(ctx context.Context, args []string) int {
	t := newTree(append(Builtin(), p.Extra...))
	rest, err := t.parser.ParseArgs(args)
	node := t.active()
	if err != nil {
		return p.parseError(t, node, err)
	}
	if len(rest) > 0 {
		return p.usage(node, fmt.Errorf("unexpected argument %q", rest[0]))
	}
	if t.globals.Timeout <= 0 {
		return p.usage(node, fmt.Errorf("--timeout is %s, expected more than 0s", t.globals.Timeout))
	}
	app := &App{Globals: *t.globals, In: p.In, Out: p.Out, connect: p.Connect, tree: t}
	return p.finish(node, p.run(ctx, app, node))
}

func (p Program) run(ctx context.Context, app *App, node *node) error {
	if !node.runner.bounded() {
		return node.runner.Run(ctx, app)
	}
	ctx, cancel := context.WithTimeout(ctx, app.Globals.Timeout)
	defer cancel()
	return node.runner.Run(ctx, app)
}

// parseError prints the help if the arguments request it. Otherwise it prints
// the error. It returns the exit code.
func (p Program) parseError(t *tree, node *node, err error) int {
	var fe *flags.Error
	if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
		if t.write(p.Out, node) != nil {
			return ExitUsage.Int()
		}
		return ExitOK.Int()
	}
	return p.usage(node, err)
}

func (p Program) usage(node *node, err error) int {
	_, _ = fmt.Fprintf(p.Err, "%s: %v\nTry: %s --help\n", node.path(), err, node.path())
	return ExitUsage.Int()
}

// finish prints the error, unless the command has already printed its outcome,
// and returns the exit code.
func (p Program) finish(node *node, err error) int {
	code := Exit(err)
	var reported reportedError
	if err != nil && !errors.As(err, &reported) {
		_, _ = fmt.Fprintf(p.Err, "%s: %v\n", node.path(), err)
	}
	return code.Int()
}

// node is a command of the parsed tree.
type node struct {
	parent   *node
	command  *Command
	parsed   *flags.Command
	runner   boundedRunner
	children []*node
}

// boundedRunner adds to a command whether --timeout applies to it.
type boundedRunner struct{ Runner }

// NoTimeout is implemented by commands that --timeout does not apply to, such as
// those that run until they are interrupted.
type NoTimeout interface{ NoTimeout() }

func (r boundedRunner) bounded() bool {
	_, unbounded := r.Runner.(NoTimeout)
	return !unbounded
}

// path returns the command as it is typed, such as "beryl catalogue put".
func (n *node) path() string {
	if n.parent == nil {
		return n.command.Name
	}
	return n.parent.path() + " " + n.command.Name
}

// tree is the command tree with its parser.
type tree struct {
	parser  *flags.Parser
	globals *Globals
	root    *node
}

// newTree builds the command tree and its parser. It panics if the struct tags of
// a command are invalid, which is a programming error.
func newTree(commands []Command) *tree {
	t := &tree{globals: new(Globals)}
	t.parser = flags.NewNamedParser("beryl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := t.parser.AddGroup("Global options", "", t.globals); err != nil {
		panic(fmt.Sprintf("cmds: global options: %v", err))
	}
	t.root = &node{command: &Command{Name: "beryl", Short: rootShort, Long: rootLong}, parsed: t.parser.Command}
	for i := range commands {
		t.root.add(&commands[i])
	}
	return t
}

// add makes the command a child of the node.
func (n *node) add(c *Command) {
	child := &node{parent: n, command: c}
	data := any(&struct{}{})
	if c.New != nil {
		child.runner = boundedRunner{c.New()}
		data = child.runner.Runner
	}
	parsed, err := n.parsed.AddCommand(c.Name, c.Short, c.Long, data)
	if err != nil {
		panic(fmt.Sprintf("cmds: command %q: %v", c.Name, err))
	}
	parsed.Aliases = c.Aliases
	parsed.Hidden = c.Hidden
	child.parsed = parsed
	n.children = append(n.children, child)
	for i := range c.Children {
		child.add(&c.Children[i])
	}
}

// active returns the node of the command that the arguments named.
func (t *tree) active() *node {
	n := t.root
	for n.parsed.Active != nil {
		i := slices.IndexFunc(n.children, func(child *node) bool { return child.parsed == n.parsed.Active })
		if i < 0 {
			return n
		}
		n = n.children[i]
	}
	return n
}
