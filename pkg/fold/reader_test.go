package fold

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// maxCheckpoints bounds the checkpoints of one history to the number that a reader
// can collect at the same time.
const maxCheckpoints = maxPartial

// testReader is a reader under test.
type testReader struct {
	r *Reader
	m *recorder
	// offset is the reader's offset at the last check.
	offset logsvc.Offset
}

func newTestReader() *testReader {
	m := &recorder{}
	return &testReader{r: &Reader{Machine: m}, m: m}
}

// plannedCheckpoint is a checkpoint whose chunks are appended one by one. Some
// chunks may never be appended.
type plannedCheckpoint struct {
	writer string
	at     logsvc.Offset
	items  []Item
	// placed holds the offsets of the chunks appended so far.
	placed []logsvc.Offset
}

// randomHistory is a random history with the readers that read it.
type randomHistory struct {
	*history
	readers []*testReader
	// seqs holds the last Seq of each writer.
	seqs  map[string]uint64
	plans []*plannedCheckpoint
}

// nextSeq returns the Seq of a writer's next batch.
func (h *randomHistory) nextSeq(writer string) uint64 {
	h.seqs[writer]++
	return h.seqs[writer]
}

// reader chooses a reader.
func (h *randomHistory) reader(t *rapid.T) *testReader {
	return h.readers[rapid.IntRange(0, len(h.readers)-1).Draw(t, "reader")]
}

func (h *randomHistory) write(t *rapid.T) {
	writer := fmt.Sprintf("w%d", rapid.IntRange(1, 3).Draw(t, "writer"))
	seq := h.nextSeq(writer)
	h.addBatch(writer, seq, NewItem("note", seq))
}

// copyRecord appends a record again, like a writer that received no response.
func (h *randomHistory) copyRecord(t *rapid.T) {
	if len(h.all) == 0 {
		t.Skip("nothing to copy")
	}
	h.add(h.all[rapid.IntRange(0, len(h.all)-1).Draw(t, "record")])
}

func (h *randomHistory) writeMalformed(t *rapid.T) {
	h.add([]byte(rapid.SampledFrom([]string{"", "{", `{"writer":""}`, `[]`, "\x00"}).Draw(t, "data")))
}

func (h *randomHistory) planCheckpoint(t *rapid.T) {
	s := h.reader(t)
	if s.r.Stale() || s.r.Offset() == 0 || len(h.plans) == maxCheckpoints {
		t.Skip("no checkpoint")
	}
	cp, err := s.r.Checkpoint()
	if err != nil {
		t.Fatal(err)
	}
	size := len(mustEncode(cp))/rapid.IntRange(1, 3).Draw(t, "parts") + 1
	items, err := cp.split(size)
	if err != nil {
		t.Fatal(err)
	}
	writer := fmt.Sprintf("c%d", len(h.plans))
	h.plans = append(h.plans, &plannedCheckpoint{writer: writer, at: cp.At, items: items})
}

func (h *randomHistory) writeChunk(t *rapid.T) {
	if len(h.plans) == 0 {
		t.Skip("no checkpoint")
	}
	p := h.plans[rapid.IntRange(0, len(h.plans)-1).Draw(t, "checkpoint")]
	for range rapid.IntRange(1, 3).Draw(t, "chunks") {
		if len(p.placed) < len(p.items) {
			p.placed = append(p.placed, h.addBatch(p.writer, h.nextSeq(p.writer), p.items[len(p.placed)]))
		}
	}
}

// expire drops the oldest records. In half of the cases it drops exactly the records
// that one of the checkpoints covers.
func (h *randomHistory) expire(t *rapid.T) {
	if len(h.plans) > 0 && rapid.Bool().Draw(t, "up to a checkpoint") {
		p := h.plans[rapid.IntRange(0, len(h.plans)-1).Draw(t, "checkpoint")]
		h.first = max(h.first, p.at+1)
		return
	}
	h.first = min(h.next(), h.first+logsvc.Offset(rapid.IntRange(1, 8).Draw(t, "expired")))
}

func (h *randomHistory) read(t *rapid.T) {
	s := h.reader(t)
	_ = s.r.Feed(h.page(s.r.nextRead(), rapid.IntRange(1, 6).Draw(t, "limit")))
}

func (h *randomHistory) restart(t *rapid.T) {
	*h.reader(t) = *newTestReader()
}

// restoreFromPeer restores one reader from the state of another. The restore must
// fail only if the state is behind the reader.
func (h *randomHistory) restoreFromPeer(t *rapid.T) {
	from, to := h.reader(t), h.reader(t)
	cp, err := from.r.Checkpoint()
	if err != nil {
		t.Skip("peer is stale")
	}
	err = to.r.Restore(cp)
	if behind := cp.At < to.r.Offset(); behind != (err != nil) {
		t.Fatalf("restore of a checkpoint at offset %d into a reader at offset %d: error is %v, want one only if the checkpoint is behind", cp.At, to.r.Offset(), err)
	}
}

// check compares each reader with the naive fold of the same prefix.
func (h *randomHistory) check(t *rapid.T) {
	for i, s := range h.readers {
		if s.r.Offset() < s.offset {
			t.Fatalf("offset of reader %d decreased from %d to %d", i, s.offset, s.r.Offset())
		}
		s.offset = s.r.Offset()
		if diff := cmp.Diff(h.at(s.offset), s.m.lines, cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("reader %d differs at offset %d (-naive +reader):\n%s", i, s.offset, diff)
		}
		if s.r.Stats.CheckpointConflicts > 0 {
			t.Fatalf("reader %d counts a checkpoint conflict, want none since all checkpoints are valid", i)
		}
	}
}

// closesGap reports whether there is a checkpoint that is not behind the offset,
// covers every expired record, and has all of its chunks retained.
func (h *randomHistory) closesGap(offset logsvc.Offset) bool {
	for _, p := range h.plans {
		complete := len(p.placed) == len(p.items) && p.placed[0] >= h.first
		if complete && p.at+1 >= h.first && p.at >= offset {
			return true
		}
	}
	return false
}

// TestReadersAgreeWithNaiveFold runs readers on random histories with duplicates,
// malformed records, expiry, concurrent and incomplete checkpoints, restarts and
// restores from peers. At each step their states must equal the naive fold of their
// prefix.
func TestReadersAgreeWithNaiveFold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &randomHistory{history: newHistory(), seqs: make(map[string]uint64)}
		for range 3 {
			h.readers = append(h.readers, newTestReader())
		}
		t.Repeat(map[string]func(*rapid.T){
			"write":           h.write,
			"copy":            h.copyRecord,
			"malformed":       h.writeMalformed,
			"plan checkpoint": h.planCheckpoint,
			"chunk":           h.writeChunk,
			"chunk again":     h.writeChunk,
			"expire":          h.expire,
			"read":            h.read,
			"read more":       h.read,
			"restart":         h.restart,
			"restore":         h.restoreFromPeer,
			"":                h.check,
		})
		h.readers = append(h.readers, newTestReader())
		for i, s := range h.readers {
			if err := h.readAll(s.r); err != nil {
				t.Fatalf("reader %d: error is %v, want none", i, err)
			}
			if s.r.Stale() && h.closesGap(s.r.Offset()) {
				t.Fatalf("reader %d stays stale at offset %d, although a checkpoint closes the gap", i, s.r.Offset())
			}
			if !s.r.Stale() && s.r.Offset()+1 != h.next() {
				t.Fatalf("reader %d stopped at offset %d, want %d", i, s.r.Offset(), len(h.all))
			}
		}
		h.check(t)
	})
}
