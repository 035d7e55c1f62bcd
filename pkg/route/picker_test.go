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

// ejectByFailures records failures of the target until it is ejected.
func ejectByFailures(p *Picker, now time.Time, name string) {
	for range defaultEjectAfter {
		p.RecordConnectFailure(now, name)
	}
}

// countPicks returns how often each target is picked in 200 calls of Pick.
func countPicks(t *testing.T, p *Picker, rnd *rand.Rand, now time.Time, req Request) map[string]int {
	t.Helper()
	n := make(map[string]int)
	for range 200 {
		got, err := p.Pick(now, rnd, req)
		if err != nil {
			t.Fatal(err)
		}
		n[got.Name]++
	}
	return n
}

// TestProbeEndsEjection checks that an ejected target gets no request before it
// reports its load again, then a single probe, and all requests after the probe
// succeeded.
func TestProbeEndsEjection(t *testing.T) {
	p, rnd := newPicker(6, Policy{})
	ejectByFailures(p, start, "t000")
	if n := countPicks(t, p, rnd, start, Request{})["t000"]; n > 0 {
		t.Fatalf("ejected target was picked %d times, want 0", n)
	}
	later := start.Add(2 * defaultEjectBase)
	if n := countPicks(t, p, rnd, later, Request{})["t000"]; n > 0 {
		t.Fatalf("target without a report since its ejection was picked %d times, want 0", n)
	}
	p.Report(later, "t000", Status{})
	if got, _ := p.Pick(later, rnd, Request{}); got.Name != "t000" {
		t.Fatalf("the probe went to %q, want t000", got.Name)
	}
	p.AttemptStarted("t000")
	if n := countPicks(t, p, rnd, later, Request{})["t000"]; n > 0 {
		t.Fatalf("target was picked %d times during its probe, want 0", n)
	}
	p.AttemptEnded("t000", Responded)
	if n := countPicks(t, p, rnd, later, Request{})["t000"]; n == 0 {
		t.Error("target was picked 0 times after a successful probe, want more")
	}
}

// TestNeverEjectsAll checks that the last target that is not ejected stays in use,
// however often it fails.
func TestNeverEjectsAll(t *testing.T) {
	p, rnd := newPicker(3, Policy{})
	for _, name := range []string{"t000", "t001", "t002"} {
		ejectByFailures(p, start, name)
	}
	if got, err := p.Pick(start, rnd, Request{}); err != nil || got.Name != "t002" {
		t.Errorf("picked %v, error %v; want t002", got, err)
	}
}

// TestDrainingReportExpires checks that a target's report that it is draining expires
// after drainingTTL. If it did not expire, a new target under the same name and address
// would never be used.
func TestDrainingReportExpires(t *testing.T) {
	p, rnd := newPicker(2, Policy{})
	p.Report(start, "t000", Status{Draining: true})
	list := modelTargets(2)
	list[1].Draining = true
	p.Update(list)
	if got, err := p.Pick(start.Add(drainingTTL-1), rnd, Request{}); !errors.Is(err, ErrNoTarget) {
		t.Errorf("before drainingTTL: picked %q, error %v; want ErrNoTarget", got.Name, err)
	}
	if got, err := p.Pick(start.Add(drainingTTL), rnd, Request{}); err != nil || got.Name != "t000" {
		t.Errorf("after drainingTTL: picked %q, error %v; want t000", got.Name, err)
	}
}

// TestKeyPicksSameTargetInEveryDataCentre checks that instances in different data
// centres pick the same target for a key. If they did not, a retry through another
// instance would run the work twice.
func TestKeyPicksSameTargetInEveryDataCentre(t *testing.T) {
	for i := range 50 {
		req := Request{Key: fmt.Sprintf("org/k%d", i)}
		here, rnd := newPicker(9, Policy{})
		there, _ := newPicker(9, Policy{})
		there.DataCentre = "dc2"
		a, _ := here.Pick(start, rnd, req)
		b, _ := there.Pick(start, rnd, req)
		if a != b {
			t.Errorf("key %d: dc0 picked %s, dc2 picked %s, want the same", i, a.Name, b.Name)
		}
	}
}

// TestLocalTargetsPreferredUntilBusy checks that targets in the own data centre
// are picked while they are idle, and remote ones once the load of the local ones
// exceeds RemotePenalty.
func TestLocalTargetsPreferredUntilBusy(t *testing.T) {
	p, rnd := newPicker(9, Policy{})
	for name := range countPicks(t, p, rnd, start, Request{}) {
		if p.byName[name].DataCentre != "dc0" {
			t.Errorf("idle: picked %s, want a target in dc0", name)
		}
	}
	for _, name := range []string{"t000", "t003", "t006"} {
		for range 3 {
			p.AttemptStarted(name)
		}
	}
	for name := range countPicks(t, p, rnd, start, Request{}) {
		if p.byName[name].DataCentre == "dc0" {
			t.Errorf("busy: picked %s, want a target outside dc0", name)
		}
	}
}

// TestMaxInFlight checks that Pick fails with ErrSaturated while every target has
// MaxInFlight requests, and works again once one of them ends.
func TestMaxInFlight(t *testing.T) {
	p, rnd := newPicker(2, Policy{MaxInFlight: 1})
	for range 2 {
		got, err := p.Pick(start, rnd, Request{})
		if err != nil {
			t.Fatal(err)
		}
		p.AttemptStarted(got.Name)
	}
	if _, err := p.Pick(start, rnd, Request{}); !errors.Is(err, ErrSaturated) {
		t.Errorf("Pick with all targets at MaxInFlight: error is %v, want ErrSaturated", err)
	}
	p.AttemptEnded("t001", Responded)
	if got, err := p.Pick(start, rnd, Request{}); err != nil || got.Name != "t001" {
		t.Errorf("picked %v, error %v; want t001", got, err)
	}
}

// TestRetryBudgetShare checks that retries stay within a share of the requests plus
// the burst, and that an idle instance can retry again after 2 s. Without the
// limit, retries would multiply the load while many targets fail.
func TestRetryBudgetShare(t *testing.T) {
	var b RetryBudget
	retries := 0
	for range 1000 {
		b.Request()
		if b.Allow(start) {
			retries++
		}
	}
	if retries != 109 {
		t.Errorf("%d retries for 1000 requests, want 109: a share of 0.1 and the burst", retries)
	}
	if !b.Allow(start.Add(2 * time.Second)) {
		t.Error("Allow after 2 s without requests is false, want true")
	}
}

// TestQueue compares random histories with a model that orders waiters by class
// and arrival, and sheds the last one over the limit.
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
					t.Fatalf("Push shed a waiter: %v; there are %d waiters, and the limit is 5", full, len(model))
				}
				if full {
					if last := model[len(model)-1]; shed.Waiter != last || shed.RetryAfter <= 0 {
						t.Fatalf("Push shed %+v, want %+v and a positive RetryAfter", shed, last)
					}
					model = model[:len(model)-1]
				}
			},
			"pop": func(t *rapid.T) {
				now = now.Add(time.Millisecond)
				w, ok := q.Pop(now)
				if ok != (len(model) > 0) || (ok && w != model[0]) {
					t.Fatalf("Pop returned %+v, want the first waiter of %+v, or none if there is none", w, model)
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

// TestQueueShedsLateWaiters checks that a waiter is shed at once if it is not
// expected to be served before its deadline, and that Expire removes waiters whose
// deadline has passed.
func TestQueueShedsLateWaiters(t *testing.T) {
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
		t.Errorf("Push returned %+v, shed: %v; want %+v shed with a RetryAfter of 1 s or more", shed, full, late)
	}
	if shed := q.Expire(start.Add(time.Minute)); len(shed) != 2 || q.Size() != 0 {
		t.Errorf("Expire shed %+v and left %d waiters, want 2 shed and 0 left", shed, q.Size())
	}
}

// TestStatusDueRotation checks that StatusDue returns all targets in turn, and an
// ejected target in every round.
func TestStatusDueRotation(t *testing.T) {
	p, _ := newPicker(6, Policy{})
	ejectByFailures(p, start, "t005")
	now := start.Add(defaultEjectMax)
	var names []string
	for range 3 {
		now = now.Add(time.Second)
		for _, target := range p.StatusDue(now, 4) {
			names = append(names, target.Name)
		}
	}
	want := "[t005 t000 t001 t002 t005 t003 t004 t000 t005 t001 t002 t000]"
	if got := fmt.Sprint(names); got != want {
		t.Errorf("StatusDue returned %s, want %s", got, want)
	}
}
