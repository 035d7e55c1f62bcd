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
)

const (
	// DefaultGroup is how long a writer collects items for one append.
	DefaultGroup = 20 * time.Millisecond
	// maxBatchItems bounds the items of one append.
	maxBatchItems = 1000
	// maxBatchBytes bounds the encoded items of one append.
	maxBatchBytes = logsvc.MaxRecord / 2
	// firstTimeout and lastTimeout bound one attempt at an append. The timeout
	// doubles with each attempt, so that a slow service is waited for.
	firstTimeout = 2 * time.Second
	lastTimeout  = 16 * time.Second
	// firstRetryPause and lastRetryPause bound the pause between attempts.
	firstRetryPause = 50 * time.Millisecond
	lastRetryPause  = 2 * time.Second
	// flushPause is the pause between two looks at what is pending.
	flushPause = 5 * time.Millisecond
)

// ErrNotAppended reports an item that is not and never will be on the log.
var ErrNotAppended = errors.New("item was not appended")

// Writer groups items and appends them in order. One batch is in flight at a
// time, and it is sent until it is known to be on the log: a copy that was
// appended twice has the same Seq, and the fold ignores it.
//
// Several writers may not share a name. Set the fields before use.
type Writer struct {
	Log    logsvc.Service
	Stream string
	// Name is unique to this incarnation and stream.
	Name string
	// Group is how long items are collected for one append; 0 stands for
	// DefaultGroup.
	Group time.Duration
	// Queue bounds the items that are not yet known to be on the log; an item
	// beyond it is not appended. 0 is no bound.
	Queue int
	// Folded, which may be nil, returns the highest Seq of a writer that was
	// read back from the stream and an offset by which it was; see
	// Follower.Folded. With it a batch whose answers are all lost is not sent
	// for ever.
	Folded func(writer string) (uint64, logsvc.Offset)

	mu      sync.Mutex
	queue   []*queued
	seq     uint64
	wake    chan struct{}
	flying  int
	appends uint64
	// ended says that Run has returned.
	ended bool
}

// queued is an item that waits for its append.
type queued struct {
	item Item
	// done may be nil. Its error is nil, ErrNotAppended or ErrOutcomeUnknown.
	done func(at Position, err error)
}

// Propose queues an item and returns at once. done, which may be nil, is called
// once, from another goroutine, when it is known that the item is on the log;
// or with false where the writer ended before that was known or the item was
// refused. Whether the proposal holds is for the fold to say.
//
// The offset is one by which the item is folded: where an answer was lost, an
// earlier copy of the item may have taken effect.
func (w *Writer) Propose(item Item, done func(at Position, ok bool)) {
	q := &queued{item: item}
	if done != nil {
		q.done = func(at Position, err error) { done(at, err == nil) }
	}
	w.enqueue(q)
}

// ProposeWait queues an item and blocks until it is on the log or the context
// ends. The error is ErrNotAppended where the item never reached the log and
// never will, else logsvc.ErrOutcomeUnknown: it may still be appended later.
func (w *Writer) ProposeWait(ctx context.Context, item Item) (Position, error) {
	type answer struct {
		at  Position
		err error
	}
	ch := make(chan answer, 1)
	q := &queued{item: item, done: func(at Position, err error) { ch <- answer{at: at, err: err} }}
	w.enqueue(q)
	select {
	case a := <-ch:
		return a.at, a.err
	case <-ctx.Done():
		if w.withdraw(q) {
			return Position{}, fmt.Errorf("%w: %w", ErrNotAppended, ctx.Err())
		}
		return Position{}, fmt.Errorf("%w: %w", logsvc.ErrOutcomeUnknown, ctx.Err())
	}
}

// Pending returns the number of items that are not yet known to be on the log.
func (w *Writer) Pending() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pendingLocked()
}

func (w *Writer) pendingLocked() int { return len(w.queue) + w.flying }

// Appends returns the number of appends that succeeded.
func (w *Writer) Appends() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.appends
}

// Run appends until the context ends. Items that still wait then are not
// appended.
func (w *Writer) Run(ctx context.Context) {
	w.setEnded(false)
	group := w.Group
	if group == 0 {
		group = DefaultGroup
	}
	for w.waitForItems(ctx) {
		sleep(ctx, group)
		if ctx.Err() != nil {
			break
		}
		batch := w.take()
		if len(batch) == 0 {
			continue
		}
		at, err := w.appendUntilKnown(ctx, batch)
		w.finish(batch, at, err)
	}
	w.abandon()
}

// Flush blocks until nothing is pending or the context ends.
func (w *Writer) Flush(ctx context.Context) error {
	for w.Pending() > 0 {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		sleep(ctx, flushPause)
	}
	return nil
}

// enqueue queues an item, or refuses it in another goroutine: the caller may
// hold a lock that done takes.
func (w *Writer) enqueue(q *queued) {
	w.mu.Lock()
	defer w.mu.Unlock()
	full := w.Queue > 0 && w.pendingLocked() >= w.Queue
	// A malformed item would spoil the others of its batch.
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

// withdraw takes an item back that was not yet sent.
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

// waitForItems blocks until items wait, and is false when the context ends.
func (w *Writer) waitForItems(ctx context.Context) bool {
	for {
		w.mu.Lock()
		waiting := len(w.queue) > 0
		wake := w.wakeLocked()
		w.mu.Unlock()
		if ctx.Err() != nil {
			return false
		}
		if waiting {
			return true
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return false
		}
	}
}

// take removes the next batch from the queue.
func (w *Writer) take() []*queued {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, size := 0, 0
	for n < len(w.queue) && n < maxBatchItems {
		size += len(w.queue[n].item.Kind) + len(w.queue[n].item.Body)
		if n > 0 && size > maxBatchBytes {
			break
		}
		n++
	}
	if n == 0 {
		return nil
	}
	batch := slices.Clone(w.queue[:n])
	w.queue = slices.Delete(w.queue, 0, n)
	w.flying = n
	w.seq++
	return batch
}

// appendUntilKnown sends the batch until it is known to be on the log, or known
// never to be.
func (w *Writer) appendUntilKnown(ctx context.Context, batch []*queued) (logsvc.Offset, error) {
	data, err := json.Marshal(w.encode(batch))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotAppended, err)
	}
	fate := ErrNotAppended
	pause, timeout := firstRetryPause, firstTimeout
	for ctx.Err() == nil {
		at, err := w.attempt(ctx, timeout, data)
		if err == nil {
			return at, nil
		}
		if !withoutEffect(err) {
			fate = logsvc.ErrOutcomeUnknown
		}
		if errors.Is(err, logsvc.ErrTooLarge) {
			return 0, fate
		}
		sleep(ctx, pause)
		if at, ok := w.readBack(); ok {
			return at, nil
		}
		pause = min(2*pause, lastRetryPause)
		timeout = min(2*timeout, lastTimeout)
	}
	return 0, fate
}

// attempt sends the batch once.
func (w *Writer) attempt(ctx context.Context, timeout time.Duration, data []byte) (logsvc.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return w.Log.Append(ctx, w.Stream, data)
}

// withoutEffect reports whether a failed append certainly had no effect.
func withoutEffect(err error) bool {
	return errors.Is(err, logsvc.ErrUnavailable) || errors.Is(err, logsvc.ErrRateLimited) || errors.Is(err, logsvc.ErrTooLarge)
}

// readBack reports whether the batch in flight was read back from the stream,
// and an offset by which it was.
func (w *Writer) readBack() (logsvc.Offset, bool) {
	if w.Folded == nil {
		return 0, false
	}
	w.mu.Lock()
	seq := w.seq
	w.mu.Unlock()
	folded, at := w.Folded(w.Name)
	return at, folded >= seq
}

func (w *Writer) encode(batch []*queued) Batch {
	b := Batch{Writer: w.Name, Seq: w.seq}
	for _, q := range batch {
		b.Items = append(b.Items, q.item)
	}
	return b
}

// finish tells the batch's proposers what became of it.
func (w *Writer) finish(batch []*queued, at logsvc.Offset, err error) {
	for i, q := range batch {
		if q.done == nil {
			continue
		}
		if err != nil {
			q.done(Position{}, err)
			continue
		}
		q.done(Position{Offset: at, Index: i, Writer: w.Name}, nil)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.flying = 0
	if err == nil {
		w.appends++
	}
}

// abandon ends the writer, and tells the proposers of the queued items that
// they were not appended.
func (w *Writer) abandon() {
	w.mu.Lock()
	rest := w.queue
	w.queue = nil
	w.ended = true
	w.mu.Unlock()
	for _, q := range rest {
		if q.done != nil {
			q.done(Position{}, ErrNotAppended)
		}
	}
}

func (w *Writer) setEnded(ended bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = ended
}

func (w *Writer) signalLocked() {
	if w.wake != nil {
		close(w.wake)
		w.wake = nil
	}
}

func (w *Writer) wakeLocked() chan struct{} {
	if w.wake == nil {
		w.wake = make(chan struct{})
	}
	return w.wake
}
