package fold

import (
	"bytes"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// FuzzReader folds records of any content. A reader of all records must agree with
// the naive fold. A reader that misses the first record must be restored from a
// checkpoint or stay stale.
func FuzzReader(f *testing.F) {
	note := mustJSON(Batch{Writer: "w", Seq: 1, Items: []Item{NewItem("note", 1)}})
	source := &Reader{Machine: &recorder{}}
	_ = source.Feed(logsvc.Page{First: 1, Next: 2, Records: []logsvc.Record{{Offset: 1, Data: note}}})
	cp, err := source.Checkpoint()
	if err != nil {
		f.Fatal(err)
	}
	items, err := cp.split(len(mustEncode(cp))/2 + 1)
	if err != nil {
		f.Fatal(err)
	}
	whole := mustJSON(Batch{Writer: "c", Seq: 1, Items: items})
	half := mustJSON(Batch{Writer: "c", Seq: 2, Items: items[1:]})
	for _, seed := range [][]byte{
		note, whole, half, nil,
		[]byte(`{"writer":"w","seq":18446744073709551615,"items":[{"kind":"note"}]}`),
		[]byte(`{"writer":"w","seq":-1}`),
		[]byte(`{"writer":"c","seq":1,"items":[{"kind":"checkpoint-chunk","body":{"parts":1000000000}}]}`),
		[]byte(`{"writer":"c","seq":1,"items":[{"kind":"checkpoint-chunk","body":{"at":1,"parts":1,"data":"e30="}}]}`),
	} {
		f.Add(note, seed, whole)
		f.Add(seed, note, half)
	}
	f.Fuzz(func(t *testing.T, a, b, c []byte) {
		h := newHistory()
		for _, data := range [][]byte{a, b, c} {
			h.add(data)
		}
		s := newTestReader()
		if err := s.r.Feed(h.page(1, 9)); err != nil || s.r.Offset() != 3 {
			t.Fatalf("reader of all records is at offset %d, error %v; want offset 3 and no error", s.r.Offset(), err)
		}
		if diff := cmp.Diff(h.lines, s.m.lines, cmpopts.EquateEmpty()); diff != "" && inOrder(a, b, c) {
			t.Fatal(diff)
		}
		late := newTestReader()
		h.first = 2
		err := late.r.Feed(h.page(1, 9))
		if late.r.Stale() != errors.Is(err, ErrGap) || late.r.Stale() == (late.r.Offset() > 0) {
			t.Fatalf("late reader is at offset %d, stale: %v, error %v; want it restored or stale with ErrGap", late.r.Offset(), late.r.Stale(), err)
		}
	})
}

// inOrder reports whether each writer's batches are in the order of Seq, as writers
// send them. The reader detects duplicates by the highest Seq, and the naive fold by
// every Seq. Both drop the same batches only if the batches are in order.
func inOrder(records ...[]byte) bool {
	last := make(map[string]uint64)
	for _, data := range records {
		b := decodeBatch(data)
		if b.Seq < last[b.Writer] {
			return false
		}
		last[b.Writer] = b.Seq
	}
	return true
}

// FuzzRestore restores checkpoints of any content, as a peer may send them. A
// restore that fails must leave the reader unchanged.
func FuzzRestore(f *testing.F) {
	digest := "0000000000000000000000000000000000000000000000000000000000000000"
	f.Add(uint64(0), digest, []byte("[]"))
	f.Add(uint64(7), digest, []byte(`["a"]`))
	f.Add(uint64(7), digest[1:], []byte(`["a"]`))
	f.Add(uint64(7), "zz", []byte(`{`))
	f.Fuzz(func(t *testing.T, at uint64, digest string, state []byte) {
		s := newTestReader()
		_ = s.r.Feed(newHistory().page(1, 9))
		err := s.r.Restore(Checkpoint{At: logsvc.Offset(at), Digest: digest, State: state})
		if err != nil && (s.r.Offset() != 0 || s.m.lines != nil) {
			t.Fatalf("reader has offset %d and lines %q after a failed restore, want offset 0 and no lines", s.r.Offset(), s.m.lines)
		}
		if err == nil && s.r.Offset() != logsvc.Offset(at) {
			t.Fatalf("reader has offset %d after a restore, want %d", s.r.Offset(), at)
		}
	})
}

// FuzzDecodeCheckpoint decodes any bytes as a checkpoint. An accepted checkpoint
// must stay the same when it is encoded and decoded again.
func FuzzDecodeCheckpoint(f *testing.F) {
	f.Add(mustEncode(Checkpoint{At: 7, Digest: "00", Writers: map[string]uint64{"w": 1}, State: []byte("{}\n\x00")}))
	f.Add(mustEncode(Checkpoint{}))
	f.Add(mustEncode(Checkpoint{State: []byte("x")})[:20])
	f.Add([]byte("x"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		cp, err := decodeCheckpoint(bytes.NewReader(raw))
		if err != nil {
			return
		}
		again, err := decodeCheckpoint(bytes.NewReader(mustEncode(cp)))
		if diff := cmp.Diff(cp, again, cmpopts.EquateEmpty()); diff != "" || err != nil {
			t.Fatal(err, diff)
		}
	})
}
