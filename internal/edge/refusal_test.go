package edge

import (
	"fmt"
	"io"
	"sync"
	"testing"
)

func refusal(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
}

// refusingTarget refuses the first requests on its first connection. From then on it writes the
// last refusal once more before it runs a request on that connection.
type refusingTarget struct {
	refusals int

	mu    sync.Mutex
	first io.Writer
	runs  int
}

func (f *refusingTarget) serve(a receivedRequest, w io.Writer) bool {
	f.mu.Lock()
	if f.first == nil {
		f.first = w
	}
	repeats := f.first == w
	refuses := repeats && f.refusals > 0
	if refuses {
		f.refusals--
	} else {
		f.runs++
	}
	f.mu.Unlock()
	switch {
	case refuses:
		return write(w, refusal(a.id))
	case repeats:
		return write(w, refusal(a.id)+okResponse(a.id, "ran"))
	}
	return write(w, okResponse(a.id, "ran"))
}

// TestRepeatedRefusal guards against the copy of a refusal that is taken for the response to a
// further attempt at the same request. The request then runs, and its caller is told that it
// has not, or it runs at another target too.
func TestRepeatedRefusal(t *testing.T) {
	for name, c := range map[string]struct {
		path     string
		refusals []int
	}{
		"one target":                     {"/once/", []int{1}},
		"one target that refuses twice":  {"/once/", []int{2}},
		"all targets, then one of them":  {"/once/", []int{1, 1}},
		"the caller sends its id again":  {"/open/", []int{1}},
		"a stream":                       {"/resume/", []int{1}},
		"a request that may be repeated": {"/idem/", []int{1}},
	} {
		t.Run(name, func(t *testing.T) {
			var targets []*refusingTarget
			var scripts []script
			for _, n := range c.refusals {
				target := &refusingTarget{refusals: n}
				targets, scripts = append(targets, target), append(scripts, target.serve)
			}
			w := newTestEnv(t, scripts...)
			got := w.ask(c.path, fields, "x")
			if c.path == "/open/" { // The route allows one attempt.
				got = w.ask(c.path, fields, "x")
			}
			runs := 0
			for _, target := range targets {
				runs += target.runs
			}
			switch {
			case runs > 1 && c.path == "/once/":
				t.Errorf("the request ran %d times, want once at most", runs)
			case runs > 0 && got.status == 503:
				t.Errorf("got status 503, which says that the request has not run, and it ran %d times", runs)
			case runs == 0:
				t.Errorf("got status %d, and the request has not run; want another attempt", got.status)
			}
		})
	}
}
