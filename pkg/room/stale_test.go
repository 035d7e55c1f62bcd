package room

import (
	"testing"
	"time"
)

// playFullLink plays an instance whose link is full of requests while a target leaves. Its reads
// of the list pass only while the link has room. It returns the requests that it sends to the
// target later than the bound allows, and the longest time for which it refuses requests.
func playFullLink(adapt, outage bool) (late int, refusing time.Duration) {
	const (
		step  = 100 * time.Millisecond
		bound = 3 * time.Second
		leave = 5 * time.Second
	)
	var o Overload
	start := time.Unix(100, 0)
	read, link, refused := time.Duration(0), 0.5, time.Duration(0)
	for at := time.Duration(0); at < 20*time.Second; at += step {
		refuses := adapt && o.HoldsUp(start.Add(at), Input{Age: at - read, Bound: bound})
		switch {
		case refuses:
			refused += step
			link = max(0, link-0.2) // What is in progress passes.
		case at >= 4*time.Second:
			refused, link = 0, 1.2
		}
		refusing = max(refusing, refused)
		if link < LinkGoal && !outage {
			read = at
		}
		o.Observe(Sample{At: start.Add(at)}, link)
		if !refuses && read < leave && at > leave+bound {
			late++
		}
	}
	return late, refusing
}

// TestFullLink guards against an instance that sends requests to a target that has left, since its
// link is full and its reads of the list time out. With the old policy it goes on for as long as
// the link is full.
func TestFullLink(t *testing.T) {
	if late, _ := playFullLink(false, false); late < 50 {
		t.Errorf("old policy: %d requests after the bound, want at least 50", late)
	}
	late, refusing := playFullLink(true, false)
	if late > 0 || refusing == 0 || refusing > 1100*time.Millisecond {
		t.Errorf("%d requests after the bound, refused for up to %v; want none, and up to 1.1 s", late, refusing)
	}
	// In an outage of the store, refusals end by themselves, since they don't help.
	if _, refusing := playFullLink(true, true); refusing > 1100*time.Millisecond {
		t.Errorf("outage: refused for %v, want at most 1.1 s", refusing)
	}
}

// TestHoldsUp lists the inputs for which an instance refuses nothing.
func TestHoldsUp(t *testing.T) {
	now := time.Unix(100, 0)
	var over, before, never Overload
	over.Observe(Sample{At: now}, 1)
	before.Observe(Sample{At: now.Add(-2 * time.Second)}, 1)
	never.Observe(Sample{At: now}, 0.5)
	stale := Input{Age: 2 * time.Second, Bound: 3 * time.Second}
	for name, c := range map[string]struct {
		o     Overload
		input Input
		want  bool
	}{
		"overloaded, old list":       {over, stale, true},
		"overloaded some time ago":   {before, stale, false},
		"not overloaded":             {never, stale, false},
		"current list":               {over, Input{Age: time.Second, Bound: 3 * time.Second}, false},
		"store away":                 {over, Input{Age: 7 * time.Second, Bound: 3 * time.Second}, false},
		"no bound in the settings":   {over, Input{Age: time.Hour}, false},
		"a bound, and never read it": {over, Input{Age: time.Hour, Bound: time.Second}, false},
	} {
		if got := c.o.HoldsUp(now, Input{}, c.input); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}
