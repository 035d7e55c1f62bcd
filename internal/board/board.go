// Package board shares small records among instances, through one partition of a store.
// Each instance follows the partition and writes what it has to say. The owner of a Board
// merges the records; the Board does the input and output.
package board

import (
	"context"
	"sync"
	"time"

	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/pause"
)

const (
	// maxKey bounds the key of a record, in bytes.
	maxKey = 240
	// maxBatch bounds the records of one call.
	maxBatch = 256
	// minBackoff and maxBackoff bound the pause after a failed call, which doubles with each
	// failure. The news on a board are not worth more calls during an outage.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// flushPoll is the interval at which Flush checks for remaining writes.
	flushPoll = 5 * time.Millisecond
	// readInterval is the time between two reads. A burst of records thus takes few reads.
	readInterval = 200 * time.Millisecond
)

// Board is one partition. Its exported fields must be set before use. A nil Board shares
// nothing: Write and Cancel have no effect.
type Board struct {
	Store     keyed.Store
	Partition keyed.Partition
	// OnChange is called with the changed records, in order.
	OnChange func(keyed.Change)
	// OnReachability is called with the error when the store becomes unreachable, and
	// with nil when it is reachable again.
	OnReachability func(error)

	mu      sync.Mutex
	pending map[string]*write
	// wake gets a value when a write was added.
	wake chan struct{}
}

// write is a record to be written.
type write struct {
	value []byte
	due   time.Time
}

// Write writes a record after a delay, and tries again until the store has accepted it. It
// replaces a write of the same key that has not been made yet, and keeps the earlier of
// the two times. A nil value deletes the key. A record whose key is longer than 240 bytes is
// not shared: the store would refuse it each time, with all others of its call.
func (b *Board) Write(key string, value []byte, delay time.Duration) {
	if b == nil || len(key) > maxKey {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	w := &write{value: value, due: time.Now().Add(delay)}
	if old := b.pending[key]; old != nil && old.due.Before(w.due) {
		w.due = old.due
	}
	if b.pending == nil {
		b.pending = make(map[string]*write)
	}
	b.pending[key] = w
	select {
	case b.wakeChan() <- struct{}{}:
	default:
	}
}

// Cancel drops the write of a key, unless it was made already.
func (b *Board) Cancel(key string) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.pending, key)
}

// Flush waits until all writes that were due at the call are made, or the context ends.
func (b *Board) Flush(ctx context.Context) {
	for now := time.Now(); pause.For(ctx, flushPoll); {
		if batch, _ := b.due(now); len(batch) == 0 {
			return
		}
	}
}

// wakeChan returns the channel wake. b.mu must be held.
func (b *Board) wakeChan() chan struct{} {
	if b.wake == nil {
		b.wake = make(chan struct{}, 1)
	}
	return b.wake
}

// Run follows the partition and makes the writes until the context ends.
func (b *Board) Run(ctx context.Context) {
	follower := &keyed.Follower{
		Store: b.Store, Partition: b.Partition, ReadInterval: readInterval, MaxBackoff: maxBackoff,
		OnChange: b.OnChange, OnReachability: b.OnReachability,
	}
	var wg sync.WaitGroup
	wg.Go(func() { follower.Run(ctx) })
	b.write(ctx)
	wg.Wait()
}

// write makes the writes as they become due.
func (b *Board) write(ctx context.Context) {
	backoff := time.Duration(0)
	for ctx.Err() == nil {
		batch, next := b.due(time.Now())
		if len(batch) == 0 {
			b.await(ctx, next)
			continue
		}
		if err := b.Store.Append(ctx, b.Partition, entries(batch)); err != nil {
			backoff = min(maxBackoff, max(minBackoff, 2*backoff))
			pause.For(ctx, backoff)
			continue
		}
		backoff = 0
		b.written(batch)
	}
}

// due returns the writes that are due, and when the next one is; next is zero if there is
// none.
func (b *Board) due(now time.Time) (batch map[string]*write, next time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch = make(map[string]*write)
	for key, w := range b.pending {
		switch {
		case !w.due.After(now):
			if len(batch) < maxBatch {
				batch[key] = w
			}
		case next.IsZero() || w.due.Before(next):
			next = w.due
		}
	}
	return batch, next
}

// await waits until the next write is due or another one was added.
func (b *Board) await(ctx context.Context, next time.Time) {
	b.mu.Lock()
	wake := b.wakeChan()
	b.mu.Unlock()
	var timeout <-chan time.Time
	if !next.IsZero() {
		timer := time.NewTimer(time.Until(next))
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-wake:
	case <-timeout:
	case <-ctx.Done():
	}
}

// written drops writes that were made, unless they were replaced meanwhile.
func (b *Board) written(batch map[string]*write) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, w := range batch {
		if b.pending[key] == w {
			delete(b.pending, key)
		}
	}
}

func entries(batch map[string]*write) []keyed.Entry {
	list := make([]keyed.Entry, 0, len(batch))
	for key, w := range batch {
		list = append(list, keyed.Entry{Key: key, Value: w.value})
	}
	return list
}
