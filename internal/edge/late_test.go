package edge

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// TestLateRequestsInAStop guards against requests that are taken late in a planned stop, passed
// on, and cut off without a response at its end, among them some that may not be repeated.
func TestLateRequestsInAStop(t *testing.T) {
	t.Parallel()
	n := prepareNode(t, func(a receivedRequest, w io.Writer) bool {
		if a.body == "slow" {
			time.Sleep(4500 * time.Millisecond)
		}
		return respondOK(a, w)
	})
	n.opts.Grace = 6 * time.Second
	n.start()
	conns := make([]net.Conn, 3)
	for i := range conns {
		c, err := net.Dial("tcp", n.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		conns[i] = c
	}
	began := time.Now()
	n.stop()
	// Requests keep coming, so the instance stays.
	busy := make(chan struct{})
	go func() {
		defer close(busy)
		for time.Since(began) < 4*time.Second {
			if c, err := net.Dial("tcp", n.addr); err == nil {
				n.askOn(c, bufio.NewReader(c), "/idem/", "Request-Id: busy\nDeadline: 500\nKey: k\n", "x")
				_ = c.Close()
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	defer func() { <-busy }()
	time.Sleep(3 * time.Second)
	replies := make(chan reply, 2)
	for i, path := range []string{"/once/", "/idem/"} {
		go func() {
			replies <- n.askOn(conns[i], bufio.NewReader(conns[i]), path, "Request-Id: late"+path+"\nDeadline: 9000\nKey: k\n", "slow")
		}()
	}
	if got := n.askOn(conns[2], bufio.NewReader(conns[2]), "/once/", "Request-Id: short\nDeadline: 1500\nKey: k\n", "x"); got.status != 200 {
		t.Errorf("a request that fits into the rest of the stop: got %+v, want status 200", got)
	}
	for range 2 {
		if got := <-replies; got.status != 503 || got.head.Get("Retry-After") == nil {
			t.Errorf("a request that does not fit: got %+v after %v, want status 503 with Retry-After", got, time.Since(began))
		}
	}
	if err := <-n.ended; err != nil {
		t.Error(err)
	}
	for _, a := range n.received() {
		if a.body == "slow" {
			t.Errorf("a target got %s, which can't end before the instance", a.id)
		}
	}
}

// TestEndOfAStopIsTold guards against callers that get no response at the end of the grace
// period: what has no response yet gets 502, and a stream is reset.
func TestEndOfAStopIsTold(t *testing.T) {
	t.Parallel()
	n := prepareNode(t, func(a receivedRequest, w io.Writer) bool {
		if strings.Contains(a.head, "/stream/") {
			write(w, streamHead(a.id)+chunk(event(1)))
		}
		time.Sleep(8 * time.Second)
		return false
	})
	n.opts.Grace = 2 * time.Second
	n.start()
	once, stream := make(chan reply, 1), make(chan reply, 1)
	go func() { once <- n.ask("/once/", "Request-Id: r1\nDeadline: 9000\nKey: k\n", "x") }()
	go func() { stream <- n.ask("/stream/", "Request-Id: r2\nDeadline: 9000\nKey: k\n", "x") }()
	for len(n.received()) < 2 {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	n.stop()
	if err := <-n.ended; err != nil {
		t.Error(err)
	}
	for _, want := range []struct {
		name   string
		got    chan reply
		status int
		body   string
	}{{"a request at work", once, 502, ""}, {"a stream", stream, 200, event(1)}} {
		select {
		case got := <-want.got:
			if got.status != want.status || (want.body != "" && (got.err == nil || got.body != want.body)) {
				t.Errorf("%s at the end: got %+v, want status %d, incomplete if it is a stream", want.name, got, want.status)
			}
		case <-time.After(time.Until(began.Add(n.opts.Grace))):
			t.Errorf("%s has no end when the process has ended", want.name)
		}
	}
	if took := time.Since(began); took > n.opts.Grace {
		t.Errorf("the instance ended %v after the signal, its grace period is %v", took, n.opts.Grace)
	}
}
