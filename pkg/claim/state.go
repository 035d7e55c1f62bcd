package claim

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
)

const (
	// DefaultWindow is the number of finished requests that are remembered with
	// their fingerprint.
	DefaultWindow = 10_000
	// DefaultExpired is the number of finished requests that are remembered by a
	// hash of their id after that.
	DefaultExpired = 250_000
	// DefaultAnswerBytes bounds the answers that are kept for replay.
	DefaultAnswerBytes = 2 << 20
)

// State is the fold of the claims stream. The zero value is the state before
// the first record. It is not safe for concurrent use.
//
// A request that is held never expires, so that one whose owner died is never
// taken as free. Finished requests expire in the order in which they finished:
// first the answer goes, then, after Window more requests finished, the
// fingerprint, and after Expired more the id. A retry that comes later than
// that runs again, so Window+Expired divided by the rate of non-idempotent
// requests is the longest time for which a caller may retry. It counts requests
// and reads no clock, since all readers must agree on it.
type State struct {
	// Window is the number of finished requests that are remembered; 0 stands
	// for DefaultWindow. All readers of a stream use the same value.
	Window int
	// Expired is the number of finished requests beyond Window whose ids are
	// still known; 0 stands for DefaultExpired. All readers of a stream use the
	// same value.
	Expired int
	// AnswerBytes bounds the bytes of the answers kept; 0 stands for
	// DefaultAnswerBytes. All readers of a stream use the same value.
	AnswerBytes int

	requests map[string]*entry
	// finished holds the requests that are done, oldest first.
	finished []string
	// bodies counts the leading entries of finished whose answer was dropped.
	bodies int
	// bytes sums the sizes of the answers kept.
	bytes int
	// expired are the hashes of the expired ids, oldest first, and expiredSet
	// the same as a set.
	expired    []idHash
	expiredSet map[idHash]bool
}

// idHash is the start of the SHA-256 of a request's id. Two ids with one hash
// make a fresh request look like one that ran: the safe side.
type idHash uint64

func hashOf(request string) idHash {
	h := sha256.Sum256([]byte(request))
	return idHash(binary.BigEndian.Uint64(h[:]))
}

// entry is a request that is held or done.
type entry struct {
	Side        ident.Incarnation `json:"side"`
	Attempt     string            `json:"attempt"`
	Fingerprint []byte            `json:"fingerprint"`
	Answer      *answer           `json:"answer,omitempty"`
}

// answer is what a Done recorded.
type answer struct {
	Status    int      `json:"status"`
	Headers   []Header `json:"headers,omitempty"`
	Body      []byte   `json:"body,omitempty"`
	Truncated bool     `json:"truncated,omitempty"`
}

var _ fold.Machine = (*State)(nil)

// Apply folds one item.
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
	if e == nil || e.Answer != nil || e.Side != it.Side || e.Attempt != it.Attempt {
		return
	}
	delete(s.requests, it.Request)
}

func (s *State) done(it Done) {
	e := s.requests[it.Request]
	if e == nil || e.Answer != nil || e.Side != it.Side || e.Attempt != it.Attempt {
		return
	}
	e.Answer = &answer{Status: it.Status, Headers: it.Headers, Body: it.Body, Truncated: it.Truncated}
	if len(it.Body) > MaxBody {
		e.Answer.drop()
	}
	s.bytes += e.Answer.size()
	s.finished = append(s.finished, it.Request)
	s.dropAnswers()
	s.expire()
}

// dropAnswers drops the oldest answers until the rest fits.
func (s *State) dropAnswers() {
	limit := s.AnswerBytes
	if limit == 0 {
		limit = DefaultAnswerBytes
	}
	for s.bytes > limit && s.bodies < len(s.finished) {
		a := s.requests[s.finished[s.bodies]].Answer
		s.bytes -= a.size()
		a.drop()
		s.bytes += a.size()
		s.bodies++
	}
}

// expire forgets the oldest finished requests beyond the window.
func (s *State) expire() {
	window := s.Window
	if window == 0 {
		window = DefaultWindow
	}
	for len(s.finished) > window {
		id := s.finished[0]
		s.bytes -= s.requests[id].Answer.size()
		delete(s.requests, id)
		s.finished = s.finished[1:]
		s.bodies = max(0, s.bodies-1)
		s.addExpired(hashOf(id))
	}
}

// addExpired notes an expired id, and forgets the oldest beyond the bound.
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

// size returns the bytes that the answer counts for.
func (a *answer) size() int {
	n := len(a.Body)
	for _, h := range a.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// drop forgets the answer's content.
func (a *answer) drop() {
	a.Truncated = true
	a.Body = nil
	a.Headers = nil
}
