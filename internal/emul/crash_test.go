package emul_test

import (
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/internal/emul"
	"github.com/beryllanding/beryllanding/internal/stand/keyd"
)

// TestPartThatCrashesTargets guards against a fleet that sends requests with a part of a
// prompt that crashes targets to one target after the other. Sound requests share all their
// other parts.
func TestPartThatCrashesTargets(t *testing.T) {
	for _, c := range []struct {
		name               string
		instances, targets int
		faults             []emul.Fault
	}{
		{name: "four instances", instances: 4, targets: 8},
		{name: "many small instances", instances: 32, targets: 12},
		{name: "an instance that is cut off at first", instances: 4, targets: 8, faults: []emul.Fault{
			{At: 0, For: 3 * time.Second, Cut: true, Count: 1},
		}},
		{name: "instances that start again", instances: 4, targets: 8, faults: []emul.Fault{
			{At: 2 * time.Second, For: time.Second, Stop: true, Count: 2},
		}},
		{name: "late and lost news", instances: 4, targets: 8, faults: []emul.Fault{
			{At: 0, For: time.Minute, Store: &keyd.Switches{Delay: 100 * time.Millisecond, Lost: 0.3, Late: time.Second}},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := small(t)
			allowTime(&s)
			s.Length, s.Restart, s.Settle = 8*time.Second, time.Second, 3*time.Second
			s.Instances, s.Targets, s.Faults = c.instances, c.targets, c.faults
			s.Kinds = append(s.Kinds, emul.Kind{
				Name: "crash", Rate: 10, Prompt: 400, Output: 20, Shared: 200, Prefixes: 1,
				Goal: time.Minute, Deadline: time.Minute, Targets: 1, Crashes: true,
			})
			wantCrashesBesideSound(t, run(t, s))
		})
	}
}

// wantCrashesBesideSound checks that targets crashed, and that half of the sound requests were
// served.
func wantCrashesBesideSound(t *testing.T, r emul.Report) {
	t.Helper()
	if r.Crashes == 0 {
		t.Error("no target crashed")
	}
	if chat := r.Kinds["chat"]; 2*(chat.InAim+chat.Late) < chat.Asked {
		t.Errorf("sound requests: got %+v, want at least half of them served", chat)
	}
}
