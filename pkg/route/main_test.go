package route

import (
	"flag"
	"os"
	"testing"
)

// rapidSeed makes each run of the tests draw the same histories, unless
// -rapid.seed is given.
const rapidSeed = "20260"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", rapidSeed)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
