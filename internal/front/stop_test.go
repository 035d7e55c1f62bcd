package front_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc/test/bufconn"

	"github.com/beryllanding/beryllanding/internal/entry"
	"github.com/beryllanding/beryllanding/internal/front"
)

var streamRequest = strings.Replace(chatRequest, `"x":1`, `"stream":true`, 1)

// openStream starts a streamed chat and reads its first event.
func (f *fleet) openStream(ctx context.Context, t *testing.T) (*http.Response, *bufio.Reader) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+chatPath, strings.NewReader(streamRequest))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer good")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewReader(res.Body)
	if line, err := lines.ReadString('\n'); err != nil || line != "data: {\"n\":0}\n" {
		t.Fatalf("got %q, %v", line, err)
	}
	return res, lines
}

// TestStopFinishesStreams leaves in mid-stream: new requests are refused, the
// stream is finished, and only then the stop is over.
func TestStopFinishesStreams(t *testing.T) {
	s := &side{chunks: 1, hold: make(chan struct{})}
	f := newFleet(t, s)
	res, lines := f.openStream(context.Background(), t)
	defer func() { _ = res.Body.Close() }()
	f.front.Leave()
	if res, body := f.ask(t, http.MethodPost, chatPath, chatRequest); res.StatusCode != http.StatusServiceUnavailable ||
		res.Header.Get("X-Beryl-Outcome") != "not-run" || res.Header.Get("Retry-After") != "1" || !strings.Contains(body, `"leaving"`) {
		t.Errorf("new request got %d %v %s", res.StatusCode, res.Header, body)
	}
	if res, _ := f.ask(t, http.MethodGet, "/readyz", ""); res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("readyz is %d", res.StatusCode)
	}
	if res, _ := f.ask(t, http.MethodGet, "/healthz", ""); res.StatusCode != http.StatusOK {
		t.Errorf("healthz is %d", res.StatusCode)
	}
	close(s.hold)
	rest, _ := io.ReadAll(lines)
	if string(rest) != "\ndata: [DONE]\n\n" {
		t.Errorf("stream ended with %q", rest)
	}
	if err := f.front.Drain(context.Background()); err != nil {
		t.Error(err)
	}
	if got := f.budgets.balance(); got != 100000-3 {
		t.Errorf("balance is %d", got)
	}
}

// holder is an engine whose requests last until it is told.
type holder struct {
	doer
	begun, end chan struct{}
}

func (h *holder) Do(context.Context, *entry.Request, entry.Sink) (entry.Result, error) {
	h.begun <- struct{}{}
	<-h.end
	return entry.Result{}, nil
}

// TestDrainWaitsForRequests drains with a request in progress.
func TestDrainWaitsForRequests(t *testing.T) {
	h := &holder{begun: make(chan struct{}), end: make(chan struct{})}
	s := &front.Server{Engine: h, Catalogue: catalogue{}}
	var served sync.WaitGroup
	served.Go(func() {
		s.Handler().ServeHTTP(httptest.NewRecorder(), input{method: "POST", path: chatPath, body: chatRequest}.request())
	})
	<-h.begun
	s.Leave()
	over, cancel := context.WithCancel(context.Background())
	cancel()
	if err := s.Drain(over); err == nil {
		t.Error("the stop was over with a request in progress")
	}
	close(h.end)
	served.Wait()
	if err := s.Drain(context.Background()); err != nil {
		t.Error(err)
	}
}

// TestHangUpCancelsAndBills leaves the stream as the caller: the engine is
// cancelled, and what it produced is billed.
func TestHangUpCancelsAndBills(t *testing.T) {
	s := &side{chunks: 1, hold: make(chan struct{}), cancelled: make(chan string, 1)}
	f := newFleet(t, s)
	ctx, hangUp := context.WithCancel(context.Background())
	res, _ := f.openStream(ctx, t)
	hangUp()
	_ = res.Body.Close()
	<-s.cancelled
	f.front.Leave()
	if err := f.front.Drain(context.Background()); err != nil {
		t.Error(err)
	}
	if got := f.budgets.balance(); got != 100000-2 {
		t.Errorf("balance is %d", got)
	}
}

// TestStreamLimit refuses the request over the limit at once.
func TestStreamLimit(t *testing.T) {
	s := &side{chunks: 1, hold: make(chan struct{})}
	f := newFleet(t, s, front.Limits{Streams: 1})
	res, _ := f.openStream(context.Background(), t)
	defer func() { _ = res.Body.Close() }()
	if res, body := f.ask(t, http.MethodPost, chatPath, chatRequest); res.StatusCode != http.StatusTooManyRequests || !strings.Contains(body, `"busy"`) {
		t.Errorf("got %d %s", res.StatusCode, body)
	}
	close(s.hold)
}

// TestSlowSender sends half a body and waits, on a fake clock.
func TestSlowSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &doer{}
		s := &front.Server{Engine: engine, Catalogue: catalogue{}}
		conn := connect(t, s)
		start := time.Now()
		send(t, conn, "POST "+chatPath+" HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer good\r\nContent-Length: 100\r\n\r\n{")
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if res.StatusCode != http.StatusRequestTimeout || res.Header.Get("X-Beryl-Outcome") != "not-run" {
			t.Errorf("got %d %v", res.StatusCode, res.Header)
		}
		if took := time.Since(start); took != 15*time.Second || engine.asked > 0 {
			t.Errorf("refused after %v, engine asked %d times", took, engine.asked)
		}
	})
}

// TestSlowHeaders sends half of the headers and waits, on a fake clock.
func TestSlowHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &front.Server{Engine: &doer{}, Catalogue: catalogue{}}
		conn := connect(t, s)
		start := time.Now()
		send(t, conn, "POST "+chatPath+" HTTP/1.1\r\nHost: x\r\nX-A")
		_, _ = io.ReadAll(conn)
		if took := time.Since(start); took != 5*time.Second {
			t.Errorf("connection ended after %v", took)
		}
	})
}

// connect serves callers and returns a connection to the server; both end with
// the test.
func connect(t *testing.T, s *front.Server) net.Conn {
	t.Helper()
	listener := bufconn.Listen(1 << 16)
	web := s.HTTP("")
	go func() { _ = web.Serve(listener) }()
	conn, err := listener.Dial()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = conn.Close()
		_ = web.Close()
	})
	return conn
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}
