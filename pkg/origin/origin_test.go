package origin_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/beryllanding/beryllanding/pkg/origin"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// others returns the names of n instances without those given.
func others(n int, without ...int) (names []string) {
	for i := range n {
		if !slices.Contains(without, i) {
			names = append(names, fmt.Sprintf("instance-%d", i))
		}
	}
	return names
}

// TestToldAndAskedAgree: whichever instance forwards a stream and whichever one it is taken
// up at, one of the three that the latter asks was told by the former or is it, also if the
// former has died. If one that was told has died too, and counts as silent, the same holds.
func TestToldAndAskedAgree(t *testing.T) {
	for _, n := range []int{4, 5, 23, 68, 390} {
		for stream := range 200 {
			id, from, at := fmt.Sprint("stream-", stream), stream%n, (stream*7+1)%n
			if from == at {
				continue
			}
			told := origin.Keepers(id, others(n, from))[:2]
			asked := origin.Keepers(id, others(n, at))[:3]
			self := fmt.Sprintf("instance-%d", at)
			known := func(asked, told []string) bool {
				return slices.ContainsFunc(told, func(name string) bool { return name == self || slices.Contains(asked, name) })
			}
			if !known(asked, told) {
				t.Fatalf("%d instances: told are %v, asked are %v by %s; want one in common", n, told, asked, self)
			}
			if n < 5 {
				continue
			}
			// The instance and the first one that it told are dead.
			alive := slices.DeleteFunc(origin.Keepers(id, others(n, at, from)), func(name string) bool { return name == told[0] })
			if self != told[0] && !known(alive[:3], told[1:]) {
				t.Fatalf("%d instances: told is %v, asked are %v by %s; want it among them", n, told[1:], alive[:3], self)
			}
		}
	}
}

// TestKeepersAreEven: the streams of a large fleet are spread evenly over at most 32 keepers.
func TestKeepersAreEven(t *testing.T) {
	told := make(map[string]int)
	names := others(390)
	for stream := range 3200 {
		for _, name := range origin.Keepers(fmt.Sprint("stream-", stream), names)[:2] {
			told[name]++
		}
	}
	for name, n := range told {
		if n < 100 || n > 400 {
			t.Errorf("%s is told of %d streams, want about 200", name, n)
		}
	}
	if len(told) != 32 {
		t.Errorf("%d keepers, want 32", len(told))
	}
}

// TestMemory: an origin is kept for half a minute at least and two minutes at most, and
// memory is bounded.
func TestMemory(t *testing.T) {
	var m origin.Memory
	o := origin.Origin{Service: "s", Version: "v1"}
	m.Note(start, "a", o)
	if got, ok := m.Find(start.Add(30*time.Second), "a"); !ok || got != o {
		t.Errorf("after 30 s: got %+v, known %v; want %+v", got, ok, o)
	}
	if got, ok := m.Find(start.Add(2*time.Minute), "a"); ok {
		t.Errorf("after 2 min: got %+v, want it forgotten", got)
	}
	for i := range 200_000 {
		m.Note(start.Add(2*time.Minute), fmt.Sprint(i), o)
	}
	m.Note(start.Add(2*time.Minute), string(make([]byte, 1<<20)), o)
	if m.Len() > 65536 {
		t.Errorf("%d origins are kept, want at most 65536", m.Len())
	}
}

// TestVersions: a service counts as having one version only if another one neither serves nor
// served in the last minute, nor may have served just before the list was first read.
func TestVersions(t *testing.T) {
	v1, v2 := origin.Origin{Service: "s", Version: "v1"}, origin.Origin{Service: "s", Version: "v2"}
	var v origin.Versions
	type state struct {
		Version string
		Single  bool
	}
	check := func(at time.Duration, want state) {
		t.Helper()
		v.Read(start.Add(at), start.Add(at), false, nil)
		version, single := v.Single(start.Add(at), "s")
		if diff := cmp.Diff(want.Single, single); diff != "" || (single && version != want.Version) {
			t.Errorf("after %v: version %q, single %v; want %+v", at, version, single, want)
		}
	}
	check(0, state{})
	v.See(start, []origin.Origin{v1})
	check(time.Second, state{})
	check(31*time.Second, state{"v1", true})
	v.See(start.Add(40*time.Second), []origin.Origin{v1})
	if mixed := v.See(start.Add(50*time.Second), []origin.Origin{v1, v2}); !slices.Equal(mixed, []string{"s"}) {
		t.Errorf("services that got a second version are %v, want s", mixed)
	}
	check(51*time.Second, state{})
	for at := 55 * time.Second; at < 3*time.Minute; at += 5 * time.Second {
		v.See(start.Add(at), []origin.Origin{v2})
		if at <= 110*time.Second {
			check(at, state{})
		}
	}
	check(3*time.Minute, state{"v2", true})
}

// TestUnseenVersions guards against an instance that names the version of a stream although
// another one may have served without its knowledge: while it can't read the list, or in between.
func TestUnseenVersions(t *testing.T) {
	v1, v2 := origin.Origin{Service: "s", Version: "v1"}, origin.Origin{Service: "s", Version: "v2"}
	second := func(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }
	for name, c := range map[string]struct {
		// back is what is read in second 50, after a cut that begins in second 40.
		back []origin.Origin
		gap  bool
		// until is the second until which no version is named after that.
		until int
	}{
		"nothing happened":         {until: 50},
		"a version came and left":  {back: []origin.Origin{v2}, until: 111},
		"a version came":           {back: []origin.Origin{v1, v2}, until: 111},
		"the records were removed": {back: []origin.Origin{v1}, gap: true, until: 80},
	} {
		t.Run(name, func(t *testing.T) {
			var v origin.Versions
			for n := range 130 {
				switch {
				case n == 50:
					v.Read(second(n), second(n), c.gap, c.back)
				case n < 40 || n > 50:
					v.Read(second(n), second(n), n == 0, []origin.Origin{v1})
				default:
					v.See(second(n), []origin.Origin{v1}) // The list as it was read last.
				}
				_, single := v.Single(second(n), "s")
				if want := (n >= 30 && n <= 41) || (n >= c.until && n >= 50); single != want {
					t.Errorf("second %d: a version is named: %v, want %v", n, single, want)
				}
				_, proven := v.Proven(second(n), "s", second(n))
				if want := (n >= 30 && n < 40) || (n >= c.until && n >= 50); proven != want {
					t.Errorf("second %d: a version is proven for streams until then: %v, want %v", n, proven, want)
				}
			}
		})
	}
}
