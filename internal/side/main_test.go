package side

import (
	"testing"

	"github.com/beryllanding/beryllanding/internal/stand/check"
)

// TestMain fixes the seed, so that every run of the tests is the same.
func TestMain(m *testing.M) {
	check.Main(m, map[string]string{"rapid.seed": "5", "rapid.nofailfile": "true"})
}
