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
		Long: `Prints the platform's instance list. The list lags behind: an instance on it may
have ended, and one that is missing from it may be running.`,
		Examples: []Example{{"beryl instances", "all instances on the list"}},
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
		Short:    "List the targets, each by its side process",
		Examples: []Example{{"beryl targets --service assist-llm", "the targets of one service"}},
		New:      func() Runner { return new(targets) },
	}
}

type targets struct {
	Service string `long:"service" value-name:"NAME" description:"List only the targets of this service"`
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
		Long: `Asks every entry instance on the instance list for the tokens that it holds, free
and reserved. An instance's free tokens differ from what its lease has left in
"beryl budget show" by the requests in progress, the bills that are not on the
log yet, and transfers between entry instances. The exit code is 3 if an
instance did not answer.`,
		Examples: []Example{{"beryl holdings --budget kowhai/parts-desk", "the instances that hold tokens of one budget"}},
		New:      func() Runner { return new(holdings) },
	}
}

type holdings struct {
	Budget string `long:"budget" value-name:"NAME" description:"Show only this budget"`
}

// Run asks the instances, and prints the answers even if some instances did not
// answer.
func (c *holdings) Run(ctx context.Context, app *App) error {
	s, err := app.Service()
	if err != nil {
		return err
	}
	list, queryErr := s.Holdings(ctx, c.Budget)
	if queryErr != nil && list == nil {
		return queryErr
	}
	if err := app.Print(list, func(w io.Writer) { writeHoldings(w, list) }); err != nil {
		return err
	}
	if queryErr != nil {
		return reportedError{ExitUnknown}
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
		Long: `A lease is the part of a budget's tokens that an entry instance, its holder, may
spend. When an entry instance is gone, its leases are closed: every side process
that is open at that time has to acknowledge that it runs nothing charged to
them, and that all usage is on the log. The closing is final once all have done
so. Then the tokens that are left return to the budgets. A side process that
crashed can't acknowledge, and blocks the closing until it is declared gone.

In the output, "fence" is the fencing number of a side process, and "owes" is
the number of closings that it still has to acknowledge.`,
		Children: []Command{
			{
				Name:  "show",
				Short: "Show the open side processes, and the closings that wait for them",
				Examples: []Example{
					{"beryl fleet show", "open side processes, and closings that are not final"},
					{"beryl fleet show --all", "the same, with final closings"},
				},
				New: func() Runner { return new(fleetShow) },
			},
			{
				Name:  "gone",
				Short: "Declare that a side process can start no more work",
				Long: `The system can't verify the declaration. Make it only if the process has ended,
and no work that it started is still running. Otherwise work may run that is not
billed, and a non-idempotent request that the process has claimed is answered as
"outcome unknown" while it runs.

The command refuses with exit code 5 if the instance list shows the process or
does not answer. --force skips this check.`,
				Examples: []Example{
					{"beryl fleet gone chc-a-s3 --reason 'machine lost'", "declare the side process chc-a-s3 gone"},
				},
				New: func() Runner { return new(fleetGone) },
			},
		},
	}
}

type fleetShow struct {
	All bool `long:"all" description:"Show final closings too"`
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
		row(w, s.Side, s.Slot, s.Service, s.Fence, s.Unacked)
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
	Reason string `long:"reason" value-name:"TEXT" required:"yes" description:"Reason, which is recorded on the log"`
	Force  bool   `long:"force" description:"Skip the check of the instance list"`
	Args   struct {
		Side string `positional-arg-name:"SIDE" description:"Incarnation of the side process, or name of an instance that has exactly one open incarnation"`
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
	return outcomeError(result.Outcome)
}

func writeGone(w io.Writer, r opsvc.SideGoneResult) {
	switch r.Outcome {
	case opsvc.Accepted:
		row(w, fmt.Sprintf("accepted: side process %s is gone", r.Side))
	case opsvc.NotAppended:
		row(w, fmt.Sprintf("not-appended: the log service refused the declaration about %s; nothing was changed", r.Side))
	default:
		row(w, fmt.Sprintf("unknown: the declaration about %s may or may not take effect", r.Side))
		row(w, "repeat the command until it answers \"accepted\" or \"not found\"; the side process is then declared gone")
	}
}
