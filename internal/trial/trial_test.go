package trial_test

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/beryllanding/beryllanding/internal/trial"
)

// TestParse checks which names are accepted. A misspelt one must not run an experiment with
// everything on.
func TestParse(t *testing.T) {
	for names, want := range map[string]trial.Off{
		"":                  {},
		"pacing":            {trial.Pacing: true},
		"pacing, affinity,": {trial.Pacing: true, trial.Affinity: true},
	} {
		got, err := trial.Parse(names)
		if diff := cmp.Diff(want, got); diff != "" || err != nil {
			t.Errorf("%q: error %v, result differs (-want +got):\n%s", names, err, diff)
		}
	}
	for _, names := range []string{"pace", "pacing,Affinity", "all"} {
		if _, err := trial.Parse(names); !errors.Is(err, trial.ErrMechanism) {
			t.Errorf("%q: got error %v, want %v", names, err, trial.ErrMechanism)
		}
	}
}
