package fold

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// checkpointKind is the kind of the items that carry a checkpoint's chunks.
const checkpointKind = "checkpoint-chunk"

const (
	// chunkBytes bounds the bytes of an encoded checkpoint in one chunk, so that
	// the record stays under logsvc.MaxRecord.
	chunkBytes = 96 << 10
	// maxParts bounds the chunks of one checkpoint.
	maxParts = 1024
	// maxPartial bounds the incomplete checkpoints that a reader collects.
	maxPartial = 8
	// digestHistory is the number of recent offsets whose digests a reader keeps
	// to verify checkpoints made by others.
	digestHistory = 4096
)

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
	// Sum is the SHA-256 of the whole encoded checkpoint.
	Sum   string `json:"sum"`
	Part  int    `json:"part"`
	Parts int    `json:"parts"`
	Data  []byte `json:"data"`
}

// chunkKey names the encoding that a chunk belongs to. Racing writers of equal
// encodings produce equal chunks, which complete each other. Chunks of encodings
// that differ never mix.
type chunkKey struct {
	at     logsvc.Offset
	digest string
	sum    string
	parts  int
}

func (c chunk) key() chunkKey {
	return chunkKey{at: c.At, digest: c.Digest, sum: c.Sum, parts: c.Parts}
}

// partials holds the chunks of incomplete checkpoints by part. A reader that is
// not stale keeps no data: it only needs to know when a checkpoint is complete.
type partials map[chunkKey]map[int][]byte

// decodeChunk decodes the chunk in a record. A checkpoint stands for a prefix
// that ends before the records that carry it.
func decodeChunk(record logsvc.Offset, item Item) (chunk, bool) {
	var c chunk
	if item.Kind != checkpointKind || json.Unmarshal(item.Body, &c) != nil {
		return chunk{}, false
	}
	ok := c.At < record && c.Parts >= 1 && c.Parts <= maxParts && c.Part >= 0 && c.Part < c.Parts
	return c, ok
}

// add notes a chunk and returns all parts where it is the last one missing.
func (p partials) add(c chunk) (map[int][]byte, bool) {
	key := c.key()
	if p[key] == nil {
		if !p.makeRoom(c.At) {
			return nil, false
		}
		p[key] = make(map[int][]byte)
	}
	p[key][c.Part] = c.Data
	if len(p[key]) < c.Parts {
		return nil, false
	}
	parts := p[key]
	delete(p, key)
	return parts, true
}

// makeRoom keeps the newest maxPartial checkpoints: it forgets the oldest, or is
// false where a checkpoint at the given offset is older than all that are held.
func (p partials) makeRoom(at logsvc.Offset) bool {
	if len(p) < maxPartial {
		return true
	}
	oldest := chunkKey{at: at}
	for key := range p {
		if key.at < oldest.at {
			oldest = key
		}
	}
	if oldest.at == at {
		return false
	}
	delete(p, oldest)
	return true
}

// drop forgets the checkpoints before the given offset.
func (p partials) drop(before logsvc.Offset) {
	maps.DeleteFunc(p, func(key chunkKey, _ map[int][]byte) bool { return key.at < before })
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

// Chunks encodes a checkpoint as items for a Writer, one item for each record.
func (cp Checkpoint) Chunks() ([]Item, error) { return cp.split(chunkBytes) }

// split encodes a checkpoint as items of at most size bytes of it.
func (cp Checkpoint) split(size int) ([]Item, error) {
	raw, err := json.Marshal(cp)
	if err != nil {
		return nil, err
	}
	parts := max(1, (len(raw)+size-1)/size)
	if parts > maxParts {
		return nil, fmt.Errorf("checkpoint at offset %d has %d bytes, at most %d", cp.At, len(raw), maxParts*size)
	}
	sum := sha256.Sum256(raw)
	items := make([]Item, 0, parts)
	for i := range parts {
		items = append(items, NewItem(checkpointKind, chunk{
			At:     cp.At,
			Digest: cp.Digest,
			Sum:    hex.EncodeToString(sum[:]),
			Part:   i,
			Parts:  parts,
			Data:   raw[i*size : min(len(raw), (i+1)*size)],
		}))
	}
	return items, nil
}

// errMixed reports chunks that don't add up to what they say they are.
var errMixed = errors.New("chunks don't make up the checkpoint that they name")

// joinChunks decodes a checkpoint from all of its parts; last is any of them.
func joinChunks(last chunk, parts map[int][]byte) (Checkpoint, error) {
	var raw bytes.Buffer
	for i := range last.Parts {
		raw.Write(parts[i])
	}
	sum := sha256.Sum256(raw.Bytes())
	if hex.EncodeToString(sum[:]) != last.Sum {
		return Checkpoint{}, errMixed
	}
	var cp Checkpoint
	if err := json.Unmarshal(raw.Bytes(), &cp); err != nil {
		return Checkpoint{}, err
	}
	if cp.At != last.At || cp.Digest != last.Digest {
		return Checkpoint{}, errMixed
	}
	return cp, nil
}
