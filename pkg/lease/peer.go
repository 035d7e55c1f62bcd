package lease

import (
	"time"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// ServeTransfer debits up to tokens free tokens of a budget, possibly none, and returns
// them as charges for a peer. The same id yields the same answer.
//
// If two holders are both short and take each other's tokens, both fail, though the
// tokens may suffice for one of them. Therefore the holder with the smaller name goes
// first: while it collects tokens for its own reservations it answers ok=false, and the
// caller tries again soon or declines.
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

// DeclineTransfer answers a transfer with no tokens, unless it was answered before. It
// returns the answer that holds.
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

// CompleteTransfer credits the answer to a transfer and returns the tokens credited. Each
// id passed to BeginTransfer is credited once; other ids are ignored. No charges mean a
// refusal.
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

// Sync applies the fold's view of a budget. Grants whose decisions were skipped, because
// the reader restored a checkpoint, are credited by the cumulative amount granted.
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

// ReturnAll debits all free tokens that can be returned, and returns the proposals to
// return them. It is for a planned stop.
func (h *Holder) ReturnAll() []Effect {
	var effects []Effect
	h.each(func(name string, b *budgetState) {
		effects = append(effects, h.Policy.proposeReturns(name, b, b.free)...)
	})
	return effects
}

// proposeReturns debits up to n free tokens and returns the proposals that return them to
// the leases they are charged to.
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
