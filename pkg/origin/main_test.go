package origin_test

import (
	"testing"

	"github.com/beryllanding/beryllanding/internal/stand/check"
)

// rapidSeed makes rapid generate the same histories in each run, unless
// -rapid.seed is given.
const rapidSeed = "20265"

func TestMain(m *testing.M) {
	check.Main(m, map[string]string{"rapid.seed": rapidSeed, "rapid.checks": "5000", "rapid.nofailfile": "true"})
}
