package side

import (
	"testing"

	"github.com/beryllanding/beryllanding/internal/stand/check"
)

// TestMain fixes the seed of rapid, so each test run draws the same cases.
func TestMain(m *testing.M) {
	check.Main(m, map[string]string{"rapid.seed": "5", "rapid.nofailfile": "true"})
}
