package budget

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/refuse"
	"github.com/beryllanding/beryllanding/pkg/slice"
)

// Ticket is a reservation of tokens for one request.
type Ticket struct {
	ID     string
	Budget string
	// Charges says whose slices the tokens come from. Their sum bounds what the
	// request may use.
	Charges []ledger.Charge
}

// Reserve takes tokens of a budget for a request. Where the slice does not
// cover them it waits, for a bounded time, for a grant or a transfer. The error
// is a *refuse.Refusal, or the context's error where the caller left.
func (s *Service) Reserve(ctx context.Context, budget string, tokens ledger.Tokens) (Ticket, error) {
	id := ident.NewRequest()
	deadline, cancel := context.WithTimeout(ctx, s.opts.Wait)
	defer cancel()
	for {
		// The channel is taken before the attempt, so that no progress after
		// the attempt is missed.
		g := s.gatherOf(budget)
		charges, err := s.holder.Reserve(id, budget, tokens, s.now())
		if err == nil {
			return Ticket{ID: id, Budget: budget, Charges: charges}, nil
		}
		if !errors.Is(err, slice.ErrDry) {
			return Ticket{}, refused(refuse.CodeTooLarge, 0, err.Error())
		}
		if r := s.balanceRefusal(budget, tokens); r != nil {
			return Ticket{}, r
		}
		if s.isStopping() {
			return Ticket{}, refused(refuse.CodeLeaving, defaultRetryAfter, "the entry instance is leaving")
		}
		if !s.await(deadline, budget, g) {
			return Ticket{}, s.awayRefusal(ctx, budget, tokens)
		}
	}
}

// balanceRefusal returns the refusal of a request that the balance cannot cover
// as the fold shows it now, or nil.
func (s *Service) balanceRefusal(budget string, tokens ledger.Tokens) error {
	var r error
	sh := s.shardOf(budget)
	s.Query(budget, func(state *ledger.State) {
		if !s.fresh(sh) {
			return
		}
		b, known := state.Budget(budget)
		if !known {
			r = refused(refuse.CodeBudgetSpent, 0, fmt.Sprintf("nothing was paid for budget %q", budget))
			return
		}
		if b.Balance() < tokens {
			r = refused(refuse.CodeBudgetSpent, 0,
				fmt.Sprintf("budget %q has %d tokens left, the request needs up to %d", budget, b.Balance(), tokens))
		}
	})
	return r
}

func (s *Service) awayRefusal(ctx context.Context, budget string, tokens ledger.Tokens) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return refused(refuse.CodeBudgetAway, defaultRetryAfter,
		fmt.Sprintf("budget %q has tokens, but not %d within reach of this instance", budget, tokens))
}

func refused(code refuse.Code, after time.Duration, message string) *refuse.Refusal {
	return &refuse.Refusal{Code: code, Outcome: refuse.NotRun, RetryAfter: after, Message: message}
}

// Settle ends a ticket: what was not used is free again.
func (s *Service) Settle(t Ticket, used []ledger.Charge) {
	s.holder.Settle(t.ID, t.Budget, used, s.now())
	s.progress(t.Budget)
}

// Cancel ends a ticket of which nothing was or will be used.
func (s *Service) Cancel(t Ticket) { s.Settle(t, nil) }

// Defer keeps a ticket whose request has an unknown outcome until the fold shows
// the request's usage, or Resolve says what became of it.
func (s *Service) Defer(t Ticket, request string) {
	s.mu.Lock()
	s.deferred[request] = append(s.deferred[request], t)
	s.mu.Unlock()
	// The usage may have been folded before the ticket was noted.
	var bill ledger.Bill
	var billed bool
	s.Query(t.Budget, func(state *ledger.State) { bill, billed = state.Billed(request) })
	if billed {
		s.Resolve(request, bill.Charges)
	}
}

// Resolve ends the deferred tickets of a request that was billed the charges;
// none mean that nothing was or will be billed. A request is billed once, so
// each charge is taken out of one ticket, and the others are released.
func (s *Service) Resolve(request string, billed []ledger.Charge) {
	s.mu.Lock()
	tickets := s.deferred[request]
	delete(s.deferred, request)
	s.mu.Unlock()
	for _, t := range tickets {
		used, rest := match(t.Charges, billed)
		billed = rest
		s.Settle(t, used)
	}
}

// match splits the billed charges into those that a ticket's charges cover and
// the rest.
func match(charges, billed []ledger.Charge) (used, rest []ledger.Charge) {
	room := make(map[ident.Incarnation]ledger.Tokens, len(charges))
	for _, c := range charges {
		room[c.Holder] += c.Tokens
	}
	for _, c := range billed {
		n := min(c.Tokens, room[c.Holder])
		room[c.Holder] -= n
		if n > 0 {
			used = append(used, ledger.Charge{Holder: c.Holder, Tokens: n})
		}
		if n < c.Tokens {
			rest = append(rest, ledger.Charge{Holder: c.Holder, Tokens: c.Tokens - n})
		}
	}
	return used, rest
}

func (s *Service) isDeferred(request string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.deferred[request]
	return ok
}

func (s *Service) deferredRequests() map[string][]Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.deferred)
}

// Deferred returns the number of requests whose tickets wait for their outcome.
func (s *Service) Deferred() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.deferred)
}

// CloseHolder drops the lots of a closed holder. Where that is this instance's
// own incarnation, it goes on as a new one.
func (s *Service) CloseHolder(h ident.Incarnation) {
	if s.holder.Closed(h) {
		return
	}
	s.holder.CloseHolder(h, ident.NewIncarnation(s.opts.Instance))
}
