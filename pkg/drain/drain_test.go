package drain

import (
	"fmt"
	"testing"
	"time"
)

var began = time.Unix(1_000_000, 0)

// takesUntilFinal is a policy that takes all but streams until a fixed time before the end.
func takesUntilFinal(p Plan, now time.Time, r Request) bool {
	if p.Late(now) && r.Stream {
		return false
	}
	return p.End().Sub(now) >= 2*time.Second
}

// work is a kind of request, with the time that its target needs.
type work struct {
	deadline, takes, usual time.Duration
	repeatable, stream     bool
}

var works = []work{
	{deadline: time.Second, takes: 30 * time.Millisecond, usual: 40 * time.Millisecond},
	{deadline: 4 * time.Second, takes: 3900 * time.Millisecond, usual: 60 * time.Millisecond},
	{deadline: 9 * time.Second, takes: 4500 * time.Millisecond, usual: 4500 * time.Millisecond},
	{deadline: 30 * time.Second, takes: 20 * time.Second},
	{deadline: 1500 * time.Millisecond, takes: 30 * time.Millisecond, usual: 40 * time.Millisecond, repeatable: true},
	{deadline: 15 * time.Second, takes: 3 * time.Second, usual: 4 * time.Second, repeatable: true, stream: true},
	{deadline: 5 * time.Second, takes: time.Second, usual: 2 * time.Second, repeatable: true, stream: true},
	{deadline: 5 * time.Second, takes: 4 * time.Second, usual: 4 * time.Second, stream: true},
}

// replay returns the requests that are taken and cut at the end of the stop, of arrivals every
// 10 ms.
func replay(takes func(Plan, time.Time, Request) bool, p Plan) (cut []string) {
	for at := time.Duration(0); at < p.Grace; at += 10 * time.Millisecond {
		for _, w := range works {
			now := p.Began.Add(at)
			r := Request{Deadline: now.Add(w.deadline), Repeatable: w.repeatable, Stream: w.stream, Usual: w.usual}
			if takes(p, now, r) && now.Add(min(w.takes, w.deadline)).After(p.End()) {
				cut = append(cut, fmt.Sprintf("%+v at %v", w, at))
			}
		}
	}
	return cut
}

// TestNothingTakenIsCut guards against requests that are taken during a planned stop and cut at
// its end.
func TestNothingTakenIsCut(t *testing.T) {
	old := 0
	for _, grace := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 4 * time.Second, 6 * time.Second, 8 * time.Second, 30 * time.Second} {
		p := Plan{Began: began, Grace: grace}
		if cut := replay(Plan.Takes, p); len(cut) > 0 {
			t.Errorf("grace %v: %d requests are taken and cut, the first is %s", grace, len(cut), cut[0])
		}
		old += len(replay(takesUntilFinal, p))
	}
	if old == 0 {
		t.Error("the policy with a fixed time before the end cuts none: the test shows nothing")
	}
	t.Logf("the policy with a fixed time before the end cuts %d", old)
}

// TestTakes guards against requests that are refused although they fit into what is left.
func TestTakes(t *testing.T) {
	p := Plan{Began: began, Grace: 8 * time.Second}
	short := Request{Deadline: began.Add(time.Second)}
	for _, tt := range []struct {
		name  string
		grace time.Duration
		at    time.Duration
		r     Request
		want  bool
	}{
		{"short, at once", 8 * time.Second, 0, short, true},
		{"short, a grace of 2 s", 2 * time.Second, 0, short, true},
		{"short, a grace of 1 s", time.Second, 0, short, false},
		{"short, as late as it fits", 8 * time.Second, 6300 * time.Millisecond, Request{Deadline: p.End()}, true},
		{"short, too late", 8 * time.Second, 6301 * time.Millisecond, Request{Deadline: p.End().Add(time.Millisecond)}, false},
		{"long stream that usually fits", 8 * time.Second, 2 * time.Second, Request{Deadline: began.Add(17 * time.Second), Repeatable: true, Stream: true, Usual: 4 * time.Second}, true},
		{"the same, not to be repeated", 8 * time.Second, 2 * time.Second, Request{Deadline: began.Add(17 * time.Second), Stream: true, Usual: 4 * time.Second}, false},
		{"the same, duration unknown", 8 * time.Second, 2 * time.Second, Request{Deadline: began.Add(17 * time.Second), Repeatable: true, Stream: true}, true},
		{"the same, not to be repeated, duration unknown", 8 * time.Second, 2 * time.Second, Request{Deadline: began.Add(17 * time.Second), Stream: true}, false},
		{"the same, late", 8 * time.Second, 2600 * time.Millisecond, Request{Deadline: began.Add(17 * time.Second), Repeatable: true, Stream: true, Usual: time.Second}, false},
		{"the same, a grace of 4 s", 4 * time.Second, 0, Request{Deadline: began.Add(15 * time.Second), Repeatable: true, Stream: true, Usual: 4 * time.Second}, false},
	} {
		if got := (Plan{Began: began, Grace: tt.grace}).Takes(began.Add(tt.at), tt.r); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestDurations guards against an average that follows a single slow request, or none.
func TestDurations(t *testing.T) {
	var d Durations
	if got := d.Usual("a"); got != 0 {
		t.Errorf("before any request: got %v, want 0", got)
	}
	for range 20 {
		d.Note("a", time.Second)
	}
	d.Note("a", 9*time.Second)
	if got := d.Usual("a"); got != 2*time.Second {
		t.Errorf("after one of 9 s: got %v, want 2s", got)
	}
	for range 40 {
		d.Note("a", 5*time.Second)
	}
	if got := d.Usual("a"); got < 4900*time.Millisecond || got > 5*time.Second {
		t.Errorf("after 40 of 5 s: got %v, want 4.9 to 5 s", got)
	}
	if got := d.Usual("b"); got != 0 {
		t.Errorf("another kind: got %v, want 0", got)
	}
}
