package fleet

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/logsvc"

	"github.com/beryllanding/beryllanding/internal/stand/check"
)

// TestMain fixes the seed of rapid, so each test run draws the same cases.
func TestMain(m *testing.M) {
	check.Main(m, map[string]string{"rapid.seed": "5", "rapid.nofailfile": "true"})
}

// naive is a reference model that answers every query by a search through the
// whole history.
type naive struct {
	history []Item
}

// opened returns the index of the side's first SideOpen, or -1.
func (n naive) opened(side ident.Incarnation) int {
	return slices.IndexFunc(n.history, func(it Item) bool {
		o, ok := it.(SideOpen)
		return ok && o.Side == side
	})
}

// ended returns the index of the item that ended the side, or -1 if the side has
// not ended. gone reports whether the side ended without a SideClose.
func (n naive) ended(side ident.Incarnation) (at int, gone bool) {
	from := n.opened(side)
	if from < 0 {
		return -1, false
	}
	slot := n.history[from].(SideOpen).Slot
	for i := from + 1; i < len(n.history); i++ {
		switch it := n.history[i].(type) {
		case SideClose:
			if it.Side == side {
				return i, false
			}
		case SideGone:
			if it.Side == side {
				return i, true
			}
		case SideFence:
			by := n.opened(it.Side)
			if by > from && by < i && n.history[by].(SideOpen).Slot == slot && n.openAt(it.Side, i) {
				return i, true
			}
		}
	}
	return -1, false
}

// openAt reports whether the side was open just before index i.
func (n naive) openAt(side ident.Incarnation, i int) bool {
	from := n.opened(side)
	if from < 0 || from >= i {
		return false
	}
	to, _ := naive{n.history[:i]}.ended(side)
	return to < 0
}

// closing returns the results of all queries about a holder's closing.
func (n naive) closing(holder ident.Incarnation, sides []ident.Incarnation) (closed bool, final logsvc.Offset, waiting, gone []ident.Incarnation) {
	at := slices.IndexFunc(n.history, func(it Item) bool {
		c, ok := it.(HolderClose)
		return ok && c.Holder == holder
	})
	if at < 0 {
		return false, 0, nil, nil
	}
	final = logsvc.Offset(at + 1)
	for _, side := range sides {
		if !n.openAt(side, at) {
			continue
		}
		acked := slices.IndexFunc(n.history[at:], func(it Item) bool { return it == Ack{Side: side, Holder: holder} })
		end, byGone := n.ended(side)
		switch {
		case acked >= 0 && (end < 0 || at+acked < end):
			final = max(final, logsvc.Offset(at+acked+1))
		case end >= 0:
			final = max(final, logsvc.Offset(end+1))
			if byGone {
				gone = append(gone, side)
			}
		default:
			waiting = append(waiting, side)
		}
	}
	if len(waiting) > 0 {
		final = 0
	}
	return true, final, waiting, gone
}

var (
	testSides   = []ident.Incarnation{"a~1", "a~2", "b~1", "b~2", "c~1"}
	testHolders = []ident.Incarnation{"h1", "h2"}
)

// drawItem draws any item.
func drawItem(t *rapid.T) Item {
	side := rapid.SampledFrom(testSides).Draw(t, "side")
	holder := rapid.SampledFrom(testHolders).Draw(t, "holder")
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0, 1, 2:
		return SideOpen{Side: side, Slot: side.Instance()}
	case 3:
		return SideFence{Side: side}
	case 4:
		return SideClose{Side: side}
	case 5:
		return SideGone{Side: side}
	case 6:
		return HolderClose{Holder: holder}
	default:
		return Ack{Side: side, Holder: holder}
	}
}

// answers are the results of all queries, for comparison.
type answers struct {
	Open    map[ident.Incarnation]bool
	Unacked map[ident.Incarnation][]ident.Incarnation
	Closed  map[ident.Incarnation]bool
	Final   map[ident.Incarnation]logsvc.Offset
	Waiting map[ident.Incarnation][]ident.Incarnation
	Gone    map[ident.Incarnation][]ident.Incarnation
}

func newAnswers() answers {
	return answers{
		Open: map[ident.Incarnation]bool{}, Unacked: map[ident.Incarnation][]ident.Incarnation{},
		Closed: map[ident.Incarnation]bool{}, Final: map[ident.Incarnation]logsvc.Offset{},
		Waiting: map[ident.Incarnation][]ident.Incarnation{}, Gone: map[ident.Incarnation][]ident.Incarnation{},
	}
}

func answersOf(s *State) answers {
	f := newAnswers()
	for _, side := range testSides {
		f.Open[side] = s.Open(side)
		f.Unacked[side] = s.Unacked(side)
	}
	for _, h := range testHolders {
		f.Closed[h] = s.Closed(h)
		f.Final[h], _ = s.Final(h)
		f.Waiting[h] = s.Waiting(h)
		f.Gone[h] = s.EndedUnacked(h)
	}
	return f
}

func naiveAnswers(n naive) answers {
	f := newAnswers()
	for _, side := range testSides {
		f.Open[side] = n.openAt(side, len(n.history))
		f.Unacked[side] = nil
	}
	for _, h := range testHolders {
		f.Closed[h], f.Final[h], f.Waiting[h], f.Gone[h] = n.closing(h, testSides)
		for _, side := range f.Waiting[h] {
			f.Unacked[side] = append(f.Unacked[side], h)
		}
	}
	return f
}

// TestStateMatchesNaiveModel compares the state with the naive model after each
// item of random histories, with snapshots restored in between.
func TestStateMatchesNaiveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		var n naive
		for i := range rapid.IntRange(1, 40).Draw(t, "items") {
			it := drawItem(t)
			s.Apply(fold.Position{Offset: logsvc.Offset(i + 1)}, Encode(it))
			n.history = append(n.history, it)
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				again := State{}
				check.Restore(t, &s, &again)
				s = again
			}
			if diff := cmp.Diff(naiveAnswers(n), answersOf(&s)); diff != "" {
				t.Fatalf("after %#v (-naive +state):\n%s", n.history, diff)
			}
		}
	})
}

// TestClosingWaitsForOlderSideUntilFence checks that a closing still waits for an
// older side after a new SideOpen of its slot, since the older side may only be
// paused. After the SideFence, the closing must no longer wait for it.
func TestClosingWaitsForOlderSideUntilFence(t *testing.T) {
	var s State
	at := logsvc.Offset(0)
	apply := func(it Item) {
		at++
		s.Apply(fold.Position{Offset: at}, Encode(it))
	}
	apply(SideOpen{Side: "a~1", Slot: "a"})
	apply(HolderClose{Holder: "h"})
	apply(SideOpen{Side: "a~2", Slot: "a"})
	if _, final := s.Final("h"); final {
		t.Error("closing is final before the SideFence, want it to wait for the older side")
	}
	apply(SideFence{Side: "a~2"})
	if off, final := s.Final("h"); !final || off != at {
		t.Errorf("closing is final: %v, at offset %d; want true, at offset %d", final, off, at)
	}
	if got := s.EndedUnacked("h"); !slices.Equal(got, []ident.Incarnation{"a~1"}) {
		t.Errorf("sides gone without acknowledgement are %v, want a~1", got)
	}
}

// TestRestoreRefusesMalformedSnapshot checks that Restore fails and leaves the
// state unchanged.
func TestRestoreRefusesMalformedSnapshot(t *testing.T) {
	var s State
	s.Apply(fold.Position{Offset: 1}, Encode(SideOpen{Side: "a~1"}))
	for _, bad := range []string{`{`, `{"sides":{"x":null}}`, `{"closings":{"x":null}}`} {
		if err := s.Restore([]byte(bad)); err == nil || !s.Open("a~1") {
			t.Errorf("snapshot %s: error %v, side open %v; want an error and the side open", bad, err, s.Open("a~1"))
		}
	}
}

func FuzzDecode(f *testing.F) {
	for _, it := range []Item{
		SideOpen{Side: "a~1", Slot: "a", Service: "s"},
		SideFence{Side: "a~1"},
		SideClose{Side: "a~1"},
		SideGone{Side: "a~1", By: "op", Reason: "r"},
		HolderClose{Holder: "h"},
		Ack{Side: "a~1", Holder: "h"},
	} {
		e := Encode(it)
		f.Add(e.Kind, []byte(e.Body))
	}
	f.Add("ack", []byte(`{"side":1}`))
	f.Fuzz(func(t *testing.T, kind string, body []byte) {
		it, err := Decode(fold.Item{Kind: kind, Body: body})
		if err != nil {
			return
		}
		again, err := Decode(Encode(it))
		if err != nil || again != it {
			t.Errorf("%#v was encoded and decoded to %#v, error %v, want an equal item", it, again, err)
		}
		var s State
		s.Apply(fold.Position{Offset: 1}, fold.Item{Kind: kind, Body: body})
	})
}

// BenchmarkClosing opens sides, closes a holder and acknowledges the closing for
// every side.
func BenchmarkClosing(b *testing.B) {
	for _, sides := range []int{6, 60, 600} {
		b.Run(fmt.Sprintf("sides=%d", sides), func(b *testing.B) {
			open := openItems(sides)
			b.ReportAllocs()
			for b.Loop() {
				var s State
				for i, it := range open {
					s.Apply(fold.Position{Offset: logsvc.Offset(i + 1)}, it)
				}
				s.Apply(fold.Position{Offset: 1000}, Encode(HolderClose{Holder: "h"}))
				for i := range sides {
					s.Apply(fold.Position{Offset: logsvc.Offset(1001 + i)}, Encode(Ack{Side: sideName(i), Holder: "h"}))
				}
				if _, ok := s.Final("h"); !ok {
					b.Fatal("closing is not final")
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(2*sides+1), "ns/item")
		})
	}
}

// BenchmarkAdmissionAndSnapshotByClosings measures queries and snapshots of a state
// with many final closings.
func BenchmarkAdmissionAndSnapshotByClosings(b *testing.B) {
	for _, closings := range []int{100, 10_000} {
		var s State
		for i, it := range openItems(60) {
			s.Apply(fold.Position{Offset: logsvc.Offset(i + 1)}, it)
		}
		for i := range closings {
			h := ident.Incarnation(fmt.Sprintf("chc-a-r%d~9f2c01d4e8aa", i))
			s.Apply(fold.Position{Offset: logsvc.Offset(100 + i)}, Encode(HolderClose{Holder: h}))
			for j := range 60 {
				s.Apply(fold.Position{Offset: logsvc.Offset(100 + i)}, Encode(Ack{Side: sideName(j), Holder: h}))
			}
		}
		b.Run(fmt.Sprintf("closed/closings=%d", closings), func(b *testing.B) {
			for b.Loop() {
				s.Closed("chc-b-r9~000000000000")
			}
		})
		b.Run(fmt.Sprintf("unacked/closings=%d", closings), func(b *testing.B) {
			for b.Loop() {
				s.Unacked(sideName(0))
			}
		})
		b.Run(fmt.Sprintf("snapshot/closings=%d", closings), func(b *testing.B) {
			size := 0
			for b.Loop() {
				data, _ := s.Snapshot()
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(closings), "bytes/closing")
		})
	}
}

func sideName(i int) ident.Incarnation {
	return ident.Incarnation(fmt.Sprintf("slot-%d~9f2c01d4e8aa", i))
}

func openItems(n int) []fold.Item {
	var out []fold.Item
	for i := range n {
		out = append(out, Encode(SideOpen{Side: sideName(i), Slot: sideName(i).Instance()}))
	}
	return out
}
