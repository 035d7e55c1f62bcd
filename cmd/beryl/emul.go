package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/beryllanding/beryllanding/internal/cmds"
	"github.com/beryllanding/beryllanding/internal/emul"
)

func init() { extra = append(extra, emulCommand()) }

// emulCommand is "beryl emul".
func emulCommand() cmds.Command {
	return cmds.Command{
		Name:  "emul",
		Short: "Run a scenario with load and failures in this process, and report",
		Long: `Starts entry instances that call their targets directly, with stand-ins of the
store and of model replicas, and sends the scenario's requests. The report shows
how many requests of each kind and of each organisation were answered within
their aim (a time limit of the scenario), late, refused and failed. The time of
a request counts from its caller's first attempt.

The report names broken rules: an organisation that got more than it paid for, a
request that may run only once and ran twice, a stream with a gap or without its
end. The exit code is 5 if a rule was broken. docs/STANDINS.md describes the
scenario file.`,
		Examples: []cmds.Example{
			{Line: "beryl emul deploy/emul/troubles.ini", Does: "ten seconds with failures of targets and store"},
			{Line: "beryl emul deploy/emul/burst.ini --logs burst.log", Does: "a burst, with the instances' log lines"},
		},
		New: func() cmds.Runner { return new(emulate) },
	}
}

type emulate struct {
	Logs string `long:"logs" value-name:"FILE" description:"Write the log lines of all instances to this file"`
	Args struct {
		File string `positional-arg-name:"FILE" description:"Scenario file"`
	} `positional-args:"yes" required:"yes"`
}

// NoTimeout lets the command run for the duration of the scenario.
func (c *emulate) NoTimeout() {}

// Run runs the scenario.
func (c *emulate) Run(ctx context.Context, app *cmds.App) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	s, err := emul.Parse(data)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Args.File, err)
	}
	logs := io.Discard
	if c.Logs != "" {
		file, err := os.Create(c.Logs)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }() // The lines are only for reading.
		logs = file
	}
	r, err := emul.Run(ctx, s, logs)
	if err != nil {
		return err
	}
	if err := app.Print(r, func(w io.Writer) { r.WriteText(w) }); err != nil {
		return err
	}
	if len(r.Violations) > 0 {
		return fmt.Errorf("%w: %d rules broken", cmds.ErrCheckFailed, len(r.Violations))
	}
	return nil
}
