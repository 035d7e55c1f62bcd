package keyed

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/beryllanding/beryllanding/pkg/pause"
)

// Defaults of a Follower.
const (
	// DefaultWait is how long a read waits for a change. It also bounds the time
	// until a dead connection is detected.
	DefaultWait = 2 * time.Second
	// DefaultMaxBackoff is the longest pause after a failed call. It is short, because
	// targets that were removed during an outage of the store stay in use until the
	// store is reachable again.
	DefaultMaxBackoff = 250 * time.Millisecond
	// minBackoff is the pause after a first failed call. The pause doubles with each
	// further failure.
	minBackoff = 50 * time.Millisecond
)

// Change is a set of changed records of a partition.
type Change struct {
	Entries []Entry
	// Full means that Entries holds every existing key. Other keys no longer exist.
	Full bool
	// Restored is set in the first change after the store was restored from an older
	// copy. Full is set too. Records that were passed on before may be missing or older
	// in it, and their writers may not have written them again yet.
	Restored bool
	// LogEpoch is the epoch that the change is from. End is the offset after the last record
	// that was read.
	LogEpoch LogEpoch
	End      Offset
	// RequestedAt is a time at which the store's state was no newer than the change: when the
	// call that returned it was sent or, if the call returned only a part of the new records,
	// that of an earlier change.
	RequestedAt time.Time
}

// Follower follows one partition of a topic. Set the exported fields before use.
// Run calls OnChange and OnReachability, one at a time.
type Follower struct {
	Store     Store
	Partition Partition
	// Wait is how long a read waits for a change; 0 means DefaultWait.
	Wait time.Duration
	// ReadInterval is the time between a successful call and the next. Changes
	// accumulate during this time, since many small reads cost more than a few large
	// ones.
	ReadInterval time.Duration
	// MaxBackoff is the longest pause after a failed call; 0 means DefaultMaxBackoff.
	MaxBackoff time.Duration
	// OnChange is called with each change, in order. A change may be empty.
	OnChange func(Change)
	// OnReachability, which may be nil, is called with the error when the store becomes
	// unreachable, and with nil when the store is reachable again.
	OnReachability func(error)

	// offsets holds the offset of the newest known record of each key.
	offsets map[string]Offset
	// end is the offset to read from next.
	end Offset
	// synced means that the follower can read on from end. While it is false, the
	// follower needs a snapshot.
	synced bool
	// current is when the last call was sent that returned all records up to the end.
	current time.Time
	// epochs tracks the restores of the store. restored means that the next change is
	// the first after a restore.
	epochs   EpochTracker
	restored bool
	// unreachable means that the last call failed.
	unreachable bool
	backoff     time.Duration
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		f.reportState(err)
		wait := f.ReadInterval
		if err != nil {
			f.backoff = min(cmp.Or(f.MaxBackoff, DefaultMaxBackoff), max(minBackoff, 2*f.backoff))
			wait = f.backoff/2 + rand.N(f.backoff/2)
		} else {
			f.backoff = 0
		}
		pause.For(ctx, wait)
	}
}

// step reads once, or takes a snapshot if the follower is not synced.
func (f *Follower) step(ctx context.Context) error {
	at := time.Now()
	if !f.synced {
		page, err := Snapshot(ctx, f.Store, f.Partition)
		if err != nil {
			return err
		}
		if err := f.observe(page.LogEpoch); err != nil {
			return err
		}
		// An older snapshot would undo changes that were passed on already.
		if page.End < f.end {
			return errors.Join(ErrUnavailable, fmt.Errorf("snapshot ends at offset %d, but the follower has read up to offset %d", page.End, f.end))
		}
		f.deliver(page, true, at)
		f.synced, f.restored = true, false
		return nil
	}
	wait := f.Wait
	if wait == 0 {
		wait = DefaultWait
	}
	page, err := f.Store.Read(ctx, f.Partition, f.end, wait)
	if errors.Is(err, ErrTrimmed) {
		f.synced = false
		return nil
	}
	if err != nil {
		return err
	}
	if err := f.observe(page.LogEpoch); err != nil || !f.synced {
		return err
	}
	if page.More {
		// Further records remain. They may be old versions of the same keys, so a snapshot is
		// shorter.
		f.synced, at = false, f.current
	}
	f.deliver(page, false, at)
	return nil
}

// observe records the epoch of a response. If the store was restored, the follower
// forgets its offsets and needs a snapshot. The error wraps ErrUnavailable if the response
// is from before a restore.
func (f *Follower) observe(epoch LogEpoch) error {
	switch f.epochs.Observe(epoch) {
	case EpochSame:
	case EpochRestored:
		f.synced, f.restored, f.offsets, f.end = false, true, nil, 0
	case EpochOld:
		return errors.Join(ErrUnavailable, fmt.Errorf("response is from epoch %d of the log, but the follower has read epoch %d", epoch, f.epochs.Current))
	}
	return nil
}

// deliver passes a page's records to OnChange. It leaves out a record that is older
// than the known record of its key: later pages of a snapshot may contain records
// that are newer than the changes read after the snapshot.
func (f *Follower) deliver(page Page, full bool, at time.Time) {
	if full || f.offsets == nil {
		f.offsets = make(map[string]Offset, len(page.Entries))
	}
	newer := page.Entries[:0]
	for _, e := range page.Entries {
		if known, ok := f.offsets[e.Key]; ok && e.Offset < known {
			continue
		}
		f.offsets[e.Key] = e.Offset
		newer = append(newer, e)
	}
	f.end, f.current = max(f.end, page.End), at
	f.OnChange(Change{Entries: newer, Full: full, Restored: full && f.restored, LogEpoch: f.epochs.Current, End: f.end, RequestedAt: at})
}

// reportState calls OnReachability if the store's reachability has changed.
func (f *Follower) reportState(err error) {
	if f.OnReachability == nil || (err != nil) == f.unreachable {
		return
	}
	f.unreachable = err != nil
	f.OnReachability(err)
}
