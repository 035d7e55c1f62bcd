// Package check has helpers shared by the tests of several packages: comparison with
// golden files, fixed flags for property-based tests, and checks of snapshots.
package check

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// goldenMode is the permission of golden files.
const goldenMode = 0o644

var update = flag.Bool("update", false, "rewrite the golden files")

// Golden compares text with a file of the package's testdata, and reports the
// difference as an error of the test. The flag -update rewrites the file.
func Golden(t testing.TB, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), goldenMode); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("%s differs (-want +got):\n%s", path, diff)
	}
}

// Main runs a package's tests with the given defaults of flags, and ends the process.
// Flags on the command line override the defaults. It panics if a flag does not exist
// or does not accept its value.
func Main(m *testing.M, flags map[string]string) {
	for name, value := range flags {
		if err := flag.Set(name, value); err != nil {
			panic(fmt.Sprintf("set flag %q: %v", name, err))
		}
	}
	os.Exit(m.Run())
}
