package loads

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
)

// TestPlacesGivenUp lets a head's target fail to load, or give no report.
func TestPlacesGivenUp(t *testing.T) {
	for reason, report := range map[string]*Report{
		"target gives no report": nil,
		`load of "v7" failed`:    {Models: map[string]string{"v7": Failed}},
	} {
		var queue State
		queue.Apply(fold.Position{Offset: 9}, Encode(Want{Side: "t~1", Slot: "t", Service: "s", Weights: []string{"v7"}}))
		p := Planner{Side: "t~1", Slot: "t", Service: "s"}
		var got []Effect
		for second := range 20 {
			got = append(got, p.Step(View{
				Wanted: Wanted{Weights: []string{"v7"}}, Report: report, Queue: &queue,
				Open: func(ident.Incarnation) bool { return true },
			}, time.Unix(int64(second), 0)).Effects...)
		}
		want := Effect(Propose{Skip{Side: "t~1", Want: 9, By: "t~1", Reason: reason}})
		if len(got) == 0 || !cmp.Equal(got[len(got)-1], want) {
			t.Errorf("effects are %v, want %v last", got, want)
		}
	}
}
