package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/beryllanding/beryllanding/internal/alloc"
	"github.com/beryllanding/beryllanding/internal/audit"
	"github.com/beryllanding/beryllanding/internal/cmds"
	"github.com/beryllanding/beryllanding/internal/trial"
	"github.com/beryllanding/beryllanding/pkg/acct"
	"github.com/beryllanding/beryllanding/pkg/table"
	"github.com/beryllanding/beryllanding/platform"
)

func init() { extra = append(extra, edgeCommand()) }

// edgeTimeout bounds a command that reads the store. Such a command reads several
// partitions, and one read takes up to 250 ms.
const edgeTimeout = 10 * time.Second

// edgeCommand is "beryl edge".
func edgeCommand() cmds.Command {
	return cmds.Command{
		Name:  "edge",
		Short: "Check settings and read the store of the users' platform",
		Long: `For operators of beryl-edge on the users' platform. All commands but release
only read: the configuration, the budgets' totals and the targets are written with the
platform's own tools. The store's address comes from the platform's settings
file.`,
		Children: []cmds.Command{
			{
				Name:  "check",
				Short: "Check a settings file of the platform",
				Long: `Reads the file as beryl-edge does, and lists all faults: fields that are missing
or of a wrong type. Unknown fields are ignored.`,
				Examples: []cmds.Example{{Line: "beryl edge check settings.toml", Does: "check a file before an instance starts with it"}},
				New:      func() cmds.Runner { return new(edgeCheck) },
			},
			{
				Name:  "budgets",
				Short: "Show the budgets, and who holds their tokens",
				Long: `Paid tokens are free, held by an instance, or spent by instances that have ended.
Lost is the part of spent that was probably not used. A holder is an instance
that holds tokens. It pledges how many of them it has used or reserved, and how
fast that number may grow. If it ends, its successor takes back the tokens
beyond the pledge. Withheld tokens are not free because accounts are unconfirmed:
their holders have not written them since the store came back from an older copy.`,
				Examples: []cmds.Example{
					{Line: "beryl edge budgets --boot settings.toml", Does: "one line for each budget"},
					{Line: "beryl edge budgets parts-desk --boot settings.toml", Does: "one budget, and the instances that hold its tokens"},
				},
				New: func() cmds.Runner { return new(edgeBudgets) },
			},
			{
				Name:     "targets",
				Short:    "List the targets, with their limits, cold times and evacuations, and why entries cannot be used",
				Examples: []cmds.Example{{Line: "beryl edge targets --boot settings.toml", Does: "the targets that an instance reads from the store now"}},
				New:      func() cmds.Runner { return new(edgeTargets) },
			},
			{
				Name:  "table",
				Short: "Show the configuration in the store",
				Long: `Shows version, routes and organisations as beryl-edge reads them. The metric
beryl_table_version of an instance says which version is in force there. Keys
are not shown.`,
				Examples: []cmds.Example{{Line: "beryl edge table --boot settings.toml", Does: "the configuration that instances should use"}},
				New:      func() cmds.Runner { return new(edgeTable) },
			},
			{
				Name:  "parts",
				Short: "List the parts of prompts, and the requests, that crash targets",
				Long: `A request, and the parts of its prompt, are suspected once a target ended under
it and they were not answered since. After several such targets they are in
quarantine: all instances refuse such requests until the time that is shown. A
part is blamed for all callers (part) or for one (caller-part). A request is
named by its identity, as in the log lines of the instances.`,
				Examples: []cmds.Example{{Line: "beryl edge parts --boot settings.toml", Does: "suspected parts and requests, and those in quarantine"}},
				New:      func() cmds.Runner { return new(edgeParts) },
			},
			{
				Name:  "mechanisms",
				Short: "List the mechanisms that can be switched off for an experiment",
				Long: `With --off, beryl-edge runs without some of them, which shows what each is worth.
In service all of them are on.`,
				Examples: []cmds.Example{{Line: "beryl edge mechanisms", Does: "the names that beryl-edge --off accepts"}},
				New:      func() cmds.Runner { return new(edgeMechanisms) },
			},
			{
				Name:  "release",
				Short: "End the quarantine of a part of prompts, or of a request",
				Long: `All instances that reach the store serve requests with the part, for all
callers, or the request with this identity, again. If it still crashes targets,
it gets into quarantine again.`,
				Examples: []cmds.Example{{Line: "beryl edge release chat 5c1e07a2 --boot settings.toml", Does: "release a part after the targets were repaired"}},
				New:      func() cmds.Runner { return new(edgeRelease) },
			},
		},
	}
}

type edgeCheck struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"Settings file of the platform"`
	} `positional-args:"yes" required:"yes"`
}

// Run checks the file.
func (c *edgeCheck) Run(_ context.Context, app *cmds.App) error {
	s, err := platform.LoadSettings(c.Args.File)
	if err != nil {
		return fmt.Errorf("%w: %w", cmds.ErrCheckFailed, err)
	}
	return app.Print(s, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s: instance %s in data centre %s, callers at %s, store at %s\n",
			c.Args.File, s.Instance, s.DataCentre, s.Listen, s.StoreAddress)
	})
}

type edgeMechanisms struct{}

// Run lists the mechanisms.
func (c *edgeMechanisms) Run(_ context.Context, app *cmds.App) error {
	return app.Print(trial.All, func(w io.Writer) {
		for _, d := range trial.All {
			_, _ = fmt.Fprintf(w, "%s\t%s\n", d.Name, d.Does)
		}
	})
}

// bootFile is the option that names the settings file.
type bootFile struct {
	Boot string `long:"boot" value-name:"FILE" description:"Settings file of the platform, which contains the store's address; if it is omitted, the file that the environment variable BERYLLANDING_BOOT names"`
}

// store returns a client of the store, and the settings.
func (b bootFile) store() (*platform.Store, platform.Settings, error) {
	if b.Boot == "" {
		b.Boot = os.Getenv(platform.SettingsVariable)
	}
	if b.Boot == "" {
		return nil, platform.Settings{}, fmt.Errorf("%w: --boot is missing, and %s is not set", platform.ErrSettings, platform.SettingsVariable)
	}
	s, err := platform.LoadSettings(b.Boot)
	if err != nil {
		return nil, s, err
	}
	return platform.NewStore(s.StoreAddress), s, nil
}

type edgeBudgets struct {
	bootFile
	Args struct {
		Name string `positional-arg-name:"NAME" description:"Name of the budget; if it is omitted, all budgets are shown"`
	} `positional-args:"yes"`
}

// Run shows the budgets.
func (c *edgeBudgets) Run(ctx context.Context, app *cmds.App) error {
	store, s, err := c.store()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, edgeTimeout)
	defer cancel()
	t, err := audit.Table(ctx, store, platform.TablesPartition, platform.Records{})
	if err != nil {
		return err
	}
	totals := make(map[string]acct.Total)
	for _, o := range t.Organisations {
		if o.Limited {
			totals[o.Name] = acct.Total{Version: t.Version, Tokens: o.Prepaid}
		}
	}
	topics := audit.Topics{
		Accounts: platform.BudgetsTopic, AccountPartitions: alloc.DefaultPartitions,
		Pledges: platform.PledgesTopic, PledgePartitions: s.StoreParts,
	}
	list, err := audit.Budgets(ctx, store, topics, totals, c.Args.Name)
	if err != nil {
		return err
	}
	return app.Print(list, func(w io.Writer) { writeBudgets(w, list, c.Args.Name != "") })
}

func writeBudgets(w io.Writer, list []audit.Budget, whole bool) {
	_, _ = fmt.Fprintln(w, "BUDGET\tVERSION\tPAID\tFREE\tWITHHELD\tSPENT\tLOST\tHOLDERS")
	for _, a := range list {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", a.Name, a.Version, a.Paid, a.Free, a.Withheld, a.Spent, a.Lost, len(a.Leases))
	}
	if !whole {
		return
	}
	for _, a := range list {
		_, _ = fmt.Fprintln(w, "\nHOLDER\tMACHINE\tHELD\tPLEDGED\tPER SECOND\tACCOUNT")
		for _, s := range a.Leases {
			account := "confirmed"
			if s.Unconfirmed {
				account = "unconfirmed"
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\n", s.Holder, s.Machine, s.Held, s.Pledged, s.PerSecond, account)
		}
	}
}

type edgeTargets struct{ bootFile }

// Run lists the targets.
func (c *edgeTargets) Run(ctx context.Context, app *cmds.App) error {
	store, _, err := c.store()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, edgeTimeout)
	defer cancel()
	list, err := audit.Targets(ctx, store, audit.Partitions{
		Targets: platform.TargetsPartition, Tables: platform.TablesPartition, Board: platform.BoardPartition,
	}, platform.Records{})
	if err != nil {
		return err
	}
	return app.Print(list, func(w io.Writer) { writeTargets(w, list) })
}

func writeTargets(w io.Writer, list []audit.Target) {
	_, _ = fmt.Fprintln(w, "SERVICE\tTARGET\tVERSION\tADDRESS\tDATA CENTRE\tLIMIT\tSTATE")
	for _, t := range list {
		state := "in use"
		switch {
		case t.Fault != "":
			state = t.Fault
		case t.Draining:
			state = "draining"
		case t.Evacuated:
			state = "evacuated"
		case t.ColdLeft > 0:
			state = fmt.Sprintf("cold for %v", t.ColdLeft)
		}
		rate := "-"
		if t.Limit > 0 {
			rate = fmt.Sprintf("%v/s", t.Limit)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", t.Service, t.ID, t.Version, t.Address, t.DataCentre, rate, state)
	}
}

type edgeTable struct{ bootFile }

// Run shows the configuration.
func (c *edgeTable) Run(ctx context.Context, app *cmds.App) error {
	store, _, err := c.store()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, edgeTimeout)
	defer cancel()
	t, err := audit.Table(ctx, store, platform.TablesPartition, platform.Records{})
	if err != nil {
		return err
	}
	shown := *t
	shown.Keys = nil // Keys are secrets.
	return app.Print(shown, func(w io.Writer) { writeTable(w, &shown) })
}

func writeTable(w io.Writer, t *table.Table) {
	_, _ = fmt.Fprintf(w, "version %d\n\nROUTE\tHOST\tPREFIX\tREPEAT\tTIMEOUT\tTARGETS\tRANK\tSERVICES\n", t.Version)
	for _, r := range t.Routes {
		repeat := "once"
		if r.MayRepeat() {
			repeat = "yes"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%d\t%d\t%v\n", r.Name, r.Host, r.Prefix, repeat, r.Timeout, r.MaxTargets, r.Priority, r.Shares)
	}
	_, _ = fmt.Fprintln(w, "\nORGANISATION\tPREPAID")
	for _, o := range t.Organisations {
		prepaid := "not limited"
		if o.Limited {
			prepaid = fmt.Sprint(o.Prepaid)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\n", o.Name, prepaid)
	}
}

type edgeParts struct{ bootFile }

// Run lists the parts.
func (c *edgeParts) Run(ctx context.Context, app *cmds.App) error {
	store, _, err := c.store()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, edgeTimeout)
	defer cancel()
	list, err := audit.Parts(ctx, store, platform.BoardPartition, time.Now())
	if err != nil {
		return err
	}
	return app.Print(list, func(w io.Writer) { writeParts(w, list) })
}

func writeParts(w io.Writer, list []audit.Part) {
	_, _ = fmt.Fprintln(w, "SERVICE\tKIND\tORGANISATION\tPART\tSTATE\tUNTIL\tTERMS\tCLEARED\tENDED TARGETS")
	for _, p := range list {
		state, until, kind, organisation := "suspected", "-", p.Kind, p.Organisation
		if p.Inside {
			kind += " inside"
		}
		if organisation == "" {
			organisation = "-"
		}
		if p.Quarantined {
			state = "quarantine"
		}
		if p.Until != nil {
			until = p.Until.Format(time.DateTime)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", p.Service, kind, organisation, p.ID, state, until, p.Terms, p.Cleared, strings.Join(p.Ended, " "))
	}
}

type edgeRelease struct {
	bootFile
	Args struct {
		Service string `positional-arg-name:"SERVICE" description:"Service of the part or request"`
		Part    string `positional-arg-name:"PART" description:"Id of the part, or identity of the request"`
	} `positional-args:"yes" required:"yes"`
}

// Run releases the part.
func (c *edgeRelease) Run(ctx context.Context, app *cmds.App) error {
	store, _, err := c.store()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, edgeTimeout)
	defer cancel()
	if err := audit.ReleasePart(ctx, store, platform.BoardPartition, c.Args.Service, c.Args.Part); err != nil {
		return err
	}
	released := struct{ Service, ID string }{c.Args.Service, c.Args.Part}
	return app.Print(released, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "part %s of service %s is released\n", released.ID, released.Service)
	})
}
