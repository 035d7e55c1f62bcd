package room

import (
	"math/rand/v2"
	"testing"
	"time"
)

// replay plays the load of one instance that gets a multiple of what it can serve for some
// seconds, and returns how many requests it served within their time, how many it refused
// and how many waited in vain. Requests queue for the processor; with a gate, the delay of
// the queue is its sample.
func replay(gate *Gate, load float64) (served, refused, late int) {
	const (
		perSecond = 100.0
		length    = 20 * time.Second
		patience  = time.Second
		interval  = 100 * time.Millisecond
	)
	rnd := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(0, 0)
	free, sample := time.Duration(0), time.Duration(0)
	for at := time.Duration(0); at < length; {
		rate := perSecond * 0.6
		if at > 5*time.Second && at < 15*time.Second {
			rate = perSecond * load
		}
		at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
		if gate != nil && at-sample > interval {
			sample = at
			gate.Observe(Sample{At: start.Add(at), Delay: max(0, free-at)})
		}
		if gate != nil && gate.Refuses(rnd.Float64(), patience, 100*time.Millisecond) {
			refused++
			free = max(free, at) + time.Second/perSecond/10 // A refusal costs a tenth of a request.
			continue
		}
		free = max(free, at) + time.Second/perSecond
		if free-at < patience {
			served++
		} else {
			late++
		}
	}
	return served, refused, late
}

// TestOverloadIsRefused guards against an instance whose queue grows until nobody gets an
// answer in time. Without refusals most requests of the overload wait in vain; with them,
// few do, and as many are served as the instance can.
func TestOverloadIsRefused(t *testing.T) {
	for _, load := range []float64{1.5, 3, 6} {
		_, _, lateBefore := replay(nil, load)
		served, refused, late := replay(&Gate{}, load)
		offered := int(1000*load) + 600
		if lateBefore < offered/3 {
			t.Errorf("load %v without refusals: %d late of %d, want at least a third", load, lateBefore, offered)
		}
		if late > offered/20 || refused == 0 {
			t.Errorf("load %v: %d late and %d refused of %d, want at most one in twenty late", load, late, refused, offered)
		}
		if capacity := 1600 - refused/10; served < capacity*7/10 {
			t.Errorf("load %v: %d served, want at least seven in ten of the %d that are possible", load, served, capacity)
		}
	}
}

// TestNoOverload: with room, nothing is refused. At eight tenths of what the instance can
// serve, queues of bursts begin to show; at most one in a hundred is refused then.
func TestNoOverload(t *testing.T) {
	for _, c := range []struct {
		load float64
		most int
	}{{0.6, 0}, {0.8, 14}} {
		if served, refused, late := replay(&Gate{}, c.load); refused > c.most || late > 0 {
			t.Errorf("load %v: %d served, %d refused and %d late; want at most %d refused and none late", c.load, served, refused, late, c.most)
		}
	}
}

// TestGate checks how the share follows the samples: up, with gaps between them, and back to
// nothing.
func TestGate(t *testing.T) {
	var g Gate
	at := time.Unix(0, 0)
	observe := func(n int, s Sample) (changes int) {
		for range n {
			at = at.Add(100 * time.Millisecond)
			s.At = at
			if g.Observe(s) {
				changes++
			}
		}
		return changes
	}
	if n := observe(20, Sample{Delay: DelayGoal}); n != 0 || g.Refused() != 0 {
		t.Errorf("at the goal, %v is refused, want nothing", g.Refused())
	}
	if n := observe(20, Sample{Delay: 2 * DelayGoal}); n != 1 || g.Refused() < 0.8 || g.Refused() > maxRefused {
		t.Errorf("after 2 s of overload, %v is refused, want 0.8 to %v", g.Refused(), maxRefused)
	}
	if g.Refuses(0.1, time.Millisecond, 100*time.Millisecond) {
		t.Error("a request without time for a return is refused")
	}
	at = at.Add(time.Hour)
	if n := observe(60, Sample{}); n != 1 || g.Refused() != 0 {
		t.Errorf("6 s after the overload, %v is refused, want nothing", g.Refused())
	}
	g.Observe(Sample{At: at.Add(-time.Hour), Delay: time.Hour})
	if g.Refused() != 0 {
		t.Errorf("a sample from the past changes the share to %v", g.Refused())
	}
}

// TestHold checks that events are held back only while the instance's work waits, and never
// for longer than allowed.
func TestHold(t *testing.T) {
	const most = 60 * time.Millisecond
	for delay, want := range map[time.Duration]time.Duration{
		0: 0, 5 * time.Millisecond: 0, 15 * time.Millisecond: most / 2, 25 * time.Millisecond: most, time.Hour: most,
	} {
		var g Gate
		g.Observe(Sample{At: time.Unix(1, 0), Delay: delay})
		if got := g.Hold(most); got.Round(time.Millisecond) != want {
			t.Errorf("delay %v: events are held back for %v, want %v", delay, got, want)
		}
	}
}
