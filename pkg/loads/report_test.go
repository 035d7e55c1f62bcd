package loads

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/logsvc"

	"github.com/beryllanding/beryllanding/internal/stand/check"
)

const (
	// fleetSize is the number of targets that come back at once.
	fleetSize = 55
	// loadSeconds is a transfer's time by itself, and storeLoads the transfers
	// that the weight store carries at full speed together.
	loadSeconds, storeLoads = 60, 4
)

// simTarget is a target with its planner. When it is ordered to load, one in
// trouble has its side "frozen", turns "silent" or is "failing" for good.
type simTarget struct {
	planner        Planner
	state, trouble string
	left           float64
	begins, served int
}

// step lets the target's side act, and returns what it proposes.
func (tg *simTarget) step(queue *State, maxLoads, second int) (items []Item) {
	stuck := tg.state == Loading && tg.trouble != ""
	if second < tg.begins || stuck && tg.trouble == "frozen" {
		return nil
	}
	v := View{Wanted: Wanted{Weights: []string{"v7"}, MaxLoads: maxLoads}, Queue: queue, Open: func(ident.Incarnation) bool { return true }}
	if !stuck {
		v.Report = &Report{Models: map[string]string{"v7": tg.state}}
	}
	d := tg.planner.Step(v, time.Unix(int64(second), 0))
	if len(d.Serve) > 0 && tg.served == 0 {
		tg.served = second
	}
	for _, e := range d.Effects {
		switch e := e.(type) {
		case Propose:
			items = append(items, e.Item)
		case Load:
			tg.state, tg.left = Loading, loadSeconds
			if tg.trouble == "failing" {
				tg.state = Failed
			}
		}
	}
	return items
}

// simulate lets the targets come back, each at a random second up to spread, the
// first four in trouble, in steps of a second. It returns the peak of transfers
// and when the targets served, in order.
func simulate(maxLoads, spread int, trouble string) (peak int, served []int) {
	var queue State
	healthy := fleetSize
	targets := make([]simTarget, fleetSize)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range targets {
		name := fmt.Sprintf("t%d", i)
		targets[i].planner = Planner{Side: ident.Incarnation(name), Slot: name, Service: "s"}
		targets[i].begins = random.IntN(spread + 1)
		if i < 4 && trouble != "" {
			targets[i].trouble = trouble
			healthy--
		}
	}
	offset := logsvc.Offset(0)
	for second := 1; second < 5000 && len(served) < healthy; second++ {
		var items []Item
		var active []*simTarget
		for i := range targets {
			tg := &targets[i]
			items = append(items, tg.step(&queue, maxLoads, second)...)
			if tg.state == Loading && tg.trouble == "" {
				active = append(active, tg)
			}
			if tg.served == second {
				served = append(served, second)
			}
		}
		for _, tg := range active {
			if tg.left -= min(1, storeLoads/float64(len(active))); tg.left <= 1e-9 {
				tg.state = Loaded
			}
		}
		peak = max(peak, len(active))
		for _, item := range items {
			offset++
			queue.Apply(fold.Position{Offset: offset}, Encode(item))
		}
	}
	return peak, served
}

// TestReport compares paces for a data centre that comes back at once. Run with
// -update to write the report.
func TestReport(t *testing.T) {
	got := "max-loads spread trouble served peak first half all mean (seconds)\n"
	for _, c := range []struct {
		maxLoads, spread int
		trouble          string
	}{
		{fleetSize, 0, ""},
		{fleetSize, 412, ""},
		{fleetSize, 825, ""},
		{fleetSize, 1650, ""},
		{1, 0, ""},
		{2, 0, ""},
		{4, 0, ""},
		{8, 0, ""},
		{4, 0, "frozen"},
		{4, 0, "silent"},
		{4, 0, "failing"},
	} {
		peak, served := simulate(c.maxLoads, c.spread, c.trouble)
		n, sum := len(served), 0
		for _, s := range served {
			sum += s
		}
		got += fmt.Sprintf("%9d %6d %7s %6d %4d %5d %4d %4d %4d\n", c.maxLoads, c.spread, c.trouble, n, peak, served[0], served[n/2], served[n-1], sum/n)
	}
	check.Golden(t, "report.golden", got)
}
