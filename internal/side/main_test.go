package side

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that every run of the tests is the same.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "5")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
