package cmds

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/beryllanding/beryllanding/internal/opsvc"
)

// budgetCommand is "beryl budget".
func budgetCommand() Command {
	return Command{
		Name:  "budget",
		Short: "Top up budgets and show their accounts",
		Long: `A budget's account, in tokens, is kept on the log: paid is the sum of its
top-ups, granted is what entry instances hold or have used, billed is what was
used, and free is what can still be granted. The catalogue lists the callers
that may spend a budget, and their limits.`,
		Children: []Command{
			{
				Name:  "top-up",
				Short: "Add prepaid tokens to a budget",
				Long: `Adds tokens and waits for the outcome. A negative number takes back tokens that
are not yet granted; write -- before it.

A top-up is safe to repeat with the same id: if it took effect before, it adds
nothing and is reported as accepted. If the outcome is unknown, repeat the
command with the id that it printed.`,
				Examples: []Example{
					{"beryl budget top-up kowhai/parts-desk 500000 --id invoice-1042", "add what invoice 1042 paid for, once"},
					{"beryl budget top-up -- kowhai/parts-desk -500000", "take back tokens that were added by mistake"},
				},
				New: func() Runner { return new(budgetTopUp) },
			},
			{
				Name:  "show",
				Short: "Show all accounts, or one account with its leases",
				Examples: []Example{
					{"beryl budget show", "one line for each budget"},
					{"beryl budget show kowhai/parts-desk", "one budget, and the instances that hold its tokens"},
				},
				New: func() Runner { return new(budgetShow) },
			},
		},
	}
}

type budgetTopUp struct {
	ID       string `long:"id" value-name:"ID" description:"Id of the top-up, such as an invoice number; a command repeated with the same id adds the tokens only once"`
	Unlisted bool   `long:"unlisted" description:"Allow a budget that is not in the catalogue"`
	Args     struct {
		Name   string `positional-arg-name:"NAME" description:"Name of the budget"`
		Tokens int64  `positional-arg-name:"TOKENS" description:"Number of tokens to add"`
	} `positional-args:"yes" required:"yes"`
}

// Run tops the budget up.
func (c *budgetTopUp) Run(ctx context.Context, app *App) error {
	if c.Args.Tokens == 0 {
		return fmt.Errorf("%w: TOKENS is 0, expected another number", errInput)
	}
	s, err := app.Service()
	if err != nil {
		return err
	}
	topUp := opsvc.TopUp{ID: c.ID, Budget: c.Args.Name, Tokens: c.Args.Tokens, Unlisted: c.Unlisted}
	result, err := s.TopUp(ctx, topUp)
	if err != nil {
		return err
	}
	if err := app.Print(result, func(w io.Writer) { writeTopUp(w, result) }); err != nil {
		return err
	}
	return outcomeError(result.Outcome)
}

func writeTopUp(w io.Writer, r opsvc.TopUpResult) {
	head := fmt.Sprintf("%s: top-up %s of %d tokens to %q", r.Outcome, r.ID, r.Tokens, r.Budget)
	switch r.Outcome {
	case opsvc.Accepted:
		if r.Repeated {
			head += " took effect before; no tokens were added"
		}
		row(w, fmt.Sprintf("%s; paid is %d", head, r.Paid))
	case opsvc.Conflict, opsvc.Invalid:
		row(w, fmt.Sprintf("%s: %s; nothing was changed", head, r.Reason))
	case opsvc.NotAppended:
		row(w, head+" was refused by the log service; nothing was changed")
	case opsvc.Unknown:
		row(w, head+" may or may not take effect")
		row(w, "run the same command with --id "+r.ID+" to learn the outcome; the tokens are added only once")
	}
}

type budgetShow struct {
	Args struct {
		Name string `positional-arg-name:"NAME" description:"Name of the budget; if it is omitted, all budgets are shown"`
	} `positional-args:"yes"`
}

// Run shows one account or all.
func (c *budgetShow) Run(ctx context.Context, app *App) error {
	s, err := app.Service()
	if err != nil {
		return err
	}
	if c.Args.Name == "" {
		list, err := s.Budgets(ctx)
		if err != nil {
			return err
		}
		return app.Print(list, func(w io.Writer) { writeAccounts(w, list) })
	}
	b, err := s.Budget(ctx, c.Args.Name)
	if err != nil {
		return err
	}
	return app.Print(b, func(w io.Writer) {
		writeAccounts(w, []opsvc.Budget{b})
		writeLeases(w, b.Leases)
	})
}

func writeAccounts(w io.Writer, list []opsvc.Budget) {
	row(w, "BUDGET", "PAID", "GRANTED", "BILLED", "FREE", "HOLDERS")
	for _, b := range list {
		row(w, b.Name, b.Paid, b.Granted, b.Billed, b.Free, b.Holders)
	}
}

func writeLeases(w io.Writer, list []opsvc.Lease) {
	row(w)
	row(w, "HOLDER", "GRANTED", "RETURNED", "BILLED", "LEFT")
	for _, sl := range list {
		row(w, sl.Holder, sl.Granted, sl.Returned, sl.Billed, sl.Left)
	}
}

// usageCommand is "beryl usage".
func usageCommand() Command {
	return Command{
		Name:  "usage",
		Short: "Show what requests were billed",
		Long: `Lists the bills whose records are still on the log, or the bill of one request.
The id of a request is the organisation and the caller's idempotency key, joined
by "/", or the id that was returned to the caller. A request is billed once:
"copies" counts further records of the bill, which have no effect.`,
		Examples: []Example{
			{"beryl usage --request kowhai/order-1", "what one request was billed"},
			{"beryl usage --budget kowhai/parts-desk -o json", "all bills of a budget, for scripts"},
		},
		New: func() Runner { return new(usage) },
	}
}

type usage struct {
	Request string `long:"request" value-name:"ID" description:"Show the bill of this request"`
	Budget  string `long:"budget" value-name:"NAME" description:"Show the bills of this budget"`
}

// Run shows the bills.
func (c *usage) Run(ctx context.Context, app *App) error {
	if c.Request != "" && c.Budget != "" {
		return fmt.Errorf("%w: --request and --budget exclude each other", errInput)
	}
	s, err := app.Service()
	if err != nil {
		return err
	}
	if c.Request != "" {
		b, err := s.RequestUsage(ctx, c.Request)
		if err != nil {
			return err
		}
		return app.Print(b, func(w io.Writer) { writeBills(w, []opsvc.Bill{b}) })
	}
	all, err := s.Usage(ctx, c.Budget)
	if err != nil {
		return err
	}
	return app.Print(all, func(w io.Writer) { writeUsage(w, all) })
}

func writeUsage(w io.Writer, all opsvc.Usage) {
	writeBills(w, all.Bills)
	row(w)
	row(w, fmt.Sprintf("%d bills, %d tokens", len(all.Bills), all.Tokens))
	if !all.Complete {
		row(w, "older records have expired: these are not all bills")
	}
}

func writeBills(w io.Writer, bills []opsvc.Bill) {
	row(w, "REQUEST", "BUDGET", "SERVICE", "TOKENS", "SETTLED", "COPIES")
	for _, b := range bills {
		row(w, b.Request, dash(b.Budget), dash(b.Service), b.Tokens, settled(b.At), b.Copies)
	}
}

// dash returns the text, or "-" if it is empty.
func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// settled formats a Unix time in seconds. 0 is unknown.
func settled(at int64) string {
	if at == 0 {
		return "-"
	}
	return time.Unix(at, 0).UTC().Format(time.RFC3339)
}
