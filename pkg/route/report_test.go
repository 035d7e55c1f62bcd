package route

import (
	"fmt"
	"strings"
	"testing"

	"github.com/beryllanding/beryllanding/internal/stand/check"
)

// TestReport simulates the time to the first token with the Picker and with naive
// policies. It fails if the Picker does not halve the tail of random choice, if
// affinity lengthens the tail of two choices by over a quarter, or if affinity
// finds too few prefixes in the caches. The table of results must equal the golden
// file.
func TestReport(t *testing.T) {
	scenarios := []scenario{
		{name: "steady", rate: 90},
		{name: "one slow target", rate: 90, slow: 0.25},
		{name: "one silent target", rate: 90, silent: true},
		{name: "slow and silent", rate: 90, slow: 0.25, silent: true},
		{name: "shared prefixes", rate: 75, prefixes: 60},
		{name: "shared prefixes, slow", rate: 75, prefixes: 60, slow: 0.25},
	}
	policies := []struct {
		name string
		make func(dc string, list []Target) balancer
	}{
		{"random", func(_ string, list []Target) balancer { return randomChoice{list} }},
		{"two choices", newPickerBalancer(Policy{NoAffinity: true})},
		{"picker", newPickerBalancer(Policy{})},
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%-22s %-12s %8s %8s %8s %6s\n", "scenario", "policy", "p50 ms", "p95 ms", "p99 ms", "warm")
	got := make(map[string]outcome)
	for _, s := range scenarios {
		for _, p := range policies {
			o := simulate(s, p.make)
			got[s.name+"/"+p.name] = o
			fmt.Fprintf(&b, "%-22s %-12s %8d %8d %8d %5.0f%%\n", s.name, p.name,
				o.p50.Milliseconds(), o.p95.Milliseconds(), o.p99.Milliseconds(), 100*o.warm)
		}
	}
	t.Log("\n" + b.String())
	check.Golden(t, "report.golden", b.String())
	for _, s := range scenarios {
		naive, two, own := got[s.name+"/random"], got[s.name+"/two choices"], got[s.name+"/picker"]
		if 2*own.p95 > naive.p95 || 2*own.p99 > naive.p99 {
			t.Errorf("%s: p95 and p99 are %v and %v, want at most half of random choice's %v and %v", s.name, own.p95, own.p99, naive.p95, naive.p99)
		}
		if own.p99 > two.p99*5/4 {
			t.Errorf("%s: p99 is %v, want at most 5/4 of two choices' %v", s.name, own.p99, two.p99)
		}
		if s.prefixes > 0 && (own.warm < 2*two.warm || own.p50 >= two.p50) {
			t.Errorf("%s: with affinity %v, want at least twice the warm share and a lower p50 than two choices %v", s.name, own, two)
		}
	}
}

func newPickerBalancer(policy Policy) func(string, []Target) balancer {
	return func(dc string, list []Target) balancer {
		p := &Picker{DataCentre: dc, Policy: policy}
		p.Update(list)
		return pickerBalancer{p}
	}
}
