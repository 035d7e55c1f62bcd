package lease_test

import (
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/pkg/lease"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// scarceLoad is a budget that comes to its end while large requests of a low rank and small
// urgent ones compete for it.
type scarceLoad struct {
	// left is what can still be used, and lost what was lost with machines, in tokens. fresh is
	// unset while the log can't be read.
	left, lost ledger.Tokens
	fresh      bool
	// large and small are the ranks of the two kinds. Of the large ones, with 9,000 tokens,
	// ten come in a second; of the small ones, with 1,000, smallRate.
	large, small, smallRate int
	// keep is the policy's UrgentTime; 0 is the old policy.
	keep time.Duration
}

// loss is a loss after which what is left is rationed, in tokens.
const loss = 1_000_000

// play returns the requests of each kind that are served in 40 s.
func (l scarceLoad) play(t *testing.T) (large, small int) {
	t.Helper()
	h := lease.New("i~1", lease.Policy{RateTime: 4 * time.Second, Horizon: 9 * time.Second, NoTransfer: true, UrgentTime: l.keep, PaceShare: 0.03})
	h.Sync("o", lease.View{Fresh: l.fresh, Known: true, Paid: 10_000_000, Lost: l.lost, Holders: 1, Own: "i~1", Granted: l.left})
	start := time.Unix(1000, 0)
	request := func(rank int, tokens ledger.Tokens, now time.Time) bool {
		h.RecordDemand("o", tokens, now)
		h.RecordRank("o", rank, tokens, now)
		if h.Yields("o", rank, now) {
			return false
		}
		if _, err := h.Reserve("r", "o", tokens, now); err != nil {
			return false
		}
		h.Settle("r", "o", []ledger.Charge{{Holder: "i~1", Tokens: tokens}}, now)
		return true
	}
	for i := range 400 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		for range l.smallRate / 10 {
			if request(l.small, 1000, now) {
				small++
			}
		}
		if request(l.large, 9000, now) {
			large++
		}
	}
	return large, small
}

// TestUrgentTokensAreKept guards against urgent requests that are refused because less urgent
// ones have used up the budget, although the urgent ones need little of it. With the old
// policy, both end together.
func TestUrgentTokensAreKept(t *testing.T) {
	load := scarceLoad{left: 1_500_000, lost: loss, fresh: true, large: 1, smallRate: 10}
	oldLarge, oldSmall := load.play(t)
	load.keep = 20 * time.Second
	large, small := load.play(t)
	if small < oldSmall+150 || large < oldLarge*4/5 {
		t.Errorf("%d urgent and %d other requests served, before %d and %d; want 150 more urgent ones, for at most a fifth of the others", small, large, oldSmall, oldLarge)
	}
}

// TestNothingIsKept lists the loads in which the policy changes nothing: no machine was lost, so
// that the budget serves whoever comes first to its end; there is enough; all requests have one
// rank; or the urgent ones are the larger part of the demand.
func TestNothingIsKept(t *testing.T) {
	for name, load := range map[string]scarceLoad{
		"nothing was lost":  {left: 1_500_000, fresh: true, large: 1, smallRate: 10},
		"little was lost":   {left: 1_500_000, lost: 200_000, fresh: true, large: 1, smallRate: 10},
		"enough":            {left: 9_000_000, lost: loss, fresh: true, large: 1, smallRate: 10},
		"one rank":          {left: 1_500_000, lost: loss, fresh: true, large: 1, small: 1, smallRate: 10},
		"large ones first":  {left: 1_500_000, lost: loss, fresh: true, large: 0, small: 1, smallRate: 10},
		"rank out of range": {left: 1_500_000, lost: loss, fresh: true, large: 99, small: 50, smallRate: 10},
		"nothing is left":   {},
	} {
		oldLarge, oldSmall := load.play(t)
		load.keep = 20 * time.Second
		if large, small := load.play(t); large != oldLarge || small != oldSmall {
			t.Errorf("%s: %d and %d served, want %d and %d as before", name, large, small, oldLarge, oldSmall)
		}
	}
}

// TestUrgentTokensInOutage: while the log can't be read, the holder's own tokens are kept in
// the same way, for the time of an outage.
func TestUrgentTokensInOutage(t *testing.T) {
	load := scarceLoad{left: 900_000, lost: loss, large: 1, smallRate: 10}
	_, oldSmall := load.play(t)
	load.keep = 20 * time.Second
	if _, small := load.play(t); small < oldSmall+50 {
		t.Errorf("%d urgent requests served, %d before; want 50 more", small, oldSmall)
	}
}
