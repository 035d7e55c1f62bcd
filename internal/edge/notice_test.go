package edge

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// countAt returns how many requests the target has received.
func (w *testEnv) countAt(target string) (n int) {
	for _, a := range w.received() {
		if a.target == target {
			n++
		}
	}
	return n
}

// askMany sends n requests one after another and returns their statuses.
func (w *testEnv) askMany(path string, n int) map[int]int {
	w.t.Helper()
	statuses := make(map[int]int)
	for i := range n {
		statuses[w.ask(path, fmt.Sprintf("Request-Id: m%d\nDeadline: 1500\nKey: k\n", i), "x").status]++
	}
	return statuses
}

// failRepeatable fails repeatable requests and answers others. The retries of repeatable
// requests go to any other target that may be used, however often that one has failed.
func failRepeatable(a receivedRequest, w io.Writer) bool {
	if strings.Contains(a.head, " /idem/") {
		return write(w, "HTTP/1.1 500 Broken\r\nRequest-Id: "+a.id+"\r\nSignature: s\r\nContent-Length: 0\r\n\r\n")
	}
	return respondOK(a, w)
}

// TestLeavingTarget: a target that says in any response that it leaves gets no further
// request, though the list shows it as ready. The response itself, also a stream that is
// open at that time, reaches the caller whole.
func TestLeavingTarget(t *testing.T) {
	head := func(status int, id, more string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nRequest-Id: %s\r\nLeaving: 1\r\n%s", status, id, more)
	}
	const empty = "Content-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name, path string
		// response is what the leaving target writes.
		response func(id string) string
		// status and body are what the caller gets.
		status int
		body   string
	}{
		{"success", "/once/", func(id string) string { return head(200, id, "Signature: s\r\nContent-Length: 2\r\n\r\nok") }, 200, "ok"},
		{"stream", "/stream/", func(id string) string {
			return head(200, id, "Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n") + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n"
		}, 200, events(1, 2)},
		{"own failure", "/once/", func(id string) string { return head(500, id, "Signature: s\r\nContent-Length: 3\r\n\r\nbad") }, 500, "bad"},
		{"full", "/once/", func(id string) string { return head(503, id, "Not-Run: 1\r\n"+empty) }, 200, "from t1"},
		{"other target at the address", "/once/", func(id string) string { return head(421, id, empty) }, 200, "from t1"},
		{"late response to an earlier request", "/once/", func(id string) string {
			return head(200, "earlier", "Signature: s\r\n"+empty) + okResponse(id, "ok")
		}, 200, "ok"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var said atomic.Bool
			w := newTestEnv(t, func(a receivedRequest, w io.Writer) bool {
				said.Store(true)
				return write(w, c.response(a.id))
			}, failRepeatable)
			var got reply
			for !said.Load() {
				got = w.ask(c.path, fields, "x")
			}
			if got.status != c.status || got.body != c.body || got.err != nil {
				t.Errorf("got response %+v, want status %d and body %q", got, c.status, c.body)
			}
			statuses := w.askMany("/idem/", 30)
			if n := w.countAt("t0"); n != 1 || statuses[500] != 30 {
				t.Errorf("the leaving target got %d requests, want 1; statuses of the others %v, want 500 only", n, statuses)
			}
		})
	}
}

// TestNotLeaving: other values of the field, and the field of another target, withdraw
// nothing.
func TestNotLeaving(t *testing.T) {
	for _, value := range []string{"0", "", "yes", "11", "-1"} {
		w := newTestEnv(t, func(a receivedRequest, w io.Writer) bool {
			return write(w, "HTTP/1.1 200 OK\r\nRequest-Id: "+a.id+"\r\nSignature: s\r\nLeaving: "+value+"\r\nContent-Length: 0\r\n\r\n")
		})
		if statuses := w.askMany("/once/", 3); statuses[200] != 3 {
			t.Errorf("value %q: statuses are %v, want 200 only", value, statuses)
		}
	}
}

// TestEveryTargetLeaves: once all targets of a service have said that they leave, callers
// get 503 with a time for a retry, and no target gets a request.
func TestEveryTargetLeaves(t *testing.T) {
	leave := func(a receivedRequest, w io.Writer) bool {
		return write(w, "HTTP/1.1 200 OK\r\nRequest-Id: "+a.id+"\r\nSignature: s\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n")
	}
	w := newTestEnv(t, leave, leave)
	if statuses := w.askMany("/once/", 10); statuses[200] != 2 || statuses[503] != 8 {
		t.Errorf("statuses are %v, want two 200 and eight 503", statuses)
	}
	if got := w.ask("/once/", fields, "x"); got.head.Get("Retry-After") == nil {
		t.Errorf("got response %+v, want a Retry-After", got)
	}
	if n := len(w.received()); n != 2 {
		t.Errorf("targets got %d requests, want 2", n)
	}
}

// askForRest refuses a request and asks for a rest of a number of seconds.
func askForRest(seconds string) script {
	return func(a receivedRequest, w io.Writer) bool {
		return write(w, "HTTP/1.1 503 Rest\r\nRequest-Id: "+a.id+"\r\nNot-Run: 1\r\nRetry-After: "+seconds+"\r\nContent-Length: 0\r\n\r\n")
	}
}

// TestRestingTarget: a target that asked for a rest gets no request while it lasts, on
// kept connections or new ones, as a first attempt or a retry.
func TestRestingTarget(t *testing.T) {
	w := newTestEnv(t, askForRest("30"), failRepeatable)
	for w.countAt("t0") == 0 {
		if got := w.ask("/once/", fields, "x"); got.status != 200 {
			t.Fatalf("got response %+v, want status 200 from the other target", got)
		}
	}
	if statuses := w.askMany("/idem/", 30); statuses[500] != 30 || w.countAt("t0") != 1 {
		t.Errorf("the resting target got %d requests, want 1; statuses %v, want 500 only", w.countAt("t0"), statuses)
	}
}

// TestEveryTargetRests: while all targets rest, callers are refused at once, with the
// time of the first return, but not more than they can use.
func TestEveryTargetRests(t *testing.T) {
	w := newTestEnv(t, askForRest("20"), askForRest("1.5"))
	for _, c := range []struct {
		deadline    string
		least, most float64
	}{
		{"30000", 0, 2}, // the first one finds out
		{"30000", 0.5, 2.25},
		{"1500", 0.25, 0.5},
	} {
		got := w.ask("/open/", "Request-Id: r\nDeadline: "+c.deadline+"\n", "x")
		after, err := strconv.ParseFloat(string(got.head.Get("Retry-After")), 64)
		if got.status != 503 || err != nil || after < c.least || after > c.most {
			t.Errorf("deadline %s ms: status %d, Retry-After %v (%v); want 503 and %v to %v s", c.deadline, got.status, after, err, c.least, c.most)
		}
		for len(w.received()) < 2 { // Each target may take the first request.
			w.ask("/open/", "Request-Id: r\nDeadline: 30000\n", "x")
		}
	}
	if n := len(w.received()); n != 2 {
		t.Errorf("targets got %d requests, want one each", n)
	}
}

// TestRestWish checks the values of Retry-After.
func TestRestWish(t *testing.T) {
	for field, want := range map[string]time.Duration{
		"": 0, "x": 0, "-1": 0, "0": 0, "NaN": 0, "-Inf": 0, "1 2": 0, "Wed, 21 Oct 2026 07:28:00 GMT": 0,
		"1": time.Second, " 2.25 ": 2250 * time.Millisecond, "0.001": time.Millisecond,
		"1e300": math.MaxInt64, "Inf": math.MaxInt64, "99999999999": math.MaxInt64,
	} {
		if got := restWish([]byte(field)); got != want {
			t.Errorf("%q: got %v, want %v", field, got, want)
		}
	}
}

// TestParseLimit: limits are decimal numbers; anything else is ignored.
func TestParseLimit(t *testing.T) {
	for field, want := range map[string]float64{"1": 1, " 1.1 ": 1.1, "250": 250, "0": minLimit, "0.001": minLimit} {
		if got, ok := parseLimit([]byte(field)); !ok || got != want {
			t.Errorf("%q: got %v, valid %v; want %v", field, got, ok, want)
		}
	}
	for _, field := range []string{"", "x", "-1", "NaN", "Inf", "1,5", "1 2"} {
		if got, ok := parseLimit([]byte(field)); ok {
			t.Errorf("%q: got %v, want it ignored", field, got)
		}
	}
	if got, ok := parseLimit(nil); !ok || got != 0 {
		t.Errorf("no field: got %v, valid %v; want no limit", got, ok)
	}
}
