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
	// lose is the number of further appends that take effect but return an error.
	lose int
	// readDelay is the time that a read takes before it looks at the records.
	readDelay time.Duration
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
	l.mu.Lock()
	delay := l.readDelay
	l.mu.Unlock()
	time.Sleep(delay)
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

// peer calls another service in memory.
type peer struct {
	wire.PeerClient
	to *Service
	// lose is the number of further transfers that take effect but return an error.
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

// fixture is a service under test and its log.
type fixture struct {
	*Service
	t   *testing.T
	log *memLog
	end func()
}

// run starts a service on the log. The service ends when the test's context ends or end
// is called.
func run(t *testing.T, log *memLog, opts Options) *fixture {
	f := start(t, log, opts)
	f.waitIdle()
	return f
}

// start is run without the wait until the service has read the log.
func start(t *testing.T, log *memLog, opts Options) *fixture {
	opts.Log = log
	opts.Instance = "r"
	ctx, cancel := context.WithCancel(t.Context())
	f := &fixture{Service: New(opts), t: t, log: log}
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	f.end = func() { cancel(); <-done }
	return f
}

// waitIdle waits until pending work is done.
func (f *fixture) waitIdle() { time.Sleep(3 * time.Second); synctest.Wait() }

func (f *fixture) topUp(id string, n ledger.Tokens) {
	f.put(ledger.TopUp{ID: id, Budget: "maint", Tokens: n})
}

// put appends an item with a new writer.
func (f *fixture) put(item ledger.Item) {
	w := &fold.Writer{Log: f.log, Stream: ledger.Stream(0), Name: ident.NewRequestID()}
	ctx, cancel := context.WithCancel(f.t.Context())
	defer cancel()
	go w.Run(ctx)
	if _, err := w.ProposeWait(ctx, ledger.Encode(item)); err != nil {
		f.t.Error(err)
	}
	f.waitIdle()
}

func (f *fixture) reserve(n ledger.Tokens) Reservation {
	f.t.Helper()
	tk, err := f.Reserve(f.t.Context(), "maint", n)
	if err != nil {
		f.t.Fatal(err)
	}
	return tk
}

func (f *fixture) budget() (v ledger.Budget) {
	f.Query("maint", func(state *ledger.State) { v, _ = state.Budget("maint") })
	return v
}

// expectRefusal checks that a reservation is refused with the code, and within the
// time.
func (f *fixture) expectRefusal(n ledger.Tokens, code refuse.Code, within time.Duration) {
	f.t.Helper()
	start := time.Now()
	_, err := f.Reserve(f.t.Context(), "maint", n)
	r, ok := refuse.As(err)
	if !ok || r.Code != code || r.Outcome != refuse.NotRun {
		f.t.Errorf("reserving %d tokens: got %v, want %s with outcome not-run", n, err, code)
		return
	}
	if (code == refuse.CodeBudgetSpent) != (r.RetryAfter == 0) {
		f.t.Errorf("%s: got Retry-After %v, want 0 for a spent budget and more than 0 for any other code", code, r.RetryAfter)
	}
	if took := time.Since(start); took > within {
		f.t.Errorf("%s: refused after %v, want at most %v", code, took, within)
	}
}

// inBubble runs a test with fake time.
func inBubble(t *testing.T, fn func(t *testing.T)) { t.Helper(); synctest.Test(t, fn) }
