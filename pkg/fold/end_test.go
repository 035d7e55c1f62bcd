package fold

import (
	"testing"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

type nothing struct{}

func (nothing) Apply(Position, Item)      {}
func (nothing) Snapshot() ([]byte, error) { return nil, nil }
func (nothing) Restore([]byte) error      { return nil }

// TestAtEnd tells a reader that read a first page from one that read all: the
// former must not say that a budget is spent.
func TestAtEnd(t *testing.T) {
	r := Reader{Machine: nothing{}}
	if r.AtEnd() {
		t.Error("at the end before the first page")
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
			t.Errorf("after %d records: at the end is %t, want %t", r.Offset(), got, step.want)
		}
	}
}
