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
	inBubble(t, func(t *testing.T) {
		b := run(t, &memLog{lose: 2}, Options{})
		defer b.end()
		b.expectRefusal(10, refuse.CodeBudgetSpent, 0)
		b.topUp("one", 1000)
		tk := b.reserve(600)
		b.Settle(tk, []ledger.Charge{{Holder: b.Holder(), Tokens: 100}})
		b.Settle(tk, nil) // has no effect
		b.reserve(900)
		b.expectRefusal(1, refuse.CodeBudgetUnreachable, time.Second)
		b.expectRefusal(1001, refuse.CodeBudgetSpent, 0)
		b.waitIdle()
		if v := b.budget(); v.Granted != 1000 {
			t.Errorf("got %d tokens granted, want 1000", v.Granted)
		}
	})
}

func TestTransferWithLostAnswer(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		log := &memLog{}
		giver := run(t, log, Options{})
		defer giver.end()
		p := &peer{to: giver.Service, lose: 1}
		taker := run(t, log, Options{Peers: func() []wire.PeerClient { return []wire.PeerClient{p} }})
		defer taker.end()
		giver.topUp("one", 1000)
		giver.Cancel(giver.reserve(1000))
		log.setDown(true)
		tk := taker.reserve(400)
		if len(tk.Charges) != 1 || tk.Charges[0].Holder != giver.Holder() {
			t.Errorf("got charges %v, want one, of the giver %s", tk.Charges, giver.Holder())
		}
		giver.reserve(600)
		giver.expectRefusal(1, refuse.CodeBudgetUnreachable, time.Second)
		taker.expectRefusal(1, refuse.CodeBudgetUnreachable, time.Second)
	})
}

func TestDefer(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := run(t, &memLog{}, Options{})
		defer b.end()
		b.topUp("one", 1000)
		for _, c := range []struct {
			request string
			charge  ledger.Charge
			free    ledger.Tokens
		}{
			{"org/1", ledger.Charge{Holder: b.Holder(), Tokens: 100}, 900},
			{"org/2", ledger.Charge{Holder: "other~1", Tokens: 100}, 900}, // billed to another lease
			{"org/3", ledger.Charge{Holder: b.Holder(), Tokens: 0}, 900},
		} {
			tk := b.reserve(800)
			b.Defer(tk, c.request)
			if h := b.Holdings("maint")[0]; h.Reserved != 800 {
				t.Errorf("%s: got %d tokens reserved, want 800", c.request, h.Reserved)
			}
			b.put(ledger.Usage{Budget: "maint", Request: c.request, Charges: []ledger.Charge{c.charge}})
			if h := b.Holdings("maint")[0]; h.Reserved != 0 || h.Free != c.free {
				t.Errorf("%s: got holding %+v, want 0 reserved and %d free", c.request, h, c.free)
			}
		}
		b.Defer(b.reserve(100), "org/2") // the usage is folded already
		if h := b.Holdings("maint")[0]; h.Reserved != 0 || h.Free != 900 {
			t.Errorf("deferred after the usage: got holding %+v, want 0 reserved and 900 free", h)
		}
	})
}

func TestCloseOwnHolder(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := run(t, &memLog{}, Options{})
		defer b.end()
		b.topUp("one", 1000)
		old := b.Holder()
		tk := b.reserve(300)
		b.put(ledger.Reclaim{Holder: old})
		if b.Holder() == old {
			t.Fatalf("got holder %s, which was reclaimed, want a new one", old)
		}
		b.Cancel(tk) // the reservation's tokens were reclaimed and do not become free here
		if got := b.reserve(1000); got.Charges[0].Holder != b.Holder() {
			t.Errorf("got a reservation charged to holder %s, want the new incarnation %s", got.Charges[0].Holder, b.Holder())
		}
		b.expectRefusal(1, refuse.CodeBudgetUnreachable, time.Second)
	})
}

func TestStopReturnsAll(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := run(t, &memLog{lose: 3}, Options{})
		defer b.end()
		b.topUp("one", 1000)
		tk := b.reserve(300)
		stopped := make(chan error, 1)
		go func() { stopped <- b.Stop(t.Context()) }()
		b.waitIdle()
		if v := b.budget(); v.Free != 700 {
			t.Errorf("after the stop began: got %d tokens free, want 700", v.Free)
		}
		if len(stopped) > 0 {
			t.Error("Stop returned while 300 tokens were reserved, want it to wait")
		}
		b.Cancel(tk)
		if err := <-stopped; err != nil {
			t.Error(err)
		}
		b.waitIdle() // the return is on the log but may not be folded yet
		if v := b.budget(); v.Free != 1000 {
			t.Errorf("after the last request: got %d tokens free, want 1000", v.Free)
		}
		b.expectRefusal(1, refuse.CodeDraining, 0)
	})
}

func TestStopInOutage(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := run(t, &memLog{}, Options{})
		defer b.end()
		b.topUp("one", 1000)
		b.Cancel(b.reserve(300))
		b.log.setDown(true)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		if err := b.Stop(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("Stop in an outage: got %v, want %v", err, context.DeadlineExceeded)
		}
	})
}

func TestStartFromPeerInOutage(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		log := &memLog{}
		b := run(t, log, Options{CheckpointEvery: 2})
		defer b.end()
		b.topUp("one", 1000)
		b.Cancel(b.reserve(300))
		b.topUp("two", 1)
		b.waitIdle()
		var checkpoint logsvc.Offset
		b.Ledger(0).View(func(r *fold.Reader) { checkpoint = r.LastCheckpoint() })
		if checkpoint == 0 {
			t.Error("got no checkpoint on the log, want one")
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
			t.Errorf("restored: got %+v, want %+v", got, want)
		}
		late.reserve(700)
		if err := late.Restore("budgets-9", cp); err == nil {
			t.Error("restoring a stream that does not exist: got no error, want one")
		}
	})
}

// TestStaleGrantsNothing guards against decisions on incomplete state. An instance that
// starts behind a gap in the log must neither refuse a budget as spent nor propose
// grants.
func TestStaleGrantsNothing(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		log := &memLog{}
		b := run(t, log, Options{})
		defer b.end()
		b.topUp("one", 1000)
		b.topUp("two", 1000)
		var before, after int
		log.edit(func() { log.first, before = 2, len(log.records) })
		late := run(t, log, Options{})
		defer late.end()
		late.expectRefusal(10, refuse.CodeBudgetUnreachable, time.Second)
		late.waitIdle()
		log.edit(func() { after = len(log.records) })
		if after != before {
			t.Errorf("got %d records appended by a stale instance, want 0", after-before)
		}
		if _, err := late.Snapshot(ledger.Stream(0)); !errors.Is(err, fold.ErrGap) {
			t.Errorf("snapshot of a stale instance: got %v, want %v", err, fold.ErrGap)
		}
	})
}

// TestPartlyReadStreamIsNotSpent guards against a budget that is refused as spent
// because its payment is on a page of the stream that has not been read yet.
func TestPartlyReadStreamIsNotSpent(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		log := &memLog{}
		b := run(t, log, Options{})
		log.edit(func() {
			for i := range 2000 {
				log.records = append(log.records, logsvc.Record{Offset: logsvc.Offset(i + 1), Data: []byte("{}")})
			}
		})
		b.topUp("one", 1000)
		b.end()
		late := New(Options{Log: log, Instance: "r"})
		if err := late.Ledger(0).Poll(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
		_, err := late.Reserve(t.Context(), "maint", 10)
		if r, ok := refuse.As(err); !ok || r.Code != refuse.CodeBudgetUnreachable {
			t.Errorf("reserving after the first page: got %v, want %s", err, refuse.CodeBudgetUnreachable)
		}
	})
}

// TestStaleStateIsNotSpent guards against a refusal as spent that is based on old
// state. During an outage of the log, a request needs more tokens than the folded state
// shows as paid. A top-up may have been appended since.
func TestStaleStateIsNotSpent(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := run(t, &memLog{}, Options{})
		defer b.end()
		b.topUp("one", 1000)
		b.expectRefusal(1001, refuse.CodeBudgetSpent, 0)
		b.log.setDown(true)
		time.Sleep(DefaultMaxAge + time.Second)
		b.expectRefusal(1001, refuse.CodeBudgetUnreachable, time.Second)
	})
}

// TestReclaimTwice guards against tokens that are freed twice when two instances
// propose the reclaim of a dead holder's lease.
func TestReclaimTwice(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		log := &memLog{}
		dead := run(t, log, Options{})
		dead.topUp("one", 1000)
		dead.reserve(1000)
		holder := dead.Holder()
		dead.end()
		b, c := run(t, log, Options{}), run(t, log, Options{})
		defer b.end()
		defer c.end()
		b.expectRefusal(1, refuse.CodeBudgetUnreachable, time.Second)
		b.Reclaim(holder, 7)
		c.Reclaim(holder, 7)
		b.waitIdle()
		b.reserve(1000)
		c.expectRefusal(1, refuse.CodeBudgetUnreachable, time.Second)
	})
}

// TestReserveBeforeFirstRead reserves tokens before the service has read the budget's
// stream for the first time. The request must wait for that read, up to MaxWait, instead
// of being refused because the service knows of no tokens.
func TestReserveBeforeFirstRead(t *testing.T) {
	for _, c := range []struct {
		name      string
		readDelay time.Duration
		served    bool
	}{
		{"reads that take a quarter of MaxWait", DefaultMaxWait / 4, true},
		{"reads that take twice MaxWait", 2 * DefaultMaxWait, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				log := &memLog{}
				first := run(t, log, Options{})
				first.topUp("t", 100000)
				first.end()
				log.edit(func() { log.readDelay = c.readDelay })
				f := start(t, log, Options{})
				defer f.end()
				if c.served {
					f.reserve(1000)
					return
				}
				f.expectRefusal(1000, refuse.CodeBudgetUnreachable, DefaultMaxWait)
			})
		})
	}
}
