package route

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// returnLoad is a data centre whose targets all come back cold while callers press: the
// returned targets are empty, so every instance's estimates prefer them.
type returnLoad struct {
	instances, warm, cold int
	// perSecond is the number of requests a second of all instances together.
	perSecond float64
	limit     ColdLimit
	// paced is unset for the policy that treats cold targets like others.
	paced bool
	// strangers is the number of instances that do not know the others.
	strangers int
	// stopped is the number of instances that have ended, but are still known.
	stopped int
}

// play sends the requests for the given time and returns when each cold target got one, and
// how many requests were refused.
func (l returnLoad) play(rnd *rand.Rand, length time.Duration) (arrivals map[string][]time.Duration, refused int) {
	var list []Target
	for i := range l.warm + l.cold {
		list = append(list, Target{Name: fmt.Sprintf("t%03d", i), DataCentre: fmt.Sprintf("dc%d", i%3)})
	}
	names := make([]string, l.instances)
	for i := range names {
		names[i] = fmt.Sprintf("instance-%d", i)
	}
	fleet := make([]*Picker, l.instances)
	for i := range fleet {
		fleet[i] = &Picker{DataCentre: fmt.Sprintf("dc%d", i%3), Policy: Policy{Cost: true}}
		fleet[i].Update(list)
		if i >= l.strangers {
			fleet[i].Instances(start, rnd, names[i], names)
		} else {
			fleet[i].Instances(start, rnd, names[i], names[i:i+1])
		}
		for j, t := range list {
			if j < l.warm {
				// Warm targets are busy; the others have just started.
				fleet[i].Report(start, t.Name, Status{Running: 40, Waiting: 4})
			} else if l.paced {
				fleet[i].Cold(start, rnd, t.Name, start.Add(length), l.limit)
			}
		}
	}
	arrivals = make(map[string][]time.Duration)
	for at := time.Duration(0); at < length; {
		at += time.Duration(rnd.ExpFloat64() / l.perSecond * float64(time.Second))
		p, now := fleet[l.stopped+rnd.IntN(l.instances-l.stopped)], start.Add(at)
		t, err := p.Pick(now, rnd, Request{Prompt: Prompt{Own: 500}})
		if err != nil {
			refused++
			continue
		}
		a := p.Begin(now, t.Name, Request{Prompt: Prompt{Own: 500}})
		p.FirstToken(now, &a, true)
		p.AttemptEnded(t.Name, Responded)
		if t.Name >= list[l.warm%len(list)].Name || l.warm == 0 {
			arrivals[t.Name] = append(arrivals[t.Name], at)
		}
	}
	return arrivals, refused
}

var testLimit = ColdLimit{Rate: 8, Most: 17}

// TestColdReturn guards against targets that crash when their data centre returns cold under
// a burst, at any number of instances. Treated like others, they get more than they
// tolerate; the test shows that too. They are not left idle either.
func TestColdReturn(t *testing.T) {
	for _, n := range []int{1, 2, 4, 9, 31, 68, 390} {
		for _, paced := range []bool{false, true} {
			l := returnLoad{instances: n, warm: 38, cold: 6, perSecond: 1200, limit: testLimit, paced: paced}
			arrivals, refused := l.play(rand.New(rand.NewPCG(uint64(n), 1)), 4*time.Second)
			most, sum := 0, 0
			for _, at := range arrivals {
				most, sum = max(most, mostIn(at, time.Second)), sum+len(at)
			}
			switch {
			case refused > 0:
				t.Errorf("%d instances: %d requests refused although warm targets take work", n, refused)
			case !paced && most <= int(testLimit.Most):
				t.Errorf("%d instances, not paced: at most %d requests in a second, want the load to exceed %v", n, most, testLimit.Most)
			case paced && most > int(testLimit.Most):
				t.Errorf("%d instances: %d requests in a second at a cold target, want at most %v", n, most, testLimit.Most)
			case paced && float64(sum) < 0.6*testLimit.Rate*4*float64(l.cold):
				t.Errorf("%d instances: cold targets got %d requests in 4 s, want at least six in ten of what they tolerate", n, sum)
			}
		}
	}
}

// TestColdAlone: while only cold targets are left, what they tolerate is sent, and the rest
// is refused at once with the time until another request may be sent.
func TestColdAlone(t *testing.T) {
	l := returnLoad{instances: 31, cold: 6, perSecond: 400, limit: testLimit, paced: true}
	arrivals, refused := l.play(rand.New(rand.NewPCG(3, 3)), 4*time.Second)
	sum := 0
	for _, at := range arrivals {
		sum += len(at)
		if most := mostIn(at, time.Second); most > int(testLimit.Most) {
			t.Errorf("%d requests in a second at a cold target, want at most %v", most, testLimit.Most)
		}
	}
	if sum < 130 || refused < 1000 {
		t.Errorf("%d requests sent and %d refused, want at least 130 and 1000", sum, refused)
	}
	p := &Picker{Policy: Policy{Cost: true}}
	p.Update([]Target{{Name: "t"}})
	rnd := rand.New(rand.NewPCG(1, 1))
	p.Instances(start, rnd, "i", []string{"i"})
	p.Cold(start, rnd, "t", start.Add(2*time.Second), testLimit)
	p.Begin(start, "t", Request{})
	if _, err := p.Pick(start, rnd, Request{}); !errors.Is(err, ErrCold) {
		t.Errorf("error is %v, want ErrCold", err)
	}
	if end, why := p.AllRest(start); !errors.Is(why, ErrCold) || end.Sub(start) > 125*time.Millisecond {
		t.Errorf("got a return after %v (%v), want one within 125 ms", end.Sub(start), why)
	}
	if _, err := p.Pick(start.Add(2*time.Second), rnd, Request{}); err != nil {
		t.Errorf("warm again: error is %v, want the target", err)
	}
}

// TestColdWithStrangers: instances that have just joined, and know no others, take parts of
// the pace for themselves. A few of them do no harm; their knowledge comes with the first
// reading of the board.
func TestColdWithStrangers(t *testing.T) {
	l := returnLoad{instances: 31, strangers: 1, warm: 38, cold: 6, perSecond: 1200, limit: testLimit, paced: true}
	arrivals, _ := l.play(rand.New(rand.NewPCG(4, 4)), 4*time.Second)
	for name, at := range arrivals {
		if most := mostIn(at, time.Second); most > int(testLimit.Most) {
			t.Errorf("%s: %d requests in a second, want at most %v", name, most, testLimit.Most)
		}
	}
	var p Picker
	p.Update([]Target{{Name: "t"}})
	rnd := rand.New(rand.NewPCG(1, 1))
	p.Cold(start, rnd, "t", start.Add(10*time.Second), testLimit)
	if _, err := p.Pick(start.Add(5*time.Second), rnd, Request{}); !errors.Is(err, ErrCold) {
		t.Errorf("before the instances are known: error is %v, want ErrCold", err)
	}
}

// TestColdAfterDeaths: while half of the instances have died and are still listed, the cold
// targets are not idle.
func TestColdAfterDeaths(t *testing.T) {
	l := returnLoad{instances: 31, stopped: 15, warm: 38, cold: 6, perSecond: 1200, limit: testLimit, paced: true}
	arrivals, _ := l.play(rand.New(rand.NewPCG(5, 5)), 4*time.Second)
	sum := 0
	for _, at := range arrivals {
		sum += len(at)
	}
	if sum < 50 {
		t.Errorf("cold targets got %d requests in 4 s, want at least 50", sum)
	}
}

// TestColdLimits checks the pace for unusual limits: it never allows more than Most in a
// second, and no limit is none.
func TestColdLimits(t *testing.T) {
	for _, c := range []struct {
		limit   ColdLimit
		rate    float64
		sharers int
	}{
		{ColdLimit{}, 0, 0},
		{ColdLimit{Rate: 8}, 0, 0},
		{ColdLimit{Most: 17}, 0, 0},
		{ColdLimit{Rate: -1, Most: 17}, 0, 0},
		{ColdLimit{Rate: 8, Most: 17}, 8, 9},
		{ColdLimit{Rate: 8, Most: 8}, 7, 1},
		{ColdLimit{Rate: 0.5, Most: 1.25}, 0.25, 1},
		{ColdLimit{Rate: 1e12, Most: 1e13}, 1e12, maxSharers},
	} {
		if rate, sharers := c.limit.pace(); rate != c.rate || sharers != c.sharers {
			t.Errorf("%+v: rate %v of %d instances, want %v of %d", c.limit, rate, sharers, c.rate, c.sharers)
		}
	}
	p, rnd := newPicker(1, Policy{Cost: true})
	if p.Cold(start, rnd, "t000", start.Add(time.Minute), ColdLimit{}) || p.Cold(start, rnd, "t000", start.Add(-time.Second), testLimit) || p.Cold(start, rnd, "none", start.Add(time.Minute), testLimit) {
		t.Error("a target without a limit, one that is warm already and an unknown one must not become cold")
	}
}

// TestEvacuated: targets of an evacuated data centre get no attempt, also those listed
// later, until it is taken back. If no other target is left, requests are refused.
func TestEvacuated(t *testing.T) {
	p, rnd := newPicker(6, Policy{Cost: true})
	p.Evacuate("dc0", true)
	p.Evacuate("nowhere", true)
	p.Update(append(modelTargets(6), Target{Name: "new", DataCentre: "dc0"}))
	for name := range countPicks(t, p, rnd, start, Request{}) {
		if p.byName[name].DataCentre == "dc0" || p.Accepts(start, "new") {
			t.Errorf("%s was picked or accepted, want none of dc0", name)
		}
	}
	for _, target := range p.targets {
		p.Evacuate(target.DataCentre, true)
	}
	if _, err := p.Pick(start, rnd, Request{}); !errors.Is(err, ErrEvacuated) {
		t.Errorf("all evacuated: error is %v, want ErrEvacuated", err)
	}
	p.Evacuate("dc0", false)
	if !p.Accepts(start, "new") {
		t.Error("a target of a data centre that was taken back is not accepted")
	}
	if _, err := p.Pick(start, rnd, Request{}); err != nil {
		t.Errorf("one data centre taken back: error is %v, want a target of it", err)
	}
}
