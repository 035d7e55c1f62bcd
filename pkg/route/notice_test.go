package route

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// mustNotPick fails the test if Pick returns one of the targets.
func mustNotPick(t *testing.T, p *Picker, rnd *rand.Rand, now time.Time, names ...string) {
	t.Helper()
	n := countPicks(t, p, rnd, now, Request{})
	for _, name := range names {
		if n[name] > 0 {
			t.Errorf("%s was picked %d times, want 0", name, n[name])
		}
	}
}

// TestLeavingTargetGetsNothing checks that a target that said that it leaves gets no
// attempt, although the list shows it as ready, also after its entry was gone for a
// while. A new run of it and another target at its address are used.
func TestLeavingTargetGetsNothing(t *testing.T) {
	p, rnd := newPicker(3, Policy{})
	if !p.Leave(start, "t000") || p.Leave(start, "t000") {
		t.Error("Leave must report the first notice as news, and the second one not")
	}
	mustNotPick(t, p, rnd, start, "t000")
	p.Update(modelTargets(3)[1:])
	p.Update(modelTargets(3))
	mustNotPick(t, p, rnd, start.Add(drainingTTL), "t000")
	next := modelTargets(3)
	next[0].Name = "t000-next-run"
	next[1] = Target{Name: "t000", Address: "elsewhere:1", DataCentre: "dc0"}
	p.Update(next)
	n := countPicks(t, p, rnd, start, Request{})
	for _, name := range []string{"t000-next-run", "t000"} {
		if n[name] == 0 {
			t.Errorf("%s at %v was never picked, want it used: it announced nothing", name, p.byName[name].Address)
		}
	}
}

// TestAllLeaving checks that no target is picked once all have said that they leave, and
// that the next one that is listed is.
func TestAllLeaving(t *testing.T) {
	p, rnd := newPicker(2, Policy{Cost: true})
	p.Leave(start, "t000")
	if _, err := p.Pick(start, rnd, Request{}); err != nil {
		t.Errorf("with one of two targets leaving: error is %v, want the other one", err)
	}
	p.Leave(start, "t001")
	if got, err := p.Pick(start, rnd, Request{}); !errors.Is(err, ErrNoTarget) {
		t.Errorf("picked %q, error %v; want ErrNoTarget", got.Name, err)
	}
	p.Update(modelTargets(3))
	if got, err := p.Pick(start, rnd, Request{}); err != nil || got.Name != "t002" {
		t.Errorf("picked %q, error %v; want t002", got.Name, err)
	}
}

// TestRestLasts checks how long targets rest for wishes of several sizes.
func TestRestLasts(t *testing.T) {
	for _, c := range []struct{ wish, want time.Duration }{
		{-time.Second, 0},
		{0, 0},
		{time.Millisecond, time.Millisecond},
		{2500 * time.Millisecond, 2500 * time.Millisecond},
		{time.Hour, maxRest},
		{1<<63 - 1, maxRest},
	} {
		t.Run(fmt.Sprint(c.wish), func(t *testing.T) {
			p, rnd := newPicker(2, Policy{Cost: true})
			p.Rest(start, "t000", c.wish)
			if c.want > 0 {
				mustNotPick(t, p, rnd, start.Add(c.want-1), "t000")
			}
			if n := countPicks(t, p, rnd, start.Add(c.want), Request{})["t000"]; n == 0 {
				t.Errorf("t000 was never picked after %v, want it back", c.want)
			}
		})
	}
}

// TestAllResting checks the error and the time of the first return while all targets
// rest. A target that also leaves does not return.
func TestAllResting(t *testing.T) {
	p, rnd := newPicker(3, Policy{Cost: true})
	p.Rest(start, "t000", 3*time.Second)
	p.Rest(start, "t001", 2*time.Second)
	p.Rest(start, "t002", time.Second)
	p.Leave(start, "t002")
	if _, err := p.Pick(start, rnd, Request{}); !errors.Is(err, ErrResting) {
		t.Errorf("error is %v, want ErrResting", err)
	}
	if end, why := p.AllRest(start); !errors.Is(why, ErrResting) || !end.Equal(start.Add(2*time.Second)) {
		t.Errorf("first return is at %v (%v), want after 2s, ErrResting", end.Sub(start), why)
	}
	// A shorter wish does not shorten a rest.
	p.Rest(start, "t001", time.Millisecond)
	if got, err := p.Pick(start.Add(2*time.Second-1), rnd, Request{}); !errors.Is(err, ErrResting) {
		t.Errorf("picked %q, error %v; want ErrResting", got.Name, err)
	}
	if leaving, resting := p.Withdrawn(start); leaving != 1 || resting != 2 {
		t.Errorf("%d leaving, %d resting; want 1 and 2", leaving, resting)
	}
}

// TestReturnAfterRestIsGradual sends as many attempts as Pick allows to the only target
// of a service whose rest has ended, in rounds of 50 ms: each attempt of a round gets
// its response in the next. The number of attempts must grow with the responses, from
// one, and end without a limit.
func TestReturnAfterRestIsGradual(t *testing.T) {
	const waiting = 200
	p, rnd := newPicker(1, Policy{Cost: true})
	p.Rest(start, "t000", time.Second)
	now := start.Add(time.Second)
	var rounds []int
	for range 5 {
		var open []Attempt
		for range waiting {
			target, err := p.Pick(now, rnd, Request{})
			if err != nil {
				break
			}
			open = append(open, p.Begin(now, target.Name, Request{}))
		}
		rounds = append(rounds, len(open))
		now = now.Add(50 * time.Millisecond)
		for i := range open {
			p.FirstToken(now, &open[i], true)
			p.AttemptEnded("t000", Responded)
		}
	}
	if rounds[0] != 1 {
		t.Errorf("%d attempts right after the rest, want 1", rounds[0])
	}
	for i := 1; i < len(rounds); i++ {
		if most := 3 * rounds[i-1]; rounds[i] > most && rounds[i] != waiting {
			t.Errorf("round %d has %d attempts after %d, want at most %d", i, rounds[i], rounds[i-1], most)
		}
	}
	if last := rounds[len(rounds)-1]; last != waiting {
		t.Errorf("the last round has %d attempts, want all %d: %v", last, waiting, rounds)
	}
}

// TestNoticesAreKept plays random notices, changes of the list and times, and compares
// each pick with a simple record of what the targets announced.
func TestNoticesAreKept(t *testing.T) {
	picks := 0
	rapid.Check(t, func(t *rapid.T) {
		const targets = 4
		p := &Picker{DataCentre: "dc0", Policy: Policy{Cost: rapid.Bool().Draw(t, "cost")}}
		list := modelTargets(targets)
		p.Update(list)
		rnd := rand.New(rand.NewPCG(1, 2))
		now := start
		leaving := make(map[string]bool)
		restEnd := make(map[string]time.Time)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, targets-1).Draw(t, "target")
			name := list[i].Name
			listed := p.byName[name] != nil
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				p.Leave(now, name)
				leaving[name] = leaving[name] || listed
			case 1:
				wish := time.Duration(rapid.Int64Range(-1000, 20_000).Draw(t, "wish-ms")) * time.Millisecond
				p.Rest(now, name, wish)
				if until := now.Add(wish); listed && until.After(restEnd[name]) {
					restEnd[name] = until
				}
			case 2:
				// The target starts again, as another run.
				list[i].Name = fmt.Sprintf("t%03d/%d", i, now.UnixNano())
				p.Update(list)
			case 3:
				// The entry expires, or all entries come back.
				if rapid.Bool().Draw(t, "expires") {
					p.Update(append(append([]Target(nil), list[:i]...), list[i+1:]...))
				} else {
					p.Update(list)
				}
			case 4:
				p.RecordConnectFailure(now, name)
				p.Report(now, name, Status{Running: rapid.Int64Range(0, 9).Draw(t, "running")})
			case 5:
				now = now.Add(time.Duration(rapid.Int64Range(1, 5000).Draw(t, "ms")) * time.Millisecond)
			}
			got, err := p.Pick(now, rnd, Request{})
			if err != nil {
				continue
			}
			picks++
			if leaving[got.Name] || now.Before(restEnd[got.Name]) {
				t.Fatalf("picked %s, which leaves (%v) or rests until %v", got.Name, leaving[got.Name], restEnd[got.Name].Sub(now))
			}
			p.AttemptStarted(got.Name)
			p.AttemptEnded(got.Name, Responded)
		}
	})
	if picks == 0 {
		t.Error("no history had a pick")
	}
}
