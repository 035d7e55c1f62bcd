package claim

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
)

// idHashBytes is the size of an idHash in a snapshot.
const idHashBytes = 8

// snapshot is the encoded form of State. encoding/json writes the map in key
// order.
type snapshot struct {
	Requests map[string]*entry `json:"requests"`
	Finished []string          `json:"finished"`
	Dropped  int               `json:"bodies"`
	// Expired holds the hashes, oldest first, as big-endian integers of
	// idHashBytes bytes.
	Expired []byte `json:"expired"`
}

// Snapshot encodes the state. Equal states encode to equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	expired := make([]byte, 0, len(s.expired)*idHashBytes)
	for _, h := range s.expired {
		expired = binary.BigEndian.AppendUint64(expired, uint64(h))
	}
	return json.Marshal(snapshot{Requests: s.requests, Finished: s.finished, Dropped: s.dropped, Expired: expired})
}

// Restore replaces the state with a snapshot. On error the state is unchanged.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		return fmt.Errorf("claims snapshot: %w", err)
	}
	responseBytes, err := snap.check()
	if err != nil {
		return fmt.Errorf("claims snapshot: %w", err)
	}
	s.requests = snap.Requests
	s.finished = snap.Finished
	s.dropped = snap.Dropped
	s.responseBytes = responseBytes
	s.expired = nil
	s.expiredSet = make(map[idHash]bool, len(snap.Expired)/idHashBytes)
	for b := snap.Expired; len(b) > 0; b = b[idHashBytes:] {
		h := idHash(binary.BigEndian.Uint64(b))
		s.expired = append(s.expired, h)
		s.expiredSet[h] = true
	}
	return nil
}

// check returns the total size of the snapshot's responses in bytes, or an error if
// the snapshot violates an invariant.
func (s *snapshot) check() (int, error) {
	if len(s.Expired)%idHashBytes != 0 {
		return 0, fmt.Errorf("expired ids have %d bytes, want a multiple of %d", len(s.Expired), idHashBytes)
	}
	total, done := 0, 0
	for id, e := range s.Requests {
		if e == nil {
			return 0, fmt.Errorf("request %q has a null entry", id)
		}
		if e.Response != nil {
			total += e.Response.size()
			done++
		}
	}
	if done != len(s.Finished) || s.Dropped < 0 || s.Dropped > done {
		return 0, fmt.Errorf("%d requests are done, but %d are listed as done, of which %d responses are dropped", done, len(s.Finished), s.Dropped)
	}
	listed := make(map[string]bool, done)
	for _, id := range s.Finished {
		if e := s.Requests[id]; e == nil || e.Response == nil || listed[id] {
			return 0, fmt.Errorf("request %q is listed as done, but it is not done or is listed twice", id)
		}
		listed[id] = true
	}
	return total, nil
}
