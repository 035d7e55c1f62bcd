package route

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// limitedFleet returns the pickers of n instances, each with a limited target.
func limitedFleet(n int, rnd *rand.Rand, rate float64) []*Picker {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("instance-%d", i)
	}
	fleet := make([]*Picker, n)
	for i := range fleet {
		fleet[i] = &Picker{Policy: Policy{Cost: true}}
		fleet[i].Update([]Target{{Name: "t"}})
		fleet[i].Instances(start, rnd, names[i], names)
		fleet[i].Limit(start, rnd, "t", rate)
	}
	return fleet
}

// play lets the instances try to send a request every tick for a time, and returns when the
// target got one.
func play(fleet []*Picker, rnd *rand.Rand, length time.Duration) (sent []time.Duration) {
	const tick = 50 * time.Millisecond
	for at := time.Duration(0); at < length; at += tick {
		for _, i := range rnd.Perm(len(fleet)) {
			p, now := fleet[i], start.Add(at)
			if _, err := p.Pick(now, rnd, Request{}); err != nil {
				continue
			}
			a := p.Begin(now, "t", Request{})
			p.FirstToken(now, &a, true)
			p.AttemptEnded("t", Responded)
			sent = append(sent, at)
		}
	}
	return sent
}

// mostIn returns the largest number of requests in any window.
func mostIn(sent []time.Duration, window time.Duration) (most int) {
	first := 0
	for i, at := range sent {
		for sent[first] <= at-window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestLimitIsShared: a target gets what its limit allows from all instances together, however
// many they are, and not much less while they have requests.
func TestLimitIsShared(t *testing.T) {
	const window = 4 * time.Second
	for _, n := range []int{1, 2, 4, 5, 23, 68, 390} {
		for _, rate := range []float64{0.25, 1, 1.1, 3, 20} {
			rnd := rand.New(rand.NewPCG(uint64(n), uint64(rate*100)))
			length := 80 * time.Second
			sent := play(limitedFleet(n, rnd, rate), rnd, length)
			allowed := 1.5*window.Seconds()*rate + 5
			if most := mostIn(sent, window); float64(most) > allowed {
				t.Errorf("%d instances, limit %v: %d requests in %v, want at most %v", n, rate, most, window, allowed)
			}
			total, want := float64(len(sent)), rate*length.Seconds()
			if total > 1.15*want+5 || total < 0.8*want-5 {
				t.Errorf("%d instances, limit %v: %v requests in %v, want about %v", n, rate, total, length, want)
			}
		}
	}
}

// TestLimitWithoutSharers: if the instances that share a limit are gone, the others still
// send a request now and then, and so see the end of the limit.
func TestLimitWithoutSharers(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	var others []*Picker
	for _, p := range limitedFleet(68, rnd, 1) {
		if p.byName["t"].notice.limit.interval > time.Minute {
			others = append(others, p)
		}
	}
	sent := play(others, rnd, 5*time.Minute)
	if len(others) != 65 || len(sent) < 10 || len(sent) > 60 {
		t.Errorf("%d others sent %d requests in 5 min, want 65 and about 30", len(others), len(sent))
	}
}

// TestAllLimited checks the error and the time of the first return while all targets are at
// their limits, and that the end of a limit counts at once.
func TestAllLimited(t *testing.T) {
	p, rnd := newPicker(2, Policy{Cost: true})
	p.Instances(start, rnd, "i", []string{"i"})
	p.Limit(start, rnd, "t000", 0.5)
	p.Limit(start, rnd, "t001", 0.25)
	now := start
	for range 2 { // Each target takes one request within its interval.
		now = now.Add(5 * time.Second)
		got, err := p.Pick(now, rnd, Request{})
		if err != nil {
			t.Fatal(err)
		}
		p.Begin(now, got.Name, Request{})
	}
	for range 2 {
		if got, err := p.Pick(now, rnd, Request{}); err == nil {
			p.Begin(now, got.Name, Request{})
		}
	}
	if _, err := p.Pick(now, rnd, Request{}); !errors.Is(err, ErrLimited) {
		t.Errorf("error is %v, want ErrLimited", err)
	}
	if end, why := p.AllRest(now); !errors.Is(why, ErrLimited) || end.Sub(now) <= 0 || end.Sub(now) > 2*time.Second {
		t.Errorf("first return after %v (%v), want within 2s, ErrLimited", end.Sub(now), why)
	}
	if n := p.Limited(); n != 2 {
		t.Errorf("%d targets are limited, want 2", n)
	}
	p.Limit(now, rnd, "t001", 0)
	if got, err := p.Pick(now, rnd, Request{}); err != nil || got.Name != "t001" {
		t.Errorf("picked %q, error %v after the limit's end; want t001", got.Name, err)
	}
	// A rest and a limit of one target both count.
	p.Rest(now, "t001", time.Minute)
	p.Rest(now, "t000", time.Minute)
	if end, why := p.AllRest(now); !errors.Is(why, ErrResting) || end.Sub(now) != time.Minute {
		t.Errorf("first return after %v (%v), want 1m, ErrResting", end.Sub(now), why)
	}
}

// TestLimitOfUnknownFleet: before the other instances are known, an instance takes a small
// part of a limit only.
func TestLimitOfUnknownFleet(t *testing.T) {
	p, rnd := newPicker(1, Policy{Cost: true})
	p.Limit(start, rnd, "t000", 10)
	sent := 0
	for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
		if _, err := p.Pick(start.Add(at), rnd, Request{}); err == nil {
			p.Begin(start.Add(at), "t000", Request{})
			sent++
		}
	}
	if sent > 3 {
		t.Errorf("sent %d requests in a minute, want at most 3 of 600", sent)
	}
}
