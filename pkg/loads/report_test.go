package loads

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

var update = flag.Bool("update", false, "write the golden files")

const (
	// fleetSize is the number of targets that come back at once.
	fleetSize = 55
	// loadSeconds is a transfer's time by itself, and storeLoads the transfers
	// that the weight store carries at full speed together.
	loadSeconds = 60
	storeLoads  = 4
)

// simTarget is a target with its planner.
type simTarget struct {
	planner Planner
	left    float64
	state   string
	served  int
	begins  int
	frozen  bool
}

// simulate lets the targets come back at second 0, in steps of one second, and
// returns the peak of transfers and when each target served, in order. Frozen
// targets stop for good when they are ordered to load. Each begins
// at a random second up to spread.
func simulate(maxLoads, frozen, spread int) (peak int, served []int) {
	targets := make([]*simTarget, fleetSize)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range targets {
		name := fmt.Sprintf("t%d", i)
		targets[i] = &simTarget{planner: Planner{Side: ident.Incarnation(name), Slot: name, Service: "s"}, frozen: i < frozen, begins: random.IntN(spread + 1)}
	}
	var queue State
	offset := logsvc.Offset(0)
	start := time.Unix(0, 0)
	for second := 0; len(served) < fleetSize-frozen && second < 10000; second++ {
		var items []Item
		active := 0
		for _, tg := range targets {
			if second < tg.begins {
				continue
			}
			if tg.state == Loading && tg.frozen {
				continue // it holds no transfer, and its side gives no sign
			}
			report := &Report{Models: map[string]string{"v7": tg.state}}
			d := tg.planner.Step(View{
				Wanted: Wanted{Weights: []string{"v7"}, MaxLoads: maxLoads}, Report: report, Queue: &queue,
				Open: func(ident.Incarnation) bool { return true },
			}, start.Add(time.Duration(second)*time.Second))
			for _, e := range d.Effects {
				switch e := e.(type) {
				case Propose:
					items = append(items, e.Item)
				case Load:
					tg.state, tg.left = Loading, loadSeconds
				}
			}
			if tg.state == Loading && !tg.frozen {
				active++
			}
			if len(d.Serve) > 0 && tg.served == 0 {
				tg.served = second
				served = append(served, second)
			}
		}
		peak = max(peak, active)
		for _, tg := range targets {
			if tg.state == Loading && !tg.frozen {
				if tg.left -= min(1, storeLoads/float64(active)); tg.left <= 1e-9 {
					tg.state = Loaded
				}
			}
		}
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
	var b strings.Builder
	b.WriteString("max-loads frozen spread peak first half all mean (seconds)\n")
	for _, c := range [][3]int{
		{fleetSize, 0, 0},
		{fleetSize, 0, 412},
		{fleetSize, 0, 825},
		{fleetSize, 0, 1650},
		{1, 0, 0},
		{2, 0, 0},
		{4, 0, 0},
		{8, 0, 0},
		{4, 1, 0},
		{4, 4, 0},
	} {
		peak, served := simulate(c[0], c[1], c[2])
		if len(served) != fleetSize-c[1] {
			t.Fatalf("%d targets served, want %d", len(served), fleetSize-c[1])
		}
		sum := 0
		for _, s := range served {
			sum += s
		}
		fmt.Fprintf(&b, "%9d %6d %6d %4d %5d %4d %4d %4d\n", c[0], c[1], c[2], peak,
			served[0], served[len(served)/2], served[len(served)-1], sum/len(served))
	}
	const golden = "testdata/report.golden"
	if *update {
		if err := os.WriteFile(golden, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), b.String()); diff != "" {
		t.Error(diff)
	}
}
