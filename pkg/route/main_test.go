package route

import (
	"testing"

	"github.com/beryllanding/beryllanding/internal/stand/check"
)

// rapidSeed makes each run of the tests draw the same histories, unless
// -rapid.seed is given.
const rapidSeed = "20260"

func TestMain(m *testing.M) {
	check.Main(m, map[string]string{"rapid.seed": rapidSeed, "rapid.nofailfile": "true"})
}
