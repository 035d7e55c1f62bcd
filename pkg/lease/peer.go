package lease

import (
	"time"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// ServeTransfer debits free tokens of a budget for a peer and returns them as charges.
// It gives at most the tokens asked for, and may give none. The same id yields the same
// answer.
//
// If two holders are both short and take each other's tokens, both fail, although the
// tokens may suffice for one of them. Therefore the holder with the smaller name comes
// first. While it collects tokens for its own reservations, it returns ok=false for a
// peer with a larger name. The caller then tries again soon or declines.
func (h *Holder) ServeTransfer(id string, taker ident.Incarnation, budget string, tokens ledger.Tokens, now time.Time) (charges []ledger.Charge, ok bool) {
	h.with(budget, func(s *shard, b *budgetState) {
		if charges, ok = s.answers[id]; ok {
			return
		}
		if b.own < taker && now.Before(b.transferUntil) {
			return
		}
		if n := h.Policy.transferable(b, tokens, now); n > 0 {
			charges = b.debit(n)
			if h.Policy.PledgeEvery > 0 {
				// The pledge covers all tokens of the own lease, whoever uses them.
				b.used += b.ownPart(charges)
			}
		}
		s.rememberAnswer(id, charges)
		ok = true
	})
	return charges, ok
}

// DeclineTransfer records an answer without tokens for a transfer, unless the transfer
// was answered before. It returns the recorded answer.
func (h *Holder) DeclineTransfer(id, budget string) []ledger.Charge {
	var charges []ledger.Charge
	h.with(budget, func(s *shard, _ *budgetState) {
		var known bool
		if charges, known = s.answers[id]; !known {
			s.rememberAnswer(id, nil)
		}
	})
	return charges
}

func (s *shard) rememberAnswer(id string, charges []ledger.Charge) {
	if s.answers == nil {
		s.answers = make(map[string][]ledger.Charge)
	}
	s.answers[id] = charges
	if len(s.answerOrder) < answerWindow {
		s.answerOrder = append(s.answerOrder, id)
		return
	}
	delete(s.answers, s.answerOrder[s.answerNext])
	s.answerOrder[s.answerNext] = id
	s.answerNext = (s.answerNext + 1) % answerWindow
}

// BeginTransfer records that a transfer was requested under the id.
func (h *Holder) BeginTransfer(id, budget string) {
	h.with(budget, func(_ *shard, b *budgetState) {
		if b.openTransfers == nil {
			b.openTransfers = make(map[string]struct{})
		}
		b.openTransfers[id] = struct{}{}
	})
}

// CompleteTransfer credits the answer to a transfer and returns the tokens credited.
// Each id passed to BeginTransfer is credited once; other ids are ignored. An answer
// without charges is a refusal.
func (h *Holder) CompleteTransfer(id, budget string, charges []ledger.Charge) ledger.Tokens {
	var taken ledger.Tokens
	h.with(budget, func(_ *shard, b *budgetState) {
		if _, ok := b.openTransfers[id]; !ok {
			return
		}
		delete(b.openTransfers, id)
		for _, c := range charges {
			if c.Tokens <= 0 || h.isClosed(c.Holder) {
				continue
			}
			b.credit(c.Holder, c.Tokens)
			taken += c.Tokens
		}
	})
	return taken
}

// Sync applies the fold's view of a budget. If the reader restored a checkpoint, it
// skipped the decisions on earlier grants. Sync credits those grants from the
// cumulative amount granted.
func (h *Holder) Sync(budget string, seen View) {
	h.with(budget, func(_ *shard, b *budgetState) {
		b.seen = seen
		if seen.Own != b.own || h.isClosed(b.own) {
			return
		}
		if missed := seen.Granted - b.credited; missed > 0 {
			b.credited += missed
			b.credit(b.own, missed)
			b.pending = max(0, b.pending-missed)
		}
	})
}

// ReturnAll debits all free tokens that the policy allows to return. Its result
// proposes their return. It is for a planned stop.
func (h *Holder) ReturnAll() []Effect {
	var effects []Effect
	h.each(func(name string, b *budgetState) {
		effects = append(effects, h.Policy.proposeReturns(name, b, b.free)...)
	})
	return effects
}

// proposeReturns debits up to n free tokens. Its result proposes the return of these
// tokens to the leases that they are charged to.
func (p Policy) proposeReturns(name string, b *budgetState, n ledger.Tokens) []Effect {
	var charges []ledger.Charge
	if p.ReturnOwnOnly {
		charges, _ = b.debitLots(true, max(0, min(n, b.ownFree())), nil)
		b.removeEmptyLots()
	} else if n > 0 {
		charges = b.debit(n)
	}
	var effects []Effect
	for _, c := range charges {
		if c.Tokens > 0 {
			effects = append(effects, ProposeReturn{Budget: name, Holder: c.Holder, Tokens: c.Tokens})
		}
	}
	return effects
}
