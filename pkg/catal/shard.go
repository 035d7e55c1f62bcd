package catal

import (
	"hash/maphash"
	"sync"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// shardCount is the number of locks that the entries, and the keys, are spread
// over.
const shardCount = 64

// Record is an entry with the change that put it in force.
type Record struct {
	Name string
	// At is the offset of the latest accepted change, the base of the next.
	At logsvc.Offset
	// Change is the id of that change, and Operator who made it.
	Change   string
	Operator string
	// Entry is nil where the change deleted the entry.
	Entry Entry
}

// shardSeed spreads keys over shards. It differs in each process, and decides
// nothing that is visible outside.
var shardSeed = maphash.MakeSeed()

// shards maps keys to records. The zero value is empty. Readers of different
// shards don't touch the same lock.
type shards[K comparable] struct {
	parts [shardCount]shard[K]
}

// shard is a part of the map under its own lock.
type shard[K comparable] struct {
	mu sync.RWMutex
	m  map[K]*Record
	// The padding keeps the locks of neighbours off one cache line.
	_ [64]byte
}

func (s *shards[K]) shard(key K) *shard[K] {
	return &s.parts[maphash.Comparable(shardSeed, key)%shardCount]
}

func (s *shards[K]) get(key K) *Record {
	p := s.shard(key)
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.m[key]
}

func (s *shards[K]) set(key K, r *Record) {
	p := s.shard(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.m == nil {
		p.m = make(map[K]*Record)
	}
	p.m[key] = r
}

func (s *shards[K]) remove(key K) {
	p := s.shard(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.m, key)
}

// each calls fn for every record. It holds the lock of one shard at a time.
func (s *shards[K]) each(fn func(key K, r *Record)) {
	for i := range s.parts {
		s.parts[i].each(fn)
	}
}

func (p *shard[K]) each(fn func(key K, r *Record)) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for key, r := range p.m {
		fn(key, r)
	}
}
