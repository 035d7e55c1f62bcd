package trial

import (
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"
)

var update = flag.Bool("update", false, "rewrite the golden file")

const reportSeed = 7

// TestReport compares the policies in all scenarios, and holds the chosen one to
// its targets.
func TestReport(t *testing.T) {
	policies := Policies()
	if raceEnabled {
		policies = policies[:1] // each run is in one goroutine: the others add nothing
	}
	results := runAll(policies)
	for _, r := range results {
		if r.Overspend > 0 {
			t.Errorf("%s, %s: overspend of %d tokens", r.Scenario, r.Policy, r.Overspend)
		}
		checkTarget(t, r)
	}
	if !raceEnabled {
		compareGolden(t, results)
	}
}

// compareGolden compares the table of all policies with the golden file.
func compareGolden(t *testing.T, results []Result) {
	report := Format(results)
	t.Logf("\n%s", report)
	const golden = "testdata/report.txt"
	if *update {
		if err := os.WriteFile(golden, []byte(report), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), report); diff != "" {
		t.Errorf("report differs from %s (-want +got):\n%s", golden, diff)
	}
}

// runAll runs the policies in all scenarios, a few at a time. Each run is alone
// in its goroutine, so the results do not depend on it.
func runAll(policies []Policy) []Result {
	scenarios := Scenarios()
	results := make([]Result, len(scenarios)*len(policies))
	var g errgroup.Group
	g.SetLimit(3)
	for i := range results {
		g.Go(func() error {
			results[i] = Run(scenarios[i/len(policies)], policies[i%len(policies)], reportSeed)
			return nil
		})
	}
	_ = g.Wait() // the functions return no errors
	return results
}

// checkTarget holds a result of the chosen policy to the target of its scenario.
func checkTarget(t *testing.T, r Result) {
	if r.Policy != "chosen" {
		return
	}
	limits := map[byte]float64{'1': 0.01, '2': 0.01, '3': 1}
	limit, limited := limits[r.Scenario[0]]
	if limited && r.FalsePercent() > limit {
		t.Errorf("%s: %.3f%% false refusals, the target is %.3f%%", r.Scenario, r.FalsePercent(), limit)
	}
	if !limited && r.Explained < r.False {
		t.Errorf("%s: %d of %d false refusals are not explained", r.Scenario, r.False-r.Explained, r.False)
	}
}
