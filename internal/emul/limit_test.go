package emul_test

import (
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/internal/emul"
	"github.com/beryllanding/beryllanding/internal/stand/keyd"
	"github.com/beryllanding/beryllanding/internal/stand/modeld"
)

// TestNamedLimit guards against targets that get more requests than the limit that they
// named for all instances together. The other targets have the capacity for all requests.
func TestNamedLimit(t *testing.T) {
	limit := func(rate float64, count int) emul.Fault {
		return emul.Fault{At: 200 * time.Millisecond, For: time.Minute, Target: &modeld.Switches{Limit: rate}, Count: count}
	}
	for _, c := range []struct {
		name      string
		instances int
		faults    []emul.Fault
	}{
		{"four instances", 4, []emul.Fault{limit(1, 2)}},
		{"many small instances", 32, []emul.Fault{limit(1, 2)}},
		{"a higher limit", 32, []emul.Fault{limit(3, 2)}},
		{"an instance that is cut off at first", 4, []emul.Fault{limit(1, 2), {At: 0, For: 3 * time.Second, Cut: true, Count: 1}}},
		{"late and lost news", 4, []emul.Fault{limit(1, 2), {At: 0, For: time.Minute, Store: &keyd.Switches{Delay: 100 * time.Millisecond, Lost: 0.3, Late: time.Second}}}},
		{"instances that start again", 4, []emul.Fault{limit(1, 2), {At: 2 * time.Second, For: time.Second, Stop: true, Count: 2}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := small(t)
			allowTime(&s)
			s.Length, s.Settle = 9*time.Second, 3*time.Second
			s.Instances, s.Targets, s.Faults = c.instances, 4, c.faults
			for i := range s.Kinds {
				s.Kinds[i].Rate = 30
			}
			r := run(t, s)
			if served := r.All.InAim + r.All.Late; 10*served < 9*r.All.Asked {
				t.Errorf("got %+v, want nine in ten served by the other targets", r.All)
			}
		})
	}
}

// TestEveryTargetLimited guards against requests that are held, or refused although the
// limits allow them, while all targets of a service name a limit: what the limits allow is
// served, and the rest is refused at once.
func TestEveryTargetLimited(t *testing.T) {
	t.Parallel()
	s := small(t)
	allowTime(&s)
	s.Length, s.Settle = 9*time.Second, 3*time.Second
	s.Instances, s.Targets = 4, 4
	for i := range s.Kinds {
		s.Kinds[i].Retries, s.Kinds[i].Rate = 0, 30
	}
	const rate = 4 // requests per second and target
	s.Faults = []emul.Fault{{For: time.Minute, Target: &modeld.Switches{Limit: rate}, Count: 4}}
	r := run(t, s)
	allowed := rate * float64(s.Targets) * s.Length.Seconds()
	if served := float64(r.All.InAim + r.All.Late); served < allowed/2 || r.All.Refused == 0 || r.All.Failed > 0 {
		t.Errorf("got %+v; want at least half of the %v allowed requests served, some refused and none failed", r.All, allowed)
	}
}

// TestLimitEnds guards against targets that stay limited after they stopped naming a limit:
// instances that were not told by the target itself send requests to it again.
func TestLimitEnds(t *testing.T) {
	t.Parallel()
	s := small(t)
	allowTime(&s)
	s.Length, s.Instances, s.Targets = 6*time.Second, 8, 2
	for i := range s.Kinds {
		s.Kinds[i].Retries, s.Kinds[i].Rate = 0, 30
	}
	s.Faults = []emul.Fault{{For: 2 * time.Second, Target: &modeld.Switches{Limit: 2}, Count: 2}}
	r := run(t, s)
	// While the limits hold, eight requests are allowed of 120.
	if served := r.All.InAim + r.All.Late; 2*served < r.All.Asked || r.All.Refused == 0 {
		t.Errorf("got %+v, want at least half served and some refused", r.All)
	}
}
