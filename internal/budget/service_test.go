package budget

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

func TestReserveGrantedFromLog(t *testing.T) {
	within(t, func(t *testing.T) {
		b := run(t, &memLog{lose: 2}, Options{})
		defer b.end()
		b.refusal(10, refuse.CodeBudgetSpent, 0)
		b.pay("one", 1000)
		tk := b.reserve(600)
		b.Settle(tk, []ledger.Charge{{Holder: b.Holder(), Tokens: 100}})
		b.Settle(tk, nil) // has no effect
		b.reserve(900)
		b.refusal(1, refuse.CodeBudgetAway, time.Second)
		b.refusal(1001, refuse.CodeBudgetSpent, 0)
		b.settle()
		if v := b.budget(); v.Granted != 1000 {
			t.Errorf("granted %d of 1000", v.Granted)
		}
	})
}

func TestTransferWithLostAnswer(t *testing.T) {
	within(t, func(t *testing.T) {
		log := &memLog{}
		giver := run(t, log, Options{})
		defer giver.end()
		p := &peer{to: giver.Service, lose: 1}
		taker := run(t, log, Options{Peers: func() []wire.PeerClient { return []wire.PeerClient{p} }})
		defer taker.end()
		giver.pay("one", 1000)
		giver.Cancel(giver.reserve(1000))
		log.setDown(true)
		tk := taker.reserve(400)
		if len(tk.Charges) != 1 || tk.Charges[0].Holder != giver.Holder() {
			t.Errorf("charges %v are not the giver's", tk.Charges)
		}
		giver.reserve(600)
		giver.refusal(1, refuse.CodeBudgetAway, time.Second)
		taker.refusal(1, refuse.CodeBudgetAway, time.Second)
	})
}

func TestDefer(t *testing.T) {
	within(t, func(t *testing.T) {
		b := run(t, &memLog{}, Options{})
		defer b.end()
		b.pay("one", 1000)
		for _, c := range []struct {
			request string
			charge  ledger.Charge
			free    ledger.Tokens
		}{
			{"org/1", ledger.Charge{Holder: b.Holder(), Tokens: 100}, 900},
			{"org/2", ledger.Charge{Holder: "other~1", Tokens: 100}, 900}, // billed to another slice
			{"org/3", ledger.Charge{Holder: b.Holder(), Tokens: 0}, 900},
		} {
			tk := b.reserve(800)
			b.Defer(tk, c.request)
			if h := b.Holdings("maint")[0]; h.Reserved != 800 {
				t.Errorf("%s: %d tokens reserved, want 800", c.request, h.Reserved)
			}
			b.put(ledger.Usage{Budget: "maint", Request: c.request, Charges: []ledger.Charge{c.charge}})
			if h := b.Holdings("maint")[0]; h.Reserved != 0 || h.Free != c.free {
				t.Errorf("%s: %+v, want %d free", c.request, h, c.free)
			}
		}
		b.Defer(b.reserve(100), "org/2") // the usage is folded already
		if h := b.Holdings("maint")[0]; h.Reserved != 0 || h.Free != 900 {
			t.Errorf("deferred after the usage: %+v, want 900 free", h)
		}
	})
}

func TestCloseOwnHolder(t *testing.T) {
	within(t, func(t *testing.T) {
		b := run(t, &memLog{}, Options{})
		defer b.end()
		b.pay("one", 1000)
		old := b.Holder()
		tk := b.reserve(300)
		b.put(ledger.Reclaim{Holder: old})
		if b.Holder() == old {
			t.Fatal("goes on under a reclaimed holder")
		}
		b.Cancel(tk) // its tokens were reclaimed, and do not come back here
		if got := b.reserve(1000); got.Charges[0].Holder != b.Holder() {
			t.Errorf("charged to %s, want the new incarnation %s", got.Charges[0].Holder, b.Holder())
		}
		b.refusal(1, refuse.CodeBudgetAway, time.Second)
	})
}

func TestStopReturnsAll(t *testing.T) {
	within(t, func(t *testing.T) {
		b := run(t, &memLog{lose: 3}, Options{})
		defer b.end()
		b.pay("one", 1000)
		tk := b.reserve(300)
		stopped := make(chan error, 1)
		go func() { stopped <- b.Stop(t.Context()) }()
		b.settle()
		if v := b.budget(); v.Free != 700 {
			t.Errorf("%d of 700 tokens are free after the stop began", v.Free)
		}
		if len(stopped) > 0 {
			t.Error("the stop ended while tokens were reserved")
		}
		b.Cancel(tk)
		if err := <-stopped; err != nil {
			t.Error(err)
		}
		b.settle() // the return is on the log, and is folded a moment later
		if v := b.budget(); v.Free != 1000 {
			t.Errorf("%d of 1000 tokens are free after the last request", v.Free)
		}
		b.refusal(1, refuse.CodeLeaving, 0)
	})
}

func TestStopInOutage(t *testing.T) {
	within(t, func(t *testing.T) {
		b := run(t, &memLog{}, Options{})
		defer b.end()
		b.pay("one", 1000)
		b.Cancel(b.reserve(300))
		b.log.setDown(true)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		if err := b.Stop(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("stop in an outage: %v, want the deadline", err)
		}
	})
}

func TestStartFromPeerInOutage(t *testing.T) {
	within(t, func(t *testing.T) {
		log := &memLog{}
		b := run(t, log, Options{CheckpointEvery: 2})
		defer b.end()
		b.pay("one", 1000)
		b.Cancel(b.reserve(300))
		b.pay("two", 1)
		b.settle()
		var checkpoint logsvc.Offset
		b.Ledger(0).View(func(r *fold.Reader) { checkpoint = r.LastCheckpoint() })
		if checkpoint == 0 {
			t.Error("no checkpoint was appended")
		}
		log.setDown(true)
		cp, err := b.Snapshot(ledger.Stream(0))
		if err != nil {
			t.Fatal(err)
		}
		late := run(t, log, Options{Peers: func() []wire.PeerClient { return []wire.PeerClient{&peer{to: b.Service}} }})
		defer late.end()
		if err := late.Restore(ledger.Stream(0), cp); err != nil {
			t.Fatal(err)
		}
		if got, want := late.budget(), b.budget(); got != want {
			t.Errorf("restored %+v, want %+v", got, want)
		}
		late.reserve(700)
		if err := late.Restore("budgets-9", cp); err == nil {
			t.Error("restored a stream that does not exist")
		}
	})
}

// TestStaleGrantsNothing starts behind a gap: what the fold shows then is no
// reason to call a budget spent, and no grant is proposed on it.
func TestStaleGrantsNothing(t *testing.T) {
	within(t, func(t *testing.T) {
		log := &memLog{}
		b := run(t, log, Options{})
		defer b.end()
		b.pay("one", 1000)
		b.pay("two", 1000)
		var before, after int
		log.edit(func() { log.first, before = 2, len(log.records) })
		late := run(t, log, Options{})
		defer late.end()
		late.refusal(10, refuse.CodeBudgetAway, time.Second)
		late.settle()
		log.edit(func() { after = len(log.records) })
		if after != before {
			t.Errorf("%d records were appended by a stale instance", after-before)
		}
		if _, err := late.Snapshot(ledger.Stream(0)); !errors.Is(err, fold.ErrGap) {
			t.Errorf("snapshot of a stale instance: %v", err)
		}
	})
}

// TestBehindIsNotSpent reads a stream of more than one page: a budget paid on
// the last page must not be called spent by then.
func TestBehindIsNotSpent(t *testing.T) {
	within(t, func(t *testing.T) {
		log := &memLog{}
		b := run(t, log, Options{})
		log.edit(func() {
			for i := range 2000 {
				log.records = append(log.records, logsvc.Record{Offset: logsvc.Offset(i + 1), Data: []byte("{}")})
			}
		})
		b.pay("one", 1000)
		b.end()
		late := New(Options{Log: log, Instance: "r"})
		if err := late.Ledger(0).Poll(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
		_, err := late.Reserve(t.Context(), "maint", 10)
		if r, ok := refuse.As(err); !ok || r.Code != refuse.CodeBudgetAway {
			t.Errorf("reserving on the first page: %v, want %s", err, refuse.CodeBudgetAway)
		}
	})
}

// TestOldIsNotSpent asks in an outage for more than the fold has seen paid: a
// top-up may have come since.
func TestOldIsNotSpent(t *testing.T) {
	within(t, func(t *testing.T) {
		b := run(t, &memLog{}, Options{})
		defer b.end()
		b.pay("one", 1000)
		b.refusal(1001, refuse.CodeBudgetSpent, 0)
		b.log.setDown(true)
		time.Sleep(DefaultFresh + time.Second)
		b.refusal(1001, refuse.CodeBudgetAway, time.Second)
	})
}

// TestReclaimTwice gives a dead holder's slice free once, though two instances
// propose it.
func TestReclaimTwice(t *testing.T) {
	within(t, func(t *testing.T) {
		log := &memLog{}
		dead := run(t, log, Options{})
		dead.pay("one", 1000)
		dead.reserve(1000)
		holder := dead.Holder()
		dead.end()
		b, c := run(t, log, Options{}), run(t, log, Options{})
		defer b.end()
		defer c.end()
		b.refusal(1, refuse.CodeBudgetAway, time.Second)
		b.Reclaim(holder, 7)
		c.Reclaim(holder, 7)
		b.settle()
		b.reserve(1000)
		c.refusal(1, refuse.CodeBudgetAway, time.Second)
	})
}
