package front_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"google.golang.org/grpc"

	"github.com/beryllanding/beryllanding/internal/entry"
	"github.com/beryllanding/beryllanding/internal/front"
	"github.com/beryllanding/beryllanding/internal/stand/memnet"
	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/catal"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/refuse"
	"github.com/beryllanding/beryllanding/pkg/route"
)

// catalogue is a fixed catalogue.
type catalogue struct{}

func (catalogue) Authenticate(key string) (entry.Account, bool) {
	switch key {
	case "good":
		return entry.Account{Organisation: "org", Budget: "b"}, true
	case "small":
		return entry.Account{Organisation: "small", Budget: "b", MaxTokens: 200}, true
	}
	return entry.Account{}, false
}

func (catalogue) Service(name string) (entry.Service, bool) {
	switch name {
	case "llm":
		return entry.Service{Name: "llm", Kind: entry.KindModel, MaxOutput: 1000, DefaultOutput: 100}, true
	case "stores":
		rules := &catal.Service{Name: "stores", Kind: catal.App, IdempotentPaths: []string{"/a", "/search"}}
		return entry.Service{Name: "stores", Kind: entry.KindApp, Price: 5, Once: rules.Once}, true
	}
	return entry.Service{}, false
}

func (catalogue) Offset() uint64 { return 7 }

// budgets is a single balance without leases.
type budgets struct {
	mu       sync.Mutex
	free     ledger.Tokens
	reserved map[string]ledger.Tokens
	last     uint64
}

func (b *budgets) Reserve(_ context.Context, budget string, n ledger.Tokens) (entry.Reservation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.free {
		return entry.Reservation{}, &refuse.Refusal{Code: refuse.CodeBudgetSpent, Outcome: refuse.NotRun, Message: fmt.Sprintf("budget %q is spent", budget)}
	}
	b.free -= n
	b.last++
	if b.reserved == nil {
		b.reserved = make(map[string]ledger.Tokens)
	}
	id := fmt.Sprint(b.last)
	b.reserved[id] = n
	return entry.Reservation{ID: id, Budget: budget, Charges: []ledger.Charge{{Holder: "h~1", Tokens: n}}}, nil
}

func (b *budgets) Settle(t entry.Reservation, _, _ string, used []ledger.Charge) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += b.reserved[t.ID]
	for _, c := range used {
		b.free -= c.Tokens
	}
	delete(b.reserved, t.ID)
}

func (b *budgets) Cancel(t entry.Reservation)                { b.Settle(t, "", "", nil) }
func (b *budgets) Defer(entry.Reservation, string, []string) {}
func (b *budgets) ReportClosedHolder(ident.Incarnation)      {}

func (b *budgets) balance() ledger.Tokens {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.free
}

// targets lists one target.
type targets struct{}

func (targets) Targets(string) []route.Target {
	return []route.Target{{Name: "t1", DataCentre: "dc", Address: "bufnet"}}
}

// fakeSide is a side process that responds to chats with fixed words and echoes calls.
type fakeSide struct {
	wire.UnimplementedSideServer
	// chunks is the number of chunks of a streamed response.
	chunks int
	// cutAfter, if above 0, is the number of chunks after which the stream is cut off.
	cutAfter int
	// finishGate, if set, delays the finish event until the channel is closed.
	finishGate chan struct{}
	// cancelled receives the ids of attempts whose stream was cancelled.
	cancelled chan string
}

func (s *fakeSide) Run(in *wire.RunRequest, out grpc.ServerStreamingServer[wire.RunEvent]) error {
	send := sender{in: in, out: out}
	send.event(&wire.RunEvent{Event: &wire.RunEvent_Started{Started: &wire.Started{Side: "t1~1"}}})
	billed := int64(3)
	switch w := in.GetWork().(type) {
	case *wire.RunRequest_Model:
		if !w.Model.GetStream() {
			send.chunk(`{"object":"chat.completion"}`)
			break
		}
		for i := range s.chunks {
			if s.cutAfter > 0 && i == s.cutAfter {
				return io.ErrUnexpectedEOF
			}
			send.chunk(fmt.Sprintf(`{"n":%d}`, i))
		}
	case *wire.RunRequest_Call:
		send.event(&wire.RunEvent{Event: &wire.RunEvent_Head{Head: &wire.Head{Status: 201, Headers: []*wire.Header{{Name: "X-App", Value: "1"}, {Name: "Connection", Value: "close"}}}}})
		send.chunk(w.Call.GetMethod() + " " + w.Call.GetPath() + " " + headerNames(w.Call.GetHeaders()) + " " + string(w.Call.GetBody()))
		billed = w.Call.GetPrice()
	}
	if s.finishGate != nil {
		select {
		case <-s.finishGate:
		case <-out.Context().Done():
			s.cancelled <- in.GetAttemptId()
			return nil
		}
	}
	send.event(&wire.RunEvent{Event: &wire.RunEvent_Finish{Finish: &wire.Finish{Billed: billed, Charges: []*wire.Charge{{Holder: "h~1", Tokens: billed}}}}})
	return nil
}

func (s *fakeSide) Outcome(context.Context, *wire.OutcomeRequest) (*wire.OutcomeReply, error) {
	if s.cutAfter > 0 {
		return &wire.OutcomeReply{State: "unknown"}, nil
	}
	return &wire.OutcomeReply{State: "finished", Billed: 2, Charges: []*wire.Charge{{Holder: "h~1", Tokens: 2}}}, nil
}

// sender numbers an attempt's events.
type sender struct {
	in   *wire.RunRequest
	out  grpc.ServerStreamingServer[wire.RunEvent]
	next uint64
}

func (s *sender) event(e *wire.RunEvent) {
	e.AttemptId, e.Index = s.in.GetAttemptId(), s.next
	s.next++
	_ = s.out.Send(e)
}

func (s *sender) chunk(data string) {
	s.event(&wire.RunEvent{Event: &wire.RunEvent_Chunk{Chunk: &wire.Chunk{Data: []byte(data), Tokens: 1}}})
}

func headerNames(list []*wire.Header) string {
	var names []string
	for _, h := range list {
		names = append(names, h.GetName())
	}
	return strings.Join(names, ",")
}

// testStack is a server, an engine and a side process, connected in memory.
type testStack struct {
	front   *front.Server
	engine  *entry.Engine
	budgets *budgets
	url     string
}

func newTestStack(t testing.TB, s *fakeSide, limits ...front.Limits) *testStack {
	t.Helper()
	server := grpc.NewServer()
	wire.RegisterSideServer(server, s)
	conns := &entry.Conns{Options: memnet.ServeGRPC(server, nil)}
	t.Cleanup(server.Stop)
	t.Cleanup(conns.Close)
	f := &testStack{budgets: &budgets{free: 100000}}
	f.engine = &entry.Engine{DataCentre: "dc", Catalogue: catalogue{}, Budgets: f.budgets, Targets: targets{}, Dialer: conns}
	f.front = &front.Server{Engine: f.engine, Catalogue: catalogue{}}
	if len(limits) > 0 {
		f.front.Limits = limits[0]
	}
	web := httptest.NewUnstartedServer(nil)
	web.Config = f.front.HTTP("")
	web.Start()
	t.Cleanup(web.Close)
	f.url = web.URL
	return f
}

// do sends a request and returns the response with its body.
func (f *testStack) do(t testing.TB, method, path, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer good")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		t.Logf("reading the response body: %v", err)
	}
	return res, string(data)
}
