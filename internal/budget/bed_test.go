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
	// first is the lowest offset retained.
	first logsvc.Offset
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
	page := logsvc.Page{First: max(1, l.first), Next: logsvc.Offset(len(l.records) + 1)}
	for at := max(page.First, from); at < page.Next && len(page.Records) < limit; at++ {
		page.Records = append(page.Records, l.records[at-1])
	}
	return page, nil
}

func (l *memLog) setDown(down bool) { l.edit(func() { l.down = down }) }

// edit changes the log under its lock.
func (l *memLog) edit(fn func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn()
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
