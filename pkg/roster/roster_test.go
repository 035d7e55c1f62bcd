package roster_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/beryllanding/beryllanding/pkg/roster"
)

func at(ms int) time.Time { return time.UnixMilli(1_000_000 + int64(ms)) }

func targetIDs(r *roster.Roster) []string {
	var ids []string
	for _, t := range r.Targets() {
		ids = append(ids, t.ID)
	}
	return ids
}

func newRoster(ids ...string) *roster.Roster {
	r := &roster.Roster{}
	for _, id := range ids {
		r.Set(roster.Target{ID: id, Service: "s", Address: id + ":1"})
	}
	keep := make(map[string]bool)
	for _, id := range ids {
		keep[id] = true
	}
	r.Retain(keep, at(0))
	return r
}

func wantTargets(t *testing.T, r *roster.Roster, ids ...string) {
	t.Helper()
	if diff := cmp.Diff(ids, targetIDs(r)); diff != "" {
		t.Errorf("targets to use (-want +got):\n%s", diff)
	}
}

// TestRemovalTakesEffectAtOnce checks that the removal of an entry while the store
// is reachable takes effect at once: its target is drained.
func TestRemovalTakesEffectAtOnce(t *testing.T) {
	r := newRoster("a", "b")
	r.Remove("a", at(100))
	wantTargets(t, r, "b")
}

// TestLapseInOutage checks that targets whose entries expired while the store was
// unreachable stay in use until the end of the grace after the store's return. If they
// did not, an outage of the store would remove targets that still run.
func TestLapseInOutage(t *testing.T) {
	r := newRoster("a", "b", "c")
	r.StoreDown()
	r.Remove("a", at(5000))
	r.Remove("b", at(5000))
	r.StoreUp(at(5000))
	wantTargets(t, r, "a", "b", "c")
	r.Set(roster.Target{ID: "a", Service: "s", Address: "a:1"})
	if changed, next := r.Expire(at(6000)); changed || next != at(5000).Add(roster.DefaultGrace) {
		t.Errorf("Expire 1 s after the return: changed %v, next %v, want no change, and next at the end of the grace", changed, next)
	}
	if changed, _ := r.Expire(at(7100)); !changed {
		t.Error("Expire at the end of the grace removed nothing, want target b removed")
	}
	wantTargets(t, r, "a", "c")
}

// TestRemovalAfterOutage checks that a removal 0.9 s after the store's return takes
// effect at once. If it had to wait for the end of the grace, a request could reach the
// target 2.04 s after the target had left.
func TestRemovalAfterOutage(t *testing.T) {
	r := newRoster("a", "b")
	r.StoreDown()
	r.StoreUp(at(5000))
	r.Remove("a", at(5900))
	wantTargets(t, r, "b")
}

// TestRemovalRightAfterOutage checks that a target whose entry is removed right
// after the store's return stays in use until the end of the grace, which is less
// than 2 s later: the entry may have expired during the outage.
func TestRemovalRightAfterOutage(t *testing.T) {
	r := newRoster("a", "b")
	r.StoreDown()
	r.StoreUp(at(5000))
	r.Remove("a", at(5399))
	wantTargets(t, r, "a", "b")
	r.Expire(at(5000 + 2100))
	wantTargets(t, r, "b")
}

// TestDrainingTargetHasNoGrace checks that a draining target has no grace: its
// entry is removed because it is drained.
func TestDrainingTargetHasNoGrace(t *testing.T) {
	r := newRoster("a", "b")
	r.Set(roster.Target{ID: "a", Service: "s", Address: "a:1", Draining: true})
	r.StoreDown()
	r.Remove("a", at(100))
	wantTargets(t, r, "b")
}

// TestReusedAddress checks that an address listed twice belongs to the target
// that started last.
func TestReusedAddress(t *testing.T) {
	r := newRoster()
	r.Set(roster.Target{ID: "new", Service: "s2", Address: "x:1", Born: 20})
	r.Set(roster.Target{ID: "old", Service: "s1", Address: "x:1", Born: 10})
	wantTargets(t, r, "new")
}

// TestUnknownServiceTakesNoAddress guards against an odd entry that hides a sound target at its
// address.
func TestUnknownServiceTakesNoAddress(t *testing.T) {
	r := &roster.Roster{}
	sound, odd := entry("sound", 10, 1), entry("odd", 99, 1)
	odd.Address, odd.Service = sound.Address, "none"
	r.Set(sound)
	r.Set(odd)
	if got := r.TargetsOf(func(service string) bool { return service != "none" }); len(got) != 1 || got[0].ID != "sound" {
		t.Errorf("got targets %+v, want the sound one", got)
	}
	// If the service exists, the target that started last has the address.
	if got := r.Targets(); len(got) != 1 || got[0].ID != "odd" {
		t.Errorf("got targets %+v, want the one that started last", got)
	}
}
