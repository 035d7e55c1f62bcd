package side

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/fold"
)

// benchTokens is the length of each response in tokens.
const benchTokens = 500

// tokenCounter is a caller that counts tokens and discards events.
type tokenCounter struct {
	caller
	tokens int64
}

func (d *tokenCounter) Send(ev *wire.RunEvent) error {
	d.tokens += ev.GetChunk().GetTokens()
	return nil
}

// serveTokens is the handler of an engine that sends each token in its own write.
func serveTokens(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	for i := range benchTokens {
		_, _ = fmt.Fprintf(w, "data: {\"id\":\"c1\",\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", i)
		w.(http.Flusher).Flush()
	}
	_, _ = io.WriteString(w, "data: {\"usage\":{\"prompt_tokens\":7}}\n\ndata: [DONE]\n\n")
}

// BenchmarkResponse compares reading a response of benchTokens tokens through the
// server with reading it from the engine directly.
func BenchmarkResponse(b *testing.B) {
	ts := httptest.NewServer(http.HandlerFunc(serveTokens))
	defer ts.Close()
	b.Run("direct", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			resp, err := http.Post(ts.URL, "application/json", strings.NewReader("{}"))
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchTokens, "ns/token")
	})
	b.Run("side", func(b *testing.B) {
		s := New(Options{Incarnation: "s1", Service: "svc", Target: ts.URL, Log: &logd.Store{}, StatusEvery: time.Hour})
		s.Start()
		defer s.shutDown()
		for !s.Registered() {
			time.Sleep(time.Millisecond)
		}
		n := 0
		b.ReportAllocs()
		for b.Loop() {
			n++
			d := &tokenCounter{caller: caller{ctx: context.Background()}}
			if err := s.Run(modelRequest(fmt.Sprint("o/", n), fmt.Sprint("a", n), true, benchTokens), d); err != nil || d.tokens != benchTokens {
				b.Fatalf("read %d tokens, error %v, want %d tokens", d.tokens, err, benchTokens)
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchTokens, "ns/token")
	})
}

// BenchmarkClaim measures idempotent and non-idempotent calls with a log in
// memory. A non-idempotent call takes longer by the time to append its claim in a
// batch and to fold it.
func BenchmarkClaim(b *testing.B) {
	ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer ts.Close()
	s := New(Options{Incarnation: "s1", Service: "svc", Target: ts.URL, Log: &logd.Store{}, StatusEvery: time.Hour})
	s.Start()
	defer s.shutDown()
	for !s.Registered() {
		time.Sleep(time.Millisecond)
	}
	n := 0 // a reused id would measure the replay of a kept response
	call := func(b *testing.B, once bool) {
		n++
		req := callRequest(fmt.Sprint("o/", n), fmt.Sprint("a", n))
		req.Once = once
		if ev := last(runAttempt(context.Background(), s, req)); ev.GetFinish() == nil {
			b.Fatal(ev)
		}
	}
	for _, once := range []bool{false, true} {
		b.Run(fmt.Sprint("once=", once), func(b *testing.B) {
			for b.Loop() {
				call(b, once)
			}
		})
	}
	// Calls in quick succession share the writer's batches. Each of these calls
	// comes after a pause, so it waits for the whole batch interval.
	b.Run("once=true,spaced", func(b *testing.B) {
		var took time.Duration
		for range b.N {
			time.Sleep(2 * fold.DefaultBatchInterval)
			start := time.Now()
			call(b, true)
			took += time.Since(start)
		}
		b.ReportMetric(float64(took.Nanoseconds())/float64(b.N), "ns/call")
	})
}
