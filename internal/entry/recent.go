package entry

import (
	"hash/maphash"
	"sync"
)

// maxRecentIDs limits the request ids that an entry instance remembers.
const maxRecentIDs = 1 << 16

// recentIDs holds the ids of recent keyed requests that are running or may have run.
// Engine checks them before it refuses a retry: the refusal must not state that the
// work did not run if an earlier request may have run it. recentIDs stores hashes of
// the newest maxRecentIDs ids. A hash collision can only change the stated outcome from
// not-run to unknown. The zero value is ready to use. It is safe for concurrent use.
type recentIDs struct {
	mu   sync.Mutex
	seed maphash.Seed
	// count is the number of requests with each hash that may have run.
	count map[uint64]int
	// ring contains the hashes in order of arrival. Once ring is full, next is the
	// index of the oldest hash.
	ring []uint64
	next int
}

// add counts a request.
func (m *recentIDs) add(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.count == nil {
		m.seed = maphash.MakeSeed()
		m.count = make(map[uint64]int)
	}
	h := maphash.String(m.seed, id)
	m.count[h]++
	if m.count[h] > 1 {
		return
	}
	if len(m.ring) < maxRecentIDs {
		m.ring = append(m.ring, h)
		return
	}
	if m.ring[m.next] != h {
		delete(m.count, m.ring[m.next])
	}
	m.ring[m.next] = h
	m.next = (m.next + 1) % maxRecentIDs
}

// remove undoes add for a request that did not run.
func (m *recentIDs) remove(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.count == nil {
		return
	}
	h := maphash.String(m.seed, id)
	if m.count[h]--; m.count[h] <= 0 {
		delete(m.count, h)
	}
}

// countExceeds reports whether more than n requests with the id are counted.
func (m *recentIDs) countExceeds(id string, n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.count != nil && m.count[maphash.String(m.seed, id)] > n
}

// MayHaveRun reports whether a request with this id may have run before, according to
// the requests of this instance and to Engine.LoggedRun. call is set for a call of an
// application.
func (e *Engine) MayHaveRun(id string, call bool) bool { return e.mayHaveRun(id, call, 0) }

// mayHaveRun is MayHaveRun for a request that is itself counted in e.recent. own is the
// number of times that it is counted there.
func (e *Engine) mayHaveRun(id string, call bool, own int) bool {
	return e.recent.countExceeds(id, own) || (e.LoggedRun != nil && e.LoggedRun(id, call))
}
