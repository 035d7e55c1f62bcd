package check

import "bytes"

// state is what a fold keeps; see fold.Machine.
type state interface {
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// failer is a test, of the package testing or of a property-based one.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// Restore restores a snapshot of one state in another, and fails the test where
// the snapshot of that is not the same bytes.
func Restore(t failer, from, into state) {
	t.Helper()
	first, err := from.Snapshot()
	if err != nil {
		t.Fatalf("snapshot: %v", err)
	}
	if err := into.Restore(first); err != nil {
		t.Fatalf("restore %s: %v", first, err)
	}
	second, err := into.Snapshot()
	if err != nil || !bytes.Equal(first, second) {
		t.Fatalf("snapshot is %s, after restoring %s, error %v", first, second, err)
	}
}
