package claim

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
)

const (
	// DefaultWindow is the default number of finished requests that are kept with
	// their fingerprints.
	DefaultWindow = 10_000
	// DefaultExpired is the default number of older finished requests of which
	// only a hash of the id is kept.
	DefaultExpired = 250_000
	// DefaultResponseBytes is the default limit on the total size, in bytes, of the
	// responses kept for replay.
	DefaultResponseBytes = 2 << 20
)

// State is the fold of the claims stream. The zero value is the state before
// the first record. It is not safe for concurrent use.
//
// A held request never expires. Its owner may have run it and then died, so the
// request must not become free. Finished requests expire in the order in which they
// finished. The response is dropped first, when the responses exceed ResponseBytes.
// The fingerprint is dropped after Window more requests have finished, and the hash
// of the id after Expired more.
//
// A retry that arrives after the hash was dropped runs the request again. Callers
// may therefore retry for at most (Window + Expired) / r seconds, if r
// non-idempotent requests finish per second. Expiry counts requests and reads no
// clock, because all readers must expire the same requests.
type State struct {
	// Window is the number of finished requests that are kept with their
	// fingerprints; 0 means DefaultWindow. All readers of a stream must use the
	// same value.
	Window int
	// Expired is the number of older finished requests, beyond Window, for which
	// only a hash of the id is kept; 0 means DefaultExpired. All readers of a
	// stream must use the same value.
	Expired int
	// ResponseBytes limits the total size of the kept responses in bytes; 0 means
	// DefaultResponseBytes. All readers of a stream must use the same value.
	ResponseBytes int

	requests map[string]*entry
	// finished lists the requests that are done, oldest first.
	finished []string
	// dropped counts the leading entries of finished whose responses were dropped.
	dropped int
	// responseBytes is the total size of the kept responses.
	responseBytes int
	// expired holds the hashes of the expired ids, oldest first. expiredSet holds
	// the same hashes as a set.
	expired    []idHash
	expiredSet map[idHash]bool
}

// idHash is the first 8 bytes of the SHA-256 of a request's id. If two ids have
// the same hash, a new request is treated as one that has run. This error is safe:
// the request is refused, and no request runs twice.
type idHash uint64

func hashOf(request string) idHash {
	h := sha256.Sum256([]byte(request))
	return idHash(binary.BigEndian.Uint64(h[:]))
}

// entry is a request that is held, or done and within the window.
type entry struct {
	Side        ident.Incarnation `json:"side"`
	Attempt     string            `json:"attempt"`
	Fingerprint []byte            `json:"fingerprint"`
	Response    *response         `json:"answer,omitempty"`
}

// response is the response that a Done item recorded.
type response struct {
	Status    int      `json:"status"`
	Headers   []Header `json:"headers,omitempty"`
	Body      []byte   `json:"body,omitempty"`
	Truncated bool     `json:"truncated,omitempty"`
}

var _ fold.StateMachine = (*State)(nil)

// Apply folds one item. Items that cannot be decoded have no effect.
func (s *State) Apply(_ fold.Position, item fold.Item) {
	decoded, err := Decode(item)
	if err != nil {
		return
	}
	switch it := decoded.(type) {
	case Claim:
		s.claim(it)
	case Release:
		s.release(it)
	case Done:
		s.done(it)
	}
}

func (s *State) claim(it Claim) {
	if it.Request == "" || it.Side == "" || it.Attempt == "" || s.requests[it.Request] != nil {
		return
	}
	if s.expiredSet[hashOf(it.Request)] {
		return
	}
	if s.requests == nil {
		s.requests = make(map[string]*entry)
	}
	s.requests[it.Request] = &entry{Side: it.Side, Attempt: it.Attempt, Fingerprint: it.Fingerprint}
}

func (s *State) release(it Release) {
	e := s.requests[it.Request]
	if e == nil || e.Response != nil || e.Side != it.Side || e.Attempt != it.Attempt {
		return
	}
	delete(s.requests, it.Request)
}

func (s *State) done(it Done) {
	e := s.requests[it.Request]
	if e == nil || e.Response != nil || e.Side != it.Side || e.Attempt != it.Attempt {
		return
	}
	e.Response = &response{Status: it.Status, Headers: it.Headers, Body: it.Body, Truncated: it.Truncated}
	if len(it.Body) > MaxBody {
		e.Response.drop()
	}
	s.responseBytes += e.Response.size()
	s.finished = append(s.finished, it.Request)
	s.dropResponses()
	s.expire()
}

// dropResponses drops the oldest responses until the total size is at most
// ResponseBytes.
func (s *State) dropResponses() {
	limit := s.ResponseBytes
	if limit == 0 {
		limit = DefaultResponseBytes
	}
	for s.responseBytes > limit && s.dropped < len(s.finished) {
		r := s.requests[s.finished[s.dropped]].Response
		s.responseBytes -= r.size()
		r.drop()
		s.responseBytes += r.size()
		s.dropped++
	}
}

// expire reduces the oldest finished requests beyond the window to hashes of
// their ids.
func (s *State) expire() {
	window := s.Window
	if window == 0 {
		window = DefaultWindow
	}
	for len(s.finished) > window {
		id := s.finished[0]
		s.responseBytes -= s.requests[id].Response.size()
		delete(s.requests, id)
		s.finished = s.finished[1:]
		s.dropped = max(0, s.dropped-1)
		s.addExpired(hashOf(id))
	}
}

// addExpired adds the hash of an expired id, and drops the oldest hash beyond the
// limit.
func (s *State) addExpired(h idHash) {
	limit := s.Expired
	if limit == 0 {
		limit = DefaultExpired
	}
	if s.expiredSet[h] {
		return
	}
	if s.expiredSet == nil {
		s.expiredSet = make(map[idHash]bool)
	}
	s.expiredSet[h] = true
	s.expired = append(s.expired, h)
	if len(s.expired) > limit {
		delete(s.expiredSet, s.expired[0])
		s.expired = s.expired[1:]
	}
}

// size returns the bytes that the response counts towards ResponseBytes: its body
// and its headers.
func (r *response) size() int {
	n := len(r.Body)
	for _, h := range r.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// drop removes the response's headers and body.
func (r *response) drop() {
	r.Truncated = true
	r.Body = nil
	r.Headers = nil
}
