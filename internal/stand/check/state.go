package check

import "bytes"

// state is the part of fold.Machine that deals with snapshots.
type state interface {
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// failer is a test of package testing or of a property-based test.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// Restore restores a snapshot of one state into another. It fails the test unless a
// snapshot of the second state has the same bytes.
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
		t.Fatalf("got snapshot %s after restoring %s, error %v; want the same bytes", first, second, err)
	}
}
