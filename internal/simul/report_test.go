package simul

import (
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"
)

var update = flag.Bool("update", false, "rewrite the golden file")

const reportSeed = 7

// TestReport guards against overspend under any policy, against too many false
// refusals under the chosen one, and against unintended changes of the report.
func TestReport(t *testing.T) {
	policies := Policies()
	if raceEnabled {
		policies = policies[:1] // each run is single-threaded, so more policies find no more races
	}
	results := runAll(policies)
	for _, r := range results {
		if r.Overspend > 0 {
			t.Errorf("%s, %s: got an overspend of %d tokens, want 0", r.Scenario, r.Policy, r.Overspend)
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

// runAll runs all policies in all scenarios, three at a time. Each run stays in one
// goroutine, so concurrency does not change the results.
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

// checkTarget compares a result of the chosen policy with the target of its
// scenario: a limit of false refusals, or that each of them is explained.
func checkTarget(t *testing.T, r Result) {
	if r.Policy != "chosen" {
		return
	}
	limits := map[byte]float64{'1': 0.01, '2': 0.01, '3': 1}
	limit, limited := limits[r.Scenario[0]]
	if limited && r.FalsePercent() > limit {
		t.Errorf("%s: got %.3f%% false refusals, want at most %.3f%%", r.Scenario, r.FalsePercent(), limit)
	}
	if !limited && r.Explained < r.FalseRefusals {
		t.Errorf("%s: got %d of %d false refusals unexplained, want 0", r.Scenario, r.FalseRefusals-r.Explained, r.FalseRefusals)
	}
}
