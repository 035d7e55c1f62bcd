package emul_test

import (
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/internal/emul"
	"github.com/beryllanding/beryllanding/internal/stand/keyd"
)

// deadlyKind is a kind of request that crashes each target that runs it.
func deadlyKind(rate float64, deadly int) emul.Kind {
	return emul.Kind{
		Name: "deadly", Rate: rate, Prompt: 400, Output: 20, Shared: 200, Prefixes: 1,
		Goal: time.Minute, Deadline: time.Minute, Targets: 1, Deadly: deadly,
	}
}

// TestRequestThatCrashesTargets guards against a fleet that sends a request that crashes
// targets to one target after the other, as its caller repeats it at any instance.
func TestRequestThatCrashesTargets(t *testing.T) {
	plain, many, inside, resumed := deadlyKind(10, 1), deadlyKind(20, 6), deadlyKind(10, 1), deadlyKind(10, 1)
	plain.Plain, many.Plain = true, true
	repeated := plain
	repeated.Repeatable, repeated.Targets = true, 3
	resumed.Repeatable, resumed.Targets = true, 3
	inside.CrashEvents = 3
	for _, c := range []struct {
		name               string
		kind               emul.Kind
		instances, targets int
		change             func(*emul.Scenario)
	}{
		{name: "prompt", kind: deadlyKind(10, 1), instances: 4, targets: 8},
		{name: "run once at most", kind: plain, instances: 4, targets: 8},
		{name: "may be repeated", kind: repeated, instances: 4, targets: 3},
		{name: "stream that may be resumed", kind: resumed, instances: 4, targets: 8},
		{name: "many harmful requests at once", kind: many, instances: 4, targets: 12},
		{name: "many small instances", kind: plain, instances: 32, targets: 12},
		{name: "an instance that is cut off at first", kind: plain, instances: 4, targets: 8, change: func(s *emul.Scenario) {
			s.Faults = []emul.Fault{{At: 0, For: 3 * time.Second, Cut: true, Count: 1}}
		}},
		{name: "instances that start again", kind: plain, instances: 4, targets: 8, change: func(s *emul.Scenario) {
			s.Faults = []emul.Fault{{At: 2 * time.Second, For: time.Second, Stop: true, Count: 2}}
		}},
		{name: "late and lost news", kind: plain, instances: 4, targets: 8, change: func(s *emul.Scenario) {
			s.Faults = []emul.Fault{{At: 0, For: time.Minute, Store: &keyd.Switches{Delay: 100 * time.Millisecond, Lost: 0.3, Late: time.Second}}}
		}},
		{name: "targets that listen again at once", kind: plain, instances: 4, targets: 8, change: func(s *emul.Scenario) {
			s.Restart = time.Millisecond
		}},
		{name: "targets that go dark", kind: repeated, instances: 4, targets: 24, change: func(s *emul.Scenario) {
			s.Dark, s.Restart = true, 2*time.Second
			for i := range s.Kinds {
				s.Kinds[i].Deadline = 10 * time.Second
			}
			s.Kinds[len(s.Kinds)-1].Rate, s.Kinds[len(s.Kinds)-1].Goal = 1, 300*time.Millisecond
			s.Length, s.Settle = 16*time.Second, 5*time.Second
		}},
		{name: "inside an answer", kind: inside, instances: 4, targets: 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := small(t)
			allowTime(&s)
			s.Length, s.Restart, s.Settle = 8*time.Second, time.Second, 3*time.Second
			s.Instances, s.Targets = c.instances, c.targets
			s.Kinds = append(s.Kinds, c.kind)
			if c.change != nil {
				c.change(&s)
			}
			wantCrashesBesideSound(t, run(t, s))
		})
	}
}
