package emul_test

import (
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/internal/emul"
	"github.com/beryllanding/beryllanding/internal/stand/modeld"
)

// TestStreamOnTwoVersions guards against streams that go on at another software version than
// the one that began them, in one answer or when the caller takes them up at any instance,
// and against streams that are lost although targets of their version serve. Instances stop in
// order here; those that are killed and know nothing any more are in TestInstancesThatForgot of
// internal/edge.
func TestStreamOnTwoVersions(t *testing.T) {
	breaks := emul.Fault{At: 0, For: time.Minute, Target: &modeld.Switches{Break: 2}, Count: 4}
	for _, c := range []struct {
		name                        string
		instances, targets, takeUps int
		faults                      []emul.Fault
	}{
		{name: "in one answer", instances: 2, targets: 3, faults: []emul.Fault{breaks}},
		{name: "taken up at any instance", instances: 4, targets: 1, takeUps: 6, faults: []emul.Fault{breaks}},
		{name: "taken up at many instances", instances: 32, targets: 1, takeUps: 6, faults: []emul.Fault{breaks}},
		{name: "instances that start again", instances: 6, targets: 1, takeUps: 6, faults: []emul.Fault{
			breaks, {At: time.Second, For: 500 * time.Millisecond, Stop: true, Count: 2},
		}},
		{name: "all instances start again", instances: 4, targets: 1, takeUps: 6, faults: []emul.Fault{
			breaks, {At: time.Second, For: 300 * time.Millisecond, Stop: true, Count: 4},
		}},
		{name: "one starts again, cut off from the store", instances: 4, targets: 1, takeUps: 6, faults: []emul.Fault{
			breaks,
			{At: time.Second, For: 300 * time.Millisecond, Stop: true, Count: 1},
			{At: 2 * time.Second, For: time.Minute, Cut: true, Count: 1},
		}},
		{name: "instances without the store", instances: 4, targets: 1, takeUps: 6, faults: []emul.Fault{
			breaks, {At: time.Second, For: time.Minute, Cut: true, Count: 2},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := small(t)
			allowTime(&s)
			s.Length, s.Instances, s.Targets, s.Versions, s.Faults = 4*time.Second, c.instances, 6, 2, c.faults
			s.Kinds = s.Kinds[1:] // The kind that may be resumed.
			s.Kinds[0].Targets, s.Kinds[0].TakeUps, s.Kinds[0].Rate = c.targets, c.takeUps, 30
			r := run(t, s)
			if c.takeUps > 0 && (r.TakenUp < 12 || 2*(r.All.InAim+r.All.Late) < r.All.Asked) {
				t.Errorf("%d streams were taken up, served are %+v; want 12 or more, and half of the requests served", r.TakenUp, r.All)
			}
		})
	}
}
