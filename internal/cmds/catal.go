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
		Long: `The catalogue has two kinds of entries. A service is a model or an application
that requests are routed to. A budget lists the callers' keys that may spend its
prepaid tokens, and their limits.

Every change carries the offset, which is the position on the log, of the change
that it is based on. If two operators change an entry at the same time, one
change is accepted, and the other ends in a conflict that names the accepted
one. An accepted change stays in force until another one is accepted.`,
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
			{"beryl catalogue list -o json", "the entries with all their fields, for scripts"},
		},
		New: func() Runner { return new(catalogueList) },
	}
}

// catalogueShowCommand is "beryl catalogue show".
func catalogueShowCommand() Command {
	return Command{
		Name:  "show",
		Short: "Show one entry",
		Long: `Prints the entry in the form that "beryl catalogue put" reads: JSON, whatever
--output is. Its field "at" is the offset of the entry's latest change. put
uses this offset as the base, so that it does not overwrite a change made in the
meantime.`,
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
and waits for the outcome.

The change is based on the offset in --base. If --base is not set, it is based
on "at" in the file or, if the file has none, on the entry's latest change.
After a conflict, read the entry again, decide whether the change is still
wanted, and put it again.`,
		Examples: []Example{
			{"beryl catalogue put kowhai.json", "publish the entry in the file"},
			{"beryl catalogue put --id 5f1c kowhai.json", "publish change 5f1c, or print its outcome if it was published before"},
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
		Long: `Removes a service or a budget from the catalogue. Requests with the keys of a
removed budget are refused. Its tokens are kept, and can be spent again once a
budget with the same name is put.`,
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
		Long: `Asks every entry instance on the instance list up to which offset it has read
the catalogue. A change is in force at an instance that has read the change's
offset or a later one. Without OFFSET, the latest accepted change is checked.

The exit code is 0 if the change is in force everywhere, 5 if an instance is
behind, and 3 if an instance did not answer and none is known to be behind.`,
		Examples: []Example{
			{"beryl catalogue in-force", "check the latest accepted change"},
			{"beryl catalogue in-force 1042", "check the change at offset 1042"},
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
	Base *uint64 `long:"base" value-name:"OFFSET" description:"Offset of the entry's change that this one is based on; 0 for a new entry"`
	ID   string  `long:"id" value-name:"ID" description:"Id of the change; a command repeated with the same id makes the change only once"`
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
	proposal, err := parseEntry(data)
	if err != nil {
		return fmt.Errorf("entry file %q: %w", c.Args.File, err)
	}
	proposal.ID = c.ID
	if c.Base != nil {
		proposal.Base = (*logsvc.Offset)(c.Base)
	}
	return change(ctx, app, proposal)
}

type catalogueDelete struct {
	Base *uint64 `long:"base" value-name:"OFFSET" description:"Offset of the entry's change that this one is based on"`
	ID   string  `long:"id" value-name:"ID" description:"Id of the change; a command repeated with the same id makes the change only once"`
	Args struct {
		Name string `positional-arg-name:"NAME" description:"Name of the entry"`
	} `positional-args:"yes" required:"yes"`
}

// Run removes the entry.
func (c *catalogueDelete) Run(ctx context.Context, app *App) error {
	return change(ctx, app, opsvc.Change{ID: c.ID, Base: (*logsvc.Offset)(c.Base), Delete: c.Args.Name})
}

// change proposes the change, waits for the outcome and prints it.
func change(ctx context.Context, app *App, proposal opsvc.Change) error {
	s, err := app.Service()
	if err != nil {
		return err
	}
	result, err := s.Change(ctx, proposal)
	if err != nil {
		return err
	}
	if err := app.Print(result, func(w io.Writer) { writeChange(w, result) }); err != nil {
		return err
	}
	return outcomeError(result.Outcome)
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
		row(w, "run the same command with --id "+r.ID+" to learn the outcome; the change is made only once")
	}
}

func writeConflict(w io.Writer, head string, r opsvc.ChangeResult) {
	row(w, fmt.Sprintf("%s was based on offset %d; nothing was changed", head, r.Base))
	if r.Winner == "" {
		row(w, "the entry does not exist; read the catalogue again")
		return
	}
	row(w, fmt.Sprintf("change %s by %s is in force since offset %d", r.Winner, r.WinnerOperator, r.At))
}

// maxEntryFile is the size limit of an entry file, in bytes.
const maxEntryFile = 1 << 20

// readInput reads the named file, or standard input if the name is "-". It fails
// if there are more than maxEntryFile bytes.
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
		err = fmt.Errorf("entry file %q is larger than the limit of %d bytes", name, maxEntryFile)
	}
	return data, err
}

// parseEntry parses an entry in the form that "beryl catalogue show" prints. The
// returned change has no id. It has a base only if the file has "at".
func parseEntry(data []byte) (opsvc.Change, error) {
	var body struct {
		Service *catal.Service `json:"service"`
		Budget  *catal.Budget  `json:"budget"`
		At      *logsvc.Offset `json:"at"`
		// These fields are printed by "beryl catalogue show". Name must match the
		// entry, and the others are ignored.
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
	proposal := opsvc.Change{Base: body.At}
	switch {
	case body.Service != nil && body.Budget == nil:
		proposal.Entry = body.Service
	case body.Budget != nil && body.Service == nil:
		proposal.Entry = body.Budget
	default:
		return proposal, fmt.Errorf(`%w: expected either "service" or "budget"`, errInput)
	}
	if body.Name != "" && body.Name != proposal.Entry.EntryName() {
		return proposal, fmt.Errorf("%w: the field \"name\" is %q, but the entry is named %q", errInput, body.Name, proposal.Entry.EntryName())
	}
	return proposal, nil
}
