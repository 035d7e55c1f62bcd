package edge

import (
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/pkg/route"
)

// TestPanicEndsOneRequest: a panic while a request is read or a response is handled ends
// that request only. The target counts as free again, and work that may have run is not
// refused as not run.
func TestPanicEndsOneRequest(t *testing.T) {
	w := newTestEnv(t, respondOK)
	w.engine.Dialect.ParseTokens = func(field []byte) (Tokens, error) {
		if string(field) == "panic" {
			panic("in a caller's field")
		}
		return Tokens{}, nil
	}
	w.engine.Dialect.ParseLoad = func(field []byte) (route.Status, bool) {
		if string(field) == "panic" {
			panic("in a target's field")
		}
		return route.Status{}, false
	}
	if got := w.ask("/once/", fields+"Tokens: panic\n", "x"); got.err == nil {
		t.Errorf("panic before the attempt: got response %+v, want a reset connection", got)
	}
	w.mu.Lock()
	w.scripts["t0"] = func(a receivedRequest, w io.Writer) bool {
		return write(w, "HTTP/1.1 200 OK\r\nRequest-Id: "+a.id+"\r\nSignature: s\r\nLoad: panic\r\nContent-Length: 0\r\n\r\n")
	}
	w.mu.Unlock()
	if got := w.ask("/once/", fields, "x"); got.status != 502 {
		t.Errorf("panic within the attempt: got response %+v, want status 502, since the request may have run", got)
	}
	w.mu.Lock()
	w.scripts["t0"] = respondOK
	w.mu.Unlock()
	if got := w.ask("/once/", fields, "x"); got.status != 200 {
		t.Errorf("next request: got response %+v, want status 200", got)
	}
	// The last attempt ends after its caller has the response.
	end := time.Now().Add(10 * time.Second)
	for w.openRequests() != 0 {
		if time.Now().After(end) {
			t.Fatalf("%d requests count as open at the target, want 0", w.openRequests())
		}
		time.Sleep(time.Millisecond)
	}
}

// openRequests returns the number of requests that count as open at targets.
func (w *testEnv) openRequests() (n int) {
	w.engine.fleet.mu.Lock()
	defer w.engine.fleet.mu.Unlock()
	for _, target := range w.engine.fleet.groups["s"].byName {
		n += target.open
	}
	return n
}

// TestGarbage: random bytes from callers and from targets affect no other request.
func TestGarbage(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	random := func() string {
		// Parts of real messages get further into the parsers than plain noise.
		parts := []string{
			"GET /once/ HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\n", "Host: h\r\n", "Key: k\r\n", "Request-Id: r\r\n", "Signature: s\r\n",
			"Content-Length: 5\r\n", "Content-Length: -1\r\n", "Transfer-Encoding: chunked\r\n", "\r\n", "5\r\nhello\r\n", "FFFFFFFFFFFFFFFF\r\n",
			"\x00\xff", ":", "\n", "Tokens: 9,9\r\n", "Leaving: 1\r\n", "Load: 1,2,3\r\n", "Retry-After: x\r\n",
		}
		var b strings.Builder
		for range 1 + rnd.IntN(12) {
			b.WriteString(parts[rnd.IntN(len(parts))])
		}
		return b.String()
	}
	var noise []string
	for range 300 {
		noise = append(noise, random())
	}
	var next atomic.Int64
	w := newTestEnv(t, func(a receivedRequest, w io.Writer) bool {
		if strings.Contains(a.head, " /once/garbage") {
			write(w, noise[int(next.Add(1))%len(noise)])
			return false
		}
		return respondOK(a, w)
	}, respondOK)
	for _, text := range noise {
		c, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		write(c, text)
		_ = c.Close()
	}
	for range noise {
		got := w.ask("/once/garbage", "Request-Id: g\nDeadline: 300\nKey: k\n", "x")
		if got.status == 200 && got.err == nil && got.body != "from t0" && got.body != "from t1" && got.body != "" && got.body != "hello" {
			t.Errorf("got body %q, want a target's own", got.body)
		}
	}
	if statuses := w.askMany("/open/", 3); statuses[200] != 3 {
		t.Errorf("statuses of sound requests are %v, want 200 only", statuses)
	}
}

// TestSlowStreamIsWhole: a stream with pauses between its events is forwarded whole, from
// the first target that got it.
func TestSlowStreamIsWhole(t *testing.T) {
	const pause = 150 * time.Millisecond
	for _, path := range []string{"/stream/", "/resume/"} {
		slow := func(a receivedRequest, w io.Writer) bool {
			write(w, streamHead(a.id))
			for n := range 4 {
				time.Sleep(pause)
				write(w, chunk(event(n+1)))
			}
			return write(w, "0\r\n\r\n")
		}
		w := newTestEnv(t, slow, slow)
		got := w.ask(path, fields, "x")
		if got.err != nil || got.body != events(1, 4) || len(w.received()) != 1 {
			t.Errorf("%s: got response %+v after %d attempts, want all events from one", path, got, len(w.received()))
		}
	}
}

// TestTrickledStreamEnds: a stalled stream whose target sends a byte now and then ends at
// the caller's deadline, at the caller as incomplete and at the target too.
func TestTrickledStreamEnds(t *testing.T) {
	for _, path := range []string{"/stream/", "/resume/"} {
		closed := make(chan struct{}, 8)
		w := newTestEnv(t, func(a receivedRequest, w io.Writer) bool {
			write(w, streamHead(a.id)+chunk(event(1)))
			for write(w, "1\r\nx\r\n") {
				time.Sleep(20 * time.Millisecond)
			}
			closed <- struct{}{}
			return false
		})
		got := w.ask(path, "Request-Id: r\nDeadline: 500\nKey: k\n", "x")
		if got.err == nil || got.status != 200 {
			t.Errorf("%s: got response %+v, want one that breaks off after its first event", path, got)
		}
		select {
		case <-closed:
		case <-time.After(5 * time.Second):
			t.Errorf("%s: the connection to the target is still open", path)
		}
	}
}
