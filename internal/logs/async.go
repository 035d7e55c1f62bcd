package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// asyncLines is the largest number of lines that wait to be written: those of one
// second at 1000 requests per second.
const asyncLines = 1024

// Async is a writer that never blocks its callers. It queues up to asyncLines
// lines; further lines are dropped and counted. It is safe for concurrent use.
type Async struct {
	w       io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64

	mu sync.RWMutex
	// closed is set before lines is closed.
	closed bool
}

// NewAsync returns a writer that writes queued lines to w. Close must be called at
// the end.
func NewAsync(w io.Writer) *Async {
	a := &Async{w: w, lines: make(chan []byte, asyncLines), done: make(chan struct{})}
	go a.run()
	return a
}

// Write queues a copy of the line, or drops it if the queue is full or closed. It never
// returns an error.
func (a *Async) Write(line []byte) (int, error) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.closed {
		a.dropped.Add(1)
		return len(line), nil
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close waits until the queued lines are written; later ones are dropped. It does not close
// the underlying writer. It must be called once.
func (a *Async) Close() {
	a.mu.Lock()
	a.closed = true
	close(a.lines)
	a.mu.Unlock()
	<-a.done
}

// run writes the queued lines in batches, and reports how many were dropped since
// the last report.
func (a *Async) run() {
	defer close(a.done)
	var reported int64
	var batch []byte
	for line := range a.lines {
		batch = append(batch[:0], line...)
		for n := len(a.lines); n > 0; n-- {
			batch = append(batch, <-a.lines...)
		}
		if dropped := a.dropped.Load(); dropped != reported {
			batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped-reported)
			reported = dropped
		}
		_, _ = a.w.Write(batch) // There is no place to report a failed write.
	}
}
