package roster_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/beryllanding/beryllanding/pkg/roster"
)

func entry(id string, born, sequence int64) roster.Target {
	return roster.Target{ID: id, Service: "s", Address: id + ":1", Born: born, Sequence: sequence}
}

func draining(t roster.Target) roster.Target {
	t.Draining = true
	return t
}

// TestRestoredListIsOlder reads a list again after a restore of the store. Entries of the
// copy that are older than known ones, and those of targets that were removed, must not
// take effect; entries written after the restore must.
func TestRestoredListIsOlder(t *testing.T) {
	r := &roster.Roster{}
	for _, e := range []roster.Target{entry("drains", 10, 5), entry("left", 10, 5), entry("again", 10, 5), entry("joined", 10, 1), entry("same", 10, 5)} {
		r.Set(e)
	}
	r.Retain(map[string]bool{"drains": true, "left": true, "again": true, "joined": true, "same": true}, at(0))
	r.Set(draining(entry("drains", 10, 6)))
	r.Remove("left", at(1000))
	r.Remove("again", at(1000))

	// The copy is from before these changes, and lacks the target that joined.
	r.Restored(at(5000))
	for _, id := range []string{"drains", "left", "again", "same"} {
		r.Set(entry(id, 10, 5))
	}
	r.Retain(map[string]bool{"drains": true, "left": true, "again": true, "same": true}, at(5000))
	wantTargets(t, r, "drains", "joined", "same")
	if !r.Targets()[0].Draining {
		t.Error("the target that drains is ready again, want it draining")
	}
	r.Set(entry("again", 10, 7))
	r.Set(entry("joined", 10, 2))
	r.Set(entry("left", 20, 1)) // It started again.
	r.Expire(at(5000 + 2100))
	wantTargets(t, r, "again", "drains", "joined", "left", "same")
}

// TestRestoredWithoutRewrite: a target that the copy lacks and that does not write its
// entry again is dropped at the end of the grace.
func TestRestoredWithoutRewrite(t *testing.T) {
	r := newRoster("a", "b")
	r.Restored(at(5000))
	r.Retain(map[string]bool{"a": true}, at(5000))
	wantTargets(t, r, "a", "b")
	r.Expire(at(5000 + 2100))
	wantTargets(t, r, "a")
}

// TestNoRegressAfterRestores plays random entries, removals and restores, which show
// random older entries, and checks that no target is used by an entry of an earlier run,
// or as ready after it was seen draining.
func TestNoRegressAfterRestores(t *testing.T) {
	restores := 0
	rapid.Check(t, func(t *rapid.T) {
		const targets = 3
		r := &roster.Roster{}
		var written [targets][]roster.Target // all entries, in their order
		var known [targets]int               // the index of the newest entry that was passed in
		all := make(map[string]bool)
		for i := range targets {
			written[i] = []roster.Target{entry(fmt.Sprint("t", i), 1, 1)}
			r.Set(written[i][0])
			all[written[i][0].ID] = true
		}
		r.Retain(all, at(0))
		ms := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, targets-1).Draw(t, "target")
			last := written[i][len(written[i])-1]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0: // The target writes again; a run that drains goes on draining.
				next := last
				next.Sequence++
				next.Draining = next.Draining || rapid.Bool().Draw(t, "drains")
				written[i] = append(written[i], next)
			case 1: // The target starts again.
				written[i] = append(written[i], entry(last.ID, last.Born+1, 1))
			case 2:
				r.Remove(last.ID, at(ms))
				continue
			case 3: // The copy has a random earlier entry.
				restores++
				r.Restored(at(ms))
				r.Set(written[i][rapid.IntRange(0, len(written[i])-1).Draw(t, "copy")])
			case 4:
				ms += rapid.IntRange(1, 5000).Draw(t, "ms")
				r.Expire(at(ms))
				continue
			}
			if rapid.Bool().Draw(t, "read") {
				known[i] = len(written[i]) - 1
				r.Set(written[i][known[i]])
			}
			for _, used := range r.Targets() {
				n := int(used.ID[1] - '0')
				newest := written[n][known[n]]
				if used.Born < newest.Born || (used.Born == newest.Born && !used.Draining && newest.Draining) {
					t.Fatalf("%+v is used, but %+v was read", used, newest)
				}
			}
		}
	})
	if restores == 0 {
		t.Error("no history had a restore")
	}
}
