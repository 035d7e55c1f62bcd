// Package fold turns a stream of the log service into state that every reader
// of the same prefix agrees on.
//
// The log offers a total order for each stream and no compare-and-set. A record
// is therefore a proposal, and the fold decides by its position whether it
// takes effect. Reader is the decision part, with no clock, goroutine or
// socket; Follower and Writer do the input and output around it.
package fold

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// ErrGap reports that records which the reader has not folded have expired and
// that no checkpoint that covers them was found. The state is stale: it must
// not be used for decisions until the gap is closed.
var ErrGap = errors.New("records expired before they were read")

// checkpointKind is the kind of the items that carry a checkpoint's chunks.
const checkpointKind = "checkpoint-chunk"

// chunkBytes bounds the state bytes in one checkpoint chunk, so that the
// encoded record stays under logsvc.MaxRecord.
const chunkBytes = 96 << 10

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

// chunk is a part of an encoded checkpoint.
type chunk struct {
	At     logsvc.Offset `json:"at"`
	Digest string        `json:"digest"`
	Part   int           `json:"part"`
	Parts  int           `json:"parts"`
	Data   []byte        `json:"data"`
}

// chunkKey names the checkpoint that a chunk belongs to. Racing writers produce
// equal chunks for the same key, so their chunks complete each other.
type chunkKey struct {
	at     logsvc.Offset
	digest string
	parts  int
}

// Stats counts what a reader ignored or found wrong.
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
	Machine Machine
	// Stats only grows.
	Stats Stats

	offset logsvc.Offset
	stale  bool
	// scanned is the last offset that a stale reader searched for checkpoints.
	scanned logsvc.Offset
	// end is the stream's next offset as the last page reported it.
	end     logsvc.Offset
	digest  [sha256.Size]byte
	writers map[string]uint64
	digests map[logsvc.Offset][sha256.Size]byte
	partial map[chunkKey]map[int][]byte
	// lastCheckpoint is the At of the newest complete checkpoint seen.
	lastCheckpoint logsvc.Offset
}

// Offset returns the offset of the last record folded. It never decreases.
func (r *Reader) Offset() logsvc.Offset { return r.offset }

// Stale reports whether the reader is behind a gap. A stale state must not be
// used for decisions.
func (r *Reader) Stale() bool { return r.stale }

// LastCheckpoint returns the offset that the newest complete checkpoint in the
// stream stands for.
func (r *Reader) LastCheckpoint() logsvc.Offset { return r.lastCheckpoint }

// Folded returns the highest Seq folded for the writer.
func (r *Reader) Folded(writer string) uint64 { return r.writers[writer] }

// Feed folds one page. It returns ErrGap where records between the reader's
// offset and the page expired; the reader is stale then, keeps looking for a
// checkpoint in the pages that follow, and recovers when one is complete.
func (r *Reader) Feed(page logsvc.Page) error {
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

// enterGap marks the state as stale.
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

// AtEnd reports whether all records up to the end that the last page reported
// were read. It is false before the first page.
func (r *Reader) AtEnd() bool { return r.end > 0 && r.atEnd() }

func (r *Reader) atEnd() bool { return r.nextRead() >= r.end }

// feedStale looks for a checkpoint in the page. Where one completes that every
// record after it is still retained for, it is restored and the page's records
// after it are folded; the caller reads on from NextRead.
func (r *Reader) feedStale(page logsvc.Page) error {
	for _, rec := range page.Records {
		r.scanned = rec.Offset
		for _, item := range decodeBatch(rec.Data).Items {
			cp, ok := r.collect(item)
			if !ok || cp.At+1 < page.First || cp.At < r.offset {
				continue
			}
			if r.Restore(cp) == nil {
				return nil
			}
		}
	}
	return fmt.Errorf("%w: folded up to offset %d, first retained is %d", ErrGap, r.offset, page.First)
}

// Restore moves the reader to a checkpoint, made by this or another reader of
// the same stream. It refuses one behind the reader's offset, so that a reader
// never goes back.
func (r *Reader) Restore(cp Checkpoint) error {
	if cp.At < r.offset {
		return fmt.Errorf("checkpoint at offset %d is behind the reader at %d", cp.At, r.offset)
	}
	digest, err := hex.DecodeString(cp.Digest)
	if err != nil || len(digest) != sha256.Size {
		return fmt.Errorf("checkpoint at offset %d has the malformed digest %q", cp.At, cp.Digest)
	}
	if err := r.Machine.Restore(cp.State); err != nil {
		return fmt.Errorf("checkpoint at offset %d: %w", cp.At, err)
	}
	r.offset = cp.At
	r.digest = [sha256.Size]byte(digest)
	r.writers = maps.Clone(cp.Writers)
	r.digests = nil
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

// feedRecord folds the record if it is the next one.
func (r *Reader) feedRecord(rec logsvc.Record) {
	if rec.Offset != r.offset+1 {
		return
	}
	r.offset = rec.Offset
	r.chain(rec.Data)
	batch := decodeBatch(rec.Data)
	if batch.Writer == "" {
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

// applyItems hands the batch's items to the machine, and verifies the
// checkpoints among them.
func (r *Reader) applyItems(offset logsvc.Offset, batch Batch) {
	for i, item := range batch.Items {
		if item.Kind == checkpointKind {
			r.verify(item)
			continue
		}
		r.Machine.Apply(Position{Offset: offset, Index: i, Writer: batch.Writer}, item)
	}
}

// chain extends the digest by one record.
func (r *Reader) chain(data []byte) {
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

// verify compares a checkpoint's digest with the reader's own for that offset,
// and notes the checkpoint when it is complete.
func (r *Reader) verify(item Item) {
	var c chunk
	if json.Unmarshal(item.Body, &c) != nil {
		r.Stats.Malformed++
		return
	}
	own, known := r.digests[c.At]
	if known && hex.EncodeToString(own[:]) != c.Digest {
		r.Stats.CheckpointConflicts++
		return
	}
	if cp, ok := r.collect(item); ok {
		r.lastCheckpoint = max(r.lastCheckpoint, cp.At)
	}
}

// collect stores a chunk and returns the checkpoint that it completes.
func (r *Reader) collect(item Item) (Checkpoint, bool) {
	var c chunk
	if item.Kind != checkpointKind || json.Unmarshal(item.Body, &c) != nil {
		return Checkpoint{}, false
	}
	if c.Parts < 1 || c.Part < 0 || c.Part >= c.Parts {
		return Checkpoint{}, false
	}
	key := chunkKey{at: c.At, digest: c.Digest, parts: c.Parts}
	if r.partial == nil {
		r.partial = make(map[chunkKey]map[int][]byte)
	}
	if r.partial[key] == nil {
		r.partial[key] = make(map[int][]byte)
	}
	r.partial[key][c.Part] = c.Data
	if len(r.partial[key]) < c.Parts {
		return Checkpoint{}, false
	}
	cp, err := joinChunks(r.partial[key], c.Parts)
	r.dropPartial(c.At)
	return cp, err == nil
}

// dropPartial forgets the chunks of checkpoints up to the given offset.
func (r *Reader) dropPartial(upTo logsvc.Offset) {
	for key := range r.partial {
		if key.at <= upTo {
			delete(r.partial, key)
		}
	}
}

// decodeBatch decodes a record; a malformed one yields a batch without writer.
func decodeBatch(data []byte) Batch {
	var b Batch
	if json.Unmarshal(data, &b) != nil {
		return Batch{}
	}
	return b
}

// Chunks encodes a checkpoint as items for a Writer, one item for each record.
func (cp Checkpoint) Chunks() ([]Item, error) {
	raw, err := json.Marshal(cp)
	if err != nil {
		return nil, err
	}
	parts := max(1, (len(raw)+chunkBytes-1)/chunkBytes)
	items := make([]Item, 0, parts)
	for i := range parts {
		data := raw[i*chunkBytes : min(len(raw), (i+1)*chunkBytes)]
		items = append(items, NewItem(checkpointKind, chunk{At: cp.At, Digest: cp.Digest, Part: i, Parts: parts, Data: data}))
	}
	return items, nil
}

// joinChunks decodes a checkpoint from all of its chunks.
func joinChunks(chunks map[int][]byte, parts int) (Checkpoint, error) {
	var raw []byte
	for i := range parts {
		raw = append(raw, chunks[i]...)
	}
	var cp Checkpoint
	err := json.Unmarshal(raw, &cp)
	return cp, err
}
