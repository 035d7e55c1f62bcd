package room

import (
	"testing"
	"time"
)

// rotate plays a caller whose connections the platform sends, by a hash, to the first
// instance in the rotation. Each connection carries load for some seconds. It returns the
// share of the load beyond the capacity of the instances, and the most that were out at a
// time.
func rotate(instances int, hot float64, adapt bool) (excess float64, mostOut int) {
	const (
		interval = 100 * time.Millisecond
		length   = 60 * time.Second
		life     = 4 * time.Second
		notice   = 2 * time.Second
	)
	list := make([]Rotation, instances)
	// load is the share of each instance's capacity that its open connections use. seen is
	// when the platform sees the present state of an instance.
	load, seen := make([]float64, instances), make([]bool, instances)
	pending := make([]time.Duration, instances)
	over, sum := 0.0, 0.0
	for at := time.Duration(0); at < length; at += interval {
		first := 0
		for first < instances-1 && seen[first] {
			first++
		}
		out := 0
		for i := range list {
			load[i] -= load[i] * interval.Seconds() / life.Seconds()
			if i == first {
				load[i] += hot * interval.Seconds() / life.Seconds()
			}
			over += max(0, load[i]-1)
			sum += load[i]
			if list[i].Out() {
				out++
			}
		}
		mostOut = max(mostOut, out)
		for i := range list {
			others := Others{All: 3 * instances, Here: instances, Out: out, OutHere: out}
			if list[i].Out() {
				others.Out, others.OutHere = out-1, out-1
			}
			if adapt && list[i].Observe(Sample{At: time.Unix(0, 0).Add(at)}, load[i], others) {
				pending[i] = at + notice
			}
			if at >= pending[i] {
				seen[i] = list[i].Out()
			}
		}
	}
	return over / sum, mostOut
}

// TestRotation guards against one instance that gets all connections of a caller who needs
// more than it has, beside others with room: less of the load goes beyond what the
// instances can serve, and few of them are out at a time.
func TestRotation(t *testing.T) {
	for _, hot := range []float64{1.5, 2, 2.5} {
		before, _ := rotate(11, hot, false)
		after, out := rotate(11, hot, true)
		if after > before/2 {
			t.Errorf("load %v: %.2f of it is beyond the capacity, %.2f without; want at most half", hot, after, before)
		}
		if out > 3 {
			t.Errorf("load %v: %d instances are out at a time, want at most 3", hot, out)
		}
	}
	if after, out := rotate(11, 0.6, true); after > 0 || out > 0 {
		t.Errorf("with room: %.2f beyond the capacity and %d instances out, want none", after, out)
	}
	if _, out := rotate(3, 2, true); out > 0 {
		t.Errorf("of nine instances, %d are out, want none: too few would be left", out)
	}
}

// TestRotationReturns: an instance that left returns once its load is gone, and at the latest
// after some seconds.
func TestRotationReturns(t *testing.T) {
	for name, c := range map[string]struct {
		link  float64
		least time.Duration
		most  time.Duration
	}{"load gone": {0, stayOut, stayOut + time.Second}, "load stays": {1, longestOut, longestOut + time.Second}} {
		var r Rotation
		at := time.Unix(100, 0)
		others := Others{All: 30, Here: 10}
		for !r.Out() {
			at = at.Add(100 * time.Millisecond)
			r.Observe(Sample{At: at}, 1, others)
		}
		left := at
		for r.Out() {
			at = at.Add(100 * time.Millisecond)
			r.Observe(Sample{At: at}, c.link, others)
		}
		if took := at.Sub(left); took < c.least || took > c.most {
			t.Errorf("%s: out for %v, want %v to %v", name, took, c.least, c.most)
		}
	}
}

// TestPeers checks what instances learn of each other by their records: deleted, malformed and
// old ones don't keep an instance in the rotation for good.
func TestPeers(t *testing.T) {
	var p Peers
	now := time.Unix(100, 0)
	p.See(now, "self", Value("a", true))
	p.See(now, "b", Value("a", true))
	p.See(now, "c", Value("z", false))
	p.See(now, "d", Value("z", true))
	p.See(now, "d", nil)
	p.See(now, "e", []byte("x"))
	if got, want := p.Others(now, "self", "a"), (Others{All: 3, Here: 2, Out: 1, OutHere: 1}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := p.Others(now.Add(time.Minute), "self", "a"); got.Out != 0 {
		t.Errorf("a minute later, %d are out, want none", got.Out)
	}
	p.Retain(func(instance string) bool { return instance == "self" })
	if got, want := p.Others(now, "self", "a"), (Others{All: 1, Here: 1}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if instance, ok := ParseKey(Key("i")); !ok || instance != "i" {
		t.Errorf("key names %q, %v; want i", instance, ok)
	}
	if _, ok := ParseKey(recordPrefix); ok {
		t.Error("a key without a name is accepted")
	}
}
