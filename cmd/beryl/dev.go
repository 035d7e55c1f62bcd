package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/beryllanding/beryllanding/internal/cmds"
	"github.com/beryllanding/beryllanding/internal/devel"
)

func init() { extra = append(extra, devCommand()) }

// devCommand is "beryl dev".
func devCommand() cmds.Command {
	return cmds.Command{
		Name:  "dev",
		Short: "Run a whole system in this process, to try it out",
		Long: `Starts stand-ins of the platform, of three engines and of three application
instances, a side process for each, one entry instance and two sample
organisations, all in this process and on loopback, and prints example commands.
All data is lost when the command ends. It is not for production.

With --smoke it sends one chat, one streamed chat and one reservation through
the system, prints the bill and ends. The exit code is 0 if all answers and the
bill are right, and 5 otherwise.`,
		Examples: []cmds.Example{
			{Line: "beryl dev", Does: "run until Ctrl-C"},
			{Line: "beryl dev --smoke", Does: "test this build with three requests"},
		},
		New: func() cmds.Runner { return new(dev) },
	}
}

type dev struct {
	HTTP  string `long:"http" value-name:"ADDR" default:"127.0.0.1:8080" description:"Address that callers connect to; with --smoke, any free port is used"`
	Logs  bool   `long:"logs" description:"Write log lines to standard error"`
	Smoke bool   `long:"smoke" description:"Send three requests, check them and end"`
}

// NoTimeout lets the command run until it is interrupted.
func (d *dev) NoTimeout() {}

// Run runs the system.
func (d *dev) Run(ctx context.Context, app *cmds.App) error {
	opts := devel.Options{HTTP: d.HTTP}
	if d.Logs {
		opts.Logs = os.Stderr
	}
	if d.Smoke {
		return d.smoke(ctx, app, opts)
	}
	system, err := devel.Start(ctx, opts)
	if err != nil {
		return err
	}
	_, _ = io.WriteString(app.Out, system.Banner())
	<-ctx.Done()
	return system.Stop(context.WithoutCancel(ctx))
}

// smoke starts the system, runs the checks and stops it. The error matches
// cmds.ErrCheckFailed if a check failed.
func (d *dev) smoke(ctx context.Context, app *cmds.App, opts devel.Options) error {
	ctx, cancel := context.WithTimeout(ctx, app.Globals.Timeout)
	defer cancel()
	opts.HTTP = ""
	system, err := devel.Start(ctx, opts)
	if err != nil {
		return err
	}
	err = system.Smoke(ctx, app.Out)
	if err != nil {
		err = fmt.Errorf("%w: %w", cmds.ErrCheckFailed, err)
	}
	return errors.Join(err, system.Stop(ctx))
}
