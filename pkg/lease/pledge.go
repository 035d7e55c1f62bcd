package lease

import (
	"time"

	"github.com/beryllanding/beryllanding/pkg/acct"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

const (
	// pledgeRateFactor is the rate that a pledge allows at first, as a multiple of the
	// demand. Tokens that the pledge allows but the holder has not used are lost when
	// the holder ends. At this value, a holder that restarts two seconds after its last
	// pledge loses the tokens of one second of demand.
	pledgeRateFactor = 1.0
	// lateRateAfter is the age from which a pledge allows lateRateFactor times the
	// demand. From this age on, the log counts as unreachable, and the holder continues
	// with the tokens that it has. A killed process restarts sooner.
	lateRateAfter  = 2000 * time.Millisecond
	lateRateFactor = 2
	// latencyFactor is applied to the demand during one write to the log. A pledge
	// allows the result at once, so that a slow log does not delay many requests.
	latencyFactor = 1.5
)

// pledge is an acct.Pledge and the time from which it binds.
type pledge struct {
	acct.Pledge
	at time.Time
}

// allows returns the cumulative tokens that the pledge allows the holder to use. The
// holder's clock stops while its machine is suspended, but the clock by which its
// successor judges the pledge does not. The holder thus never allows itself more than
// the successor does.
func (p *pledge) allows(now time.Time) ledger.Tokens {
	if p.at.IsZero() {
		return 0
	}
	return p.At(max(0, now.Sub(p.at)))
}

// usedOrReserved returns the tokens of the own lease that are used or reserved.
func (b *budgetState) usedOrReserved() ledger.Tokens { return b.used + b.reservedOwn }

// allowed returns the tokens of the own lease that may still be reserved under the
// pledge. While a new pledge is being written, either may be the one on the log, so the
// smaller one counts.
func (b *budgetState) allowed(now time.Time) ledger.Tokens {
	limit := b.pledge.allows(now)
	if b.nextPledge != nil {
		limit = min(limit, b.nextPledge.allows(now))
	}
	return limit - b.usedOrReserved()
}

// Allowed returns the free tokens of a budget that may be reserved under the pledges.
func (h *Holder) Allowed(budget string, now time.Time) (n ledger.Tokens) {
	h.with(budget, func(_ *shard, b *budgetState) {
		n = b.usable(h.Policy.PledgeEvery > 0, now)
	})
	return n
}

// PledgeDue reports whether a new pledge is due for a budget. It is due if a
// reservation waits for it, or if the present pledge is older than Policy.PledgeEvery
// and allows more than a new one would.
func (h *Holder) PledgeDue(budget string, now time.Time) (due bool) {
	h.with(budget, func(_ *shard, b *budgetState) { due = h.Policy.pledgeDue(b, now) })
	return due
}

// Pledges reports whether the holder can pledge anything for a budget: it was granted
// tokens, and no pledge is being written.
func (h *Holder) Pledges(budget string) (ok bool) {
	h.with(budget, func(_ *shard, b *budgetState) {
		ok = h.Policy.PledgeEvery > 0 && b.credited > 0 && b.nextPledge == nil
	})
	return ok
}

func (p Policy) pledgeDue(b *budgetState, now time.Time) bool {
	if p.PledgeEvery == 0 || b.nextPledge != nil || b.credited == 0 {
		return false
	}
	if n := b.waitingTokens(); n > 0 && b.allowed(now) < n {
		return true
	}
	return now.Sub(b.pledge.at) >= p.PledgeEvery && b.pledge.allows(now) > b.usedOrReserved()+p.burst(b)
}

// burst returns the tokens that a pledge allows at once: Policy.PledgeShare of the paid
// tokens, divided by the number of holders.
func (p Policy) burst(b *budgetState) ledger.Tokens {
	return ledger.Tokens(p.PledgeShare * float64(b.seen.Paid) / float64(max(1, b.seen.Holders)))
}

// Pledge returns a new pledge for a budget to be written to the log. ok is false if the
// holder was granted no tokens of the budget. Both the new pledge and the previous one
// bind until Pledged is called, which records whether the new one is on the log.
// latency is how long a write takes. The caller reads the machine's clock for the
// pledge before the call.
func (h *Holder) Pledge(budget string, latency time.Duration, now time.Time) (out acct.Pledge, ok bool) {
	h.with(budget, func(_ *shard, b *budgetState) {
		if b.credited == 0 {
			return
		}
		rate := b.demand.rateNow(h.Policy.rateTime(), h.Policy.RateTime > 0, now)
		out = acct.Pledge{
			Budget:        budget,
			Base:          b.usedOrReserved() + b.waitingTokens(),
			Burst:         h.Policy.burst(b) + ledger.Tokens(latencyFactor*rate*latency.Seconds()),
			PerSecond:     ledger.Tokens(pledgeRateFactor * rate),
			After:         lateRateAfter,
			LatePerSecond: ledger.Tokens(lateRateFactor * rate),
		}
		b.nextPledge, ok = &pledge{Pledge: out, at: now}, true
	})
	return out, ok
}

// Pledged records whether the last pledge that Pledge returned is on the log. If it is
// not, the previous pledge stays in force.
func (h *Holder) Pledged(budget string, held bool) {
	h.with(budget, func(_ *shard, b *budgetState) {
		if held && b.nextPledge != nil {
			b.pledge = *b.nextPledge
		}
		b.nextPledge = nil
	})
}

// waitingTokens returns the tokens that waiting reservations ask for in total.
func (b *budgetState) waitingTokens() (n ledger.Tokens) {
	for _, tokens := range b.waiting {
		n += tokens
	}
	return n
}
