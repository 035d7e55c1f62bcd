package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/check"
)

// costBalancer is the Picker with Policy.Cost.
type costBalancer struct {
	pickerBalancer
	attempts map[*job]*Attempt
}

func newCostBalancer(dc string, list []Target) balancer {
	p := &Picker{DataCentre: dc, Policy: Policy{Cost: true, TokensPerMs: tokensPerMs}}
	p.Update(list)
	return costBalancer{pickerBalancer: pickerBalancer{p}, attempts: make(map[*job]*Attempt)}
}

func (c costBalancer) begin(now time.Time, name string, req Request, j *job) {
	w := c.Begin(now, name, req)
	c.attempts[j] = &w
}

func (c costBalancer) first(now time.Time, j *job) {
	if w := c.attempts[j]; w != nil {
		c.FirstToken(now, w, true)
		delete(c.attempts, j)
	}
}

// leastRequests picks the target with the fewest requests according to its own
// count and the last report.
type leastRequests struct {
	randomChoice
	own, reported map[string]int64
}

func newLeastRequests(_ string, list []Target) balancer {
	return leastRequests{randomChoice{list}, make(map[string]int64), make(map[string]int64)}
}

func (l leastRequests) pick(now time.Time, rnd *rand.Rand, req Request) string {
	best := l.randomChoice.pick(now, rnd, req)
	for _, t := range l.list {
		if !slices.Contains(req.Exclude, t.Name) && l.own[t.Name]+l.reported[t.Name] < l.own[best]+l.reported[best] {
			best = t.Name
		}
	}
	return best
}
func (l leastRequests) sent(name string) { l.own[name]++ }
func (l leastRequests) done(name string) { l.own[name]-- }
func (l leastRequests) report(_ time.Time, name string, s Status) {
	l.reported[name] = max(0, s.Running-l.own[name])
}

// oracle knows the current queues, caches and speeds, and picks the target with
// the earliest first token. It is the upper bound for any choice based on reports.
type oracle struct {
	randomChoice
	best *string
}

func newOracle(_ string, list []Target) balancer {
	return oracle{randomChoice{list}, new(string)}
}

func (o oracle) pick(time.Time, *rand.Rand, Request) string { return *o.best }

func (o oracle) observe(engines []*engine, prefix int) {
	least := 0.0
	*o.best = ""
	for _, e := range engines {
		if e.speed == 0 {
			continue
		}
		work := ticks(coldPrefill)
		if prefix == 0 {
			work = ticks(shortPrefill)
		} else if slices.Contains(e.prefixes, prefix) {
			work = ticks(warmPrefill)
		}
		for _, j := range e.running {
			if !j.first {
				work += j.prefill - j.progress
			}
		}
		for _, j := range e.waiting {
			if j.prefix > 0 && !slices.Contains(e.prefixes, j.prefix) {
				work += ticks(coldPrefill)
			} else {
				work += ticks(warmPrefill)
			}
		}
		if full := len(e.running) + len(e.waiting) - slots; full >= 0 {
			work += ticks(meanDecode) * float64(full+1) / slots
		}
		work /= e.speed
		if *o.best == "" || work < least {
			*o.best, least = e.name, work
		}
	}
}

// aim is the time within which a first token counts as in time.
const aim = 800 * time.Millisecond

// TestPlace simulates high load on engines that read one prompt at a time. It compares
// the Picker under Policy.Cost to random choice, to fewest requests, to the Picker by
// counts, and to the oracle. It fails if the share of first tokens in time is below 0.9
// times that of the oracle, or more than 0.005 below that of another policy. The table
// of results must equal the golden file.
func TestPlace(t *testing.T) {
	scenarios := []scenario{
		{name: "steady", rate: 75, prefixes: 60, serial: true},
		{name: "burst in one place", rate: 75, prefixes: 60, burst: 3, serial: true},
		{name: "hot prefix", rate: 75, prefixes: 60, hot: 0.28, serial: true},
		{name: "slow target", rate: 75, prefixes: 60, slow: 0.25, serial: true},
		{name: "silent target", rate: 75, prefixes: 60, silent: true, serial: true},
		{name: "hot and burst", rate: 75, prefixes: 60, hot: 0.28, burst: 3, serial: true},
	}
	policies := []struct {
		name string
		make func(dc string, list []Target) balancer
	}{
		{"random", func(_ string, list []Target) balancer { return randomChoice{list} }},
		{"fewest requests", newLeastRequests},
		{"picker by counts", newPickerBalancer(Policy{})},
		{"picker by cost", newCostBalancer},
		{"oracle", newOracle},
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%-20s %-18s %7s %8s %8s %6s\n", "scenario", "policy", "in aim", "p95 ms", "p99 ms", "warm")
	for _, s := range scenarios {
		got := make(map[string]outcome)
		for _, p := range policies {
			o := simulate(s, p.make)
			got[p.name] = o
			fmt.Fprintf(&b, "%-20s %-18s %6.1f%% %8d %8d %5.0f%%\n", s.name, p.name, 100*o.inAim, o.p95.Milliseconds(), o.p99.Milliseconds(), 100*o.warm)
		}
		cost, best := got["picker by cost"], got["oracle"]
		if cost.inAim < 0.9*best.inAim {
			t.Errorf("%s: share of first tokens in time is %.3f, want at least 0.9 times the oracle's %.3f", s.name, cost.inAim, best.inAim)
		}
		for _, other := range []string{"random", "fewest requests", "picker by counts"} {
			if cost.inAim < got[other].inAim-0.005 {
				t.Errorf("%s: share of first tokens in time is %.3f; want at least that of the policy %s, which is %.3f, less 0.005", s.name, cost.inAim, other, got[other].inAim)
			}
		}
	}
	t.Log("\n" + b.String())
	check.Golden(t, "place.golden", b.String())
}
