package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// paceLoad is a load of prompts that differ much in size, at engines that read one prompt after
// the other and nearly stop the running streams meanwhile. Each of many instances sees few of the
// requests.
type paceLoad struct {
	instances, targets int
	// rate is in requests a second over all instances.
	rate float64
	// median is the size of half of the prompts in tokens, and sigma the standard deviation of
	// its logarithm.
	median, sigma float64
	// noPace is the old policy.
	noPace bool
}

// paceStream is a request at an engine of the model.
type paceStream struct {
	picker  *Picker
	attempt Attempt
	arrived time.Time
	short   bool
	// toRead is what is left of the prompt, and toWrite of the response, in ms of the engine's
	// time.
	toRead, toWrite float64
	begun           bool
	nextEvent       float64
}

// play returns the share of the short prompts whose first event came within 200 ms.
func (l paceLoad) play() float64 {
	const (
		step     = 5 * time.Millisecond
		length   = 60 * time.Second
		perMs    = 66.0 // Tokens that an engine reads in a ms.
		eventMs  = 25.0
		streamMs = 1500.0
		slowed   = 8.0
		short    = 1500.0
		goal     = 200 * time.Millisecond
	)
	rnd := rand.New(rand.NewPCG(3, 4))
	var list []Target
	for i := range l.targets {
		list = append(list, Target{Name: fmt.Sprint("t", i), DataCentre: fmt.Sprint("dc", i%4), Address: "a"})
	}
	pickers := make([]*Picker, l.instances)
	for i := range pickers {
		pickers[i] = &Picker{DataCentre: fmt.Sprint("dc", i%4), Policy: Policy{Cost: true, NoEventPace: l.noPace}}
		pickers[i].Update(list)
	}
	engines := make(map[string][]*paceStream)
	shorts, inTime := 0, 0
	for at := time.Duration(0); at < length; at += step {
		now := time.Unix(0, 0).Add(at)
		for arrivals := l.rate * step.Seconds(); rnd.Float64() < arrivals; arrivals-- {
			tokens := min(60_000, l.median*math.Exp(l.sigma*rnd.NormFloat64()))
			p := pickers[rnd.IntN(len(pickers))]
			req := Request{Prompt: Prompt{Own: int64(tokens)}}
			t, err := p.Pick(now, rnd, req)
			if err != nil {
				panic(err)
			}
			engines[t.Name] = append(engines[t.Name], &paceStream{
				picker: p, attempt: p.Begin(now, t.Name, req), arrived: now, short: tokens < short,
				toRead: tokens / perMs, toWrite: streamMs * rnd.ExpFloat64(),
			})
		}
		for name, streams := range engines {
			speed, left := float64(step.Milliseconds()), streams[:0]
			reading := false
			for _, s := range streams {
				if s.begun {
					continue
				}
				reading = true
				s.toRead -= speed // The first one that has not begun is read alone.
				break
			}
			if reading {
				speed /= slowed
			}
			for _, s := range streams {
				switch {
				case !s.begun && s.toRead <= 0:
					s.begun = true
					s.picker.FirstToken(now, &s.attempt, true)
					s.picker.Events(now, &s.attempt, false)
					if s.short {
						shorts++
						if now.Sub(s.arrived) <= goal {
							inTime++
						}
					}
				case s.begun:
					s.toWrite -= speed
					if s.nextEvent += speed; s.nextEvent >= eventMs {
						s.nextEvent -= eventMs
						s.picker.Events(now, &s.attempt, false)
					}
				}
				if s.begun && s.toWrite <= 0 {
					s.picker.EventsEnded(&s.attempt)
					s.picker.AttemptEnded(name, Responded)
					continue
				}
				left = append(left, s)
			}
			engines[name] = left
		}
	}
	return float64(inTime) / float64(shorts)
}

// TestEventPace guards against short prompts that wait behind long ones which other instances
// have sent: at least a quarter of those that are late with the old policy come in time.
func TestEventPace(t *testing.T) {
	for _, l := range []paceLoad{
		{instances: 4, targets: 9, rate: 60, median: 1500, sigma: 1.3},
		{instances: 31, targets: 56, rate: 400, median: 1500, sigma: 1.3},
		{instances: 31, targets: 56, rate: 400, median: 2500, sigma: 1.1},
	} {
		after := l.play()
		l.noPace = true
		before := l.play()
		t.Logf("%d instances: %.3f in time, before %.3f", l.instances, after, before)
		if 1-after > 0.75*(1-before) {
			t.Errorf("%+v: %.3f of the short prompts in time, before %.3f; want a quarter fewer late", l, after, before)
		}
	}
}

// TestEventPaceShows checks what the pace of events shows: a target without streams is unknown, one
// at which they come as usual is free, and one at which they are late reads prompts, the more costly
// the longer.
func TestEventPaceShows(t *testing.T) {
	p := &Picker{Policy: Policy{Cost: true}}
	p.Update([]Target{{Name: "t", Address: "a"}})
	now := time.Unix(0, 0)
	a := p.Begin(now, "t", Request{Prompt: Prompt{Own: 100}})
	cost := func(after time.Duration) float64 { return p.byName["t"].pace.cost(now.Add(after)) }
	if c := cost(0); c != unknownPaceMs {
		t.Errorf("without a stream: cost %v, want %v", c, unknownPaceMs)
	}
	for range 20 {
		now = now.Add(25 * time.Millisecond)
		p.Events(now, &a, false)
	}
	if c := cost(20 * time.Millisecond); c != 0 {
		t.Errorf("events as usual: cost %v, want 0", c)
	}
	if c, later := cost(100*time.Millisecond), cost(500*time.Millisecond); c < readingMs || later <= c {
		t.Errorf("no events for 100 ms: cost %v, for 500 ms: %v; want at least %v and more later", c, later, readingMs)
	}
	now = now.Add(200 * time.Millisecond)
	p.Events(now, &a, false)
	if c := cost(0); c < readingMs {
		t.Errorf("late events: cost %v, want at least %v", c, readingMs)
	}
	now = now.Add(25 * time.Millisecond)
	p.Events(now, &a, false)
	if c := cost(0); c != 0 {
		t.Errorf("events as usual again: cost %v, want 0", c)
	}
	now = now.Add(time.Second)
	p.Events(now, &a, true)
	if c := cost(0); c != 0 {
		t.Errorf("events that the instance held back: cost %v, want 0", c)
	}
	p.EventsEnded(&a)
	p.EventsEnded(&a)
	if c := cost(0); c != unknownPaceMs {
		t.Errorf("after the stream: cost %v, want %v", c, unknownPaceMs)
	}
}
