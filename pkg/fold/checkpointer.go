package fold

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"math"
	"sync/atomic"
	"time"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
	"github.com/beryllanding/beryllanding/pkg/pause"
)

const (
	// DefaultCheckpointRecords is the number of records after which a Checkpointer appends
	// the next checkpoint.
	DefaultCheckpointRecords = 4096
	// DefaultCheckpointInterval is the time after which a Checkpointer appends the next
	// checkpoint regardless of the number of records.
	DefaultCheckpointInterval = 10 * time.Minute
	// checkpointPollInterval is the time between two checks whether a checkpoint is due.
	checkpointPollInterval = time.Second
	// maxCheckpointJitter is the largest fraction by which a Checkpointer extends
	// the number of records and the interval. Each Checkpointer uses a different
	// fraction, so two Checkpointers of a stream seldom append the same checkpoint.
	maxCheckpointJitter = 0.5
)

// CheckpointSchedule decides when a stream needs a new checkpoint. A checkpoint is
// due after a number of records, so that a new reader has few records to fold. It is
// also due after an interval, because a checkpoint consists of records, which expire
// too. Without the interval, an idle stream would lose its state when its last
// records expire. The zero value is ready to use. A CheckpointSchedule is not safe
// for concurrent use.
type CheckpointSchedule struct {
	// Records and Interval default to DefaultCheckpointRecords and
	// DefaultCheckpointInterval. Interval must be well below the log's retention.
	Records  uint64
	Interval time.Duration
	// Jitter is the fraction by which Records and Interval are extended, from 0 to
	// maxCheckpointJitter. If it is 0, a Checkpointer derives it from the writer's name.
	Jitter float64

	// last is the offset of the newest checkpoint in the stream. lastAt is when this
	// checkpoint was first seen, or when Due last returned true, whichever is later.
	last   logsvc.Offset
	lastAt time.Time
	// requested is the offset of the newest checkpoint for which Due returned
	// true. The caller may not have read it back yet.
	requested logsvc.Offset
}

// Due reports whether the caller has to append a checkpoint of the state at the
// given offset now. last is the offset of the newest checkpoint in the stream.
// Each time Due returns true, it assumes that the caller appends one.
func (d *CheckpointSchedule) Due(now time.Time, offset, last logsvc.Offset) bool {
	if last != d.last || d.lastAt.IsZero() {
		d.last, d.lastAt = last, now
	}
	if offset == 0 {
		return false
	}
	records := float64(cmp.Or(d.Records, DefaultCheckpointRecords)) * (1 + d.Jitter)
	interval := time.Duration(float64(cmp.Or(d.Interval, DefaultCheckpointInterval)) * (1 + d.Jitter))
	since := float64(offset) - float64(max(last, d.requested))
	if since < records && now.Sub(d.lastAt) < interval {
		return false
	}
	d.last, d.lastAt, d.requested = last, now, offset
	return true
}

// Checkpointer appends checkpoints of a followed stream when they are due, so that
// the state survives the expiry of its records.
type Checkpointer struct {
	Follower *Follower
	// Writer writes to the same stream.
	Writer   *Writer
	Schedule CheckpointSchedule
	// OnError, which may be nil, is called if no checkpoint could be made, for
	// example because the state is too large. New readers then cannot recover the
	// state once its records have expired.
	OnError func(err error)

	// inFlight counts the chunks that are not yet known to be on the log.
	inFlight atomic.Int64
}

// Run appends checkpoints until the context ends.
func (k *Checkpointer) Run(ctx context.Context) {
	if k.Schedule.Jitter == 0 {
		k.Schedule.Jitter = jitter(k.Writer.Name)
	}
	for ctx.Err() == nil {
		k.Poll(time.Now())
		pause.For(ctx, checkpointPollInterval)
	}
}

// Poll queues a checkpoint if one is due and no chunk of the previous checkpoint is
// still pending. Other items that the writer has queued do not delay the checkpoint.
func (k *Checkpointer) Poll(now time.Time) {
	if k.inFlight.Load() > 0 {
		return
	}
	chunks, err := k.chunks(now)
	if err != nil && k.OnError != nil {
		k.OnError(fmt.Errorf("checkpoint of stream %q: %w", k.Follower.Stream, err))
	}
	k.inFlight.Store(int64(len(chunks)))
	for _, c := range chunks {
		k.Writer.Propose(c, func(Position, bool) { k.inFlight.Add(-1) })
	}
}

// chunks returns the items of a checkpoint, or none if no checkpoint is due.
func (k *Checkpointer) chunks(now time.Time) ([]Item, error) {
	var cp Checkpoint
	var err error
	due := false
	k.Follower.View(func(r *Reader) {
		due = !r.Stale() && k.Schedule.Due(now, r.Offset(), r.LastCheckpoint())
		if due {
			cp, err = r.Checkpoint()
		}
	})
	if !due || err != nil {
		return nil, err
	}
	return cp.Chunks()
}

// jitter returns the value of CheckpointSchedule.Jitter for a writer. The value is
// derived from a hash of the name, so it is evenly distributed and the same in each
// run of a test.
func jitter(name string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails, as hash.Hash documents
	return maxCheckpointJitter * float64(h.Sum64()) / math.MaxUint64
}
