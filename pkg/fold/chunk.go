package fold

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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
	// maxState bounds the encoded state of a checkpoint in bytes, before it is
	// compressed.
	maxState = 64 << 20
)

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

// chunkKey identifies the encoded checkpoint that a chunk is part of. Writers
// that append the same encoding at the same time produce equal chunks, and a
// reader may take each part from any of these writers. Chunks of different
// encodings are never joined.
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
// not stale keeps the numbers of the parts without their data. It only has to detect
// when a checkpoint is complete.
type partials map[chunkKey]map[int][]byte

// decodeChunk decodes a chunk that was read from the given record. It returns false
// if the chunk is invalid. A checkpoint can only cover records before the records
// that contain the checkpoint.
func decodeChunk(record logsvc.Offset, item Item) (chunk, bool) {
	var c chunk
	if item.Kind != checkpointKind || json.Unmarshal(item.Body, &c) != nil {
		return chunk{}, false
	}
	ok := c.At < record && c.Parts >= 1 && c.Parts <= maxParts && c.Part >= 0 && c.Part < c.Parts
	return c, ok
}

// add stores a chunk. If this completes the checkpoint, add removes the checkpoint
// from p and returns its parts and true.
func (p partials) add(c chunk) (map[int][]byte, bool) {
	key := c.key()
	if p[key] == nil {
		if !p.evict(c.At) {
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

// evict makes room for a checkpoint at the given offset. If there are maxPartial
// checkpoints, it removes the oldest. It removes none and returns false if all of
// them are at or after the given offset.
func (p partials) evict(at logsvc.Offset) bool {
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

// dropBefore removes the checkpoints before the given offset.
func (p partials) dropBefore(offset logsvc.Offset) {
	maps.DeleteFunc(p, func(key chunkKey, _ map[int][]byte) bool { return key.at < offset })
}

// Chunks encodes a checkpoint as items for a Writer. Each item fits into one
// record. It fails if the state exceeds maxState.
func (cp Checkpoint) Chunks() ([]Item, error) { return cp.split(chunkBytes) }

// split encodes a checkpoint as items that each carry at most size bytes of the
// encoding.
func (cp Checkpoint) split(size int) ([]Item, error) {
	raw, err := cp.encode()
	if err != nil {
		return nil, fmt.Errorf("checkpoint at offset %d: %w", cp.At, err)
	}
	parts := max(1, (len(raw)+size-1)/size)
	if parts > maxParts {
		return nil, fmt.Errorf("checkpoint at offset %d has %d bytes, exceeding the limit of %d", cp.At, len(raw), maxParts*size)
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

// encode returns the checkpoint compressed with gzip: one line of JSON without
// the state, then the raw state.
func (cp Checkpoint) encode() ([]byte, error) {
	head, err := json.Marshal(Checkpoint{At: cp.At, Digest: cp.Digest, Writers: cp.Writers})
	if err != nil {
		return nil, err
	}
	if n := len(head) + 1 + len(cp.State); n > maxState {
		return nil, fmt.Errorf("state has %d bytes before compression, exceeding the limit of %d", n, maxState)
	}
	var raw bytes.Buffer
	zip, err := gzip.NewWriterLevel(&raw, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	// Writes to a buffer don't fail.
	_, _ = zip.Write(append(head, '\n'))
	_, _ = zip.Write(cp.State)
	_ = zip.Close()
	return raw.Bytes(), nil
}

// decodeCheckpoint is the reverse of encode.
func decodeCheckpoint(raw io.Reader) (Checkpoint, error) {
	zip, err := gzip.NewReader(raw)
	if err != nil {
		return Checkpoint{}, err
	}
	text := bufio.NewReader(io.LimitReader(zip, maxState+1))
	head, err := text.ReadBytes('\n')
	if err != nil {
		return Checkpoint{}, err
	}
	var cp Checkpoint
	if err := json.Unmarshal(head, &cp); err != nil {
		return Checkpoint{}, err
	}
	if cp.State, err = io.ReadAll(text); err != nil {
		return Checkpoint{}, err
	}
	if len(head)+len(cp.State) > maxState {
		return Checkpoint{}, fmt.Errorf("state exceeds the limit of %d bytes before compression", maxState)
	}
	return cp, nil
}

// errChunkMismatch reports joined chunks that differ from their own metadata.
var errChunkMismatch = errors.New("joined chunks do not match the checksum, offset or digest in their metadata")

// joinChunks decodes a checkpoint from all of its parts. c is any of its chunks.
func joinChunks(c chunk, parts map[int][]byte) (Checkpoint, error) {
	sum := sha256.New()
	readers := make([]io.Reader, c.Parts)
	for i := range readers {
		sum.Write(parts[i])
		readers[i] = bytes.NewReader(parts[i])
	}
	if hex.EncodeToString(sum.Sum(nil)) != c.Sum {
		return Checkpoint{}, errChunkMismatch
	}
	cp, err := decodeCheckpoint(io.MultiReader(readers...))
	if err != nil {
		return Checkpoint{}, err
	}
	if cp.At != c.At || cp.Digest != c.Digest {
		return Checkpoint{}, errChunkMismatch
	}
	return cp, nil
}
