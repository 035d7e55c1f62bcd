// Package fold derives replicated state from a stream of the log service. All
// readers of the same prefix of a stream have the same state.
//
// The log orders the records of a stream but has no compare-and-set. Each item of
// a record is therefore a proposal, and its position decides whether it takes
// effect. Reader makes these decisions without clocks, goroutines or sockets;
// Follower and Writer do the input and output.
package fold

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// ErrGap reports that records expired before the reader folded them, and that no
// checkpoint that covers them was found. The state is stale, and must not be used
// for decisions until the gap is closed.
var ErrGap = errors.New("records expired before they were read")

// ErrTruncated reports that the stream ends before records that the reader has
// already folded. The state is unchanged. New records would get the offsets of the
// folded ones, so a reader that read on would skip the new records.
var ErrTruncated = errors.New("stream ends before the records that were folded")

// Stats counts the irregularities in the stream that a reader detected, and its
// restores from checkpoints.
type Stats struct {
	Duplicates          uint64 `json:"duplicates"`
	Malformed           uint64 `json:"malformed"`
	Gaps                uint64 `json:"gaps"`
	Restores            uint64 `json:"restores"`
	CheckpointConflicts uint64 `json:"checkpoint-conflicts"`
}

// Reader folds the pages of one stream into a machine. The zero value with
// Machine set starts before the first record. It is not safe for concurrent
// use.
type Reader struct {
	Machine StateMachine
	// Stats never decreases.
	Stats Stats

	offset logsvc.Offset
	stale  bool
	// scanned is the last offset that a stale reader has searched for checkpoints.
	scanned logsvc.Offset
	// end is the stream's next offset as the last page reported it.
	end logsvc.Offset
	// digest is a hash chain over all records up to offset.
	digest [sha256.Size]byte
	// writers holds the highest Seq folded for each writer.
	writers map[string]uint64
	// digests holds the digests of the last digestHistory offsets.
	digests map[logsvc.Offset][sha256.Size]byte
	partial partials
	// lastCheckpoint is the At of the newest complete checkpoint seen.
	lastCheckpoint logsvc.Offset
}

// Offset returns the offset of the last record folded. It never decreases.
func (r *Reader) Offset() logsvc.Offset { return r.offset }

// Stale reports whether the reader is behind a gap. A stale state must not be
// used for decisions.
func (r *Reader) Stale() bool { return r.stale }

// LastCheckpoint returns the offset of the state in the newest complete checkpoint
// seen, or 0.
func (r *Reader) LastCheckpoint() logsvc.Offset { return r.lastCheckpoint }

// Folded returns the highest Seq folded for the writer, or 0.
func (r *Reader) Folded(writer string) uint64 { return r.writers[writer] }

// Feed folds one page. If records between the reader's offset and the page have
// expired, the reader becomes stale. It then searches this and the following pages
// for a checkpoint, and Feed returns ErrGap until it has restored one.
func (r *Reader) Feed(page logsvc.Page) error {
	page.First = max(page.First, 1)
	if page.Next != 0 && page.Next <= r.offset {
		return fmt.Errorf("%w: folded up to offset %d, next offset of the stream is %d", ErrTruncated, r.offset, page.Next)
	}
	r.end = max(r.end, page.Next)
	if page.First > r.offset+1 {
		r.enterGap()
	}
	if r.stale {
		return r.feedStale(page)
	}
	for _, rec := range page.Records {
		r.feedRecord(rec)
	}
	return nil
}

// enterGap marks the state as stale and starts the search for a checkpoint.
func (r *Reader) enterGap() {
	if r.stale {
		return
	}
	r.Stats.Gaps++
	r.stale = true
	r.scanned = r.offset
}

// nextRead returns the offset to read from.
func (r *Reader) nextRead() logsvc.Offset {
	if r.stale {
		return r.scanned + 1
	}
	return r.offset + 1
}

// AtEnd reports whether the reader has read all records up to the end that the last
// page reported. It is false before the first page.
func (r *Reader) AtEnd() bool { return r.end > 0 && r.atEnd() }

func (r *Reader) atEnd() bool { return r.nextRead() >= r.end }

// feedRecord folds the record if it is the next one.
func (r *Reader) feedRecord(rec logsvc.Record) {
	if rec.Offset != r.offset+1 {
		return
	}
	r.offset = rec.Offset
	r.extendDigest(rec.Data)
	batch := decodeBatch(rec.Data)
	if !batch.valid() {
		r.Stats.Malformed++
		return
	}
	if batch.Seq <= r.writers[batch.Writer] {
		r.Stats.Duplicates++
		return
	}
	if r.writers == nil {
		r.writers = make(map[string]uint64)
	}
	r.writers[batch.Writer] = batch.Seq
	r.applyItems(rec.Offset, batch)
}

// applyItems applies the batch's items to the machine, and verifies the
// checkpoint chunks among them.
func (r *Reader) applyItems(offset logsvc.Offset, batch Batch) {
	for i, item := range batch.Items {
		if item.Kind == checkpointKind {
			r.verify(offset, item)
			continue
		}
		r.Machine.Apply(Position{Offset: offset, Index: i, Writer: batch.Writer}, item)
	}
}

// extendDigest adds one record to the hash chain.
func (r *Reader) extendDigest(data []byte) {
	h := sha256.New()
	h.Write(r.digest[:])
	h.Write(data)
	h.Sum(r.digest[:0])
	if r.digests == nil {
		r.digests = make(map[logsvc.Offset][sha256.Size]byte)
	}
	r.digests[r.offset] = r.digest
	if r.offset > digestHistory {
		delete(r.digests, r.offset-digestHistory)
	}
}

// decodeBatch decodes a record. If the record is malformed, it returns a batch that
// is not valid.
func decodeBatch(data []byte) Batch {
	var b Batch
	if json.Unmarshal(data, &b) != nil {
		return Batch{}
	}
	return b
}
