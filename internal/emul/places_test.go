package emul_test

import (
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/internal/emul"
	"github.com/beryllanding/beryllanding/internal/stand/keyd"
)

// spread returns a scenario with three data centres and some load.
func spread(t *testing.T, instances int) emul.Scenario {
	s := small(t)
	allowTime(&s)
	s.Length, s.Settle = 9*time.Second, 3*time.Second
	s.DataCentres, s.Instances, s.Targets = 3, instances, 9
	s.ColdTime, s.ColdRate = 3*time.Second, 3
	for i := range s.Kinds {
		s.Kinds[i].Rate = 60
	}
	return s
}

// TestEvacuation guards against requests at targets of an evacuated data centre while
// instances are cut off, the store is away or slow, and instances start again.
func TestEvacuation(t *testing.T) {
	evacuate := emul.Fault{At: time.Second, For: 5 * time.Second, Evacuate: true}
	for _, c := range []struct {
		name   string
		faults []emul.Fault
	}{
		{"calm", nil},
		{"an instance that is cut off before", []emul.Fault{{For: 2 * time.Second, Cut: true, Count: 1}}},
		{"outage of the store", []emul.Fault{{At: 2 * time.Second, For: 2 * time.Second, Store: &keyd.Switches{Down: true}}}},
		{"store that comes back older", []emul.Fault{{At: 2 * time.Second, For: 300 * time.Millisecond, Store: &keyd.Switches{Down: true}, Copy: 2 * time.Second}}},
		{"instances that start again", []emul.Fault{{At: 2 * time.Second, For: time.Second, Stop: true, Count: 3}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := spread(t, 6)
			s.Settle = 1200 * time.Millisecond
			s.Faults = append(c.faults, evacuate)
			if r := run(t, s); 10*(r.All.InAim+r.All.Late) < 9*r.All.Asked {
				t.Errorf("got %+v, want nine in ten served by the other data centres", r.All)
			}
		})
	}
}

// TestEveryDataCentreEvacuated: while there is no data centre left, requests are refused, and
// none is lost.
func TestEveryDataCentreEvacuated(t *testing.T) {
	t.Parallel()
	s := spread(t, 3)
	s.Length, s.ColdRate = 4*time.Second, 0
	for i := range s.DataCentres {
		s.Faults = append(s.Faults, emul.Fault{At: time.Second, For: time.Second, Evacuate: true, DataCentre: i})
	}
	for i := range s.Kinds {
		s.Kinds[i].Retries = 0
	}
	if r := run(t, s); r.All.Refused == 0 || r.All.Failed > 0 || 2*(r.All.InAim+r.All.Late) < r.All.Asked {
		t.Errorf("got %+v, want some refused, none failed, and at least half served", r.All)
	}
}

// TestColdReturn guards against more requests than returned targets tolerate while they are
// cold, from all instances together, and against targets that stay without requests.
func TestColdReturn(t *testing.T) {
	back := emul.Fault{At: time.Second, For: 2 * time.Second, ReturnCold: true, DataCentre: 1}
	for _, c := range []struct {
		name      string
		instances int
		faults    []emul.Fault
	}{
		{"a data centre", 6, nil},
		{"many small instances", 32, nil},
		{"an instance that is cut off", 6, []emul.Fault{{For: 5 * time.Second, Cut: true, Count: 1}}},
		{"instances that start again", 6, []emul.Fault{{At: 2 * time.Second, For: 1500 * time.Millisecond, Stop: true, Count: 2}}},
		{"taken back after an evacuation", 6, []emul.Fault{{At: time.Second, For: 3500 * time.Millisecond, Evacuate: true, DataCentre: 1}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := spread(t, c.instances)
			s.Faults = append(c.faults, back)
			if r := run(t, s); 10*(r.All.InAim+r.All.Late) < 8*r.All.Asked {
				t.Errorf("got %+v, want eight in ten served", r.All)
			}
		})
	}
}
