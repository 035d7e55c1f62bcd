package loads

import (
	"slices"
	"testing"

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

// naive is a reference model. It holds the load requests of all services in one
// list, with their offsets.
type naive struct {
	requests []QueueEntry
	held     map[string][]string
}

func (n *naive) apply(at logsvc.Offset, item Item) {
	switch it := item.(type) {
	case Request:
		for i, w := range n.requests {
			if w.Slot == it.Slot && w.Service == it.Service && slices.Equal(w.Weights, it.Weights) {
				if w.Side != it.Side {
					n.requests[i] = QueueEntry{it, at}
				}
				return
			}
		}
		n.drop(func(w QueueEntry) bool { return w.Slot == it.Slot })
		n.requests = append(n.requests, QueueEntry{it, at})
	case Done:
		n.drop(func(w QueueEntry) bool { return w.Slot == it.Slot && w.Side == it.Side })
		n.held[it.Slot] = it.Weights
	case Skip:
		n.drop(func(w QueueEntry) bool { return w.Side == it.Side && w.At == it.Request })
	}
}

func (n *naive) drop(which func(QueueEntry) bool) { n.requests = slices.DeleteFunc(n.requests, which) }

// turn reports whether fewer than maxLoads load requests of the service precede the
// side's.
func (n *naive) turn(side ident.Incarnation, maxLoads int) bool {
	before := map[string]int{}
	for _, w := range n.requests {
		if w.Side == side {
			return before[w.Service] < maxLoads
		}
		before[w.Service]++
	}
	return false
}

// TestStateMatchesNaiveModel compares the state with the naive model after each
// item of random histories, with a snapshot restored after each.
func TestStateMatchesNaiveModel(t *testing.T) {
	incarnations := []ident.Incarnation{"a~1", "a~2", "b~1", "b~2", "c~1", "c~2", "d~1", "d~2"}
	rapid.Check(t, func(t *rapid.T) {
		var s State
		n := naive{held: map[string][]string{}}
		for at := range logsvc.Offset(rapid.IntRange(1, 40).Draw(t, "items")) {
			side := rapid.SampledFrom(incarnations).Draw(t, "side")
			service := rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service")
			weights := []string{rapid.SampledFrom([]string{"v6", "v7"}).Draw(t, "weights")}
			item := []Item{
				Request{Side: side, Slot: side.Instance(), Service: service, Weights: weights},
				Done{Side: side, Slot: side.Instance(), Service: service, Weights: weights},
				Skip{Side: side, Request: logsvc.Offset(rapid.IntRange(0, int(at)).Draw(t, "want"))},
			}[rapid.SampledFrom([]int{0, 0, 0, 1, 2, 2}).Draw(t, "kind")]
			s.Apply(fold.Position{Offset: at}, Encode(item))
			n.apply(at, item)
			var again State
			check.Restore(t, &s, &again)
			s = again
			for _, side := range incarnations {
				for limit := 1; limit <= 3; limit++ {
					if got, want := s.MayLoad(side, limit), n.turn(side, limit); got != want {
						t.Fatalf("after %#v at offset %d: side %q may load, with at most %d loads: %v, want %v", item, at, side, limit, got, want)
					}
				}
				if got, want := s.LastLoaded(side.Instance()), n.held[side.Instance()]; !slices.Equal(got, want) {
					t.Fatalf("after %#v at offset %d: slot of side %q last loaded %q, want %q", item, at, side, got, want)
				}
			}
		}
	})
}
