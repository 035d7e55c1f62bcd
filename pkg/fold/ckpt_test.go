package fold

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// newNotes returns a history with n notes, and a reader that has folded it.
func newNotes(t *testing.T, n int) (*history, *testReader) {
	t.Helper()
	h := newHistory()
	for i := range n {
		h.addBatch("w", uint64(i+1), NewItem("note", i))
	}
	s := newTestReader()
	if err := h.readAll(s.r); err != nil {
		t.Fatal(err)
	}
	return h, s
}

// checkpointItems returns the reader's checkpoint in the given number of chunks.
func checkpointItems(t *testing.T, r *Reader, parts int) []Item {
	t.Helper()
	cp, err := r.Checkpoint()
	if err != nil {
		t.Fatal(err)
	}
	return splitCheckpoint(t, cp, parts)
}

// splitCheckpoint returns a checkpoint in the given number of chunks.
func splitCheckpoint(t *testing.T, cp Checkpoint, parts int) []Item {
	t.Helper()
	items, err := cp.split((len(mustEncode(cp)) + parts - 1) / parts)
	if err != nil || len(items) != parts {
		t.Fatalf("checkpoint has %d chunks, want %d; error is %v", len(items), parts, err)
	}
	return items
}

// TestGapAgainAfterRestore lets records expire between a stale reader's restore and
// its next read. The reader must then search the same records a second time, since
// they contain chunks of a newer checkpoint.
func TestGapAgainAfterRestore(t *testing.T) {
	h, s := newNotes(t, 3)
	older := checkpointItems(t, s.r, 2)
	h.addBatch("c1", 1, older[0])
	h.addBatch("w", 4, NewItem("note", 4))
	if err := h.readAll(s.r); err != nil {
		t.Fatal(err)
	}
	newer := checkpointItems(t, s.r, 3)
	h.addBatch("c2", 1, newer[0])
	h.addBatch("c2", 2, newer[1])
	h.addBatch("c1", 2, older[1])
	h.addBatch("c2", 3, newer[2])
	h.first = 4

	late := newTestReader()
	if err := late.r.Feed(h.page(1, 5)); err != nil {
		t.Fatal(err)
	}
	if late.r.Offset() != 3 {
		t.Fatalf("restored to offset %d, want 3", late.r.Offset())
	}
	h.first = 6
	for !late.r.atEnd() {
		_ = late.r.Feed(h.page(late.r.nextRead(), 1))
	}
	if late.r.Stale() || late.r.Offset() != 9 {
		t.Fatalf("reader is at offset %d, stale: %v; want offset 9", late.r.Offset(), late.r.Stale())
	}
	if diff := cmp.Diff(h.lines, late.m.lines); diff != "" {
		t.Fatal(diff)
	}
}

// TestConflictingCheckpoint appends a checkpoint of different records. A reader
// that has folded the prefix itself must ignore the checkpoint and count a conflict.
func TestConflictingCheckpoint(t *testing.T) {
	h, s := newNotes(t, 3)
	_, other := newNotes(t, 2)
	_ = other.r.Feed(logsvc.Page{First: 1, Next: 4, Records: []logsvc.Record{{Offset: 3, Data: []byte("other")}}})
	for i, item := range checkpointItems(t, other.r, 2) {
		h.addBatch("c1", uint64(i+1), item)
	}
	if err := h.readAll(s.r); err != nil {
		t.Fatal(err)
	}
	if s.r.Stats.CheckpointConflicts != 2 || s.r.LastCheckpoint() != 0 {
		t.Errorf("reader counts %d conflicts and has the last checkpoint at offset %d, want 2 and 0", s.r.Stats.CheckpointConflicts, s.r.LastCheckpoint())
	}
	for i, item := range checkpointItems(t, s.r, 2) {
		h.addBatch("c2", uint64(i+1), item)
	}
	if err := h.readAll(s.r); err != nil {
		t.Fatal(err)
	}
	if s.r.LastCheckpoint() != 5 {
		t.Errorf("last checkpoint is at offset %d, want 5", s.r.LastCheckpoint())
	}
}

// TestRestoreOfOtherRecords restores a checkpoint of different records at the
// reader's own offset. The restore must fail and leave the state unchanged.
func TestRestoreOfOtherRecords(t *testing.T) {
	_, s := newNotes(t, 2)
	_, other := newNotes(t, 1)
	_ = other.r.Feed(logsvc.Page{First: 1, Next: 3, Records: []logsvc.Record{{Offset: 2, Data: []byte("other")}}})
	cp, err := other.r.Checkpoint()
	if err != nil {
		t.Fatal(err)
	}
	if s.r.Restore(cp) == nil || len(s.m.lines) != 2 {
		t.Fatalf("restored a checkpoint of different records: state %q, want 2 lines and an error", s.m.lines)
	}
}

// TestMixedEncodings interleaves the chunks of two checkpoints of the same prefix
// whose encodings differ but have the same number of chunks. A stale reader must
// not join chunks of both.
func TestMixedEncodings(t *testing.T) {
	h, s := newNotes(t, 4)
	cp, err := s.r.Checkpoint()
	if err != nil {
		t.Fatal(err)
	}
	spaced := cp
	spaced.State = append([]byte("  "), cp.State...)
	a, b := splitCheckpoint(t, cp, 3), splitCheckpoint(t, spaced, 3)
	for i, item := range []Item{a[0], b[1], a[2], b[0]} {
		h.addBatch("c", uint64(i+1), item)
	}
	h.first = 5
	late := newTestReader()
	if err := h.readAll(late.r); err != nil {
		t.Fatal(err)
	}
	if !late.r.Stale() {
		t.Fatalf("restored a mix of two encodings: %q, want a stale reader", late.m.lines)
	}
	h.addBatch("c", 5, b[2])
	if err := h.readAll(late.r); err != nil {
		t.Fatal(err)
	}
	if late.r.Stale() || len(late.m.lines) != 4 {
		t.Fatalf("stale: %v, state %q, want false and 4 lines", late.r.Stale(), late.m.lines)
	}
}

// TestBadChunks feeds a stale reader chunks with wrong metadata. It must restore
// from none of them.
func TestBadChunks(t *testing.T) {
	h, s := newNotes(t, 2)
	good := checkpointItems(t, s.r, 1)[0]
	for name, edit := range map[string]func(c *chunk){
		"other offset":   func(c *chunk) { c.At = 1 },
		"other digest":   func(c *chunk) { c.Digest = "00" },
		"other sum":      func(c *chunk) { c.Sum = "00" },
		"no parts":       func(c *chunk) { c.Parts = 0 },
		"too many parts": func(c *chunk) { c.Parts = maxParts + 1 },
		"part beyond":    func(c *chunk) { c.Part = 1 },
		"negative part":  func(c *chunk) { c.Part = -1 },
	} {
		var c chunk
		if err := json.Unmarshal(good.Body, &c); err != nil {
			t.Fatal(err)
		}
		edit(&c)
		data := mustJSON(Batch{Writer: "c", Seq: 1, Items: []Item{NewItem(checkpointKind, c)}})
		late := newTestReader()
		page := logsvc.Page{First: 3, Next: 4, Records: []logsvc.Record{{Offset: 3, Data: data}}}
		if err := late.r.Feed(page); !errors.Is(err, ErrGap) || late.r.Offset() != 0 {
			t.Errorf("%s: reader is at offset %d, error %v; want offset 0 and ErrGap", name, late.r.Offset(), err)
		}
	}
	future, err := s.r.Checkpoint()
	if err != nil {
		t.Fatal(err)
	}
	future.At = 3
	h.first = 3
	h.addBatch("c", 1, splitCheckpoint(t, future, 1)[0])
	h.addBatch("c", 2, good)
	late := newTestReader()
	if err := late.r.Feed(h.page(1, 9)); err != nil || late.r.Offset() != 2 {
		t.Errorf("valid chunk: restored to offset %d, error %v; want offset 2", late.r.Offset(), err)
	}
}

// TestPartialMemory appends checkpoints that are never completed. The memory that
// readers use for them must stay bounded.
func TestPartialMemory(t *testing.T) {
	h, s := newNotes(t, 2)
	late := newTestReader()
	h.first = 2
	for i := range 10 * maxPartial {
		h.addBatch(fmt.Sprint("c", i), 1, checkpointItems(t, s.r, 2)[0])
		h.addBatch("w", uint64(3+i), NewItem("note", i))
		for _, r := range []*Reader{s.r, late.r} {
			if err := h.readAll(r); err != nil {
				t.Fatal(err)
			}
		}
	}
	if n := len(late.r.partial); n != maxPartial {
		t.Errorf("stale reader keeps %d incomplete checkpoints, want %d", n, maxPartial)
	}
	if n := partialBytes(s.r); n != 0 || len(s.r.partial) > maxPartial {
		t.Errorf("reader keeps %d bytes of %d incomplete checkpoints, want no bytes and at most maxPartial checkpoints", n, len(s.r.partial))
	}
	h.first = h.next()
	_ = late.r.Feed(h.page(h.first, 1))
	if n := partialBytes(late.r); n != 0 {
		t.Errorf("stale reader keeps %d bytes of checkpoints that cannot close the gap, want 0", n)
	}
	_ = s.r.Feed(logsvc.Page{First: h.next() + 5, Next: h.next() + 5})
	if !s.r.Stale() || len(s.r.partial) != 0 {
		t.Errorf("reader (stale: %v, want true) keeps %d checkpoints from before the gap, want 0", s.r.Stale(), len(s.r.partial))
	}
}

// partialBytes returns the size of the chunks that a reader keeps, in bytes.
func partialBytes(r *Reader) int {
	n := 0
	for _, parts := range r.partial {
		for _, data := range parts {
			n += len(data)
		}
	}
	return n
}

// TestRewound reads a stream that lost its last records, which must fail. It also
// reads a page with a missing record, which must be folded only up to that record.
func TestRewound(t *testing.T) {
	h, s := newNotes(t, 3)
	if err := s.r.Feed(logsvc.Page{First: 1, Next: 3}); !errors.Is(err, ErrTruncated) {
		t.Errorf("error is %v, want ErrTruncated", err)
	}
	h.addBatch("w", 4, NewItem("note", 4))
	h.addBatch("w", 5, NewItem("note", 5))
	page := h.page(4, 9)
	page.Records = page.Records[1:]
	if _ = s.r.Feed(page); s.r.Offset() != 3 {
		t.Errorf("offset is %d, want 3", s.r.Offset())
	}
}

// TestLargeState encodes and decodes a state over maxState. Both must fail, even
// though the compressed state is small.
func TestLargeState(t *testing.T) {
	if _, err := (Checkpoint{State: make([]byte, maxState)}).encode(); err == nil {
		t.Error("encoded a state over maxState, want an error")
	}
	var raw bytes.Buffer
	zip := gzip.NewWriter(&raw)
	for _, part := range [][]byte{[]byte("{}\n"), make([]byte, maxState)} {
		if _, err := zip.Write(part); err != nil {
			t.Fatal(err)
		}
	}
	if err := zip.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := decodeCheckpoint(&raw); err == nil {
		t.Error("decoded a state over maxState, want an error")
	}
}
