package origin_test

import (
	"testing"

	"github.com/beryllanding/beryllanding/internal/stand/check"
)

func TestMain(m *testing.M) { check.Main(m, nil) }
