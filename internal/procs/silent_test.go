package procs

import (
	"net/http"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/engd"
)

// TestSilentConnection guards against requests that hang on a connection that a
// network device has silently dropped. The open connections to the only side process
// carry nothing any more, while new ones work: the request must use a new one.
func TestSilentConnection(t *testing.T) {
	w := newWorld(t, 1_000_000)
	cut := w.newRelay()
	w.advertise = cut.listener.Addr().String()
	_, side := w.engine("engine-0", engd.Switches{AnswerTokens: 10})
	cut.connectTo(side.grpc)
	r := w.router("router-a", "[limits]\nfirst-event-timeout = 500ms\nevent-timeout = 500ms")
	w.ready(r)
	if got := r.chat("", "question", 20); got.status != http.StatusOK {
		t.Fatalf("before the connections are silent: got %+v, want status 200", got)
	}
	cut.silence()
	start := time.Now()
	got := r.chat("", "question", 20)
	if got.status != http.StatusOK {
		t.Errorf("after %v: got %+v, want a response over a new connection", time.Since(start), got)
	}
	r.terminate()
	if b := w.budget(); b.Granted != b.Billed || b.Billed == 0 {
		t.Errorf("got %d tokens billed and %d granted, want both equal and not 0", b.Billed, b.Granted)
	}
}
