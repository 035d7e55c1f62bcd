package claim

import (
	"encoding/json"
	"fmt"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
)

const (
	// DefaultWindow is the number of finished requests that are remembered.
	DefaultWindow = 50_000
	// DefaultAnswerBytes bounds the answers that are kept for replay.
	DefaultAnswerBytes = 2 << 20
)

// State is the fold of the claims stream. The zero value is the state before
// the first record. It is not safe for concurrent use.
//
// A request that is held never expires, so that one whose owner died is never
// taken as free. Finished requests expire in the order in which they finished:
// first the answer (the request stays known as done), then, after Window more
// requests finished, the request itself. A retry that comes later than that
// runs again, so Window divided by the rate of non-idempotent requests is the
// longest time for which a caller may retry. It counts requests and reads no
// clock, since all readers must agree on it.
type State struct {
	// Window is the number of finished requests that are remembered; 0 stands
	// for DefaultWindow. All readers of a stream use the same value.
	Window int
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

// snapshot is the encoded form of State. Its map encodes in key order.
type snapshot struct {
	Requests map[string]*entry `json:"requests"`
	Finished []string          `json:"finished"`
	Bodies   int               `json:"bodies"`
}

// Snapshot encodes the state. Equal states encode to equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	return json.Marshal(snapshot{Requests: s.requests, Finished: s.finished, Bodies: s.bodies})
}

// Restore replaces the state by a snapshot. On error the state is unchanged.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		return fmt.Errorf("claims snapshot: %w", err)
	}
	bytes, err := snap.check()
	if err != nil {
		return fmt.Errorf("claims snapshot: %w", err)
	}
	s.requests = snap.Requests
	s.finished = snap.Finished
	s.bodies = snap.Bodies
	s.bytes = bytes
	return nil
}

// check verifies the snapshot's invariants and returns the answers' bytes.
func (s *snapshot) check() (int, error) {
	bytes, done := 0, 0
	for id, e := range s.Requests {
		if e == nil {
			return 0, fmt.Errorf("request %q is null", id)
		}
		if e.Answer != nil {
			bytes += e.Answer.size()
			done++
		}
	}
	if done != len(s.Finished) || s.Bodies < 0 || s.Bodies > done {
		return 0, fmt.Errorf("%d requests are done, but %d are listed with %d answers dropped", done, len(s.Finished), s.Bodies)
	}
	listed := make(map[string]bool, done)
	for _, id := range s.Finished {
		if e := s.Requests[id]; e == nil || e.Answer == nil || listed[id] {
			return 0, fmt.Errorf("request %q is listed as done, but is not, or is twice", id)
		}
		listed[id] = true
	}
	return bytes, nil
}
