package fold

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/beryllanding/beryllanding/pkg/logsvc"

	"github.com/beryllanding/beryllanding/internal/stand/check"
)

// TestMain sets the default seed and length of the random histories. The flags of
// the same names override them.
func TestMain(m *testing.M) {
	check.Main(m, map[string]string{"rapid.seed": "20261203", "rapid.steps": "100"})
}

func mustJSON(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// recorder is a state machine that records each item that it applies, in order.
type recorder struct{ lines []string }

func (j *recorder) Apply(at Position, item Item) {
	j.lines = append(j.lines, formatItem(at, item))
}

func (j *recorder) Snapshot() ([]byte, error) { return json.Marshal(j.lines) }

func (j *recorder) Restore(snapshot []byte) error {
	var lines []string
	if err := json.Unmarshal(snapshot, &lines); err != nil {
		return err
	}
	j.lines = lines
	return nil
}

// formatItem returns the line that a recorder keeps for an item.
func formatItem(at Position, item Item) string {
	return fmt.Sprintf("%d.%d %s %s %s", at.Offset, at.Index, at.Writer, item.Kind, item.Body)
}

func mustEncode(cp Checkpoint) []byte {
	raw, err := cp.encode()
	if err != nil {
		panic(err)
	}
	return raw
}

// history is a stream that keeps all its records, with a naive fold as the
// reference. The naive fold folds every record and tracks each batch by writer and
// Seq.
type history struct {
	all [][]byte
	// first is the lowest offset that is still retained.
	first logsvc.Offset
	// seen holds the folded batches as "writer/seq".
	seen map[string]bool
	// lines are the formatted items of the naive fold.
	lines []string
	// count is the number of lines at each offset, from 0 on.
	count []int
}

func newHistory() *history {
	return &history{first: 1, seen: make(map[string]bool), count: []int{0}}
}

func (h *history) next() logsvc.Offset { return logsvc.Offset(len(h.all) + 1) }

// add appends a record and folds it into the reference.
func (h *history) add(data []byte) logsvc.Offset {
	at := h.next()
	h.all = append(h.all, data)
	var b Batch
	if json.Unmarshal(data, &b) == nil && b.Writer != "" {
		key := fmt.Sprint(b.Writer, "/", b.Seq)
		if !h.seen[key] {
			h.fold(at, b)
		}
		h.seen[key] = true
	}
	h.count = append(h.count, len(h.lines))
	return at
}

func (h *history) fold(at logsvc.Offset, b Batch) {
	for i, item := range b.Items {
		if item.Kind != checkpointKind {
			h.lines = append(h.lines, formatItem(Position{Offset: at, Index: i, Writer: b.Writer}, item))
		}
	}
}

// addBatch appends a batch of one item.
func (h *history) addBatch(writer string, seq uint64, item Item) logsvc.Offset {
	return h.add(mustJSON(Batch{Writer: writer, Seq: seq, Items: []Item{item}}))
}

// page returns the response that the log service would give to a read.
func (h *history) page(from logsvc.Offset, limit int) logsvc.Page {
	p := logsvc.Page{First: h.first, Next: h.next()}
	for at := max(from, h.first); at < h.next() && len(p.Records) < limit; at++ {
		p.Records = append(p.Records, logsvc.Record{Offset: at, Data: h.all[at-1]})
	}
	return p
}

// at returns the lines of the naive fold up to an offset.
func (h *history) at(offset logsvc.Offset) []string { return h.lines[:h.count[offset]] }

// readAll feeds the reader until it is at the end of the history.
func (h *history) readAll(r *Reader) error {
	for range 4*len(h.all) + 4 {
		_ = r.Feed(h.page(r.nextRead(), 3))
		if r.atEnd() {
			return nil
		}
	}
	return fmt.Errorf("reader is still at offset %d (stale: %v), want offset %d", r.Offset(), r.Stale(), len(h.all))
}
