package fold

import (
	"testing"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// nopMachine is a machine without state.
type nopMachine struct{}

func (nopMachine) Apply(Position, Item)      {}
func (nopMachine) Snapshot() ([]byte, error) { return nil, nil }
func (nopMachine) Restore([]byte) error      { return nil }

// TestAtEnd reads a stream in two pages. The reader must be at the end only after
// the second page. If it counted as current too early, it could report a budget as
// spent.
func TestAtEnd(t *testing.T) {
	r := Reader{Machine: nopMachine{}}
	if r.AtEnd() {
		t.Error("AtEnd is true before the first page, want false")
	}
	records := []logsvc.Record{{Offset: 1}, {Offset: 2}, {Offset: 3}}
	for _, step := range []struct {
		records []logsvc.Record
		want    bool
	}{{records[:1], false}, {records[1:], true}} {
		if err := r.Feed(logsvc.Page{First: 1, Next: 4, Records: step.records}); err != nil {
			t.Fatal(err)
		}
		if got := r.AtEnd(); got != step.want {
			t.Errorf("after %d records: AtEnd is %t, want %t", r.Offset(), got, step.want)
		}
	}
}
