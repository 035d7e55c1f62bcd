package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/beryllanding/beryllanding/internal/opsvc"
	"github.com/beryllanding/beryllanding/pkg/catal"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// catalogueCommand is "beryl catalogue".
func catalogueCommand() Command {
	return Command{
		Name:    "catalogue",
		Aliases: []string{"cat"},
		Short:   "Publish and read catalogue entries",
		Long: `The catalogue holds services, which the system routes to, and budgets, which say
who may spend prepaid tokens and how. Every change carries the offset that it is
based on; of two operators who race, one is accepted and the other gets a
conflict that names the winner. An accepted change stays in force until another
one is accepted.`,
		Children: []Command{
			catalogueListCommand(),
			catalogueShowCommand(),
			cataloguePutCommand(),
			catalogueDeleteCommand(),
			catalogueInForceCommand(),
		},
	}
}

// catalogueListCommand is "beryl catalogue list".
func catalogueListCommand() Command {
	return Command{
		Name:    "list",
		Aliases: []string{"ls"},
		Short:   "List the entries in force",
		Examples: []Example{
			{"beryl catalogue list", "one line for each entry"},
			{"beryl catalogue list -o json", "the same, whole, for scripts"},
		},
		New: func() Runner { return new(catalogueList) },
	}
}

// catalogueShowCommand is "beryl catalogue show".
func catalogueShowCommand() Command {
	return Command{
		Name:  "show",
		Short: "Show one entry",
		Long: `Prints the entry in the form that "beryl catalogue put" reads, in JSON whatever
--output says. It holds the offset of the latest change as "at", and put takes
that as the base: what was changed in between is not overwritten.`,
		Examples: []Example{
			{"beryl catalogue show kowhai > kowhai.json", "fetch an entry to edit it"},
		},
		New: func() Runner { return new(catalogueShow) },
	}
}

// cataloguePutCommand is "beryl catalogue put".
func cataloguePutCommand() Command {
	return Command{
		Name:  "put",
		Short: "Create or replace an entry",
		Long: `Reads a JSON object with either "service" or "budget", checks it, publishes it
and waits until it is decided.

The change is based on --base, or on the "at" of the file, or else on the
entry's latest change as it was just read. In a conflict, read the entry again,
decide whether the change is still wanted, and put it again.`,
		Examples: []Example{
			{"beryl catalogue put kowhai.json", "publish the entry in the file"},
			{"beryl catalogue put --id 5f1c kowhai.json", "ask what became of change 5f1c, or publish it"},
		},
		New: func() Runner { return new(cataloguePut) },
	}
}

// catalogueDeleteCommand is "beryl catalogue delete".
func catalogueDeleteCommand() Command {
	return Command{
		Name:    "delete",
		Aliases: []string{"rm"},
		Short:   "Remove an entry",
		Long: `Removes a service or a budget from the catalogue. The keys of a removed budget
are refused; its tokens stay paid for, and are there again when an entry with
the same name is put.`,
		Examples: []Example{
			{"beryl catalogue delete kowhai/trial", "remove the entry kowhai/trial"},
		},
		New: func() Runner { return new(catalogueDelete) },
	}
}

// catalogueInForceCommand is "beryl catalogue in-force".
func catalogueInForceCommand() Command {
	return Command{
		Name:  "in-force",
		Short: "Show whether a change is in force at every entry instance",
		Long: `Asks every listed entry instance up to which offset it has the catalogue. A
change is in force where that is its offset or a later one. Without OFFSET the
latest accepted change is meant.

The exit code is 0 where all have it, 5 where one is behind, and 3 where one did
not answer and none is known to be behind.`,
		Examples: []Example{
			{"beryl catalogue in-force", "is the latest change in force everywhere"},
			{"beryl catalogue in-force 1042", "is the change accepted at offset 1042"},
		},
		New: func() Runner { return new(catalogueInForce) },
	}
}

type catalogueList struct{}

// Run lists the entries.
func (c *catalogueList) Run(ctx context.Context, app *App) error {
	s, err := app.Service()
	if err != nil {
		return err
	}
	entries, err := s.Catalogue(ctx)
	if err != nil {
		return err
	}
	return app.Print(entries, func(w io.Writer) {
		row(w, "NAME", "TYPE", "OWNER", "CLASS", "AT", "OPERATOR", "LIMITS")
		for _, e := range entries {
			writeEntry(w, e)
		}
	})
}

// writeEntry writes the line of an entry.
func writeEntry(w io.Writer, e opsvc.Entry) {
	if s := e.Service; s != nil {
		row(w, e.Name, s.Kind, s.Owner, s.Class, e.At, e.Operator, serviceLimits(s))
		return
	}
	b := e.Budget
	row(w, e.Name, "budget", b.Owner, b.Class, e.At, e.Operator, budgetLimits(b))
}

func serviceLimits(s *catal.Service) string {
	if s.Kind == catal.App {
		return fmt.Sprintf("price %d", s.Price)
	}
	return fmt.Sprintf("output %d", s.MaxOutput)
}

func budgetLimits(b *catal.Budget) string {
	limits := []string{fmt.Sprintf("keys %d", len(b.KeyHashes))}
	if b.Limits.MaxTokens > 0 {
		limits = append(limits, fmt.Sprintf("tokens %d", b.Limits.MaxTokens))
	}
	if b.Limits.MaxConcurrent > 0 {
		limits = append(limits, fmt.Sprintf("concurrent %d", b.Limits.MaxConcurrent))
	}
	return strings.Join(limits, ", ")
}

type catalogueShow struct {
	Args struct {
		Name string `positional-arg-name:"NAME" description:"Name of the entry"`
	} `positional-args:"yes" required:"yes"`
}

// Run shows one entry.
func (c *catalogueShow) Run(ctx context.Context, app *App) error {
	s, err := app.Service()
	if err != nil {
		return err
	}
	e, err := s.CatalogueEntry(ctx, c.Args.Name)
	if err != nil {
		return err
	}
	app.Globals.Output = "json"
	return app.Print(e, nil)
}

type cataloguePut struct {
	Base *uint64 `long:"base" value-name:"OFFSET" description:"Offset of the change that this one is based on; 0 for a new entry"`
	ID   string  `long:"id" value-name:"ID" description:"Id of the change, for safe repetition"`
	Args struct {
		File string `positional-arg-name:"FILE" description:"JSON file with the entry, or - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Run publishes the entry.
func (c *cataloguePut) Run(ctx context.Context, app *App) error {
	data, err := readInput(app, c.Args.File)
	if err != nil {
		return err
	}
	ask, err := parseEntry(data)
	if err != nil {
		return fmt.Errorf("entry file %q: %w", c.Args.File, err)
	}
	ask.ID = c.ID
	if c.Base != nil {
		ask.Base = (*logsvc.Offset)(c.Base)
	}
	return change(ctx, app, ask)
}

type catalogueDelete struct {
	Base *uint64 `long:"base" value-name:"OFFSET" description:"Offset of the change that this one is based on"`
	ID   string  `long:"id" value-name:"ID" description:"Id of the change, for safe repetition"`
	Args struct {
		Name string `positional-arg-name:"NAME" description:"Name of the entry"`
	} `positional-args:"yes" required:"yes"`
}

// Run removes the entry.
func (c *catalogueDelete) Run(ctx context.Context, app *App) error {
	return change(ctx, app, opsvc.Change{ID: c.ID, Base: (*logsvc.Offset)(c.Base), Delete: c.Args.Name})
}

// change proposes the change and prints what became of it.
func change(ctx context.Context, app *App, ask opsvc.Change) error {
	s, err := app.Service()
	if err != nil {
		return err
	}
	result, err := s.Change(ctx, ask)
	if err != nil {
		return err
	}
	if err := app.Print(result, func(w io.Writer) { writeChange(w, result) }); err != nil {
		return err
	}
	return reported(result.Outcome)
}

func writeChange(w io.Writer, r opsvc.ChangeResult) {
	head := fmt.Sprintf("%s: change %s of %q", r.Outcome, r.ID, r.Name)
	switch r.Outcome {
	case opsvc.Accepted:
		row(w, fmt.Sprintf("%s is in force from offset %d", head, r.At))
	case opsvc.Conflict:
		writeConflict(w, head, r)
	case opsvc.Invalid:
		row(w, head)
		for _, f := range r.Faults {
			row(w, "  "+f)
		}
	case opsvc.NotAppended:
		row(w, head+" was refused by the log service; nothing was changed")
	case opsvc.Unknown:
		row(w, head+" may or may not take effect")
		row(w, "run the same command with --id "+r.ID+" to learn its fate; it changes nothing twice")
	}
}

func writeConflict(w io.Writer, head string, r opsvc.ChangeResult) {
	row(w, fmt.Sprintf("%s was based on offset %d; nothing was changed", head, r.Base))
	if r.Winner == "" {
		row(w, "the entry does not exist now; read it again")
		return
	}
	row(w, fmt.Sprintf("in force is change %s by %s at offset %d", r.Winner, r.WinnerOperator, r.At))
}

// maxEntryFile bounds the file of an entry, in bytes.
const maxEntryFile = 1 << 20

// readInput reads a file, or standard input where its name is "-".
func readInput(app *App, name string) ([]byte, error) {
	in := app.In
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, maxEntryFile+1))
	if err == nil && len(data) > maxEntryFile {
		err = fmt.Errorf("%q exceeds %d bytes", name, maxEntryFile)
	}
	return data, err
}

// parseEntry reads an entry in the form that "show" prints.
func parseEntry(data []byte) (opsvc.Change, error) {
	var body struct {
		Service *catal.Service `json:"service"`
		Budget  *catal.Budget  `json:"budget"`
		At      *logsvc.Offset `json:"at"`
		// These are printed by "show" and ignored here.
		Name     string `json:"name"`
		Change   string `json:"change"`
		Operator string `json:"operator"`
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil {
		return opsvc.Change{}, fmt.Errorf("%w: %w", errInput, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return opsvc.Change{}, fmt.Errorf("%w: more than one JSON value", errInput)
	}
	ask := opsvc.Change{Base: body.At}
	switch {
	case body.Service != nil && body.Budget == nil:
		ask.Entry = body.Service
	case body.Budget != nil && body.Service == nil:
		ask.Entry = body.Budget
	default:
		return ask, fmt.Errorf(`%w: expected one of "service" and "budget"`, errInput)
	}
	if body.Name != "" && body.Name != ask.Entry.EntryName() {
		return ask, fmt.Errorf("%w: the file is about %q, but its entry is named %q", errInput, body.Name, ask.Entry.EntryName())
	}
	return ask, nil
}
