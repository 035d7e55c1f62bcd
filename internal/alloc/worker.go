package alloc

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/beryllanding/beryllanding/pkg/pause"
)

const (
	// retryFirst is the mean pause before the first retry of a failed call. It is the
	// time of several calls to a store that answers in 4 ms. The pause doubles up to
	// retryMax. retryMax is below DefaultMaxWait, so that a store that is reachable
	// again is found while requests still wait.
	retryFirst = 20 * time.Millisecond
	retryMax   = 250 * time.Millisecond
)

// worker runs turns on one resource in the store, one at a time. A turn that failed is
// retried after a pause.
type worker struct {
	// turn and ended are set before use. turn reports whether it read or wrote. ended
	// is called after each turn that read, wrote or failed. lost is set for the first
	// failure, and reached for the first success after a failure.
	turn  func(context.Context) (did bool, err error)
	ended func(err error, lost, reached bool)

	mu        sync.Mutex
	running   bool
	requested bool
	failed    bool
	failures  int
}

// kick requests a turn.
func (w *worker) kick(ctx context.Context) {
	if ctx == nil || ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requested = true
	if !w.running {
		w.running = true
		go w.work(ctx)
	}
}

// isFailed reports whether the last turn could not reach the store.
func (w *worker) isFailed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed
}

// unansweredLimit is how long a write goes without an answer before the store counts as
// unreachable. The attempt after a single lost answer succeeds sooner than that.
const unansweredLimit = 150 * time.Millisecond

// noteUnanswered is called during a turn whose write, begun at the given time, has no
// answer yet. After unansweredLimit it marks the worker as failed.
func (w *worker) noteUnanswered(began time.Time, err error) {
	if time.Since(began) < unansweredLimit {
		return
	}
	w.mu.Lock()
	before := w.failed
	w.failed = true
	w.mu.Unlock()
	w.ended(err, !before, false)
}

// work runs turns until none is requested.
func (w *worker) work(ctx context.Context) {
	for {
		w.mu.Lock()
		if !w.requested || ctx.Err() != nil {
			w.running = false
			w.mu.Unlock()
			return
		}
		w.requested = false
		w.mu.Unlock()
		did, err := w.turn(ctx)
		w.mu.Lock()
		wait := w.pauseAfter(err)
		failed := err != nil
		before := w.failed
		if did || failed {
			w.failed = failed
		}
		w.mu.Unlock()
		if did || failed {
			w.ended(err, failed && !before, !failed && before)
		}
		pause.For(ctx, wait)
	}
}

// pauseAfter returns the pause after a turn, and requests another turn if it failed.
// The caller holds w.mu.
func (w *worker) pauseAfter(err error) time.Duration {
	if err == nil {
		w.failures = 0
		return 0
	}
	w.requested = true
	w.failures++
	return retryPause(w.failures)
}

// retryPause returns the pause after a number of consecutive failures. The pause is
// random, so that instances do not retry at the same time.
func retryPause(failures int) time.Duration {
	d := retryMax
	if n := failures - 1; n < 4 { // Four doublings pass retryMax.
		d = min(retryMax, retryFirst<<n)
	}
	return d/2 + rand.N(d)
}
