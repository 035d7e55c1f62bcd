package trial

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the histories; flags on the command line go before it.
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
