package fold

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/beryllanding/beryllanding/pkg/logsvc"

	"github.com/beryllanding/beryllanding/internal/stand/check"
)

// TestMain fixes the seed and the length of the random histories; the flags of
// the same names choose others.
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

// journal is a machine that keeps all it was given, so that order and number of
// the items show.
type journal struct{ lines []string }

func (j *journal) Apply(at Position, item Item) {
	j.lines = append(j.lines, journalLine(at, item))
}

func (j *journal) Snapshot() ([]byte, error) { return json.Marshal(j.lines) }

func (j *journal) Restore(snapshot []byte) error {
	var lines []string
	if err := json.Unmarshal(snapshot, &lines); err != nil {
		return err
	}
	j.lines = lines
	return nil
}

func journalLine(at Position, item Item) string {
	return fmt.Sprintf("%d.%d %s %s %s", at.Offset, at.Index, at.Writer, item.Kind, item.Body)
}

func mustEncode(cp Checkpoint) []byte {
	raw, err := cp.encode()
	if err != nil {
		panic(err)
	}
	return raw
}

// history is a stream with all its records, and the naive fold of it, which has
// seen them all and remembers each batch by writer and Seq.
type history struct {
	all [][]byte
	// first is the lowest offset that is still retained.
	first logsvc.Offset
	seen  map[string]bool
	lines []string
	// count is the number of lines after each offset.
	count []int
}

func newHistory() *history {
	return &history{first: 1, seen: make(map[string]bool), count: []int{0}}
}

func (h *history) next() logsvc.Offset { return logsvc.Offset(len(h.all) + 1) }

// add appends a record.
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
			h.lines = append(h.lines, journalLine(Position{Offset: at, Index: i, Writer: b.Writer}, item))
		}
	}
}

// addBatch appends a batch of one item.
func (h *history) addBatch(writer string, seq uint64, item Item) logsvc.Offset {
	return h.add(mustJSON(Batch{Writer: writer, Seq: seq, Items: []Item{item}}))
}

// page reads as the log service does.
func (h *history) page(from logsvc.Offset, limit int) logsvc.Page {
	p := logsvc.Page{First: h.first, Next: h.next()}
	for at := max(from, h.first); at < h.next() && len(p.Records) < limit; at++ {
		p.Records = append(p.Records, logsvc.Record{Offset: at, Data: h.all[at-1]})
	}
	return p
}

// at returns the lines after an offset.
func (h *history) at(offset logsvc.Offset) []string { return h.lines[:h.count[offset]] }

// readAll feeds the reader up to the end of the history.
func (h *history) readAll(r *Reader) error {
	for range 4*len(h.all) + 4 {
		_ = r.Feed(h.page(r.nextRead(), 3))
		if r.atEnd() {
			return nil
		}
	}
	return fmt.Errorf("reader is still at offset %d (stale: %v) of %d", r.Offset(), r.Stale(), len(h.all))
}
