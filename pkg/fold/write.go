package fold

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
	"github.com/beryllanding/beryllanding/pkg/pause"
)

const (
	// DefaultBatchInterval is the minimum time between two appends of a writer.
	DefaultBatchInterval = 20 * time.Millisecond
	// flushPollInterval is the time between two checks whether items are pending.
	flushPollInterval = 5 * time.Millisecond
)

// ErrNotAppended reports that an item is not on the log and never will be.
var ErrNotAppended = errors.New("item was not appended")

// Writer groups items into batches and appends the batches in order. One batch is in
// flight at a time, and the writer sends it until it is known to be on the log. If a
// batch was appended twice, both copies have the same Seq, and the fold ignores the
// second.
//
// Two writers must not share a name. Set the fields before use.
type Writer struct {
	Log    logsvc.Service
	Stream string
	// Name is unique to this incarnation and stream.
	Name string
	// BatchInterval is the minimum time between two appends; 0 means
	// DefaultBatchInterval. Items proposed within this time share the next append.
	// An item proposed after a longer idle time is appended at once.
	BatchInterval time.Duration
	// MaxPending is the maximum number of items that are not yet known to be on the
	// log. Items beyond it are rejected. 0 means no limit.
	MaxPending int
	// Folded, which may be nil, returns the highest Seq of a writer that was
	// read back from the stream, and an offset at or after that batch; see
	// Follower.Folded. If it is nil, a batch whose responses are all lost is sent
	// until Run ends.
	Folded func(writer string) (uint64, logsvc.Offset)

	mu    sync.Mutex
	queue []*queued
	// seq is the Seq of the last batch.
	seq  uint64
	wake chan struct{}
	// inFlight is the number of items in the batch in flight.
	inFlight int
	appends  uint64
	// ended is set when Run ends.
	ended bool
}

// queued is an item whose outcome has not been reported yet.
type queued struct {
	item Item
	// done may be nil. Its error is nil or wraps ErrNotAppended or
	// logsvc.ErrOutcomeUnknown.
	done func(at Position, err error)
}

// Propose queues an item and returns at once. done, which may be nil, is called
// once, from another goroutine. Its argument ok is true if the item is known to be on
// the log. It is false if the item was rejected, or if the writer ended before the
// outcome was known. The fold decides whether the item takes effect.
//
// The offset passed to done is at or after the record in which the item takes
// effect. It may be after this record because, if a response was lost, an earlier
// copy of the item may be on the log.
func (w *Writer) Propose(item Item, done func(at Position, ok bool)) {
	q := &queued{item: item}
	if done != nil {
		q.done = func(at Position, err error) { done(at, err == nil) }
	}
	w.enqueue(q)
}

// ProposeWait queues an item and blocks until the item is on the log or the context
// ends. The error is ErrNotAppended if the item is not on the log and never will
// be. If the item may still be appended later, the error is logsvc.ErrOutcomeUnknown.
func (w *Writer) ProposeWait(ctx context.Context, item Item) (Position, error) {
	type outcome struct {
		at  Position
		err error
	}
	ch := make(chan outcome, 1)
	q := &queued{item: item, done: func(at Position, err error) { ch <- outcome{at: at, err: err} }}
	w.enqueue(q)
	select {
	case o := <-ch:
		return o.at, o.err
	case <-ctx.Done():
		if w.withdraw(q) {
			return Position{}, fmt.Errorf("%w: %w", ErrNotAppended, ctx.Err())
		}
		return Position{}, fmt.Errorf("%w: %w", logsvc.ErrOutcomeUnknown, ctx.Err())
	}
}

// Pending returns the number of items whose append the log has not confirmed yet.
func (w *Writer) Pending() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pendingLocked()
}

func (w *Writer) pendingLocked() int { return len(w.queue) + w.inFlight }

// Appends returns the number of appends that succeeded.
func (w *Writer) Appends() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.appends
}

// Flush blocks until no items are pending or the context ends.
func (w *Writer) Flush(ctx context.Context) error {
	for w.Pending() > 0 {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		pause.For(ctx, flushPollInterval)
	}
	return nil
}

// enqueue queues an item or rejects it. A rejected item's done runs in another
// goroutine, because the caller may hold a lock that done takes.
func (w *Writer) enqueue(q *queued) {
	w.mu.Lock()
	defer w.mu.Unlock()
	full := w.MaxPending > 0 && w.pendingLocked() >= w.MaxPending
	// A body with malformed JSON would make the encoding of the whole batch fail.
	malformed := len(q.item.Body) > 0 && !json.Valid(q.item.Body)
	if w.ended || full || malformed {
		if q.done != nil {
			go q.done(Position{}, ErrNotAppended)
		}
		return
	}
	w.queue = append(w.queue, q)
	w.signalLocked()
}

// withdraw removes an item from the queue. It returns false if the item is no
// longer queued.
func (w *Writer) withdraw(q *queued) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := slices.Index(w.queue, q)
	if i < 0 {
		return false
	}
	w.queue = slices.Delete(w.queue, i, i+1)
	return true
}

// signalLocked closes the channel that wakeLocked returned, if any.
func (w *Writer) signalLocked() {
	if w.wake != nil {
		close(w.wake)
		w.wake = nil
	}
}

// wakeLocked returns a channel that is closed when the next item is queued.
func (w *Writer) wakeLocked() chan struct{} {
	if w.wake == nil {
		w.wake = make(chan struct{})
	}
	return w.wake
}
