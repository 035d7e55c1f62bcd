package loads

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// TestMain fixes the seed, so that every run of the tests is the same.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "5")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// naiveWant is a slot's want in one list for all services. Order is decided by
// place alone, which a new incarnation inherits.
type naiveWant struct {
	Want
	at logsvc.Offset
}

type naive struct {
	wants []naiveWant
	held  map[string][]string
}

func (n *naive) apply(at logsvc.Offset, item Item) {
	switch it := item.(type) {
	case Want:
		for i, w := range n.wants {
			if w.Slot == it.Slot && w.Service == it.Service && slices.Equal(w.Weights, it.Weights) {
				if w.Side != it.Side {
					n.wants[i] = naiveWant{it, at}
				}
				return
			}
		}
		n.drop(func(w naiveWant) bool { return w.Slot == it.Slot })
		n.wants = append(n.wants, naiveWant{it, at})
	case Done:
		n.drop(func(w naiveWant) bool { return w.Slot == it.Slot && w.Side == it.Side })
		n.held[it.Slot] = it.Weights
	case Skip:
		n.drop(func(w naiveWant) bool { return w.Side == it.Side && w.at == it.Want })
	}
}

func (n *naive) drop(which func(naiveWant) bool) { n.wants = slices.DeleteFunc(n.wants, which) }

// turn counts the wants of the service that stand before the side's.
func (n *naive) turn(side ident.Incarnation, maxLoads int) bool {
	before := map[string]int{}
	for _, w := range n.wants {
		if w.Side == side {
			return before[w.Service] < maxLoads
		}
		before[w.Service]++
	}
	return false
}

func TestStateAgreesWithOneList(t *testing.T) {
	slots := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		var s State
		n := naive{held: map[string][]string{}}
		for i := range rapid.IntRange(1, 40).Draw(t, "items") {
			at := logsvc.Offset(i + 1)
			slot := rapid.SampledFrom(slots).Draw(t, "slot")
			side := ident.Incarnation(fmt.Sprintf("%s~%d", slot, rapid.IntRange(1, 2).Draw(t, "life")))
			service := rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service")
			weights := []string{rapid.SampledFrom([]string{"v6", "v7"}).Draw(t, "weights")}
			item := []Item{
				Want{Side: side, Slot: slot, Service: service, Weights: weights},
				Done{Side: side, Slot: slot, Service: service, Weights: weights},
				Skip{Side: side, Want: logsvc.Offset(rapid.IntRange(1, i+1).Draw(t, "want"))},
			}[rapid.SampledFrom([]int{0, 0, 0, 1, 2, 2}).Draw(t, "kind")]
			s.Apply(fold.Position{Offset: at}, Encode(item))
			n.apply(at, item)
			snap, err := s.Snapshot()
			var again State
			if err != nil || again.Restore(snap) != nil {
				t.Fatalf("snapshot %s: %v", snap, err)
			}
			s = again
			for _, slot := range slots {
				for _, life := range []string{"~1", "~2"} {
					side := ident.Incarnation(slot + life)
					for limit := 1; limit <= 3; limit++ {
						if got, want := s.Turn(side, limit), n.turn(side, limit); got != want {
							t.Fatalf("after %#v at %d: turn of %q with %d loads is %v, want %v", item, at, side, limit, got, want)
						}
					}
				}
				if diff := cmp.Diff(n.held[slot], s.Held(slot)); diff != "" {
					t.Fatal(diff)
				}
			}
		}
	})
}
