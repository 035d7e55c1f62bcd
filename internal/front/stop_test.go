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
func (f *testStack) openStream(ctx context.Context, t *testing.T) (*http.Response, *bufio.Reader) {
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
		t.Fatalf("first line of the stream: got %q, error %v; want the first chunk", line, err)
	}
	return res, lines
}

// TestStopFinishesStreams calls StartDraining while a stream is open. New requests must
// be refused, the stream must end completely, and Drain must return only after the
// stream has ended.
func TestStopFinishesStreams(t *testing.T) {
	s := &fakeSide{chunks: 1, finishGate: make(chan struct{})}
	f := newTestStack(t, s)
	res, lines := f.openStream(context.Background(), t)
	defer func() { _ = res.Body.Close() }()
	f.front.StartDraining()
	if res, body := f.do(t, http.MethodPost, chatPath, chatRequest); res.StatusCode != http.StatusServiceUnavailable ||
		res.Header.Get("X-Beryl-Outcome") != "not-run" || res.Header.Get("Retry-After") != "1" || !strings.Contains(body, `"leaving"`) {
		t.Errorf("new request: got status %d, headers %v, body %s; want 503, code leaving, outcome not-run and Retry-After 1", res.StatusCode, res.Header, body)
	}
	if res, _ := f.do(t, http.MethodGet, "/readyz", ""); res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("/readyz: got status %d, want 503", res.StatusCode)
	}
	if res, _ := f.do(t, http.MethodGet, "/healthz", ""); res.StatusCode != http.StatusOK {
		t.Errorf("/healthz: got status %d, want 200", res.StatusCode)
	}
	close(s.finishGate)
	rest, _ := io.ReadAll(lines)
	if string(rest) != "\ndata: [DONE]\n\n" {
		t.Errorf("rest of the stream: got %q, want only the [DONE] event", rest)
	}
	if err := f.front.Drain(context.Background()); err != nil {
		t.Error(err)
	}
	if got := f.budgets.balance(); got != 100000-3 {
		t.Errorf("got balance %d, want 99997", got)
	}
}

// blockingEngine is an engine whose requests last until end is closed.
type blockingEngine struct {
	stubEngine
	begun, end chan struct{}
}

func (h *blockingEngine) Do(context.Context, *entry.Request, entry.Sink) (entry.Result, error) {
	h.begun <- struct{}{}
	<-h.end
	return entry.Result{}, nil
}

// TestDrainWaitsForRequests calls Drain with a request in progress. Drain must not
// return before the request has ended.
func TestDrainWaitsForRequests(t *testing.T) {
	h := &blockingEngine{begun: make(chan struct{}), end: make(chan struct{})}
	s := &front.Server{Engine: h, Catalogue: catalogue{}}
	var served sync.WaitGroup
	served.Go(func() {
		s.Handler().ServeHTTP(httptest.NewRecorder(), input{method: "POST", path: chatPath, body: chatRequest}.request())
	})
	<-h.begun
	s.StartDraining()
	over, cancel := context.WithCancel(context.Background())
	cancel()
	if err := s.Drain(over); err == nil {
		t.Error("Drain with an ended context and a request in progress: got no error, want one")
	}
	close(h.end)
	served.Wait()
	if err := s.Drain(context.Background()); err != nil {
		t.Error(err)
	}
}

// TestHangUpCancelsAndBills hangs up during a stream. The run must be cancelled, and
// the output that it produced must be billed.
func TestHangUpCancelsAndBills(t *testing.T) {
	s := &fakeSide{chunks: 1, finishGate: make(chan struct{}), cancelled: make(chan string, 1)}
	f := newTestStack(t, s)
	ctx, hangUp := context.WithCancel(context.Background())
	res, _ := f.openStream(ctx, t)
	hangUp()
	_ = res.Body.Close()
	<-s.cancelled
	f.front.StartDraining()
	if err := f.front.Drain(context.Background()); err != nil {
		t.Error(err)
	}
	if got := f.budgets.balance(); got != 100000-2 {
		t.Errorf("got balance %d, want 99998", got)
	}
}

// TestStreamLimit checks that a request above the limit of requests in progress is
// refused at once.
func TestStreamLimit(t *testing.T) {
	s := &fakeSide{chunks: 1, finishGate: make(chan struct{})}
	f := newTestStack(t, s, front.Limits{MaxInProgress: 1})
	res, _ := f.openStream(context.Background(), t)
	defer func() { _ = res.Body.Close() }()
	if res, body := f.do(t, http.MethodPost, chatPath, chatRequest); res.StatusCode != http.StatusTooManyRequests || !strings.Contains(body, `"busy"`) {
		t.Errorf("request above the limit: got status %d, body %s; want 429 with code busy", res.StatusCode, body)
	}
	close(s.finishGate)
}

// TestSlowSender sends half a body and then nothing, on a fake clock. The request must be
// refused when BodyRead has passed.
func TestSlowSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &stubEngine{}
		s := &front.Server{Engine: engine, Catalogue: catalogue{}}
		conn := connect(t, s)
		start := time.Now()
		send(t, conn, "POST "+chatPath+" HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer good\r\nContent-Length: 100\r\n\r\n{")
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if res.StatusCode != http.StatusRequestTimeout || res.Header.Get("X-Beryl-Outcome") != "not-run" {
			t.Errorf("got status %d, headers %v; want 408 and outcome not-run", res.StatusCode, res.Header)
		}
		if took := time.Since(start); took != 15*time.Second || engine.asked > 0 {
			t.Errorf("refused after %v, engine called %d times; want 15 s and 0", took, engine.asked)
		}
	})
}

// TestSlowHeaders sends half of the headers and then nothing, on a fake clock. The
// connection must be closed when HeaderRead has passed.
func TestSlowHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &front.Server{Engine: &stubEngine{}, Catalogue: catalogue{}}
		conn := connect(t, s)
		start := time.Now()
		send(t, conn, "POST "+chatPath+" HTTP/1.1\r\nHost: x\r\nX-A")
		_, _ = io.ReadAll(conn)
		if took := time.Since(start); took != 5*time.Second {
			t.Errorf("connection with an incomplete header was closed after %v, want 5 s", took)
		}
	})
}

// connect starts the server and returns a connection to it. Both are closed when the test
// ends.
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
