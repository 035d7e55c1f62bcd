package table

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestEvacuations guards against evacuations that get lost or never end: by repeated
// orders, by orders for data centres that are not evacuated, and by a store that comes back
// from an older copy.
func TestEvacuations(t *testing.T) {
	set, removed := func(dc string) Order { return Order{dc, true} }, func(dc string) Order { return Order{DataCentre: dc} }
	type step struct {
		at     time.Duration
		orders []Order
		full   bool
		// restored and old are set if the store was restored, and if it has an old
		// configuration.
		restored, old bool
		changes       string
	}
	for name, steps := range map[string][]step{
		"sent twice and taken back twice": {
			{orders: []Order{set("a")}, changes: "+a"},
			{orders: []Order{set("a")}},
			{orders: []Order{removed("a")}, changes: "-a"},
			{orders: []Order{removed("a"), removed("none")}},
		},
		"known at the start": {
			{orders: []Order{set("b"), set("a")}, full: true, changes: "+a +b"},
			{},
		},
		"history dropped": {
			{orders: []Order{set("a"), set("b")}, changes: "+a +b"},
			{orders: []Order{set("b")}, full: true, changes: "-a"},
		},
		"set and removed in one change": {
			{orders: []Order{set("a"), removed("a")}},
		},
		"copy lacks the order, which is written again after the configuration": {
			{orders: []Order{set("a")}, changes: "+a"},
			{full: true, restored: true, old: true},
			{at: time.Minute, old: true},
			{at: time.Minute + time.Second},
			{at: time.Minute + 1500*time.Millisecond, orders: []Order{set("a")}},
			{at: 2 * time.Minute},
		},
		"copy lacks the order, which is not written again": {
			{orders: []Order{set("a")}, changes: "+a"},
			{full: true, restored: true, old: true},
			{at: time.Second},
			{at: 3 * time.Second, changes: "-a"},
		},
		"copy with the newest configuration lacks the order": {
			{orders: []Order{set("a")}, changes: "+a"},
			{full: true, restored: true},
			{at: time.Second},
			{at: 1500 * time.Millisecond, orders: []Order{set("a")}},
			{at: 5 * time.Second},
		},
		"copy has an order that was taken back": {
			{orders: []Order{set("a")}, full: true, restored: true, old: true, changes: "+a"},
			{at: time.Second, orders: []Order{removed("a")}, changes: "-a"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var e Evacuations
			start := time.Unix(1000, 0)
			for i, s := range steps {
				begun, ended := e.Apply(start.Add(s.at), s.orders, s.full, s.restored, !s.old)
				var got []string
				for _, dc := range begun {
					got = append(got, "+"+dc)
				}
				for _, dc := range ended {
					got = append(got, "-"+dc)
				}
				if diff := cmp.Diff(s.changes, strings.Join(got, " ")); diff != "" {
					t.Errorf("step %d: changes (-want +got):\n%s", i, diff)
				}
			}
		})
	}
}
