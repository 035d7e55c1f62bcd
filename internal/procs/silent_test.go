package procs

import (
	"net/http"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/engd"
)

// TestSilentConnection puts a relay between an entry instance and the only side
// process, and lets its open connections go silent while new ones work.
func TestSilentConnection(t *testing.T) {
	w := newWorld(t, 1_000_000)
	cut := w.newRelay()
	w.advertise = cut.listener.Addr().String()
	_, side := w.engine("engine-0", engd.Switches{AnswerTokens: 10})
	cut.connectTo(side.grpc)
	r := w.router("router-a", "[limits]\nfirst-event-timeout = 500ms\nevent-timeout = 500ms")
	w.ready(r)
	if got := r.chat("", "question", 20); got.status != http.StatusOK {
		t.Fatalf("before the cut: %+v", got)
	}
	cut.silence()
	start := time.Now()
	got := r.chat("", "question", 20)
	if got.status != http.StatusOK {
		t.Errorf("after %v: %+v, want an answer over a fresh connection", time.Since(start), got)
	}
	r.terminate()
	if b := w.budget(); b.Granted != b.Billed || b.Billed == 0 {
		t.Errorf("billed %d, granted %d, want both equal", b.Billed, b.Granted)
	}
}
