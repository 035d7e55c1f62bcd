package lease_test

import (
	"errors"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/pkg/lease"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// servedPerSecond simulates 12 s of demand for a budget with 1,000,000 paid tokens. The
// parameter left is the number of tokens that can still be used, and lost is the number
// of tokens that were lost. Requests ask for 10,000 tokens per second. The result is
// the number of tokens served in each second.
func servedPerSecond(t *testing.T, left, lost ledger.Tokens, share float64) [12]ledger.Tokens {
	t.Helper()
	const each = 500
	h := lease.New("i~1", lease.Policy{RateTime: 4 * time.Second, NoTransfer: true, PaceTime: 20 * time.Second, PaceThreshold: time.Second, PaceShare: share})
	h.Sync("o", lease.View{Fresh: true, Known: true, Paid: 1_000_000, Lost: lost, Holders: 1, Own: "i~1", Granted: left})
	var served [12]ledger.Tokens
	start := time.Unix(1000, 0)
	for i := range 240 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		h.RecordDemand("o", each, now)
		if _, err := h.Reserve("r", "o", each, now); err == nil {
			h.Settle("r", "o", []ledger.Charge{{Holder: "i~1", Tokens: each}}, now)
			served[i/20] += each
		} else if !errors.Is(err, lease.ErrPaced) && !errors.Is(err, lease.ErrInsufficient) {
			t.Fatal(err)
		}
	}
	return served
}

// TestPaceAfterLoss guards against a budget that serves all requests for some seconds
// after a power loss, and then none. With tokens for 5 s of demand left, any three
// consecutive seconds must still serve some.
func TestPaceAfterLoss(t *testing.T) {
	served := servedPerSecond(t, 50_000, 200_000, 0.03)
	for i := 0; i+2 < len(served); i++ {
		if n := served[i] + served[i+1] + served[i+2]; n < 500 {
			t.Errorf("seconds %d to %d serve %d tokens of the 30,000 asked for, want 500 or more; served per second: %v", i, i+2, n, served)
		}
	}
	plain := servedPerSecond(t, 50_000, 0, 0.03)
	if plain[0] != 10_000 || plain[8] != 0 {
		t.Errorf("served per second without a loss: %v, want 10,000 in second 0 and 0 in second 8", plain)
	}
}

// TestPaceWithEnough checks that a loss alone does not start pacing: a budget that lasts
// for long enough is served in full.
func TestPaceWithEnough(t *testing.T) {
	for i, n := range servedPerSecond(t, 400_000, 200_000, 0.03) {
		if n != 10_000 {
			t.Errorf("second %d serves %d tokens, want 10,000", i, n)
		}
	}
}
