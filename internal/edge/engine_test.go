package edge

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"github.com/beryllanding/beryllanding/internal/stand/check"
	"github.com/beryllanding/beryllanding/pkg/http1"
	"github.com/beryllanding/beryllanding/pkg/roster"
)

func write(w io.Writer, text string) bool {
	_, err := io.WriteString(w, text)
	return err == nil
}

func respondOK(a receivedRequest, w io.Writer) bool {
	return write(w, okResponse(a.id, "from "+a.target))
}

const fields = "Request-Id: r1\nDeadline: 1500\nKey: k\n"

// TestForwarded compares the request that a target receives with the golden file. The
// system's fields are set. Fields that a caller may not set and hop-by-hop fields are
// removed.
func TestForwarded(t *testing.T) {
	w := newTestEnv(t, respondOK)
	got := w.ask("/once/a?b=c", fields+"Organisation: evil\nInternal: evil\nRank: 0\nExpect-Target: evil\n"+
		"Connection: X-Hop\nX-Hop: 1\nKeep-Alive: 5\nX-End: to-end\n", "the body")
	if got.status != 200 || got.body != "from t0" || got.err != nil || string(got.head.Get("Signature")) != "s" {
		t.Fatalf("got response %+v, want status 200 and a signed body \"from t0\"", got)
	}
	a := w.received()[0]
	lines := strings.Split(a.head, "\n")
	for i, l := range lines {
		if strings.HasPrefix(l, "Deadline: ") {
			lines[i] = "Deadline: (what is left)"
		}
	}
	check.Golden(t, "forwarded.txt", strings.Join(lines, "\n")+"\n"+a.body+"\n")
}

// TestChunkedRequest: a chunked request body reaches the target complete.
func TestChunkedRequest(t *testing.T) {
	w := newTestEnv(t, respondOK)
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	write(c, "POST /once/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nKey: k\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	if got := read(bufio.NewReader(c)); got.status != 200 || w.received()[0].body != "abcde" {
		t.Errorf("got response %+v, and the target received body %q; want status 200 and body \"abcde\"", got, w.received()[0].body)
	}
}

// TestInstanceResponses checks the status of invalid requests, which the instance
// answers itself. None of them may reach a target.
func TestInstanceResponses(t *testing.T) {
	w := newTestEnv(t, respondOK)
	for _, c := range []struct {
		name, path, fields, body string
		want                     int
	}{
		{"no route", "/none/", fields, "", 404},
		{"no key", "/once/", "Request-Id: r\n", "x", 401},
		{"unknown key", "/once/", "Request-Id: r\nKey: z\n", "x", 401},
		{"two keys", "/once/", "Request-Id: r\nKey: k\nKey: k\n", "x", 401},
		{"no id", "/once/", "Key: k\n", "x", 400},
		{"two ids", "/once/", "Request-Id: a\nRequest-Id: b\nKey: k\n", "x", 400},
		{"bad deadline", "/once/", "Request-Id: r\nKey: k\nDeadline: soon\n", "x", 400},
		{"no time", "/once/", "Request-Id: r\nKey: k\nDeadline: 0\n", "x", 504},
		{"bad tokens", "/once/", "Request-Id: r\nKey: k\nTokens: many\n", "x", 400},
		{"body too large", "/once/", fields, strings.Repeat("x", 1<<16+1), 413},
		{"head too large", "/once/", fields + "X: " + strings.Repeat("x", 5000) + "\n", "x", 431},
	} {
		if got := w.ask(c.path, c.fields, c.body); got.status != c.want || got.err != nil {
			t.Errorf("%s: got response %+v, want status %d", c.name, got, c.want)
		}
	}
	if n := len(w.received()); n != 0 {
		t.Errorf("%d requests reached a target, want 0", n)
	}
	if got := w.ask("/open/", "Request-Id: r\n", "x"); got.status != 200 {
		t.Errorf("public route without a key: got response %+v, want status 200", got)
	}
}

// TestStaleConfiguration: an entry that a stale configuration lacks may exist by now,
// so the caller is told to retry.
func TestStaleConfiguration(t *testing.T) {
	w := newTestEnv(t, respondOK)
	w.engine.confirm(time.Now().Add(-time.Minute))
	for _, path := range []string{"/none/", "/once/"} {
		got := w.ask(path, "Request-Id: r\nKey: z\n", "x")
		if got.status != 503 || len(got.head.Get("Retry-After")) == 0 {
			t.Errorf("%s: got response %+v, want status 503 with Retry-After", path, got)
		}
	}
	w.engine.view.Store(nil)
	if got := w.ask("/none/", fields, "x"); got.status != 503 {
		t.Errorf("without a configuration: got response %+v, want status 503", got)
	}
}

// TestTargetFailures checks, for each way in which all targets fail, the status that
// the caller gets and how often the request was sent.
func TestTargetFailures(t *testing.T) {
	reset := func(receivedRequest, io.Writer) bool { panic(errReset) }
	full := func(a receivedRequest, w io.Writer) bool {
		return write(w, "HTTP/1.1 503 Full\r\nRequest-Id: "+a.id+"\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	}
	other := func(a receivedRequest, w io.Writer) bool {
		return write(w, "HTTP/1.1 421 Other\r\nRequest-Id: "+a.id+"\r\nContent-Length: 0\r\n\r\n")
	}
	unproven := func(a receivedRequest, w io.Writer) bool {
		return write(w, "HTTP/1.1 503 Busy\r\nRequest-Id: "+a.id+"\r\nSignature: s\r\nContent-Length: 0\r\n\r\n")
	}
	ownFailure := func(a receivedRequest, w io.Writer) bool {
		return write(w, "HTTP/1.1 500 Broken\r\nRequest-Id: "+a.id+"\r\nSignature: s\r\nContent-Length: 3\r\n\r\nbad")
	}
	short := func(a receivedRequest, w io.Writer) bool {
		write(w, "HTTP/1.1 200 OK\r\nRequest-Id: "+a.id+"\r\nSignature: s\r\nContent-Length: 10\r\n\r\nabc")
		return false
	}
	unsigned := func(a receivedRequest, w io.Writer) bool {
		return write(w, "HTTP/1.1 200 OK\r\nRequest-Id: "+a.id+"\r\nContent-Length: 3\r\n\r\nabc")
	}
	encoded := func(a receivedRequest, w io.Writer) bool {
		return write(w, "HTTP/1.1 200 OK\r\nRequest-Id: "+a.id+"\r\nSignature: s\r\nContent-Encoding: gzip\r\nContent-Length: 3\r\n\r\nabc")
	}
	garbage := func(_ receivedRequest, w io.Writer) bool { write(w, "\x16\x03\x01garbage\r\n\r\n"); return false }
	wrongResponse := func(_ receivedRequest, w io.Writer) bool { return write(w, okResponse("another", "not yours")) }
	for _, c := range []struct {
		name                   string
		script                 script
		once, idem             int
		onceSent, idemSent     int
		signedOnce, signedIdem bool
	}{
		{"reset", reset, 502, 502, 1, 3, false, false},
		{"full", full, 503, 503, 3, 3, false, false},
		{"other target at the address", other, 503, 503, 3, 3, false, false},
		{"refused without proof", unproven, 502, 502, 1, 3, false, false},
		{"own failure", ownFailure, 500, 500, 1, 3, true, true},
		{"cut short", short, 502, 502, 1, 3, false, false},
		{"unsigned", unsigned, 502, 502, 1, 3, false, false},
		{"encoded", encoded, 502, 502, 1, 3, false, false},
		{"garbage", garbage, 502, 502, 1, 3, false, false},
		{"response to another request", wrongResponse, 504, 504, 1, 2, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newTestEnv(t, c.script, c.script, c.script)
			once := w.ask("/once/", "Request-Id: r1\nDeadline: 300\nKey: k\n", "x")
			n := len(w.received())
			idem := w.ask("/idem/", "Request-Id: r2\nDeadline: 300\nKey: k\n", "x")
			m := len(w.received()) - n
			if once.status != c.once || n != c.onceSent || (once.head.Get("Signature") != nil) != c.signedOnce {
				t.Errorf("once: got status %d, sent %d times, error %v; want status %d, sent %d times, signed %v",
					once.status, n, once.err, c.once, c.onceSent, c.signedOnce)
			}
			if idem.status != c.idem || m != c.idemSent || (idem.head.Get("Signature") != nil) != c.signedIdem {
				t.Errorf("idempotent: got status %d, sent %d times, error %v; want status %d, sent %d times, signed %v",
					idem.status, m, idem.err, c.idem, c.idemSent, c.signedIdem)
			}
		})
	}
}

// TestSecondTargetAnswers: the failure of one target is hidden from the caller if the
// request is repeatable or did not run.
func TestSecondTargetAnswers(t *testing.T) {
	full := func(a receivedRequest, w io.Writer) bool {
		return write(w, "HTTP/1.1 503 Full\r\nRequest-Id: "+a.id+"\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	}
	reset := func(receivedRequest, io.Writer) bool { panic(errReset) }
	for path, fails := range map[string]script{"/once/": full, "/idem/": reset} {
		var n atomic.Int64
		s := func(a receivedRequest, w io.Writer) bool {
			if n.Add(1) == 1 {
				return fails(a, w)
			}
			return respondOK(a, w)
		}
		w := newTestEnv(t, s, s)
		if got := w.ask(path, fields, "x"); got.status != 200 || len(w.received()) != 2 {
			t.Errorf("%s: got response %+v after %d attempts, want status 200 after 2", path, got, len(w.received()))
		}
	}
}

// TestLateExtraResponse: a target sends a second response to an earlier request where
// the next response is expected. It must be discarded.
func TestLateExtraResponse(t *testing.T) {
	n := 0
	w := newTestEnv(t, func(a receivedRequest, w io.Writer) bool {
		n++
		if n == 2 {
			write(w, okResponse("r1", "late and extra"))
		}
		return respondOK(a, w)
	})
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for i := 1; i <= 3; i++ {
		got := w.askOn(c, r, "/once/", fmt.Sprintf("Request-Id: r%d\nKey: k\n", i), "x")
		if got.status != 200 || got.body != "from t0" || string(got.head.Get("Request-Id")) != fmt.Sprintf("r%d", i) {
			t.Errorf("request %d: got response %+v, want its own response \"from t0\"", i, got)
		}
	}
}

// TestPipelined: pipelined requests are served in order, each with its own response.
func TestPipelined(t *testing.T) {
	w := newTestEnv(t, respondOK)
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	for i := range 3 {
		write(c, fmt.Sprintf("GET /idem/%d HTTP/1.1\r\nHost: h\r\nRequest-Id: p%d\r\nKey: k\r\n\r\n", i, i))
	}
	r := bufio.NewReader(c)
	for i := range 3 {
		if got := read(r); got.status != 200 || string(got.head.Get("Request-Id")) != fmt.Sprintf("p%d", i) {
			t.Errorf("pipelined response %d: got response %+v, want status 200 and Request-Id p%d", i, got, i)
		}
	}
}

// TestEarlyResponse: a target responds before it has read a long body, and reads the
// rest of the body later. The instance must send this rest and nothing else on the
// connection.
func TestEarlyResponse(t *testing.T) {
	const size = 60_000
	w := newTestEnv(t)
	faults := make(chan string, 4)
	addr := w.listen(func(l net.Listener) {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveEarlyResponses(c, size, faults)
		}
	})
	w.engine.fleet.update([]roster.Target{{ID: "t", Service: "s", Address: addr, DataCentre: "here"}})
	for i := range 3 {
		if got := w.ask("/once/", fmt.Sprintf("Request-Id: e%d\nKey: k\n", i), strings.Repeat("x", size)); got.status != 200 {
			t.Errorf("request %d: got response %+v, want status 200", i, got)
		}
	}
	select {
	case fault := <-faults:
		t.Error(fault)
	default:
	}
}

// serveEarlyResponses responds to each request before it reads the body. It reports
// malformed requests and wrong body bytes.
func serveEarlyResponses(c net.Conn, size int, faults chan<- string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		head := &http1.Head{}
		if err := head.ReadRequest(r, 4096); err != nil {
			if errors.Is(err, http1.ErrMalformed) {
				faults <- err.Error()
			}
			return
		}
		write(c, okResponse(string(head.Get("Request-Id")), "early"))
		time.Sleep(50 * time.Millisecond)
		body := make([]byte, size)
		if _, err := io.ReadFull(r, body); err != nil {
			return // The instance may close the connection.
		}
		if strings.Trim(string(body), "x") != "" {
			faults <- "request body contains bytes that the caller did not send"
		}
	}
}

// TestCallerDisconnects: the connection to the target is closed once the caller has
// disconnected, so that the target can cancel the work.
func TestCallerDisconnects(t *testing.T) {
	closed := make(chan struct{})
	started := make(chan struct{})
	w := newTestEnv(t)
	addr := w.listen(func(l net.Listener) {
		c, err := l.Accept()
		if err != nil {
			return
		}
		buf := make([]byte, 4096)
		_, _ = c.Read(buf)
		close(started)
		for {
			if _, err := c.Read(buf); err != nil {
				close(closed)
				return
			}
		}
	})
	w.engine.fleet.update([]roster.Target{{ID: "t", Service: "s", Address: addr, DataCentre: "here"}})
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	write(c, "GET /idem/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nKey: k\r\n\r\n")
	<-started
	_ = c.Close()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection to the target is still open 5 s after the caller disconnected")
	}
}

// TestDeadline: a caller whose target is silent gets 504 at its deadline.
func TestDeadline(t *testing.T) {
	w := newTestEnv(t, func(receivedRequest, io.Writer) bool { time.Sleep(3 * time.Second); return false })
	began := time.Now()
	got := w.ask("/once/", "Request-Id: r\nDeadline: 200\nKey: k\n", "x")
	if got.status != 504 || time.Since(began) < 150*time.Millisecond {
		t.Errorf("got response %+v after %v, want status 504 after 150 ms or more", got, time.Since(began))
	}
}

// TestBudget: a request reserves its upper bound of tokens and is charged for the
// output that was forwarded. It is denied if the remaining tokens do not cover the
// bound.
func TestBudget(t *testing.T) {
	w := newTestEnv(t, func(a receivedRequest, w io.Writer) bool {
		return write(w, streamHead(a.id)+chunk(events(1, 2))+"0\r\n\r\n")
	})
	var statuses []int
	for range 4 {
		statuses = append(statuses, w.ask("/stream/", "Request-Id: r\nKey: p\nTokens: 280,200\n", "x").status)
	}
	// Each response costs 300 of the 1000 tokens: the prompt and two events of ten
	// tokens. The third request needs a reservation of 480, but only 400 are left.
	if diff := cmp.Diff([]int{200, 200, 503, 503}, statuses); diff != "" {
		t.Error(diff)
	}
}

// TestJitter rejects a thousand callers at once. Their Retry-After must be spread evenly
// and be at least busyRetry. A caller with little time left must get a shorter one that
// it can still use.
func TestJitter(t *testing.T) {
	const callers, bin = 1000, 50 * time.Millisecond
	x := &exchange{deadline: time.Now().Add(time.Minute)}
	returns := make(map[time.Duration]int)
	for range callers {
		d := x.jitter(busyRetry, retryJitter*busyRetry)
		if d < busyRetry || d > (1+retryJitter)*busyRetry {
			t.Fatalf("got Retry-After %v, want %v to %v", d, busyRetry, (1+retryJitter)*busyRetry)
		}
		returns[d/bin]++
	}
	for at, n := range returns {
		// An even spread puts 67 into each of 15 bins; 120 is six standard deviations
		// above that mean.
		if n > 120 {
			t.Errorf("%d of %d callers got a Retry-After within %v from %v on, want at most 120", n, callers, bin, at*bin)
		}
	}
	x.deadline = time.Now().Add(300 * time.Millisecond)
	for range callers {
		if d := x.jitter(busyRetry, retryJitter*busyRetry); d > 100*time.Millisecond {
			t.Fatalf("got Retry-After %v with 300 ms left, want at most 100 ms", d)
		}
	}
}

// TestLongAttemptIsLogged: a long attempt is logged with its target while in progress,
// so that the log names the target if the instance is killed. A short attempt is not
// logged.
func TestLongAttemptIsLogged(t *testing.T) {
	w := newTestEnv(t, func(a receivedRequest, c io.Writer) bool {
		if strings.Contains(a.head, "/open/long") {
			time.Sleep(slowAttempt + slowAttempt/4)
		}
		_, _ = io.WriteString(c, okResponse(a.id, "done"))
		return true
	})
	var lines logRecorder
	w.engine.Logger = log.NewWithOptions(&lines, log.Options{Formatter: log.JSONFormatter})
	w.ask("/idem/short", strings.NewReplacer("r1", "short").Replace(fields), "x")
	w.ask("/open/long", strings.NewReplacer("r1", "long", "1500", "9000").Replace(fields), "x")
	got := lines.containing("attempt in progress")
	if len(got) != 1 || !strings.Contains(got[0], `"request-id":"long"`) || !strings.Contains(got[0], `"target":"t0"`) {
		t.Errorf("got log lines %q, want one for request \"long\" at target \"t0\"; all lines:\n%s", got, lines.containing(""))
	}
}

// logRecorder records the log lines written to it.
type logRecorder struct {
	mu    sync.Mutex
	lines []string
}

func (k *logRecorder) Write(line []byte) (int, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lines = append(k.lines, string(line))
	return len(line), nil
}

// containing returns the recorded lines that contain the text.
func (k *logRecorder) containing(text string) (lines []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, l := range k.lines {
		if strings.Contains(l, text) {
			lines = append(lines, l)
		}
	}
	return lines
}
