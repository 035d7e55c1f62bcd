package fold

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

const (
	// DefaultKeepRecords is the number of records after which a Keeper renews a
	// checkpoint.
	DefaultKeepRecords = 4096
	// DefaultKeepInterval is the time after which a Keeper renews a checkpoint,
	// whatever the number of records.
	DefaultKeepInterval = 10 * time.Minute
	// keepEvery is the pause between two looks of a Keeper.
	keepEvery = time.Second
	// maxKeepJitter is the largest share by which a Keeper is late, at random,
	// so that the readers of a stream seldom append the same checkpoint.
	maxKeepJitter = 0.5
)

// Renewal decides when the checkpoint of a stream has to be renewed: after a
// number of records, so that a new reader has little to fold, and after a time,
// since a checkpoint is a record and expires too. A stream on which nothing
// happens any more would otherwise lose its state with its last record. The
// zero value works; it is not safe for concurrent use.
type Renewal struct {
	// Records and Interval default to DefaultKeepRecords and
	// DefaultKeepInterval. Interval has to stay well below the log's retention.
	Records  uint64
	Interval time.Duration
	// Late is this reader's share of lateness, from 0 to maxKeepJitter.
	Late float64

	last   logsvc.Offset
	lastAt time.Time
}

// Due reports whether to append a checkpoint of the state at the given offset
// now, where the newest one in the stream stands for the offset last. A caller
// that is told so appends one.
func (d *Renewal) Due(now time.Time, offset, last logsvc.Offset) bool {
	if last != d.last || d.lastAt.IsZero() {
		d.last, d.lastAt = last, now
	}
	if offset == 0 {
		return false
	}
	records := float64(cmp.Or(d.Records, DefaultKeepRecords)) * (1 + d.Late)
	interval := time.Duration(float64(cmp.Or(d.Interval, DefaultKeepInterval)) * (1 + d.Late))
	if float64(offset-last) < records && now.Sub(d.lastAt) < interval {
		return false
	}
	d.last, d.lastAt = last, now
	return true
}

// Keeper appends checkpoints of a followed stream when they are due, so that
// the state outlives the log's retention.
type Keeper struct {
	Follower *Follower
	// Writer is of the same stream.
	Writer  *Writer
	Renewal Renewal
}

// Run appends checkpoints until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	k.Renewal.Late = rand.Float64() * maxKeepJitter
	for ctx.Err() == nil {
		k.Keep(time.Now())
		sleep(ctx, keepEvery)
	}
}

// Keep appends a checkpoint if one is due.
func (k *Keeper) Keep(now time.Time) {
	var cp Checkpoint
	due := false
	k.Follower.View(func(r *Reader) {
		if r.Stale() || k.Writer.Pending() > 0 || !k.Renewal.Due(now, r.Offset(), r.LastCheckpoint()) {
			return
		}
		var err error
		cp, err = r.Checkpoint()
		due = err == nil
	})
	if !due {
		return
	}
	chunks, err := cp.Chunks()
	if err != nil {
		return
	}
	for _, c := range chunks {
		k.Writer.Propose(c, nil)
	}
}
