package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/beryllanding/beryllanding/internal/cmds"
	"github.com/beryllanding/beryllanding/internal/tally"
)

func init() { extra = append(extra, logsCommand()) }

// logsCommand is "beryl logs".
func logsCommand() cmds.Command {
	return cmds.Command{
		Name:  "logs",
		Short: "Count what became of requests, or tell the story of one, from the instances' logs",
		Long: `Reads the structured log lines of any number of instances of beryl-edge. A line
may have its instance's name before the JSON object; otherwise, the file's name
stands for the instance. Cut, overlong and malformed lines are counted and
skipped. Memory does not grow with the size of the logs.

With --request, the lines of one request are shown as they are, from all files.`,
		Examples: []cmds.Example{
			{Line: "beryl logs edge-*.log", Does: "requests by the reason of their end"},
			{Line: "beryl logs edge-*.log --by time --every 2s --picture day.png", Does: "requests over time, also as a picture"},
			{Line: "beryl logs edge-*.log --request 9c41d07be2a35f68", Does: "all lines of one request"},
		},
		New: func() cmds.Runner { return new(readLogs) },
	}
}

type readLogs struct {
	By      string        `long:"by" value-name:"DIMENSION" default:"reason" description:"What the requests are counted by: reason, route, organisation, instance, target or time"`
	Every   time.Duration `long:"every" value-name:"DURATION" default:"1s" description:"Length of a row of --by time"`
	Picture string        `long:"picture" value-name:"FILE" description:"Draw the rows of --by time to this file as well; its ending is png, svg or pdf"`
	Request string        `long:"request" value-name:"ID" description:"Show the lines of the request with this id instead of a table"`
	Args    struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"Log files; - is the standard input"`
	} `positional-args:"yes" required:"yes"`
}

// NoTimeout lets the command read large logs.
func (c *readLogs) NoTimeout() {}

// Run reads the files.
func (c *readLogs) Run(ctx context.Context, app *cmds.App) error {
	count := tally.Count{By: tally.Dimension(c.By), Every: c.Every}
	if err := count.Valid(); err != nil {
		return err
	}
	if c.Picture != "" && count.By != tally.ByTime {
		return fmt.Errorf("%w: --picture needs --by time", tally.ErrDimension)
	}
	story := c.Request != ""
	broken := 0
	for _, name := range c.Args.Files {
		n, err := readLog(ctx, app, name, func(l tally.Line, text []byte) {
			switch {
			case !story:
				count.Add(l)
			case l.RequestID == c.Request:
				_, _ = fmt.Fprintf(app.Out, "%s\n", text)
			}
		})
		if err != nil {
			return err
		}
		broken += n
	}
	if story {
		return nil
	}
	rows := count.Rows()
	if c.Picture != "" {
		if err := tally.Picture(c.Picture, rows); err != nil {
			return err
		}
	}
	result := struct {
		By     tally.Dimension
		Broken int
		Rows   []tally.Row
	}{count.By, broken, rows}
	return app.Print(result, func(w io.Writer) {
		tally.WriteText(w, count.By, rows)
		if broken > 0 {
			_, _ = fmt.Fprintf(w, "%d broken lines were skipped\n", broken)
		}
	})
}

// readLog passes the lines of a file to fn. It returns the number of broken ones.
func readLog(ctx context.Context, app *cmds.App, name string, fn func(tally.Line, []byte)) (broken int, err error) {
	r := tally.Reader{Source: app.In, File: name}
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return 0, err
		}
		defer func() { _ = file.Close() }() // It is only read.
		r.Source = file
	}
	err = r.Each(func(l tally.Line, text []byte) {
		if ctx.Err() == nil {
			fn(l, text)
		}
	})
	if err != nil {
		return r.Broken, fmt.Errorf("%s: %w", name, err)
	}
	return r.Broken, ctx.Err()
}
