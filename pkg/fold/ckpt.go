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

// collect stores a chunk. If this completes the checkpoint, collect returns all of
// its parts and true.
func (r *Reader) collect(c chunk) (map[int][]byte, bool) {
	if r.partial == nil {
		r.partial = make(partials)
	}
	return r.partial.add(c)
}

// verify compares the digest in a checkpoint chunk with the reader's own digest
// at that offset. Once the checkpoint is complete, verify updates lastCheckpoint.
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
		r.partial.dropBefore(c.At)
	}
}

// feedStale searches the page for chunks. It restores the first complete checkpoint
// after which every record is still retained. The next read then starts at nextRead.
// If the page completes no such checkpoint, feedStale returns ErrGap.
func (r *Reader) feedStale(page logsvc.Page) error {
	// Expired records cannot be searched, and a checkpoint before the last of
	// them does not close the gap.
	r.scanned = max(r.scanned, page.First-1)
	r.partial.dropBefore(page.First - 1)
	for _, rec := range page.Records {
		r.scanned = max(r.scanned, rec.Offset)
		if r.restoreFrom(rec, page.First) {
			return nil
		}
	}
	return fmt.Errorf("%w: folded up to offset %d, first retained offset is %d", ErrGap, r.offset, page.First)
}

// restoreFrom collects the chunks of a record. It restores the first complete
// checkpoint that covers every record before first, the lowest offset that is still
// retained. It reports whether it restored one.
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

// Restore replaces the reader's state with a checkpoint made by this or another
// reader of the same stream. It returns an error, and leaves the state unchanged, if
// the checkpoint is malformed, is behind the reader's offset, or has the reader's
// offset and another digest.
func (r *Reader) Restore(cp Checkpoint) error {
	if cp.At < r.offset {
		return fmt.Errorf("checkpoint at offset %d is behind the reader at offset %d", cp.At, r.offset)
	}
	raw, err := hex.DecodeString(cp.Digest)
	if err != nil || len(raw) != sha256.Size {
		return fmt.Errorf("checkpoint at offset %d has malformed digest %q", cp.At, cp.Digest)
	}
	digest := [sha256.Size]byte(raw)
	if cp.At == r.offset && digest != r.digest {
		r.Stats.CheckpointConflicts++
		return fmt.Errorf("checkpoint at offset %d has a digest that differs from that of the folded records", cp.At)
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
