package budget

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// memLog is a log service with one stream.
type memLog struct {
	mu      sync.Mutex
	records []logsvc.Record
	down    bool
	// lose makes the next appends take effect without an answer.
	lose int
}

func (l *memLog) Append(_ context.Context, _ string, data []byte) (logsvc.Offset, error) {
	time.Sleep(5 * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, logsvc.ErrUnavailable
	}
	at := logsvc.Offset(len(l.records) + 1)
	l.records = append(l.records, logsvc.Record{Offset: at, Data: data})
	if l.lose > 0 {
		l.lose--
		return 0, logsvc.ErrOutcomeUnknown
	}
	return at, nil
}

func (l *memLog) Read(ctx context.Context, _ string, from logsvc.Offset, limit int, wait time.Duration) (logsvc.Page, error) {
	for end := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
		page, err := l.page(from, limit)
		if err != nil || len(page.Records) > 0 || time.Now().After(end) || ctx.Err() != nil {
			return page, err
		}
	}
}

func (l *memLog) page(from logsvc.Offset, limit int) (logsvc.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return logsvc.Page{}, logsvc.ErrUnavailable
	}
	page := logsvc.Page{First: 1, Next: logsvc.Offset(len(l.records) + 1)}
	for at := max(1, from); at < page.Next && len(page.Records) < limit; at++ {
		page.Records = append(page.Records, l.records[at-1])
	}
	return page, nil
}

func (l *memLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// peer reaches another service in memory.
type peer struct {
	wire.PeerClient
	to *Service
	// lose drops so many answers after they took effect.
	lose int
}

func (p *peer) Transfer(ctx context.Context, req *wire.TransferRequest, _ ...grpc.CallOption) (*wire.TransferReply, error) {
	reply, err := p.to.Transfer(ctx, req)
	if p.lose > 0 {
		p.lose--
		return nil, errors.New("answer lost")
	}
	return reply, err
}

// bed is a service under test with its log.
type bed struct {
	*Service
	t   *testing.T
	log *memLog
	end func()
}

// run starts a service; it ends with the test's bubble.
func run(t *testing.T, log *memLog, opts Options) *bed {
	opts.Log = log
	opts.Instance = "r"
	ctx, cancel := context.WithCancel(t.Context())
	b := &bed{Service: New(opts), t: t, log: log}
	done := make(chan struct{})
	go func() { defer close(done); b.Run(ctx) }()
	b.end = func() { cancel(); <-done }
	b.settle()
	return b
}

// settle lets what is under way come to its end.
func (b *bed) settle() { time.Sleep(3 * time.Second); synctest.Wait() }

func (b *bed) pay(id string, n ledger.Tokens) {
	b.put(ledger.TopUp{ID: id, Budget: "maint", Tokens: n})
}

// put appends an item under a writer of its own.
func (b *bed) put(item ledger.Item) {
	w := &fold.Writer{Log: b.log, Stream: ledger.Stream(0), Name: ident.NewRequest()}
	ctx, cancel := context.WithCancel(b.t.Context())
	defer cancel()
	go w.Run(ctx)
	if _, err := w.ProposeWait(ctx, ledger.Encode(item)); err != nil {
		b.t.Error(err)
	}
	b.settle()
}

func (b *bed) reserve(n ledger.Tokens) Ticket {
	b.t.Helper()
	tk, err := b.Reserve(b.t.Context(), "maint", n)
	if err != nil {
		b.t.Fatal(err)
	}
	return tk
}

func (b *bed) budget() (v ledger.Budget) {
	b.Query("maint", func(state *ledger.State) { v, _ = state.Budget("maint") })
	return v
}

// refusal asserts that a reservation is refused, and how long that took.
func (b *bed) refusal(n ledger.Tokens, code refuse.Code, within time.Duration) {
	b.t.Helper()
	start := time.Now()
	_, err := b.Reserve(b.t.Context(), "maint", n)
	r, ok := refuse.As(err)
	if !ok || r.Code != code || r.Outcome != refuse.NotRun {
		b.t.Errorf("reserving %d: %v, want %s, not run", n, err, code)
		return
	}
	if (code == refuse.CodeBudgetSpent) != (r.RetryAfter == 0) {
		b.t.Errorf("%s comes with retry after %v", code, r.RetryAfter)
	}
	if took := time.Since(start); took > within {
		b.t.Errorf("%s came after %v, want at most %v", code, took, within)
	}
}

// within runs a test in a bubble of fake time.
func within(t *testing.T, fn func(t *testing.T)) { t.Helper(); synctest.Test(t, fn) }

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
		b.Cancel(b.reserve(300))
		if err := b.Stop(t.Context()); err != nil {
			t.Fatal(err)
		}
		b.settle()
		if v := b.budget(); v.Free != 1000 {
			t.Errorf("%d of 1000 tokens are free after the stop", v.Free)
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
