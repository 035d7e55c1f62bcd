package route

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func newPicker(n int, policy Policy) (*Picker, *rand.Rand) {
	p := &Picker{DataCentre: "dc0", Policy: policy}
	p.Update(modelTargets(n))
	return p, rand.New(rand.NewPCG(3, 4))
}

// fail makes the target fail until it is ejected.
func fail(p *Picker, now time.Time, name string) {
	for range defaultEjectAfter {
		p.Fail(now, name)
	}
}

// picks returns how often each target is picked in 200 asks.
func picks(t *testing.T, p *Picker, rnd *rand.Rand, now time.Time, ask Ask) map[string]int {
	t.Helper()
	n := make(map[string]int)
	for range 200 {
		got, err := p.Pick(now, rnd, ask)
		if err != nil {
			t.Fatal(err)
		}
		n[got.Name]++
	}
	return n
}

func TestEjectedTargetComesBackByProbe(t *testing.T) {
	p, rnd := newPicker(6, Policy{})
	fail(p, start, "t000")
	if n := picks(t, p, rnd, start, Ask{})["t000"]; n > 0 {
		t.Fatalf("ejected target was picked %d times", n)
	}
	later := start.Add(2 * defaultEjectBase)
	if n := picks(t, p, rnd, later, Ask{})["t000"]; n > 0 {
		t.Fatalf("target that is still silent was picked %d times", n)
	}
	p.Report(later, "t000", Status{})
	if got, _ := p.Pick(later, rnd, Ask{}); got.Name != "t000" {
		t.Fatalf("the probe went to %s", got.Name)
	}
	p.Sent("t000")
	if n := picks(t, p, rnd, later, Ask{})["t000"]; n > 0 {
		t.Fatalf("probed target was picked %d more times", n)
	}
	p.Done("t000", Answered)
	if n := picks(t, p, rnd, later, Ask{})["t000"]; n == 0 {
		t.Error("target that answered was not picked again")
	}
}

func TestNeverEjectsAll(t *testing.T) {
	p, rnd := newPicker(3, Policy{})
	for _, name := range []string{"t000", "t001", "t002"} {
		fail(p, start, name)
	}
	if got, err := p.Pick(start, rnd, Ask{}); err != nil || got.Name != "t002" {
		t.Errorf("got %v, %v", got, err)
	}
}

func TestLeavingTargetIsForgotten(t *testing.T) {
	p, rnd := newPicker(2, Policy{})
	p.Report(start, "t000", Status{Leaving: true})
	list := modelTargets(2)
	list[1].Leaving = true
	p.Update(list)
	if got, err := p.Pick(start.Add(leavingMemory-1), rnd, Ask{}); !errors.Is(err, ErrNoTarget) {
		t.Errorf("picked %s, %v", got.Name, err)
	}
	if got, err := p.Pick(start.Add(leavingMemory), rnd, Ask{}); err != nil || got.Name != "t000" {
		t.Errorf("picked %s, %v", got.Name, err)
	}
}

func TestKeyFindsTheSameTargetEverywhere(t *testing.T) {
	for i := range 50 {
		ask := Ask{Key: fmt.Sprintf("org/k%d", i)}
		here, rnd := newPicker(9, Policy{})
		there, _ := newPicker(9, Policy{})
		there.DataCentre = "dc2"
		a, _ := here.Pick(start, rnd, ask)
		b, _ := there.Pick(start, rnd, ask)
		if a != b {
			t.Errorf("key %d: %s here, %s there", i, a.Name, b.Name)
		}
	}
}

func TestOwnDataCentreUntilItIsBusy(t *testing.T) {
	p, rnd := newPicker(9, Policy{})
	for name := range picks(t, p, rnd, start, Ask{}) {
		if p.byName[name].DataCentre != "dc0" {
			t.Errorf("idle: picked %s", name)
		}
	}
	for _, name := range []string{"t000", "t003", "t006"} {
		for range 3 {
			p.Sent(name)
		}
	}
	for name := range picks(t, p, rnd, start, Ask{}) {
		if p.byName[name].DataCentre == "dc0" {
			t.Errorf("busy: picked %s", name)
		}
	}
}

func TestLimitOfRequestsInFlight(t *testing.T) {
	p, rnd := newPicker(2, Policy{MaxInFlight: 1})
	for range 2 {
		got, err := p.Pick(start, rnd, Ask{})
		if err != nil {
			t.Fatal(err)
		}
		p.Sent(got.Name)
	}
	if _, err := p.Pick(start, rnd, Ask{}); !errors.Is(err, ErrSaturated) {
		t.Errorf("got %v", err)
	}
	p.Done("t001", Answered)
	if got, err := p.Pick(start, rnd, Ask{}); err != nil || got.Name != "t001" {
		t.Errorf("got %v, %v", got, err)
	}
}

func TestRetryBudgetIsAShareOfTheTraffic(t *testing.T) {
	var b RetryBudget
	retries := 0
	for range 1000 {
		b.Request()
		if b.Take(start) {
			retries++
		}
	}
	if retries != 109 {
		t.Errorf("%d retries for 1000 requests", retries)
	}
	if !b.Take(start.Add(2 * time.Second)) {
		t.Error("no retry after two idle seconds")
	}
}

// TestQueue holds random histories against the order by class and arrival.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Queue{Len: 5}
		var id uint64
		var model []Waiter // in order of departure
		now := start
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				id++
				w := Waiter{ID: id, Class: rapid.Uint32Range(0, 2).Draw(t, "class"), Deadline: now.Add(time.Hour)}
				i := 0
				for i < len(model) && model[i].Class <= w.Class {
					i++
				}
				model = append(model[:i], append([]Waiter{w}, model[i:]...)...)
				shed, full := q.Push(now, w)
				if full != (len(model) > 5) {
					t.Fatalf("shed %v with %d waiters", full, len(model))
				}
				if full {
					if last := model[len(model)-1]; shed.Waiter != last || shed.RetryAfter <= 0 {
						t.Fatalf("shed %+v, expected %+v", shed, last)
					}
					model = model[:len(model)-1]
				}
			},
			"pop": func(t *rapid.T) {
				now = now.Add(time.Millisecond)
				w, ok := q.Pop(now)
				if ok != (len(model) > 0) || (ok && w != model[0]) {
					t.Fatalf("got %+v, expected %+v", w, model)
				}
				model = model[min(1, len(model)):]
			},
			"remove": func(t *rapid.T) {
				i := rapid.IntRange(0, 5).Draw(t, "index")
				if i < len(model) {
					q.Remove(model[i].ID)
					model = append(model[:i:i], model[i+1:]...)
				}
			},
		})
	})
}

func TestQueueGivesUpWhatComesTooLate(t *testing.T) {
	var q Queue
	for i := range 5 {
		q.Push(start, Waiter{ID: uint64(i), Class: 1, Deadline: start.Add(time.Minute)})
	}
	for i := range 3 {
		q.Pop(start.Add(time.Duration(i) * 10 * time.Second))
	}
	now := start.Add(20 * time.Second)
	late := Waiter{ID: 9, Class: 1, Deadline: now.Add(time.Second)}
	if shed, full := q.Push(now, late); !full || shed.Waiter != late || shed.RetryAfter < time.Second {
		t.Errorf("got %+v, %v", shed, full)
	}
	if shed := q.Expire(start.Add(time.Minute)); len(shed) != 2 || q.Size() != 0 {
		t.Errorf("expired %+v", shed)
	}
}

func TestStalestAsksAllInTurn(t *testing.T) {
	p, _ := newPicker(6, Policy{})
	fail(p, start, "t005")
	now := start.Add(defaultEjectMax)
	var names []string
	for range 3 {
		now = now.Add(time.Second)
		for _, target := range p.Stalest(now, 4) {
			names = append(names, target.Name)
		}
	}
	want := "[t005 t000 t001 t002 t005 t003 t004 t000 t005 t001 t002 t000]"
	if got := fmt.Sprint(names); got != want {
		t.Errorf("asked %s, expected %s", got, want)
	}
}
