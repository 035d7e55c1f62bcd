package budget

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/lease"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// Reservation sets tokens aside for one request.
type Reservation struct {
	ID     string
	Budget string
	// Charges lists the holders whose leases the tokens come from. The sum of the
	// charges bounds what the request may use.
	Charges []ledger.Charge
}

// Reserve sets tokens of a budget aside for a request. If the lease does not cover
// them, it waits up to Options.MaxWait for a grant or a transfer. The error is a
// *refuse.Refusal, or the context's error if the context ended.
func (s *Service) Reserve(ctx context.Context, budget string, tokens ledger.Tokens) (Reservation, error) {
	t := Reservation{ID: ident.NewRequestID(), Budget: budget}
	var err error
	t.Charges, err = s.holder.Reserve(t.ID, budget, tokens, s.now())
	if errors.Is(err, lease.ErrInsufficient) {
		return s.waitAndReserve(ctx, t, tokens)
	}
	if err != nil {
		return Reservation{}, newRefusal(refuse.CodeTooLarge, 0, err.Error())
	}
	return t, nil
}

// waitAndReserve waits for tokens and reserves them.
func (s *Service) waitAndReserve(ctx context.Context, t Reservation, tokens ledger.Tokens) (Reservation, error) {
	defer s.holder.Withdraw(t.ID, t.Budget)
	deadline, cancel := context.WithTimeout(ctx, s.opts.MaxWait)
	defer cancel()
	for {
		// Get the channels before the attempt, so that tokens which come in after it
		// are not missed.
		w := s.watch(t.Budget)
		var err error
		if t.Charges, err = s.holder.Reserve(t.ID, t.Budget, tokens, s.now()); err == nil {
			return t, nil
		}
		if r := s.balanceRefusal(t.Budget, tokens); r != nil {
			return Reservation{}, r
		}
		if s.isStopping() {
			return Reservation{}, newRefusal(refuse.CodeDraining, defaultRetryAfter, "the entry instance is draining")
		}
		// A service that has not read the stream yet plans nothing, and its refill ends
		// at once.
		wasRead := s.hasRead(t.Budget)
		if !s.awaitTokens(deadline, t.Budget, w) && (wasRead || !s.awaitFirstRead(deadline, t.Budget)) {
			return Reservation{}, s.budgetUnreachable(ctx, t.Budget, tokens)
		}
	}
}

// hasRead reports whether the budget's stream has been read to its end.
func (s *Service) hasRead(budget string) bool { return !s.shardOf(budget).follower.FreshAt().IsZero() }

// awaitFirstRead waits until the budget's stream has been read to its end. It returns
// false if the context ends before.
func (s *Service) awaitFirstRead(ctx context.Context, budget string) bool {
	return s.shardOf(budget).follower.Wait(ctx, func(*fold.Reader) bool { return s.hasRead(budget) }) == nil
}

// balanceRefusal returns a refusal if the folded state is current and the budget's
// balance does not cover the request. Else it returns nil.
func (s *Service) balanceRefusal(budget string, tokens ledger.Tokens) error {
	var r error
	sh := s.shardOf(budget)
	s.Query(budget, func(state *ledger.State) {
		if !s.fresh(sh) {
			return
		}
		b, known := state.Budget(budget)
		if !known {
			r = newRefusal(refuse.CodeBudgetSpent, 0, fmt.Sprintf("nothing was paid for budget %q", budget))
			return
		}
		if b.Balance() < tokens {
			r = newRefusal(refuse.CodeBudgetSpent, 0,
				fmt.Sprintf("budget %q has %d tokens left, but the request needs up to %d", budget, b.Balance(), tokens))
		}
	})
	return r
}

func (s *Service) budgetUnreachable(ctx context.Context, budget string, tokens ledger.Tokens) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return newRefusal(refuse.CodeBudgetUnreachable, defaultRetryAfter,
		fmt.Sprintf("budget %q has tokens, but this instance cannot get %d tokens now", budget, tokens))
}

func newRefusal(code refuse.Code, after time.Duration, message string) *refuse.Refusal {
	return &refuse.Refusal{Code: code, Outcome: refuse.NotRun, RetryAfter: after, Message: message}
}

// Settle ends a reservation and frees the tokens that were not used.
func (s *Service) Settle(t Reservation, used []ledger.Charge) {
	s.holder.Settle(t.ID, t.Budget, used, s.now())
	s.wake(t.Budget)
}

// Cancel ends a reservation whose tokens were not used and will not be.
func (s *Service) Cancel(t Reservation) { s.Settle(t, nil) }

// Defer keeps a reservation whose request has an unknown outcome until the folded state
// shows the request's usage, or Resolve is called.
func (s *Service) Defer(t Reservation, request string) {
	s.holder.Defer(t.ID, t.Budget, request)
	// The usage may have been folded before the reservation was deferred.
	var bill ledger.Bill
	var billed bool
	s.Query(t.Budget, func(state *ledger.State) { bill, billed = state.Billed(request) })
	if billed {
		s.Resolve(t.Budget, request, bill.Charges)
	}
}

// Resolve ends the deferred reservations of a request that was billed the given
// charges. If billed is empty, nothing was billed and nothing will be.
func (s *Service) Resolve(budget, request string, billed []ledger.Charge) {
	s.holder.Resolve(budget, request, billed, s.now())
	s.wake(budget)
}

// CloseHolder drops the tokens of a closed holder's leases. If the holder is this
// instance's own incarnation, the instance continues as a new one.
func (s *Service) CloseHolder(h ident.Incarnation) {
	if s.holder.Closed(h) {
		return
	}
	s.holder.CloseHolder(h, ident.NewIncarnation(s.opts.Instance))
}

// Reclaim proposes, on every budget stream, to release what is left of a closed
// holder's leases. fleet is the offset in the fleet stream at which the closing became
// final, which the caller has checked. Several instances may propose the same reclaim.
func (s *Service) Reclaim(h ident.Incarnation, fleet logsvc.Offset) {
	for _, sh := range s.shards {
		sh.writer.Propose(ledger.Encode(ledger.Reclaim{Holder: h, Fleet: fleet}), nil)
	}
}
