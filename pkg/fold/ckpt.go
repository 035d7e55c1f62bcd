package fold

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// digestHistory is the number of recent offsets whose digests a reader keeps to
// verify checkpoints made by others.
const digestHistory = 4096

// Checkpoint is the state of a reader after the record at offset At.
type Checkpoint struct {
	At logsvc.Offset `json:"at"`
	// Digest is a hash chain over all records up to At.
	Digest string `json:"digest"`
	// Writers holds the highest Seq folded for each writer.
	Writers map[string]uint64 `json:"writers"`
	State   []byte            `json:"state"`
}

// collect adds a chunk to the incomplete checkpoints.
func (r *Reader) collect(c chunk) (map[int][]byte, bool) {
	if r.partial == nil {
		r.partial = make(partials)
	}
	return r.partial.add(c)
}

// verify compares a checkpoint's digest with the reader's own for that offset,
// and notes the checkpoint when it is complete.
func (r *Reader) verify(record logsvc.Offset, item Item) {
	c, ok := decodeChunk(record, item)
	if !ok {
		r.Stats.Malformed++
		return
	}
	own, known := r.digests[c.At]
	if known && hex.EncodeToString(own[:]) != c.Digest {
		r.Stats.CheckpointConflicts++
		return
	}
	if c.At <= r.lastCheckpoint {
		return
	}
	c.Data = nil
	if _, complete := r.collect(c); complete {
		r.lastCheckpoint = c.At
		r.partial.drop(c.At)
	}
}

// feedStale looks for a checkpoint in the page. Where one completes that every
// record after it is still retained for, it is restored; the caller reads on
// from nextRead.
func (r *Reader) feedStale(page logsvc.Page) error {
	// Expired records can't be searched, and a checkpoint before them doesn't
	// close the gap.
	r.scanned = max(r.scanned, page.First-1)
	r.partial.drop(page.First - 1)
	for _, rec := range page.Records {
		r.scanned = max(r.scanned, rec.Offset)
		if r.restoreFrom(rec, page.First) {
			return nil
		}
	}
	return fmt.Errorf("%w: folded up to offset %d, first retained is %d", ErrGap, r.offset, page.First)
}

// restoreFrom collects the chunks of a record, and restores the first checkpoint
// that is complete and reaches up to the first record retained.
func (r *Reader) restoreFrom(rec logsvc.Record, first logsvc.Offset) bool {
	batch := decodeBatch(rec.Data)
	if !batch.valid() {
		return false
	}
	for _, item := range batch.Items {
		c, ok := decodeChunk(rec.Offset, item)
		if !ok || c.At+1 < first || c.At < r.offset {
			continue
		}
		parts, complete := r.collect(c)
		if !complete {
			continue
		}
		cp, err := joinChunks(c, parts)
		if err == nil && r.Restore(cp) == nil {
			return true
		}
	}
	return false
}

// Restore moves the reader to a checkpoint, made by this or another reader of
// the same stream. It refuses one behind the reader's offset, so that a reader
// never goes back.
func (r *Reader) Restore(cp Checkpoint) error {
	if cp.At < r.offset {
		return fmt.Errorf("checkpoint at offset %d is behind the reader at %d", cp.At, r.offset)
	}
	raw, err := hex.DecodeString(cp.Digest)
	if err != nil || len(raw) != sha256.Size {
		return fmt.Errorf("checkpoint at offset %d has the malformed digest %q", cp.At, cp.Digest)
	}
	digest := [sha256.Size]byte(raw)
	if cp.At == r.offset && digest != r.digest {
		r.Stats.CheckpointConflicts++
		return fmt.Errorf("checkpoint at offset %d stands for other records than those folded", cp.At)
	}
	if err := r.Machine.Restore(cp.State); err != nil {
		return fmt.Errorf("checkpoint at offset %d: %w", cp.At, err)
	}
	r.offset = cp.At
	r.digest = digest
	r.writers = maps.Clone(cp.Writers)
	r.digests = map[logsvc.Offset][sha256.Size]byte{cp.At: digest}
	r.partial = nil
	r.stale = false
	r.lastCheckpoint = max(r.lastCheckpoint, cp.At)
	r.Stats.Restores++
	return nil
}

// Checkpoint returns the reader's state. It fails while the reader is stale.
func (r *Reader) Checkpoint() (Checkpoint, error) {
	if r.stale {
		return Checkpoint{}, ErrGap
	}
	state, err := r.Machine.Snapshot()
	if err != nil {
		return Checkpoint{}, err
	}
	return Checkpoint{
		At:      r.offset,
		Digest:  hex.EncodeToString(r.digest[:]),
		Writers: maps.Clone(r.writers),
		State:   state,
	}, nil
}
