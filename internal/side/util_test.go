package side

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/internal/stand/memnet"
	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/fleet"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
	"github.com/beryllanding/beryllanding/pkg/pause"
)

// engine is a model engine that sends numbered tokens.
type engine struct {
	mu sync.Mutex
	// tokens is the number of tokens that the engine sends. It sends at most
	// max_tokens unless ignoreMax is set.
	tokens    int
	ignoreMax bool
	// pause is the time before each token. If stallAfter is set, the engine stalls
	// after that many tokens.
	pause      time.Duration
	stallAfter int
	runs       int
	cancelled  []string
	fences     []string
	// fencedOff makes the engine refuse orders as if it had received a higher
	// fencing number.
	fencedOff bool
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	switch r.URL.Path {
	case "/v1/chat/completions":
		e.complete(w, r, body)
	case "/v1/cancel":
		var in map[string]string
		_ = json.Unmarshal(body, &in)
		e.mu.Lock()
		e.cancelled = append(e.cancelled, in["request-id"])
		e.mu.Unlock()
	case "/orders":
		e.mu.Lock()
		e.fences = append(e.fences, r.Header.Get(headerFence)+" "+string(body))
		e.mu.Unlock()
		if e.fencedOff {
			w.WriteHeader(http.StatusConflict)
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// cancels returns the number of cancellation requests.
func (e *engine) cancels() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.cancelled)
}

// started returns the number of runs that were started.
func (e *engine) started() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs
}

func (e *engine) complete(w http.ResponseWriter, r *http.Request, body []byte) {
	var in struct {
		MaxTokens int `json:"max_tokens"`
	}
	_ = json.Unmarshal(body, &in)
	e.mu.Lock()
	e.runs++
	n := e.tokens
	if !e.ignoreMax {
		n = min(n, in.MaxTokens)
	}
	e.mu.Unlock()
	for i := range n {
		wait := e.pause
		if e.stallAfter > 0 && i >= e.stallAfter {
			wait = 24 * time.Hour
		}
		if !pause.For(r.Context(), wait) {
			return
		}
		if _, err := fmt.Fprintf(w, "data: {\"id\":\"c1\",\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", i); err != nil {
			return
		}
	}
	_, _ = fmt.Fprintf(w, "data: {\"id\":\"c1\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", n)
}

// caller is the stream of one attempt.
type caller struct {
	grpc.ServerStream
	ctx    context.Context
	mu     sync.Mutex
	events []*wire.RunEvent
}

func (c *caller) Context() context.Context { return c.ctx }

func (c *caller) Send(ev *wire.RunEvent) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, ev)
	return nil
}

// runAttempt runs an attempt until it ends and returns its events.
func runAttempt(ctx context.Context, s *Server, req *wire.RunRequest) []*wire.RunEvent {
	c := &caller{ctx: ctx}
	_ = s.Run(req, c)
	return c.events
}

// responseOf joins the chunks of a stream. It fails if the events are not the
// attempt's, numbered from 0 without gaps.
func responseOf(t *testing.T, attempt string, events []*wire.RunEvent) string {
	t.Helper()
	var b strings.Builder
	for i, ev := range events {
		if ev.GetAttemptId() != attempt || ev.GetIndex() != uint64(i) {
			t.Fatalf("event %d is number %d of attempt %q, want attempt %q", i, ev.GetIndex(), ev.GetAttemptId(), attempt)
		}
		b.Write(ev.GetChunk().GetData())
	}
	return b.String()
}

// last returns the last event, or an empty one if there is none.
func last(events []*wire.RunEvent) *wire.RunEvent {
	if len(events) == 0 {
		return &wire.RunEvent{}
	}
	return events[len(events)-1]
}

// usages returns the usages on the log.
func usages(t *testing.T, log *logd.Store) []ledger.Usage {
	t.Helper()
	var out []ledger.Usage
	for _, item := range itemsOf(t, log, ledger.Stream(0)) {
		it, err := ledger.Decode(item)
		if err != nil {
			t.Fatal(err)
		}
		if u, ok := it.(ledger.Usage); ok {
			out = append(out, u)
		}
	}
	return out
}

// itemsOf returns the items of a stream. It leaves out the items of duplicate
// batches.
func itemsOf(t *testing.T, log *logd.Store, stream string) []fold.Item {
	t.Helper()
	var out []fold.Item
	seen := make(map[string]bool)
	for _, rec := range log.Records(stream) {
		var b fold.Batch
		if err := json.Unmarshal(rec.Data, &b); err != nil {
			t.Fatal(err)
		}
		key := fmt.Sprint(b.Writer, b.Seq)
		if seen[key] {
			continue
		}
		seen[key] = true
		out = append(out, b.Items...)
	}
	return out
}

// newServer starts a server with incarnation n whose target is the handler, waits
// until it is registered, and returns it. It must be called in a synctest bubble.
func newServer(t *testing.T, log logsvc.Service, n string, handler http.Handler, change func(o *Options)) *Server {
	t.Helper()
	opts := Options{
		Incarnation: ident.Incarnation(n), Slot: "slot-" + n, Service: "svc",
		Target: "http://target", Log: log, Transport: memnet.Transport{Handler: handler},
	}
	if change != nil {
		change(&opts)
	}
	s := New(opts)
	s.Start()
	time.Sleep(time.Second)
	if !s.Registered() {
		t.Fatalf("side %q is not registered", n)
	}
	return s
}

// stop stops the server gracefully.
func stop(t *testing.T, s *Server) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	if err := s.Stop(ctx); err != nil {
		t.Error(err)
	}
}

func modelRequest(id, attempt string, stream bool, output int64) *wire.RunRequest {
	return &wire.RunRequest{
		RequestId: id, AttemptId: attempt, Service: "svc", Budget: "b", Fingerprint: []byte("f"),
		Charges: []*wire.Charge{{Holder: "r1~1", Tokens: 6}, {Holder: "r2~1", Tokens: output + 4}},
		Work: &wire.RunRequest_Model{Model: &wire.ModelWork{
			Body: []byte(`{"model":"m","messages":[],"Max_Tokens":99999}`), Stream: stream, PromptBound: 10, OutputBound: output,
		}},
	}
}

// sideGoneItem returns the item by which an operator declares a side gone.
func sideGoneItem(side ident.Incarnation) fold.Item {
	return fleet.Encode(fleet.SideGone{Side: side, By: "operator"})
}

// incarnationOf returns incarnation n of the slot.
func incarnationOf(slot, n int) ident.Incarnation {
	return ident.Incarnation(fmt.Sprintf("side-%d~%d", slot, n))
}

// holderCloseItem returns the item by which a holder is closed.
func holderCloseItem(holder ident.Incarnation) fold.Item {
	return fleet.Encode(fleet.HolderClose{Holder: holder})
}
