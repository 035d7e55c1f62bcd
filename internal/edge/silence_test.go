package edge

import (
	"fmt"
	"io"
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
		{name: "others have another version", others: []script{respondOK}, set: func(w *testEnv) { w.setVersion("t1", "v2") }},
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
				// The first request goes to the first target.
				w.keepOnly("t0")
				if tt.set != nil {
					tt.set(w)
				}
				time.AfterFunc(50*time.Millisecond, w.useAll)
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

// keepOnly takes all targets but one out of use. useAll takes them in again.
func (w *testEnv) keepOnly(id string) {
	f := w.engine.fleet
	w.all = nil
	f.mu.Lock()
	for _, t := range f.groups["s"].byName {
		w.all = append(w.all, t.Target)
	}
	f.mu.Unlock()
	var only []roster.Target
	for _, t := range w.all {
		if t.ID == id {
			only = append(only, t)
		}
	}
	f.update(only)
}

func (w *testEnv) useAll() { w.engine.fleet.update(w.all) }

// setVersion sets the version of a target that is out of use.
func (w *testEnv) setVersion(id, version string) {
	for i := range w.all {
		if w.all[i].ID == id {
			w.all[i].Version = version
		}
	}
}
