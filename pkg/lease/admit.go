package lease

import (
	"fmt"
	"time"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// Reserve reserves tokens for a request under a new reservation id, and returns the
// charges. Settle or Cancel ends the reservation. The number of tokens must be between
// 1 and ledger.MaxTokens. It is raised by the margin of the policy's Weight.
//
// Reserve returns ErrPaced if pacing refuses the request, and ErrReservationExists if
// the reservation id is in use. It returns ErrInsufficient if the free lots or the
// pledge do not cover the tokens. It then records the shortfall for the next plan.
func (h *Holder) Reserve(id, budget string, tokens ledger.Tokens, now time.Time) ([]ledger.Charge, error) {
	if tokens <= 0 || tokens > ledger.MaxTokens {
		return nil, fmt.Errorf("reservation of %d tokens on budget %q is not between 1 and %d", tokens, budget, ledger.MaxTokens)
	}
	tokens = h.Policy.withMargin(tokens)
	var charges []ledger.Charge
	var err error
	h.with(budget, func(_ *shard, b *budgetState) {
		if h.Policy.paced(b, tokens, now) {
			err = ErrPaced
			return
		}
		charges, err = b.reserve(id, tokens, h.Policy.PledgeEvery > 0, now)
		if err == nil {
			b.spendPace(tokens)
			b.demand.addReservation(tokens, h.Policy.rateTime(), now)
		}
	})
	return charges, err
}

// RecordDemand records the demand of a request. It is called once for each request,
// before Reserve, which may be called several times. If the policy has a RateTime,
// demand is measured by the tokens recorded here. The demand is then known before the
// first request ends.
func (h *Holder) RecordDemand(budget string, tokens ledger.Tokens, now time.Time) {
	h.with(budget, func(_ *shard, b *budgetState) { b.demand.addRequest(tokens, h.Policy.rateTime(), now) })
}

func (b *budgetState) reserve(id string, tokens ledger.Tokens, pledged bool, now time.Time) ([]ledger.Charge, error) {
	if _, ok := b.reservations[id]; ok {
		return nil, ErrReservationExists
	}
	b.demand.updatePeak(b.reserved+tokens, now)
	if b.usable(pledged, now) < tokens {
		b.recordShortfall(id, tokens)
		return nil, ErrInsufficient
	}
	delete(b.shortfalls, id)
	delete(b.waiting, id)
	if len(b.shortfalls) == 0 {
		b.transferUntil = time.Time{}
	}
	charges := b.debit(tokens)
	b.reserved += tokens
	b.reservedOwn += b.ownPart(charges)
	if b.reservations == nil {
		b.reservations = make(map[string][]ledger.Charge)
	}
	b.reservations[id] = charges
	return charges, nil
}

// usable returns the free tokens that may be reserved. If pledged is set, pledges limit
// those of the own lease. They do not limit tokens from peers, which count as used at
// the peer that gave them.
func (b *budgetState) usable(pledged bool, now time.Time) ledger.Tokens {
	if !pledged {
		return b.free
	}
	own := b.ownFree()
	return b.free - own + max(0, min(own, b.allowed(now)))
}

// recordShortfall records a reservation that the usable tokens do not cover.
func (b *budgetState) recordShortfall(id string, tokens ledger.Tokens) {
	if b.shortfalls == nil {
		b.shortfalls = make(map[string]ledger.Tokens)
		b.waiting = make(map[string]ledger.Tokens)
	}
	b.shortfalls[id] = tokens
	b.waiting[id] = tokens
}

// Withdraw removes a reservation that failed with ErrInsufficient from the waiting
// ones.
func (h *Holder) Withdraw(id, budget string) {
	h.with(budget, func(_ *shard, b *budgetState) {
		delete(b.shortfalls, id)
		delete(b.waiting, id)
	})
}

// Settle ends a reservation. Unused tokens go back to the lots they came from. Use
// beyond what the reservation charges to a holder is ignored. Settling a reservation
// again, or an unknown one, has no effect.
func (h *Holder) Settle(id, budget string, used []ledger.Charge, now time.Time) {
	h.with(budget, func(_ *shard, b *budgetState) { h.settle(b, id, used, now) })
}

func (h *Holder) settle(b *budgetState, id string, used []ledger.Charge, now time.Time) {
	charges, ok := b.reservations[id]
	if !ok {
		return
	}
	delete(b.reservations, id)
	b.reserved -= sum(charges)
	b.reservedOwn -= b.ownPart(charges)
	spent := h.unreserve(b, charges, used)
	b.used += b.ownPart(spent)
	b.demand.addUsage(sum(spent), h.Policy.rateTime(), now)
}

// unreserve credits the unused part of the charges to the free lots and returns the used
// part. Unused tokens of closed holders are dropped.
func (h *Holder) unreserve(b *budgetState, charges, used []ledger.Charge) []ledger.Charge {
	byHolder := make(map[ident.Incarnation]ledger.Tokens, len(used))
	for _, c := range used {
		byHolder[c.Holder] += max(0, c.Tokens)
	}
	spent := make([]ledger.Charge, 0, len(charges))
	for _, c := range charges {
		n := min(c.Tokens, byHolder[c.Holder])
		byHolder[c.Holder] -= n
		spent = append(spent, ledger.Charge{Holder: c.Holder, Tokens: n})
		if !h.isClosed(c.Holder) {
			b.credit(c.Holder, c.Tokens-n)
		}
	}
	return spent
}

// Cancel ends a reservation whose tokens were not and will not be used.
func (h *Holder) Cancel(id, budget string, now time.Time) {
	h.Settle(id, budget, nil, now)
}

// Reservation returns the charges of an open reservation.
func (h *Holder) Reservation(id, budget string) ([]ledger.Charge, bool) {
	var charges []ledger.Charge
	var ok bool
	h.with(budget, func(_ *shard, b *budgetState) {
		charges, ok = b.reservations[id]
	})
	return charges, ok
}

// CloseHolder drops the lots of a closed incarnation. If closed is the holder's own
// incarnation, the holder continues as next.
func (h *Holder) CloseHolder(closed, next ident.Incarnation) {
	h.mu.Lock()
	h.closed[closed] = struct{}{}
	if h.own == closed {
		h.own = next
	}
	own := h.own
	h.mu.Unlock()
	h.each(func(_ string, b *budgetState) {
		b.dropLots(closed)
		if b.own == closed {
			b.own = own
			b.credited = 0
			b.pending = 0
		}
	})
}

// Closed reports whether CloseHolder was called for the incarnation.
func (h *Holder) Closed(holder ident.Incarnation) bool { return h.isClosed(holder) }
