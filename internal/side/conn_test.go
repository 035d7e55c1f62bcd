package side

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/internal/stand/memnet"
	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/fleet"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// breakingTarget responds to the first request on each connection, and closes the
// connection after it has read the second.
type breakingTarget struct {
	listener net.Listener
	once     atomic.Int64
}

func (b *breakingTarget) serve() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serveConn(conn)
	}
}

func (b *breakingTarget) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for i := range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.URL.Path == "/once" {
			b.once.Add(1)
		}
		if i > 0 {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
	}
}

// TestOnceCallIsNotRepeatedByTheClientLibrary guards against net/http sending a
// non-idempotent call twice. net/http sends a request again if a reused connection
// breaks and the request is a GET or has an idempotency key.
func TestOnceCallIsNotRepeatedByTheClientLibrary(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := &breakingTarget{listener: listener}
	go target.serve()
	defer func() { _ = listener.Close() }()
	s := New(Options{Incarnation: "s1", Service: "svc", Target: "http://" + listener.Addr().String(), Log: &logd.Store{}, StatusEvery: time.Hour})
	s.Start()
	defer s.shutDown()
	for !s.Registered() {
		time.Sleep(time.Millisecond)
	}
	for i, method := range []string{"GET", "POST", "GET", "POST"} {
		req := callRequest(fmt.Sprint("o/", i), "a")
		req.GetCall().Method, req.GetCall().Path = method, "/once"
		req.GetCall().Headers = []*wire.Header{{Name: "Idempotency-Key", Value: "k"}}
		if got := responseOf(t, "a", runAttempt(t.Context(), s, req)); got != "{}" {
			t.Errorf("call %d got %q, want {}", i, got)
		}
		if n := target.once.Load(); n != int64(i+1) {
			t.Errorf("%d requests reached the target after %d calls, want one request per call", n, i+1)
		}
	}
}

// TestRunIsInTheTableBeforeItsHolderIsChecked guards against acknowledging the
// closing of a holder while a run charged to it is about to start. A process may
// be paused just before it checks the holder, so the run must be in the table by
// then. The test delays the check by holding the lock that the check needs.
func TestRunIsInTheTableBeforeItsHolderIsChecked(t *testing.T) {
	log := &logd.Store{}
	s := New(Options{Incarnation: "s1", Service: "svc", Target: "http://target", Log: log, Transport: memnet.Transport{Handler: &engine{tokens: 1}}})
	s.Start()
	defer s.shutDown()
	for !s.Registered() {
		time.Sleep(time.Millisecond)
	}
	done := make(chan []*wire.RunEvent)
	s.fleet.View(func(*fold.Reader) {
		go func() { done <- runAttempt(t.Context(), s, modelRequest("o/1", "a1", true, 9)) }()
		for deadline := time.Now().Add(5 * time.Second); !s.hasCharges("r1~1"); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Error("run is not in the table 5 s after it began to wait for the check of its holder")
				return
			}
		}
		s.fleetState.Apply(fold.Position{Offset: 99}, fleet.Encode(fleet.HolderClose{Holder: "r1~1"}))
	})
	wantRefusal(t, <-done, refuse.CodeHolderClosed, refuse.NotRun)
}
