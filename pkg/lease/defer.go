package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// deferral is an open reservation of a request whose outcome is unknown.
type deferral struct {
	reservation string
	budget      string
}

// Defer keeps a reservation open until the fold shows the request's usage, or Resolve
// reports the outcome.
func (h *Holder) Defer(reservation, budget, request string) {
	h.with(budget, func(s *shard, _ *budgetState) {
		if s.deferred == nil {
			s.deferred = make(map[string][]deferral)
		}
		s.deferred[request] = append(s.deferred[request], deferral{reservation: reservation, budget: budget})
	})
}

// Resolve ends the deferred reservations of a request that was billed the given charges. No
// charges mean that nothing was or will be billed. A request is billed once, so each
// billed token is settled against one reservation only, and the other tokens are released.
func (h *Holder) Resolve(budget, request string, billed []ledger.Charge, now time.Time) {
	s := h.shardOf(budget)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.deferred[request] {
		b := s.budgets[d.budget]
		var used []ledger.Charge
		used, billed = matchCharges(b.reservations[d.reservation], billed)
		h.settle(b, d.reservation, used, now)
	}
	delete(s.deferred, request)
}

// matchCharges splits the billed charges into those that a reservation's charges cover and
// the rest.
func matchCharges(charges, billed []ledger.Charge) (used, rest []ledger.Charge) {
	capacity := make(map[ident.Incarnation]ledger.Tokens, len(charges))
	for _, c := range charges {
		capacity[c.Holder] += c.Tokens
	}
	for _, c := range billed {
		n := min(c.Tokens, capacity[c.Holder])
		capacity[c.Holder] -= n
		if n > 0 {
			used = append(used, ledger.Charge{Holder: c.Holder, Tokens: n})
		}
		if n < c.Tokens {
			rest = append(rest, ledger.Charge{Holder: c.Holder, Tokens: c.Tokens - n})
		}
	}
	return used, rest
}

// Deferred returns the requests with deferred reservations in the budget's shard,
// sorted. They may include requests for other budgets of the shard.
func (h *Holder) Deferred(budget string) []string {
	s := h.shardOf(budget)
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.deferred))
}

// Decided applies the fold's decision on a grant or a usage.
func (h *Holder) Decided(d ledger.Decision, now time.Time) {
	switch it := d.Item.(type) {
	case ledger.Grant:
		if d.Applied {
			h.granted(it)
			return
		}
		h.refused(it)
	case ledger.Usage:
		if d.Applied {
			h.Resolve(it.Budget, it.Request, d.Billed, now)
		}
	}
}

// granted credits a grant that took effect, if the grant is for the own incarnation.
func (h *Holder) granted(g ledger.Grant) {
	if g.Holder != h.ID() {
		return
	}
	h.with(g.Budget, func(_ *shard, b *budgetState) {
		if b.own != g.Holder || h.isClosed(g.Holder) {
			return
		}
		b.credited += g.Tokens
		b.credit(g.Holder, g.Tokens)
		b.pending = max(0, b.pending-g.Tokens)
	})
}

// refused removes a grant that did not take effect from the pending ones.
func (h *Holder) refused(g ledger.Grant) {
	if g.Holder != h.ID() {
		return
	}
	h.with(g.Budget, func(_ *shard, b *budgetState) {
		if b.own == g.Holder {
			b.pending = max(0, b.pending-g.Tokens)
		}
	})
}

// Recover applies the folded state after the reader restored a checkpoint. The restore
// skips the decisions on the items before the checkpoint.
func (h *Holder) Recover(state *ledger.State, fresh bool, now time.Time) {
	type deferredRequest struct{ budget, request string }
	var deferred []deferredRequest
	h.each(func(_ string, b *budgetState) { b.pending = 0 })
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		for r, ds := range s.deferred {
			deferred = append(deferred, deferredRequest{budget: ds[0].budget, request: r})
		}
		s.mu.Unlock()
	}
	for _, w := range deferred {
		if bill, ok := state.Billed(w.request); ok {
			h.Resolve(w.budget, w.request, bill.Charges, now)
		}
	}
	for _, held := range h.Holdings() {
		h.Sync(held.Budget, ViewOf(state, held.Budget, h.ID(), fresh))
	}
}

// ViewOf returns the fold's view of a budget for the holder own.
func ViewOf(state *ledger.State, budget string, own ident.Incarnation, fresh bool) View {
	b, known := state.Budget(budget)
	l, _ := state.Lease(budget, own)
	return View{
		Fresh:   fresh,
		Known:   known,
		Paid:    b.Paid,
		Free:    b.Free,
		Billed:  b.Billed,
		Holders: b.Holders,
		Own:     own,
		Granted: l.Granted,
	}
}
