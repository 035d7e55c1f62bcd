package fold

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// maxCheckpoints bounds the checkpoints of one history, so that a reader can
// collect them all.
const maxCheckpoints = maxPartial

// subject is a reader under test.
type subject struct {
	r    *Reader
	m    *journal
	high logsvc.Offset
}

func newSubject() *subject {
	m := &journal{}
	return &subject{r: &Reader{Machine: m}, m: m}
}

// plan is a checkpoint whose chunks are appended one by one, or never.
type plan struct {
	writer string
	at     logsvc.Offset
	items  []Item
	// placed holds the offsets of the chunks appended so far.
	placed []logsvc.Offset
}

// histories drives readers through a random history.
type histories struct {
	*history
	readers []*subject
	seqs    map[string]uint64
	plans   []*plan
}

// nextSeq counts a writer's batches.
func (h *histories) nextSeq(writer string) uint64 {
	h.seqs[writer]++
	return h.seqs[writer]
}

func (h *histories) reader(t *rapid.T) *subject {
	return h.readers[rapid.IntRange(0, len(h.readers)-1).Draw(t, "reader")]
}

func (h *histories) write(t *rapid.T) {
	writer := fmt.Sprintf("w%d", rapid.IntRange(1, 3).Draw(t, "writer"))
	seq := h.nextSeq(writer)
	h.addBatch(writer, seq, NewItem("note", seq))
}

// copyRecord appends a record again, as a writer does whose answer was lost.
func (h *histories) copyRecord(t *rapid.T) {
	if len(h.all) == 0 {
		t.Skip("nothing to copy")
	}
	h.add(h.all[rapid.IntRange(0, len(h.all)-1).Draw(t, "record")])
}

func (h *histories) writeMalformed(t *rapid.T) {
	h.add([]byte(rapid.SampledFrom([]string{"", "{", `{"writer":""}`, `[]`, "\x00"}).Draw(t, "data")))
}

func (h *histories) planCheckpoint(t *rapid.T) {
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
	h.plans = append(h.plans, &plan{writer: writer, at: cp.At, items: items})
}

func (h *histories) writeChunk(t *rapid.T) {
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

// expire drops the oldest records, often up to just before a checkpoint's end.
func (h *histories) expire(t *rapid.T) {
	if len(h.plans) > 0 && rapid.Bool().Draw(t, "up to a checkpoint") {
		p := h.plans[rapid.IntRange(0, len(h.plans)-1).Draw(t, "checkpoint")]
		h.first = max(h.first, p.at+1)
		return
	}
	h.first = min(h.next(), h.first+logsvc.Offset(rapid.IntRange(1, 8).Draw(t, "expired")))
}

func (h *histories) read(t *rapid.T) {
	s := h.reader(t)
	_ = s.r.Feed(h.page(s.r.nextRead(), rapid.IntRange(1, 6).Draw(t, "limit")))
}

func (h *histories) restart(t *rapid.T) {
	*h.reader(t) = *newSubject()
}

// restoreFromPeer hands one reader's state to another, whatever their offsets.
func (h *histories) restoreFromPeer(t *rapid.T) {
	from, to := h.reader(t), h.reader(t)
	cp, err := from.r.Checkpoint()
	if err != nil {
		t.Skip("peer is stale")
	}
	err = to.r.Restore(cp)
	if behind := cp.At < to.r.Offset(); behind != (err != nil) {
		t.Fatalf("restore of %d at %d: %v", cp.At, to.r.Offset(), err)
	}
}

// check compares each reader with the naive fold of the prefix that it has.
func (h *histories) check(t *rapid.T) {
	for i, s := range h.readers {
		if s.r.Offset() < s.high {
			t.Fatalf("reader %d went back from offset %d to %d", i, s.high, s.r.Offset())
		}
		s.high = s.r.Offset()
		if diff := cmp.Diff(h.at(s.high), s.m.lines, cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("reader %d differs at offset %d (-naive +reader):\n%s", i, s.high, diff)
		}
		if s.r.Stats.CheckpointConflicts > 0 {
			t.Fatalf("reader %d takes an honest checkpoint for a conflict", i)
		}
	}
}

// closesGap reports whether a checkpoint that is wholly retained reaches from
// the offset up to the first record retained.
func (h *histories) closesGap(offset logsvc.Offset) bool {
	for _, p := range h.plans {
		whole := len(p.placed) == len(p.items) && p.placed[0] >= h.first
		if whole && p.at+1 >= h.first && p.at >= offset {
			return true
		}
	}
	return false
}

// TestReadersAgreeWithNaiveFold drives readers through duplicates, malformed
// records, expiry, racing and incomplete checkpoints, restarts and restores
// from peers.
func TestReadersAgreeWithNaiveFold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &histories{history: newHistory(), seqs: make(map[string]uint64)}
		for range 3 {
			h.readers = append(h.readers, newSubject())
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
		h.readers = append(h.readers, newSubject())
		for i, s := range h.readers {
			if err := h.readAll(s.r); err != nil {
				t.Fatalf("reader %d: %v", i, err)
			}
			if s.r.Stale() && h.closesGap(s.r.Offset()) {
				t.Fatalf("reader %d stays stale at offset %d, although a checkpoint closes the gap", i, s.r.Offset())
			}
			if !s.r.Stale() && s.r.Offset()+1 != h.next() {
				t.Fatalf("reader %d stops at offset %d of %d", i, s.r.Offset(), len(h.all))
			}
		}
		h.check(t)
	})
}
