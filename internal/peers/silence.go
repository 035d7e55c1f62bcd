package peers

import (
	"maps"
	"sync"
	"time"
)

// silencePause is the time in which a peer that did not answer is not asked again.
const silencePause = 2 * time.Second

// Silence records when peers last did not answer, by address. The zero value has none. It is
// safe for concurrent use.
type Silence struct {
	mu    sync.Mutex
	since map[string]time.Time
}

// Note records that a peer did not answer.
func (s *Silence) Note(addr string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since == nil {
		s.since = make(map[string]time.Time)
	}
	maps.DeleteFunc(s.since, func(_ string, at time.Time) bool { return now.Sub(at) > silencePause })
	s.since[addr] = now
}

// MayAnswer reports whether a peer is to be asked: whether silencePause has passed since it
// did not answer.
func (s *Silence) MayAnswer(addr string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.since[addr]) > silencePause
}
