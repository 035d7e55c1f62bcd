package poison_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/beryllanding/beryllanding/pkg/poison"
)

// step is a time between two ends that count apart.
const step = 200 * time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// held reports whether a part is in quarantine.
func held(t *poison.Tracker, now time.Time, part string) bool {
	_, _, ok := t.Check(now, "s", []string{part})
	return ok
}

// TestCrashingPartIsQuarantined: a part whose prompts ended three targets, one after the
// other, is in quarantine, and the parts that its prompts shared with answered ones are not.
func TestCrashingPartIsQuarantined(t *testing.T) {
	var tr poison.Tracker
	now := start
	for i := range 3 {
		if held(&tr, now, "bad") {
			t.Fatalf("in quarantine after %d ends, want 3", i)
		}
		now = now.Add(step)
		tr.Ended(now, "s", []string{"common", "bad"}, fmt.Sprintf("t%d", i))
		tr.Answered(now.Add(step/2), "s", []string{"common", "other"})
	}
	if !held(&tr, now, "bad") || held(&tr, now, "common") || held(&tr, now, "other") {
		t.Errorf("in quarantine: bad %v, common %v, other %v; want bad alone", held(&tr, now, "bad"), held(&tr, now, "common"), held(&tr, now, "other"))
	}
	if _, _, ok := tr.Check(now, "another service", []string{"bad"}); ok {
		t.Error("the part of another service is in quarantine too")
	}
}

// TestTargetsThatEndTogether: targets that end at the same moment, for example with their
// rack, bring no part into quarantine, and neither does one target that is reported often.
func TestTargetsThatEndTogether(t *testing.T) {
	var tr poison.Tracker
	for i := range 20 {
		tr.Ended(start.Add(time.Duration(i)*time.Millisecond), "s", []string{"a"}, fmt.Sprintf("t%d", i))
	}
	for i := range 20 {
		tr.Ended(start.Add(time.Duration(i)*step), "s", []string{"b"}, "t0")
	}
	if now := start.Add(time.Minute); held(&tr, now, "a") || held(&tr, now, "b") {
		t.Errorf("in quarantine: a %v, b %v; want none", held(&tr, now, "a"), held(&tr, now, "b"))
	}
}

// TestRecentAnswerSpeaksForAPart: a part that was answered in the last seconds isn't
// suspected.
func TestRecentAnswerSpeaksForAPart(t *testing.T) {
	var tr poison.Tracker
	tr.Answered(start, "s", []string{"a"})
	if changes := tr.Ended(start.Add(time.Second), "s", []string{"a", "b"}, "t0"); len(changes) != 1 || changes[0].Part.ID != "b" {
		t.Errorf("suspected %+v, want b alone", changes)
	}
	if changes := tr.Ended(start.Add(time.Minute), "s", []string{"a"}, "t1"); len(changes) != 1 {
		t.Errorf("suspected %+v a minute later, want a", changes)
	}
}

// quarantine brings a part into quarantine and returns the time.
func quarantine(tr *poison.Tracker, part string) time.Time {
	now := start
	for i := range 3 {
		now = now.Add(step)
		tr.Ended(now, "s", []string{part}, fmt.Sprintf("t%d", i))
	}
	return now
}

// TestAnswerEndsAQuarantine: an answer that was on its way when a sound part got into
// quarantine ends that at every instance.
func TestAnswerEndsAQuarantine(t *testing.T) {
	var tr, other poison.Tracker
	now := quarantine(&tr, "a")
	part := poison.Part{Service: "s", ID: "a"}
	for _, c := range tr.Changes() {
		if c, _ := other.Merge(now, c.Part, c.Record); c.Event != poison.Quarantined {
			t.Errorf("event at the other instance is %v, want Quarantined", c.Event)
		}
	}
	changes := tr.Answered(now, "s", []string{"a"})
	if len(changes) != 1 || changes[0].Event != poison.Cleared || held(&tr, now, "a") {
		t.Fatalf("changes are %+v, want that a is cleared", changes)
	}
	if c, stale := other.Merge(now, part, changes[0].Record); c.Event != poison.Cleared || stale || held(&other, now, "a") {
		t.Errorf("at the other instance: %+v, stale %v; want that a is cleared", c, stale)
	}
	// A late record of the round before doesn't bring the quarantine back.
	old := poison.Record{Ended: []string{"t0", "t1", "t2"}, Until: now.Add(time.Hour).UnixMilli(), Terms: 1}
	if c, stale := other.Merge(now, part, old); c.Event != poison.None || !stale || held(&other, now, "a") {
		t.Errorf("after a late record: %+v, stale %v; want no change, and the newer record shared again", c, stale)
	}
}

// TestQuarantineEnds: a quarantine expires, one more end brings the part back for twice
// the time, and without one the part is forgotten.
func TestQuarantineEnds(t *testing.T) {
	var tr poison.Tracker
	now := quarantine(&tr, "a")
	_, until, _ := tr.Check(now, "s", []string{"a"})
	first := until.Sub(now)
	now = until
	if changes, _ := tr.Expire(now); len(changes) != 1 || changes[0].Event != poison.Expired || held(&tr, now, "a") {
		t.Fatalf("changes are %+v, want that the quarantine has expired", changes)
	}
	tr.Ended(now, "s", []string{"a"}, "t7")
	_, until, ok := tr.Check(now, "s", []string{"a"})
	if second := until.Sub(now); !ok || second < 2*first-time.Minute {
		t.Errorf("after another end: in quarantine %v, for %v; want %v", ok, second, 2*first)
	}
	now = until
	tr.Expire(now)
	if _, forgotten := tr.Expire(now.Add(time.Hour)); len(forgotten) != 1 || !tr.Empty() {
		t.Errorf("forgotten are %v, want a", forgotten)
	}
}

// TestEvidenceOutlivesRestarts: instances that start again between the ends go on from what
// the records say, and a record whose quarantine has expired begins none.
func TestEvidenceOutlivesRestarts(t *testing.T) {
	now := start
	var record poison.Record
	for i := range 3 {
		var tr poison.Tracker
		if i > 0 {
			tr.Merge(now, poison.Part{Service: "s", ID: "bad"}, record)
		}
		now = now.Add(step)
		changes := tr.Ended(now, "s", []string{"bad"}, fmt.Sprintf("t%d", i))
		if len(changes) != 1 || held(&tr, now, "bad") != (i == 2) {
			t.Fatalf("end %d: changes are %+v, in quarantine %v; want a quarantine after the third", i, changes, held(&tr, now, "bad"))
		}
		record = changes[0].Record
	}
	var tr poison.Tracker
	later := time.UnixMilli(record.Until)
	if c, stale := tr.Merge(later, poison.Part{Service: "s", ID: "bad"}, record); held(&tr, later, "bad") || stale {
		t.Errorf("an expired record: %+v, stale %v; want no quarantine", c, stale)
	}
}

// TestTrackerIsBounded: parts that come once each don't take memory without end, and don't
// displace a part in quarantine.
func TestTrackerIsBounded(t *testing.T) {
	var tr poison.Tracker
	now := quarantine(&tr, "bad")
	for i := range 5000 {
		now = now.Add(time.Millisecond)
		tr.Ended(now, "s", []string{fmt.Sprintf("p%d", i)}, "t9")
		tr.Answered(now, "s", []string{fmt.Sprintf("q%d", i)})
	}
	tr.Ended(now, "s", []string{strings.Repeat("x", 100_000)}, strings.Repeat("y", 100_000))
	suspected, _ := tr.Count(now)
	if suspected["s"] > 1024 || !held(&tr, now, "bad") {
		t.Errorf("%d parts are suspected, want at most 1024; bad in quarantine: %v", suspected["s"], held(&tr, now, "bad"))
	}
}

func genRecord() *rapid.Generator[poison.Record] {
	return rapid.Custom(func(t *rapid.T) poison.Record {
		r := poison.Record{Round: rapid.Int64Range(0, 2).Draw(t, "round"), Until: rapid.Int64Range(0, 3).Draw(t, "until"), Terms: rapid.IntRange(0, 2).Draw(t, "terms"), Apart: rapid.IntRange(0, 3).Draw(t, "apart")}
		for i := range 12 {
			if rapid.Bool().Draw(t, "ended") && len(r.Ended) < 8 {
				r.Ended = append(r.Ended, fmt.Sprintf("t%02d", i))
			}
		}
		return r
	})
}

// TestMergeLaws: records merge to the same result in any order and however often.
func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := genRecord().Draw(t, "a"), genRecord().Draw(t, "b"), genRecord().Draw(t, "c")
		if ab, ba := a.Merge(b), b.Merge(a); !ab.Equal(ba) {
			t.Errorf("not commutative: %+v and %+v", ab, ba)
		}
		if l, r := a.Merge(b).Merge(c), a.Merge(b.Merge(c)); !l.Equal(r) {
			t.Errorf("not associative: %+v and %+v", l, r)
		}
		if aa := a.Merge(a); !aa.Equal(a) {
			t.Errorf("not idempotent: %+v of %+v", aa, a)
		}
		if back, err := poison.Decode(a.Encode()); err != nil || !back.Equal(a) {
			t.Errorf("decoded %+v, error %v; want %+v", back, err, a)
		}
	})
}

// TestInvalidRecords: keys and values of other writers are rejected.
func TestInvalidRecords(t *testing.T) {
	for _, key := range []string{"", "part/", "part/s", "part/s/", "other/s/a", "part/%/a"} {
		if p, err := poison.ParseKey(key); !errors.Is(err, poison.ErrRecord) {
			t.Errorf("key %q: got %+v, error %v; want ErrRecord", key, p, err)
		}
	}
	for _, value := range []string{"", "x", `{"round":-1}`, `{"until":-5}`, `{"ended":[""]}`, `{"ended":["` + strings.Repeat("a", 300) + `"]}`, `{"ended":["1","2","3","4","5","6","7","8","9"]}`, `{"round":"1"}`} {
		if r, err := poison.Decode([]byte(value)); !errors.Is(err, poison.ErrRecord) {
			t.Errorf("value %q: got %+v, error %v; want ErrRecord", value, r, err)
		}
	}
	for _, p := range []poison.Part{{Service: "s/1", ID: "a/b%"}, {Service: "", ID: "ff"}} {
		if back, err := poison.ParseKey(p.Key()); err != nil || back != p {
			t.Errorf("key %q: got %+v, error %v; want %+v", p.Key(), back, err, p)
		}
	}
}

// fleet plays instances that exchange records through a log whose newest records stay.
type fleet struct {
	now       time.Time
	instances []poison.Tracker
	log       []poison.Change
	read      []int
}

// write appends changes to the log.
func (f *fleet) write(changes []poison.Change) { f.log = append(f.log, changes...) }

// deliver lets an instance read one record, and write its own if that says more.
func (f *fleet) deliver(i int) bool {
	if f.read[i] == len(f.log) {
		return false
	}
	c := f.log[f.read[i]]
	f.read[i]++
	if merged, stale := f.instances[i].Merge(f.now, c.Part, c.Record); stale {
		f.write([]poison.Change{merged})
	}
	return true
}

// restart replaces an instance by one that knows only the newest record of each part.
func (f *fleet) restart(i int) {
	f.instances[i] = poison.Tracker{}
	newest := make(map[poison.Part]poison.Record)
	for _, c := range f.log {
		newest[c.Part] = c.Record
	}
	for p, r := range newest {
		f.instances[i].Merge(f.now, p, r)
	}
	f.read[i] = len(f.log)
}

// TestInstancesAgree: instances that read late, are cut off, and restart agree in the end.
// A part that never was answered is in quarantine everywhere after three ends that all have
// read, and a part that was answered after the last end is nowhere.
func TestInstancesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{now: start, instances: make([]poison.Tracker, 4), read: make([]int, 4)}
		ends := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			f.now = f.now.Add(step)
			i := rapid.IntRange(0, 3).Draw(t, "instance")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				ends++
				f.write(f.instances[i].Ended(f.now, "s", []string{"sound", "bad"}, fmt.Sprintf("t%d", ends)))
			case 1:
				f.write(f.instances[i].Answered(f.now, "s", []string{"sound"}))
			case 2:
				f.restart(i)
			default:
				for f.deliver(i) {
				}
			}
		}
		deliverAll := func() {
			for more := true; more; {
				more = false
				for i := range f.instances {
					more = f.deliver(i) || more
				}
			}
		}
		deliverAll()
		for range 3 {
			ends++
			f.now = f.now.Add(step)
			f.write(f.instances[ends%4].Ended(f.now, "s", []string{"sound", "bad"}, fmt.Sprintf("t%d", ends)))
			deliverAll()
		}
		// An answer after the last end clears the sound part.
		f.now = f.now.Add(step)
		for i := range f.instances {
			f.write(f.instances[i].Answered(f.now, "s", []string{"sound"}))
		}
		deliverAll()
		var sets []string
		for i := range f.instances {
			_, quarantined := f.instances[i].Count(f.now)
			sets = append(sets, fmt.Sprint(held(&f.instances[i], f.now, "bad"), quarantined))
			if !held(&f.instances[i], f.now, "bad") || held(&f.instances[i], f.now, "sound") {
				t.Errorf("instance %d: in quarantine are bad %v, sound %v; want bad alone", i, held(&f.instances[i], f.now, "bad"), held(&f.instances[i], f.now, "sound"))
			}
		}
		if len(slices.Compact(sets)) > 1 {
			t.Errorf("instances disagree: %v", sets)
		}
	})
}
