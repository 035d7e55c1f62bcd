package fold

import (
	"context"
	"encoding/json"
	"errors"
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
	// appendTimeout bounds one attempt at an append.
	appendTimeout = 2 * time.Second
	// firstRetryPause and lastRetryPause bound the pause between attempts.
	firstRetryPause = 50 * time.Millisecond
	lastRetryPause  = 2 * time.Second
)

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
	// Queue bounds the items that wait; 0 is no bound.
	Queue int

	mu      sync.Mutex
	queue   []queued
	seq     uint64
	wake    chan struct{}
	flying  int
	appends uint64
}

// queued is an item that waits for its append.
type queued struct {
	item Item
	done func(at Position, ok bool)
}

// Propose queues an item and returns at once. done, which may be nil, is called
// when the append's answer is known: the offset may be 0 where the answer was
// lost and the batch was found on the log later. Whether the proposal holds is
// for the fold to say.
func (w *Writer) Propose(item Item, done func(at Position, ok bool)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(w.queue, queued{item: item, done: done})
	w.signalLocked()
}

// ProposeWait queues an item and blocks until it is on the log or the context
// ends. Where the context ends first, the item may still be appended later.
func (w *Writer) ProposeWait(ctx context.Context, item Item) (Position, error) {
	type answer struct {
		at Position
		ok bool
	}
	ch := make(chan answer, 1)
	w.Propose(item, func(at Position, ok bool) { ch <- answer{at: at, ok: ok} })
	select {
	case a := <-ch:
		if !a.ok {
			return Position{}, logsvc.ErrOutcomeUnknown
		}
		return a.at, nil
	case <-ctx.Done():
		return Position{}, logsvc.ErrOutcomeUnknown
	}
}

// Pending returns the number of items that are not yet known to be on the log.
func (w *Writer) Pending() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) + w.flying
}

// Appends returns the number of appends that succeeded.
func (w *Writer) Appends() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.appends
}

// Run appends until the context ends. Items that still wait then get ok=false.
func (w *Writer) Run(ctx context.Context) {
	group := w.Group
	if group == 0 {
		group = DefaultGroup
	}
	for w.waitForItems(ctx) {
		sleep(ctx, group)
		batch := w.take()
		at, ok := w.appendUntilKnown(ctx, batch)
		w.finish(batch, at, ok)
	}
	w.abandon()
}

// Flush blocks until nothing is pending or the context ends.
func (w *Writer) Flush(ctx context.Context) error {
	for w.Pending() > 0 {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		sleep(ctx, 5*time.Millisecond)
	}
	return nil
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
func (w *Writer) take() []queued {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, size := 0, 0
	for n < len(w.queue) && n < maxBatchItems {
		size += len(w.queue[n].item.Body)
		if n > 0 && size > maxBatchBytes {
			break
		}
		n++
	}
	batch := append([]queued(nil), w.queue[:n]...)
	w.queue = append(w.queue[:0], w.queue[n:]...)
	w.flying = n
	w.seq++
	return batch
}

// appendUntilKnown sends the batch until the service confirms it.
func (w *Writer) appendUntilKnown(ctx context.Context, batch []queued) (logsvc.Offset, bool) {
	data, err := json.Marshal(w.encode(batch))
	if err != nil {
		return 0, false
	}
	for pause := firstRetryPause; ctx.Err() == nil; pause = min(2*pause, lastRetryPause) {
		attempt, cancel := context.WithTimeout(ctx, appendTimeout)
		at, err := w.Log.Append(attempt, w.Stream, data)
		cancel()
		if err == nil {
			return at, true
		}
		if errors.Is(err, logsvc.ErrTooLarge) {
			return 0, false
		}
		sleep(ctx, pause)
	}
	return 0, false
}

func (w *Writer) encode(batch []queued) Batch {
	b := Batch{Writer: w.Name, Seq: w.seq}
	for _, q := range batch {
		b.Items = append(b.Items, q.item)
	}
	return b
}

// finish tells the batch's proposers what became of it.
func (w *Writer) finish(batch []queued, at logsvc.Offset, ok bool) {
	w.mu.Lock()
	w.flying = 0
	if ok {
		w.appends++
	}
	w.mu.Unlock()
	for i, q := range batch {
		if q.done != nil {
			q.done(Position{Offset: at, Index: i, Writer: w.Name}, ok)
		}
	}
}

// abandon tells the proposers of the queued items that they were not appended.
func (w *Writer) abandon() {
	w.mu.Lock()
	rest := w.queue
	w.queue = nil
	w.mu.Unlock()
	for _, q := range rest {
		if q.done != nil {
			q.done(Position{}, false)
		}
	}
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
