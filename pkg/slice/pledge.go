package slice

import (
	"time"

	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/sheet"
)

const (
	// pledgeRate is the part of the demand's rate that a pledge allows for at
	// first. What it allows for is lost where the holder ends: with this, a
	// holder that is started again two seconds after its last pledge loses one
	// second's demand.
	pledgeRate = 1.0
	// pledgeAfter is the age from which a pledge allows for lateRate times the
	// demand's rate: the log is out of reach, and the holder goes on with what it
	// has. A process that was killed is back before that.
	pledgeAfter = 2000 * time.Millisecond
	lateRate    = 2
	// latencyHead is the part of the demand during a write of a pledge that the
	// next one allows for at once, so that a slow log holds up few requests.
	latencyHead = 1.5
)

// pledge is a promise and when it began to bind.
type pledge struct {
	sheet.Pledge
	at time.Time
}

// allows returns the tokens that the pledge lets the holder have used. The
// holder's clock stands still while its machine is suspended, and the log's
// readers' does not, so that the holder never allows itself more than they do.
func (p *pledge) allows(now time.Time) ledger.Tokens {
	if p.at.IsZero() {
		return 0
	}
	return p.At(max(0, now.Sub(p.at)))
}

// taken returns what the book has used or reserved of the own slice.
func (b *book) taken() ledger.Tokens { return b.used + b.reservedOwn }

// allowed returns the tokens that may still be reserved under the pledges. While
// a new one is being written, nobody knows which of the two the log holds, so
// that both bind.
func (b *book) allowed(now time.Time) ledger.Tokens {
	most := b.pledge.allows(now)
	if b.nextPledge != nil {
		most = min(most, b.nextPledge.allows(now))
	}
	return most - b.taken()
}

// Allowed returns the tokens that the pledges still let the holder reserve, and that it
// has.
func (h *Holder) Allowed(budget string, now time.Time) (n ledger.Tokens) {
	h.with(budget, func(_ *shard, b *book) {
		n = b.usable(h.Policy.PledgeEvery > 0, now)
	})
	return n
}

// PledgeDue reports whether a new pledge is due for a budget: where a reservation
// waits for it, or where the present one is old and allows for more than a new one
// would.
func (h *Holder) PledgeDue(budget string, now time.Time) (due bool) {
	h.with(budget, func(_ *shard, b *book) { due = h.Policy.pledgeDue(b, now) })
	return due
}

func (p Policy) pledgeDue(b *book, now time.Time) bool {
	if p.PledgeEvery == 0 || b.nextPledge != nil || b.credited == 0 {
		return false
	}
	if n := b.waiting(); n > 0 && b.allowed(now) < n {
		return true
	}
	return now.Sub(b.pledge.at) >= p.PledgeEvery && b.pledge.allows(now) > b.taken()+p.head(b)
}

// head returns the tokens that a pledge allows for at once: the holder's part in
// a share of the budget.
func (p Policy) head(b *book) ledger.Tokens {
	return ledger.Tokens(p.PledgeShare * float64(b.seen.Paid) / float64(max(1, b.seen.Holders)))
}

// Pledge makes a pledge for a budget, and reports whether the holder has tokens of it.
// From now on the pledge binds beside the one before, until Pledged says which of them
// the log holds. latency is how long a write takes. The caller reads the machine's
// clock before.
func (h *Holder) Pledge(budget string, latency time.Duration, now time.Time) (out sheet.Pledge, ok bool) {
	h.with(budget, func(_ *shard, b *book) {
		if b.credited == 0 {
			return
		}
		rate := b.need.rateNow(h.Policy.rateTime(), h.Policy.RateTime > 0, now)
		out = sheet.Pledge{
			Budget:        budget,
			Base:          b.taken() + b.waiting(),
			Head:          h.Policy.head(b) + ledger.Tokens(latencyHead*rate*latency.Seconds()),
			PerSecond:     ledger.Tokens(pledgeRate * rate),
			After:         pledgeAfter,
			LatePerSecond: ledger.Tokens(lateRate * rate),
		}
		b.nextPledge, ok = &pledge{Pledge: out, at: now}, true
	})
	return out, ok
}

// Pledged says whether the pledge made last is the one that holds.
func (h *Holder) Pledged(budget string, held bool) {
	h.with(budget, func(_ *shard, b *book) {
		if held && b.nextPledge != nil {
			b.pledge = *b.nextPledge
		}
		b.nextPledge = nil
	})
}

// waiting returns the tokens that waiting reservations ask for.
func (b *book) waiting() (n ledger.Tokens) {
	for _, tokens := range b.awaited {
		n += tokens
	}
	return n
}
