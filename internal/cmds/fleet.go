package cmds

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/beryllanding/beryllanding/internal/opsvc"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/insts"
)

// instancesCommand is "beryl instances".
func instancesCommand() Command {
	return Command{
		Name:  "instances",
		Short: "List the entry instances and side processes",
		Long: `Prints the platform's instance list. It lags: an instance that is shown may be
gone, and one that is missing may be alive.`,
		Examples: []Example{{"beryl instances", "who is there"}},
		New:      func() Runner { return new(instances) },
	}
}

type instances struct{}

// Run lists the instances.
func (c *instances) Run(ctx context.Context, app *App) error {
	s, err := app.Service()
	if err != nil {
		return err
	}
	list, err := s.Instances(ctx)
	if err != nil {
		return err
	}
	return app.Print(list, func(w io.Writer) { writeInstances(w, list) })
}

func writeInstances(w io.Writer, list []insts.Instance) {
	row(w, "NAME", "ROLE", "SERVICE", "STATE", "DATA-CENTRE", "ADDRESS", "INCARNATION")
	for _, i := range list {
		row(w, i.Name, i.Role, dash(i.Service), i.State, i.DataCentre, i.Addr, i.Incarnation)
	}
}

// targetsCommand is "beryl targets".
func targetsCommand() Command {
	return Command{
		Name:     "targets",
		Short:    "List the targets by the side processes beside them",
		Examples: []Example{{"beryl targets --service assist-llm", "the targets of one service"}},
		New:      func() Runner { return new(targets) },
	}
}

type targets struct {
	Service string `long:"service" value-name:"NAME" description:"Only the targets of this service"`
}

// Run lists the targets.
func (c *targets) Run(ctx context.Context, app *App) error {
	s, err := app.Service()
	if err != nil {
		return err
	}
	list, err := s.Targets(ctx, c.Service)
	if err != nil {
		return err
	}
	return app.Print(list, func(w io.Writer) { writeInstances(w, list) })
}

// holdingsCommand is "beryl holdings".
func holdingsCommand() Command {
	return Command{
		Name:  "holdings",
		Short: "Ask the entry instances which tokens they hold",
		Long: `Asks every listed entry instance for its free and reserved tokens. What a slice
has left on the log ("beryl budget show") and what its holder has free differ by
the requests in progress, the bills on their way, and transfers between entry
instances. The exit code is 3 where an instance did not answer.`,
		Examples: []Example{{"beryl holdings --budget kowhai/parts-desk", "who holds the tokens of one budget"}},
		New:      func() Runner { return new(holdings) },
	}
}

type holdings struct {
	Budget string `long:"budget" value-name:"NAME" description:"Only this budget"`
}

// Run asks the instances. Those that answered are printed even where others did
// not.
func (c *holdings) Run(ctx context.Context, app *App) error {
	s, err := app.Service()
	if err != nil {
		return err
	}
	list, asked := s.Holdings(ctx, c.Budget)
	if asked != nil && list == nil {
		return asked
	}
	if err := app.Print(list, func(w io.Writer) { writeHoldings(w, list) }); err != nil {
		return err
	}
	if asked != nil {
		return toldError{ExitUnknown}
	}
	return nil
}

func writeHoldings(w io.Writer, list []opsvc.Holdings) {
	row(w, "INSTANCE", "HOLDER", "BUDGET", "FREE", "RESERVED")
	for _, h := range list {
		if h.Error != "" {
			row(w, h.Instance, "no answer: "+h.Error)
			continue
		}
		if len(h.Budgets) == 0 {
			row(w, h.Instance, h.Holder, "-", 0, 0)
		}
		for _, b := range h.Budgets {
			row(w, h.Instance, h.Holder, b.Budget, b.Free, b.Reserved)
		}
	}
}

// fleetCommand is "beryl fleet".
func fleetCommand() Command {
	return Command{
		Name:  "fleet",
		Short: "Show side processes and closings, and declare a side process gone",
		Long: `When an entry instance is gone, its slices are closed: every side process that
was open then has to acknowledge that it runs nothing charged to them and that
all usage is on the log. Only then do the tokens that are left come back. A side
process that ended without a word holds this up until it is declared gone.`,
		Children: []Command{
			{
				Name:  "show",
				Short: "Show the side processes, the closings and who is waited for",
				Examples: []Example{
					{"beryl fleet show", "what is open, and what waits for whom"},
					{"beryl fleet show --all", "final closings as well"},
				},
				New: func() Runner { return new(fleetShow) },
			},
			{
				Name:  "gone",
				Short: "Declare that a side process can start no more work",
				Long: `Nothing in the system checks the declaration: you vouch that the process has
ended and that no work it started is running. If you are wrong, work may run
that nobody pays for, and a non-idempotent request whose claim it held is
answered as "outcome unknown" while it runs.

The command refuses, with exit code 5, while the instance list shows the
process or does not answer. --force skips that look.`,
				Examples: []Example{
					{"beryl fleet gone chc-a-s3 --reason 'machine lost'", "the side process chc-a-s3 is gone for good"},
				},
				New: func() Runner { return new(fleetGone) },
			},
		},
	}
}

type fleetShow struct {
	All bool `long:"all" description:"Show closings that are final as well"`
}

// Run shows the fleet.
func (c *fleetShow) Run(ctx context.Context, app *App) error {
	s, err := app.Service()
	if err != nil {
		return err
	}
	f, err := s.Fleet(ctx, c.All)
	if err != nil {
		return err
	}
	return app.Print(f, func(w io.Writer) { writeFleet(w, f) })
}

func writeFleet(w io.Writer, f opsvc.Fleet) {
	row(w, "SIDE", "SLOT", "SERVICE", "FENCE", "OWES")
	for _, s := range f.Sides {
		row(w, s.Side, s.Slot, s.Service, s.Fence, s.Owes)
	}
	row(w)
	row(w, "CLOSED HOLDER", "FINAL AT", "WAITS FOR", "GONE")
	for _, c := range f.Closings {
		final := "-"
		if c.Final > 0 {
			final = fmt.Sprint(c.Final)
		}
		row(w, c.Holder, final, joined(c.Waiting), joined(c.Gone))
	}
}

func joined(list []ident.Incarnation) string {
	names := make([]string, 0, len(list))
	for _, i := range list {
		names = append(names, string(i))
	}
	return dash(strings.Join(names, ", "))
}

type fleetGone struct {
	Reason string `long:"reason" value-name:"TEXT" required:"yes" description:"Why, for those who read the log later"`
	Force  bool   `long:"force" description:"Don't look at the instance list"`
	Args   struct {
		Side string `positional-arg-name:"SIDE" description:"Incarnation, or name of an instance that has one open"`
	} `positional-args:"yes" required:"yes"`
}

// Run declares the side process gone.
func (c *fleetGone) Run(ctx context.Context, app *App) error {
	s, err := app.Service()
	if err != nil {
		return err
	}
	result, err := s.SideGone(ctx, opsvc.SideGone{Side: c.Args.Side, Reason: c.Reason, Force: c.Force})
	if err != nil {
		return err
	}
	if err := app.Print(result, func(w io.Writer) { writeGone(w, result) }); err != nil {
		return err
	}
	return told(result.Outcome)
}

func writeGone(w io.Writer, r opsvc.SideGoneResult) {
	switch r.Outcome {
	case opsvc.Accepted:
		row(w, fmt.Sprintf("accepted: side process %s is gone", r.Side))
	case opsvc.NotAppended:
		row(w, fmt.Sprintf("not-appended: the log service refused the declaration about %s; nothing was changed", r.Side))
	default:
		row(w, fmt.Sprintf("unknown: the declaration about %s may or may not take effect", r.Side))
		row(w, "repeat it until the answer is \"accepted\" or \"not found\": the side process is gone then")
	}
}
