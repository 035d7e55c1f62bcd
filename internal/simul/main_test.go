package simul

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the default seed and number of histories. Flags on the command
// line override them.
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "1", "rapid.checks": "400", "rapid.steps": "250", "rapid.nofailfile": "true"}
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
