package entry

import (
	"hash/maphash"
	"sync"
)

// memorySize bounds the request ids that an entry instance remembers.
const memorySize = 1 << 16

// memory remembers the ids of keyed requests that run or may have run, so that a
// retry that is refused here is not told that the work did not happen. It holds
// hashes of the newest ids; a collision makes an answer less certain, never
// wrong. The zero value works. It is safe for concurrent use.
type memory struct {
	mu   sync.Mutex
	seed maphash.Seed
	// count holds, for each hash, the requests that may have run.
	count map[uint64]int
	// ring holds the hashes in the order of their arrival; next is the oldest.
	ring []uint64
	next int
}

// add remembers a request.
func (m *memory) add(id string) {
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
	if len(m.ring) < memorySize {
		m.ring = append(m.ring, h)
		return
	}
	if m.ring[m.next] != h {
		delete(m.count, m.ring[m.next])
	}
	m.ring[m.next] = h
	m.next = (m.next + 1) % memorySize
}

// forget takes back a request that did not run.
func (m *memory) forget(id string) {
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

// over reports whether more than n requests with the id are remembered.
func (m *memory) over(id string, n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.count != nil && m.count[maphash.String(m.seed, id)] > n
}

// MayHaveRun reports whether a request with this id, which may be a call of an
// application, may have run before, as far as this instance can learn.
func (e *Engine) MayHaveRun(id string, call bool) bool { return e.mayHaveRun(id, call, 0) }

// mayHaveRun leaves out own requests of the caller's own.
func (e *Engine) mayHaveRun(id string, call bool, own int) bool {
	return e.memory.over(id, own) || (e.Ran != nil && e.Ran(id, call))
}
