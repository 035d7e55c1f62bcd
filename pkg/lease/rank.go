package lease

import (
	"time"

	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// maxRank is the least urgent rank of requests; 0 is the most urgent. Ranks beyond it count
// as this one.
const maxRank = 9

// smallPart is the largest part of a budget's demand for which tokens are kept. Keeping them
// for a larger part would only shut out the other requests earlier.
const smallPart = 0.5

// rankDemand is the demand for a budget at one holder, by rank, in tokens per second.
type rankDemand struct {
	rate [maxRank + 1]float64
	at   time.Time
}

// add records the tokens that a request of a rank asks for.
func (d *rankDemand) add(rank int, n ledger.Tokens, constant time.Duration, now time.Time) {
	for i := range d.rate {
		d.rate[i] = decayed(d.rate[i], d.at, now, constant)
	}
	d.at = now
	d.rate[min(maxRank, max(0, rank))] += float64(n) / constant.Seconds()
}

// moreUrgent returns the part of the demand whose rank is more urgent than the given one.
func (d *rankDemand) moreUrgent(rank int) float64 {
	urgent, all := 0.0, 0.0
	for i, rate := range d.rate {
		all += rate
		if i < rank {
			urgent += rate
		}
	}
	if all == 0 {
		return 0
	}
	return urgent / all
}

// RecordRank records the demand of a request by its rank. It is called beside RecordDemand.
func (h *Holder) RecordRank(budget string, rank int, tokens ledger.Tokens, now time.Time) {
	h.with(budget, func(_ *shard, b *budgetState) {
		if b.ranks == nil {
			b.ranks = &rankDemand{}
		}
		b.ranks.add(rank, tokens, h.Policy.rateTime(), now)
	})
}

// Yields reports whether a request of a rank leaves the tokens of the budget to more urgent
// requests, after a loss of machines that starts pacing: less is left than those need for
// Policy.UrgentTime, by their part in the demand at this holder and the demand of all holders.
// While the log cannot be read, what is left is the holder's own tokens, and the demand is its own
// too. No request yields if the more urgent ones are the larger part of the demand.
func (h *Holder) Yields(budget string, rank int, now time.Time) (yields bool) {
	h.with(budget, func(_ *shard, b *budgetState) { yields = h.Policy.yields(b, rank, now) })
	return yields
}

func (p Policy) yields(b *budgetState, rank int, now time.Time) bool {
	if p.UrgentTime == 0 || b.ranks == nil || !b.seen.Known || !p.lossPaces(b) {
		return false
	}
	part := b.ranks.moreUrgent(rank)
	if part == 0 || part > smallPart {
		return false
	}
	left, rate, keep := float64(b.free), b.demand.rateNow(p.rateTime(), p.RateTime > 0, now), p.horizon()
	if b.seen.Fresh {
		left, rate, keep = left+float64(b.seen.Free), rate+float64(b.seen.OthersPerSecond), p.UrgentTime
	}
	return left < part*rate*keep.Seconds()
}
