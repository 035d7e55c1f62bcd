package fold

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
	"github.com/beryllanding/beryllanding/pkg/pause"
)

const (
	// maxBatchItems bounds the items of one append.
	maxBatchItems = 1000
	// maxBatchBytes bounds the encoded items of one append.
	maxBatchBytes = logsvc.MaxRecord / 2
	// minTimeout and maxTimeout bound the timeout of one call. The timeout doubles
	// with each failed attempt, which gives a slow service the time to respond.
	minTimeout = 2 * time.Second
	maxTimeout = 16 * time.Second
	// minAppendBackoff and maxAppendBackoff bound the pause between attempts. The
	// pause doubles with each attempt.
	minAppendBackoff = 50 * time.Millisecond
	maxAppendBackoff = 2 * time.Second
)

// Run appends queued items until the context ends. Items that are still queued at
// the end are rejected with ErrNotAppended.
func (w *Writer) Run(ctx context.Context) {
	w.setEnded(false)
	interval := w.BatchInterval
	if interval == 0 {
		interval = DefaultBatchInterval
	}
	var last time.Time
	for w.waitForItems(ctx) {
		pause.For(ctx, interval-time.Since(last))
		if ctx.Err() != nil {
			break
		}
		last = time.Now()
		batch := w.nextBatch()
		if len(batch) == 0 {
			continue
		}
		at, err := w.appendUntilKnown(ctx, batch)
		w.finish(batch, at, err)
	}
	w.stop()
}

// waitForItems blocks until items are queued. It returns false if the context
// ended.
func (w *Writer) waitForItems(ctx context.Context) bool {
	for {
		w.mu.Lock()
		pending := len(w.queue) > 0
		wake := w.wakeLocked()
		w.mu.Unlock()
		if ctx.Err() != nil {
			return false
		}
		if pending {
			return true
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return false
		}
	}
}

// nextBatch moves items from the queue into a new batch in flight, up to the
// limits of one append. An item over maxBatchBytes gets a batch of its own.
func (w *Writer) nextBatch() []*queued {
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
	w.inFlight = n
	w.seq++
	return batch
}

// appendUntilKnown sends the batch until the batch is known to be on the log, is
// rejected as too large, or the context ends. It returns the offset of the batch, or
// of a later record if the batch was read back. The error is ErrNotAppended if no
// attempt can have had an effect, else logsvc.ErrOutcomeUnknown.
func (w *Writer) appendUntilKnown(ctx context.Context, batch []*queued) (logsvc.Offset, error) {
	data, err := json.Marshal(w.encode(batch))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotAppended, err)
	}
	result := ErrNotAppended
	backoff, timeout := minAppendBackoff, minTimeout
	for ctx.Err() == nil {
		at, err := w.attempt(ctx, timeout, data)
		if err == nil {
			return at, nil
		}
		if !withoutEffect(err) {
			result = logsvc.ErrOutcomeUnknown
		}
		if errors.Is(err, logsvc.ErrTooLarge) {
			return 0, result
		}
		pause.For(ctx, backoff)
		if at, ok := w.readBack(); ok {
			return at, nil
		}
		backoff = min(2*backoff, maxAppendBackoff)
		timeout = min(2*timeout, maxTimeout)
	}
	return 0, result
}

// attempt sends the batch once.
func (w *Writer) attempt(ctx context.Context, timeout time.Duration, data []byte) (logsvc.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return w.Log.Append(ctx, w.Stream, data)
}

// withoutEffect reports whether a failed append is certain to have had no effect.
func withoutEffect(err error) bool {
	return errors.Is(err, logsvc.ErrUnavailable) || errors.Is(err, logsvc.ErrRateLimited) || errors.Is(err, logsvc.ErrTooLarge)
}

// readBack reports whether the batch in flight was read back from the stream. It
// also returns the offset of the last record folded, which is at or after the batch.
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

// finish reports the outcome of a batch to the proposers of its items.
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
	w.inFlight = 0
	if err == nil {
		w.appends++
	}
}

// stop marks the writer as ended and rejects the items that are still queued.
func (w *Writer) stop() {
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
