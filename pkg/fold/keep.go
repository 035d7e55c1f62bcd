package fold

import (
	"context"
	"fmt"
	"hash/fnv"
	"sync/atomic"
	"time"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

const (
	// DefaultEvery is the number of records after which a checkpoint is due.
	DefaultEvery = 2000
	// DefaultRefresh is the time after which a checkpoint is due.
	DefaultRefresh = 10 * time.Minute
	// checkpointTick is how often a Checkpointer looks whether one is due.
	checkpointTick = time.Second
)

// Checkpointer appends checkpoints of a stream, so that its state outlives the
// records. Any number of instances may run one for the same stream: each waits
// for a time of its own, and the first one's checkpoint serves all.
//
// A checkpoint is on records that expire as well. It is therefore appended again
// after a time, also where nothing else was written: Refresh must be well below
// the time for which the log service keeps records, and Every well below their
// number. Set the fields before use.
type Checkpointer struct {
	// Follower follows the stream, and Writer writes to it.
	Follower *Follower
	Writer   *Writer
	// Every is the number of records after which a checkpoint is due; 0 stands
	// for DefaultEvery.
	Every int
	// Refresh is the time after which a checkpoint is due; 0 stands for
	// DefaultRefresh.
	Refresh time.Duration

	due schedule
	// flying counts the chunks that are not yet known to be on the log.
	flying atomic.Int64
}

// Run appends checkpoints when they are due, until the context ends.
func (c *Checkpointer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.step(time.Now())
		sleep(ctx, checkpointTick)
	}
}

// step appends a checkpoint if one is due and the last one is on the log.
func (c *Checkpointer) step(now time.Time) {
	if c.flying.Load() > 0 {
		return
	}
	cp, due := c.take(now)
	if !due {
		return
	}
	items, err := cp.Chunks()
	if err != nil {
		return // the state is too large, which the next one may not be
	}
	c.flying.Store(int64(len(items)))
	for _, item := range items {
		c.Writer.Propose(item, func(Position, bool) { c.flying.Add(-1) })
	}
}

// take returns a checkpoint where one is due.
func (c *Checkpointer) take(now time.Time) (cp Checkpoint, due bool) {
	every, refresh := c.Every, c.Refresh
	if every == 0 {
		every = DefaultEvery
	}
	if refresh == 0 {
		refresh = DefaultRefresh
	}
	c.Follower.View(func(r *Reader) {
		if r.Stale() || !c.due.now(now, r.Offset(), r.LastCheckpoint(), c.Writer.Name, every, refresh) {
			return
		}
		var err error
		cp, err = r.Checkpoint()
		due = err == nil
	})
	return cp, due
}

// schedule decides when the next checkpoint is due. The zero value has seen
// none.
type schedule struct {
	started bool
	// last is the newest checkpoint seen.
	last logsvc.Offset
	// offset and at are where and when the next one is due.
	offset logsvc.Offset
	at     time.Time
}

// now reports whether a checkpoint is due. It is due once: the next is counted
// from this one, or from a newer one of another instance.
func (s *schedule) now(now time.Time, offset, last logsvc.Offset, name string, every int, refresh time.Duration) bool {
	if !s.started || last > s.last {
		s.started = true
		s.last = last
		s.plan(now, last, name, every, refresh)
		return false
	}
	if offset == 0 || (offset < s.offset && now.Before(s.at)) {
		return false
	}
	s.plan(now, offset, name, every, refresh)
	return true
}

// plan sets the next checkpoint a time after the given one, up to half longer: by
// a part that differs between the instances and from one checkpoint to the next,
// so that few of them race.
func (s *schedule) plan(now time.Time, from logsvc.Offset, name string, every int, refresh time.Duration) {
	const parts = 1000
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, name, "/", from)
	part := h.Sum64() % parts
	s.offset = from + logsvc.Offset(every) + logsvc.Offset(uint64(every/2)*part/parts)
	s.at = now.Add(refresh + refresh/2*time.Duration(part)/parts)
}
