package edge

import (
	"fmt"
	"io"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/pkg/http1"
	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/poison"
)

// promptFields returns the fields of a request whose prompt has shared parts.
func promptFields(id, parts string) string {
	return "Request-Id: " + id + "\nDeadline: 1500\nKey: k\nTokens: 10,10\nPrefix: " + parts + ",own\n"
}

// hold brings a part into quarantine for an hour, as another instance's record does.
func (w *testEnv) hold(part string) {
	p := poison.Part{Service: "s", ID: part}
	r := poison.Record{Ended: []string{"t7/0", "t8/0", "t9/0"}, Until: time.Now().Add(time.Hour).UnixMilli(), Terms: 1}
	w.engine.quarantine.apply(keyed.Change{Entries: []keyed.Entry{{Key: p.Key(), Value: r.Encode()}}})
}

// TestQuarantinedPartIsRefused: a request with a part in quarantine reaches no target and is
// refused as not run, with the time until the end of the quarantine. Requests that share its
// other parts are served.
func TestQuarantinedPartIsRefused(t *testing.T) {
	w := newTestEnv(t, respondOK)
	w.hold("bad")
	for _, path := range []string{"/once/", "/idem/", "/stream/", "/resume/"} {
		got := w.ask(path, promptFields("q1", "common,bad,more"), "x")
		if got.status != 503 || len(w.received()) > 0 {
			t.Fatalf("%s: got status %d, %d requests at targets; want 503 and none", path, got.status, len(w.received()))
		}
		if after, err := strconv.ParseFloat(string(got.head.Get("Retry-After")), 64); err != nil || after < 3500 || after > 3600 {
			t.Errorf("%s: got Retry-After %s, want the hour until the end", path, got.head.Get("Retry-After"))
		}
	}
	if got := w.ask("/once/", promptFields("q2", "common,more"), "x"); got.status != 200 {
		t.Errorf("without the part: got status %d, want 200", got.status)
	}
}

// TestNoRepeatOnceQuarantined: a part that gets into quarantine while a request with it runs
// ends the attempts at that request. The caller isn't told that it has not run.
func TestNoRepeatOnceQuarantined(t *testing.T) {
	var w *testEnv
	breakOff := func(receivedRequest, io.Writer) bool {
		w.hold("bad")
		return false
	}
	w = newTestEnv(t, breakOff, breakOff)
	if got := w.ask("/idem/", promptFields("q1", "bad"), "x"); got.status != 502 || len(w.received()) != 1 {
		t.Errorf("got status %d, %d requests at targets; want 502 and 1", got.status, len(w.received()))
	}
}

// suspected returns the parts that the instance suspects, for all callers, of crashing targets
// at the beginning or inside of answers, and the number of requests that it suspects.
func (w *testEnv) suspected() (begin, inside []string, requests int) {
	q := &w.engine.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range q.tracker.Changes() {
		if len(c.Record.Ended) == 0 {
			continue
		}
		switch s := c.Subject.(type) {
		case poison.Part:
			if s.Inside {
				inside = append(inside, s.ID)
			} else {
				begin = append(begin, s.ID)
			}
		case poison.Exact:
			requests++
		}
	}
	return begin, inside, requests
}

// TestSuspicion: a request and the parts of its prompt are suspected if the target ended under
// it. Ends inside an answer count apart, without the own part. A target that goes on gives no
// suspicion.
func TestSuspicion(t *testing.T) {
	for _, c := range []struct {
		name string
		// response is what the target writes before it closes the connection.
		response func(id string) string
		ends     bool
		want     string
	}{
		{"ends before the head", func(string) string { return "" }, true, "[a b own] [] 1"},
		{"ends after the head", streamHead, true, "[a b own] [] 1"},
		{"ends after a head without length", func(id string) string {
			return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nSignature: s\r\n\r\n"
		}, true, "[a b own] [] 1"},
		{"ends inside the first event", func(id string) string { return streamHead(id) + "40\r\nid: 1\ndata: x" }, true, "[a b own] [] 1"},
		{"ends after several events", func(id string) string { return streamHead(id) + chunk(event(1)) + chunk(event(2)) + chunk(event(3)) }, true, "[] [a b] 1"},
		{"goes on", streamHead, false, "[] [] 0"},
		{"ends after a whole answer", func(id string) string { return streamHead(id) + chunk(event(1)) + http1.LastChunk }, true, "[] [] 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var w *testEnv
			var once sync.Once
			w = newTestEnv(t, func(a receivedRequest, to io.Writer) bool {
				write(to, c.response(a.id))
				if c.ends {
					once.Do(func() { w.end("t0") })
				}
				return false
			})
			w.ask("/stream/", promptFields("q1", "a,b"), "x")
			time.Sleep(5 * endCheckDelay)
			begin, inside, requests := w.suspected()
			if got := fmt.Sprint(begin, inside, requests); got != c.want {
				t.Errorf("suspected are %s, want %s", got, c.want)
			}
		})
	}
}
