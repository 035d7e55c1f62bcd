package limit_test

import (
	"testing"

	"github.com/beryllanding/beryllanding/internal/stand/check"
)

// rapidSeed makes rapid generate the same histories in each run, unless
// -rapid.seed is given.
const rapidSeed = "20263"

func TestMain(m *testing.M) {
	check.Main(m, map[string]string{"rapid.seed": rapidSeed, "rapid.checks": "2000", "rapid.nofailfile": "true"})
}
