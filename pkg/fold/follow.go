package fold

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
	"github.com/beryllanding/beryllanding/pkg/pause"
)

const (
	// readLimit is the number of records asked for in one read.
	readLimit = 512
	// readWait is how long a read waits for the first new record.
	readWait = 2 * time.Second
	// minReadBackoff and maxReadBackoff bound the pause after a failed read.
	minReadBackoff = 200 * time.Millisecond
	maxReadBackoff = 2 * time.Second
)

// Follower keeps a Reader up to date with its stream. The state is read and
// changed only under the follower's lock. Set the fields before use.
type Follower struct {
	// Log and Stream are the service and the stream to follow.
	Log    logsvc.Service
	Stream string
	// Reader holds the state. Use it only inside View.
	Reader Reader
	// OnApply is called under the lock after each page and each restore. It is
	// optional and must not block.
	OnApply func()

	mu      sync.Mutex
	changed chan struct{}
	// freshAt is the result of FreshAt in nanoseconds of Unix time. It is 0 until a
	// read has reached the end of the stream.
	freshAt atomic.Int64
}

// Run follows the stream until the context ends. Failures of the log service
// are retried, and leave the state unchanged.
func (f *Follower) Run(ctx context.Context) {
	// The timeout starts short, so that a dead connection is detected soon. It
	// doubles with each failure, which gives a slow service the time to respond.
	// The pause doubles too, to keep many followers from overloading a service
	// that fails.
	timeout, backoff := minTimeout, minReadBackoff
	for ctx.Err() == nil {
		err := f.poll(ctx, readWait, timeout)
		if err == nil {
			timeout, backoff = minTimeout, minReadBackoff
			continue
		}
		// A stale reader that has not searched all retained records reads on at once.
		if searching := errors.Is(err, ErrGap) && !f.atEnd(); searching {
			continue
		}
		pause.For(ctx, backoff)
		timeout = min(2*timeout, maxTimeout)
		backoff = min(2*backoff, maxReadBackoff)
	}
}

// Poll reads and folds one page. If there are no new records yet, it waits for the
// first one, for at most the duration wait.
func (f *Follower) Poll(ctx context.Context, wait time.Duration) error {
	return f.poll(ctx, wait, maxTimeout)
}

// poll is Poll with a timeout for the response, in addition to wait.
func (f *Follower) poll(ctx context.Context, wait, timeout time.Duration) error {
	readCtx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	page, err := f.Log.Read(readCtx, f.Stream, f.nextRead(), readLimit, wait)
	if err != nil {
		return err
	}
	return f.apply(page)
}

// CatchUp reads up to the end of the stream that the service reports. It returns
// ErrGap if the state is stale when it has read the end.
func (f *Follower) CatchUp(ctx context.Context) error {
	for {
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := f.Poll(ctx, 0); err != nil && !errors.Is(err, ErrGap) {
			return err
		}
		if f.atEnd() {
			return f.staleError()
		}
	}
}

// FreshAt returns the time at which a read last reached the end of the stream, or
// the zero time if no read did. Reads of a stale follower do not count.
func (f *Follower) FreshAt() time.Time {
	n := f.freshAt.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// View runs fn under the lock. Use it to query the folded state.
func (f *Follower) View(fn func(r *Reader)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn(&f.Reader)
}

// Offset returns the offset of the last record folded.
func (f *Follower) Offset() logsvc.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Reader.Offset()
}

// Folded returns the highest Seq folded for the writer, and the offset of the last
// record folded, which is at or after that batch. Use it as Writer.Folded.
func (f *Follower) Folded(writer string) (uint64, logsvc.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Reader.Folded(writer), f.Reader.Offset()
}

// Restore replaces the state with a checkpoint from a peer. See Reader.Restore.
func (f *Follower) Restore(cp Checkpoint) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	err := f.Reader.Restore(cp)
	f.notify()
	return err
}

// Wait blocks until cond holds for the folded state or the context ends.
func (f *Follower) Wait(ctx context.Context, cond func(r *Reader) bool) error {
	for {
		f.mu.Lock()
		ok := cond(&f.Reader)
		changed := f.changedLocked()
		f.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// nextRead returns the offset to read from. A stale reader scans the retained
// records for a checkpoint, page by page.
func (f *Follower) nextRead() logsvc.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Reader.nextRead()
}

func (f *Follower) apply(page logsvc.Page) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	err := f.Reader.Feed(page)
	if err == nil && f.Reader.atEnd() {
		f.freshAt.Store(time.Now().UnixNano())
	}
	f.notify()
	return err
}

func (f *Follower) atEnd() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Reader.atEnd()
}

func (f *Follower) staleError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Reader.Stale() {
		return ErrGap
	}
	return nil
}

// notify calls OnApply and wakes the callers of Wait. The caller holds the lock.
func (f *Follower) notify() {
	if f.OnApply != nil {
		f.OnApply()
	}
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// changedLocked returns a channel that closes at the next change. The caller
// holds the lock.
func (f *Follower) changedLocked() chan struct{} {
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}
