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
	// fleetSize is the number of targets that restart.
	fleetSize = 55
	// loadSeconds is the duration of a transfer at full speed. storeLoads is the
	// number of concurrent transfers that the weight store serves at full speed.
	loadSeconds, storeLoads = 60, 4
)

// simTarget is a target with its planner. Its fault, if any, begins with its first
// order to load and never ends. With "frozen", its side takes no more steps. With
// "silent", the target sends no more reports. With "failing", every load fails.
type simTarget struct {
	planner                   Planner
	state, fault              string
	remaining                 float64
	startSecond, servedSecond int
}

// step runs one step of the target's side, and returns the items that it proposes.
func (tg *simTarget) step(queue *State, maxLoads, second int) (items []Item) {
	stuck := tg.state == Loading && tg.fault != ""
	if second < tg.startSecond || stuck && tg.fault == "frozen" {
		return nil
	}
	v := View{Desired: Desired{Weights: []string{"v7"}, MaxLoads: maxLoads}, Queue: queue, Open: func(ident.Incarnation) bool { return true }}
	if !stuck {
		v.Report = &Report{Models: map[string]string{"v7": tg.state}}
	}
	d := tg.planner.Step(v, time.Unix(int64(second), 0))
	if len(d.Serve) > 0 && tg.servedSecond == 0 {
		tg.servedSecond = second
	}
	for _, e := range d.Effects {
		switch e := e.(type) {
		case Propose:
			items = append(items, e.Item)
		case Load:
			tg.state, tg.remaining = Loading, loadSeconds
			if tg.fault == "failing" {
				tg.state = Failed
			}
		}
	}
	return items
}

// simulate starts each target at a random second up to spread, and runs all targets
// in steps of one second. The first four have the fault. simulate returns the peak
// number of concurrent transfers, and the seconds at which targets began to serve,
// in order.
func simulate(maxLoads, spread int, fault string) (peak int, served []int) {
	var queue State
	healthy := fleetSize
	targets := make([]simTarget, fleetSize)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range targets {
		name := fmt.Sprintf("t%d", i)
		targets[i].planner = Planner{Side: ident.Incarnation(name), Slot: name, Service: "s"}
		targets[i].startSecond = random.IntN(spread + 1)
		if i < 4 && fault != "" {
			targets[i].fault = fault
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
			if tg.state == Loading && tg.fault == "" {
				active = append(active, tg)
			}
			if tg.servedSecond == second {
				served = append(served, second)
			}
		}
		for _, tg := range active {
			if tg.remaining -= min(1, storeLoads/float64(len(active))); tg.remaining <= 1e-9 {
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

// TestReport compares values of max-loads, and spreads of the starts, for a data
// centre whose targets all restart. Run with -update to write the report.
func TestReport(t *testing.T) {
	got := "max-loads spread trouble served peak first half all mean (seconds)\n"
	for _, c := range []struct {
		maxLoads, spread int
		fault            string
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
		peak, served := simulate(c.maxLoads, c.spread, c.fault)
		n, sum := len(served), 0
		for _, s := range served {
			sum += s
		}
		got += fmt.Sprintf("%9d %6d %7s %6d %4d %5d %4d %4d %4d\n", c.maxLoads, c.spread, c.fault, n, peak, served[0], served[n/2], served[n-1], sum/n)
	}
	check.Golden(t, "report.golden", got)
}
