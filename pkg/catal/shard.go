package catal

import (
	"hash/maphash"
	"sync"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// shardCount is the number of shards, each with its own lock, of the map of
// entries and of the map of keys.
const shardCount = 64

// Record is an entry with its latest accepted change.
type Record struct {
	Name string
	// At is the offset of the latest accepted change, and the Base of the next.
	At logsvc.Offset
	// Change is the id of the latest accepted change. Operator is who made it.
	Change   string
	Operator string
	// Entry is nil if the change deleted the entry.
	Entry Entry
}

// shardSeed is the hash seed that assigns keys to shards. It differs in each
// process, but has no effect on query results or snapshots.
var shardSeed = maphash.MakeSeed()

// shards is a concurrent map of keys to records. Keys in different shards use
// different locks. The zero value is empty.
type shards[K comparable] struct {
	parts [shardCount]shard[K]
}

// shard is a part of the map with its own lock.
type shard[K comparable] struct {
	mu sync.RWMutex
	m  map[K]*Record
	// The padding keeps the locks of adjacent shards on different cache lines.
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
