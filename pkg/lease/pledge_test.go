package lease_test

import (
	"errors"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/pkg/acct"
	"github.com/beryllanding/beryllanding/pkg/lease"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

const paid = 1_000_000

// pledgingHolder is a holder that makes pledges and was granted half of the budget,
// together with its clock.
type pledgingHolder struct {
	h   *lease.Holder
	now time.Time
}

func newPledgingHolder(t *testing.T, share float64) *pledgingHolder {
	t.Helper()
	p := &pledgingHolder{now: time.Unix(1000, 0)}
	p.h = lease.New("i~1", lease.Policy{
		Horizon: 10 * time.Second, RateTime: 4 * time.Second, PledgeEvery: time.Second, PledgeShare: share, NoTransfer: true,
	})
	p.h.Sync("o", lease.View{Fresh: true, Known: true, Paid: paid, Free: paid / 2, Holders: 1, Own: "i~1", Granted: paid / 2})
	return p
}

// writePledge makes a pledge and reports it as written.
func (p *pledgingHolder) writePledge() acct.Pledge {
	out, _ := p.h.Pledge("o", 0, p.now)
	p.h.Pledged("o", true)
	return out
}

// TestPledgeBinds guards against use beyond the pledge: a reservation that the lease
// covers, but the pledge does not, waits for the next pledge.
func TestPledgeBinds(t *testing.T) {
	p := newPledgingHolder(t, 0)
	if _, err := p.h.Reserve("a", "o", 5000, p.now); !errors.Is(err, lease.ErrInsufficient) {
		t.Fatalf("reserving without a pledge: got error %v, want ErrInsufficient", err)
	}
	if !p.h.PledgeDue("o", p.now) {
		t.Error("no pledge is due while a reservation waits, want one")
	}
	if out := p.writePledge(); out.Base != 5000 {
		t.Errorf("pledge is %+v, want base 5000", out)
	}
	if _, err := p.h.Reserve("a", "o", 5000, p.now); err != nil {
		t.Errorf("reserving within the pledge: %v", err)
	}
	if _, err := p.h.Reserve("b", "o", 1, p.now); !errors.Is(err, lease.ErrInsufficient) {
		t.Errorf("reserving beyond the pledge: got error %v, want ErrInsufficient", err)
	}
}

// TestPledgeBeingWritten guards against use under a pledge whose write may still fail.
// While a pledge is being written, the smaller of the new and the previous pledge
// binds.
func TestPledgeBeingWritten(t *testing.T) {
	p := newPledgingHolder(t, 0.02)
	p.writePledge()
	if _, err := p.h.Reserve("a", "o", 20_000, p.now); err != nil {
		t.Fatal(err)
	}
	p.h.Cancel("a", "o", p.now)
	if _, err := p.h.Reserve("b", "o", 15_000, p.now); err != nil {
		t.Fatal(err)
	}
	p.h.Pledge("o", 0, p.now) // The new pledge allows 35,000 tokens; the previous one allows 20,000.
	if _, err := p.h.Reserve("c", "o", 10_000, p.now); !errors.Is(err, lease.ErrInsufficient) {
		t.Errorf("reserving under a pledge that is being written: got error %v, want ErrInsufficient", err)
	}
	p.h.Pledged("o", false)
	if _, err := p.h.Reserve("c", "o", 10_000, p.now); !errors.Is(err, lease.ErrInsufficient) {
		t.Errorf("reserving under a pledge whose write failed: got error %v, want ErrInsufficient", err)
	}
	p.writePledge()
	if _, err := p.h.Reserve("c", "o", 10_000, p.now); err != nil {
		t.Error(err)
	}
}

// TestPledgeInOutage checks what a holder may use while it cannot write pledges: its
// former demand, and after two seconds twice that. Less would refuse requests during an
// outage; more would exceed what its successor counts as used.
func TestPledgeInOutage(t *testing.T) {
	p := newPledgingHolder(t, 0.02)
	const each = 1000
	serve := func(id string) bool {
		p.h.RecordDemand("o", each, p.now)
		_, err := p.h.Reserve(id, "o", each, p.now)
		if err == nil {
			p.h.Settle(id, "o", []ledger.Charge{{Holder: "i~1", Tokens: each}}, p.now)
		}
		return err == nil
	}
	n := 0
	for range 200 { // 10 s of 20 requests per second, with pledges.
		p.now = p.now.Add(50 * time.Millisecond)
		if !serve("x") {
			p.writePledge()
			if _, err := p.h.Reserve("x", "o", each, p.now); err != nil {
				t.Fatal(err)
			}
			p.h.Settle("x", "o", []ledger.Charge{{Holder: "i~1", Tokens: each}}, p.now)
		}
		n++
	}
	last := p.writePledge()
	used := 0
	for range 500 { // 5 s of 100 requests per second, without pledges.
		p.now = p.now.Add(10 * time.Millisecond)
		if serve("y") {
			used += each
		}
	}
	most := last.At(5*time.Second) - last.Base
	if ledger.Tokens(used) > most || ledger.Tokens(used) < most*9/10 {
		t.Errorf("%d tokens used, want 90%% to 100%% of the %d that the pledge allows", used, most)
	}
	rate := last.PerSecond
	if rate < 15_000 || rate > 25_000 || last.LatePerSecond < 2*rate-1 {
		t.Errorf("pledge is %+v, want PerSecond 15000 to 25000 and LatePerSecond at least 2*PerSecond-1", last)
	}
}
