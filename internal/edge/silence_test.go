package edge

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/internal/trial"
	"github.com/beryllanding/beryllanding/pkg/roster"
)

// pauseTime is longer than minSilence, after which the instance looks for another target.
const pauseTime = 700 * time.Millisecond

// pausing returns a target's script: its first request is answered with a pause, within the
// stream or before the response; the others are answered by the script next.
func pausing(first *atomic.Bool, next script) script {
	return func(a receivedRequest, w io.Writer) bool {
		if !first.CompareAndSwap(false, true) {
			return next(a, w)
		}
		if !strings.Contains(a.head, " /resume/") {
			time.Sleep(pauseTime)
			return write(w, okResponse(a.id, "answer"))
		}
		if !write(w, streamHead(a.id)+chunk(events(1, 2))) {
			return false
		}
		time.Sleep(pauseTime)
		return write(w, chunk(events(3, 4))+"0\r\n\r\n")
	}
}

// TestPausedTargetLosesNoRequest guards against a request that is cut off while its target
// still works on it, because the instance gave up the silent target before another one had
// taken the request.
func TestPausedTargetLosesNoRequest(t *testing.T) {
	var paused atomic.Bool
	refuse := func(a receivedRequest, w io.Writer) bool {
		return write(w, "HTTP/1.1 503 Full\r\nRequest-Id: "+a.id+"\r\nNot-Run: full\r\nContent-Length: 0\r\n\r\n")
	}
	for _, tt := range []struct {
		name string
		// others are the other targets; nil stands for one that pauses too.
		others []script
		set    func(*testEnv)
	}{
		{name: "no other target"},
		{name: "no retries left", others: []script{respondOK}, set: func(w *testEnv) { w.engine.fleet.off = trial.Off{trial.Retries: true} }},
		{name: "others refuse", others: []script{refuse, refuse}},
		{name: "others break off", others: []script{func(receivedRequest, io.Writer) bool { return false }, func(receivedRequest, io.Writer) bool { panic(errReset) }}},
		{name: "others stop in the head", others: []script{func(_ receivedRequest, w io.Writer) bool { write(w, "HTTP/1.1 200 OK\r\nSigna"); return false }}},
		{name: "others fail", others: []script{func(a receivedRequest, w io.Writer) bool {
			return write(w, "HTTP/1.1 500 Broken\r\nRequest-Id: "+a.id+"\r\nSignature: s\r\nContent-Length: 0\r\n\r\n")
		}}},
		{name: "others are silent", others: []script{func(receivedRequest, io.Writer) bool { time.Sleep(3 * time.Second); return false }}},
		{name: "others cannot be reached", others: []script{respondOK}, set: func(w *testEnv) { w.end("t1") }},
		{name: "others have another version", others: []script{respondOK}, set: func(w *testEnv) { w.setVersion("t0", "v1"); w.setVersion("t1", "v2") }},
	} {
		for _, path := range []string{"/resume/", "/idem/"} {
			if path == "/idem/" && tt.name == "others have another version" {
				continue // It matters to streams only.
			}
			t.Run(fmt.Sprintf("%s%s", tt.name, path), func(t *testing.T) {
				paused.Store(false)
				var scripts []script
				for _, s := range append([]script{refuse}, tt.others...) {
					scripts = append(scripts, pausing(&paused, s))
				}
				w := newTestEnv(t, scripts...)
				if tt.set != nil {
					tt.set(w)
				}
				w.useFirst("t0")
				got := w.ask(path, fields, "x")
				want := "answer"
				if path == "/resume/" {
					want = events(1, 4)
				}
				if got.status != 200 || got.err != nil || got.body != want {
					t.Errorf("got response %+v, want status 200 and %q; targets got %+v", got, want, w.received())
				}
			})
		}
	}
}

// TestStandbyEndsWithItsNeed guards against a standby that goes on, at its target's cost, after
// the silent target has spoken again.
func TestStandbyEndsWithItsNeed(t *testing.T) {
	var paused atomic.Bool
	closed := make(chan time.Time, 1)
	wait := func(_ receivedRequest, w io.Writer) bool {
		_, _ = w.(net.Conn).Read(make([]byte, 1)) // It returns when the instance closes the connection.
		closed <- time.Now()
		return false
	}
	w := newTestEnv(t, pausing(&paused, wait), pausing(&paused, wait))
	w.useFirst("t0")
	if got := w.ask("/resume/", fields, "x"); got.err != nil || got.body != events(1, 4) {
		t.Fatalf("got response %+v, want events 1 to 4", got)
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the standby's connection is open 5 s after the end of the request")
	}
	// The current attempt ends after its response has been written.
	for end := time.Now().Add(5 * time.Second); w.openAttempts() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if open := w.openAttempts(); open != 0 {
		t.Errorf("%d attempts count as open 5 s after the end of the request, want none", open)
	}
}

// TestSilentTargetEnds guards against a stream that is lost, or ends as complete with a part,
// when the silent target's connection ends while a standby is about to answer.
func TestSilentTargetEnds(t *testing.T) {
	unframed := func(id string) string { return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nSignature: s\r\n\r\n" }
	for _, tt := range []struct {
		name  string
		head  func(id string) string
		reset bool
		// refuses is set if the standby's target refuses in the end.
		refuses  bool
		want     string
		complete bool
		requests int
	}{
		{name: "reset", head: streamHead, reset: true, want: events(1, 4), complete: true, requests: 2},
		{name: "closed", head: streamHead, want: events(1, 4), complete: true, requests: 2},
		{name: "closed, no standby", head: streamHead, refuses: true, want: events(1, 2), requests: 2},
		{name: "reset, no standby", head: streamHead, reset: true, refuses: true, want: events(1, 2), requests: 2},
		{name: "reset without framing, no standby", head: unframed, reset: true, refuses: true, want: events(1, 2), requests: 2},
		{name: "whole without framing", head: unframed, want: events(1, 2), complete: true, requests: 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var first atomic.Bool
			s := func(a receivedRequest, w io.Writer) bool {
				if first.CompareAndSwap(false, true) {
					if strings.Contains(tt.head(""), "chunked") {
						write(w, tt.head(a.id)+chunk(events(1, 2)))
					} else {
						write(w, tt.head(a.id)+events(1, 2))
					}
					time.Sleep(400 * time.Millisecond)
					if tt.reset {
						panic(errReset)
					}
					return false
				}
				time.Sleep(400 * time.Millisecond)
				if tt.refuses {
					return write(w, "HTTP/1.1 503 Full\r\nRequest-Id: "+a.id+"\r\nNot-Run: full\r\nContent-Length: 0\r\n\r\n")
				}
				return write(w, streamHead(a.id)+chunk(events(lastEvent(a)+1, 4))+"0\r\n\r\n")
			}
			w := newTestEnv(t, s, s)
			w.setMaxTargets(2)
			got := w.ask("/resume/", fields, "x")
			if got.body != tt.want || (got.err == nil) != tt.complete {
				t.Errorf("got response %+v, want %q, complete %v", got, tt.want, tt.complete)
			}
			if got := w.received(); len(got) != tt.requests {
				t.Errorf("targets got %d requests, want %d", len(got), tt.requests)
			}
		})
	}
}

// setMaxTargets sets the bound on the targets of each request.
func (w *testEnv) setMaxTargets(n int) {
	tbl := *w.engine.view.Load()
	for _, r := range tbl.Routes {
		r.MaxTargets = n
	}
	w.setTable(&tbl)
}

// openAttempts returns the number of attempts that count as being in progress at targets.
func (w *testEnv) openAttempts() (n int) {
	f := w.engine.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.groups["s"].byName {
		n += t.open
	}
	return n
}

// useFirst takes all targets but one out of use, and takes them in again after the first
// request has been sent.
func (w *testEnv) useFirst(id string) {
	all := w.listed()
	w.engine.fleet.update(slices.DeleteFunc(slices.Clone(all), func(t roster.Target) bool { return t.ID != id }))
	go func() {
		for len(w.received()) == 0 && w.t.Context().Err() == nil {
			time.Sleep(time.Millisecond)
		}
		w.engine.fleet.update(all)
	}()
}

// listed returns the targets in use.
func (w *testEnv) listed() (list []roster.Target) {
	f := w.engine.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.groups["s"].byName {
		list = append(list, t.Target)
	}
	return list
}

// setVersion sets the version of a target.
func (w *testEnv) setVersion(id, version string) {
	list := w.listed()
	for i := range list {
		if list[i].ID == id {
			list[i].Version = version
		}
	}
	w.engine.fleet.update(list)
}
