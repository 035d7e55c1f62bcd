package front

import (
	"context"
	"errors"
	"sync"
)

// errFull reports that the limit of requests in progress is reached.
var errFull = errors.New("limit of requests in progress reached")

// errDraining reports that the instance accepts no new requests.
var errDraining = errors.New("instance is draining and accepts no new requests")

// limiter counts and limits the requests in progress.
type limiter struct {
	// limit is the largest number of requests in progress.
	limit int

	mu      sync.Mutex
	running int
	closed  bool
	// idle is closed when no request is in progress. It is nil unless wait is
	// blocked.
	idle chan struct{}
}

// acquire admits a request. The errors are errDraining and errFull.
func (l *limiter) acquire() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return errDraining
	}
	if l.running >= l.limit {
		return errFull
	}
	l.running++
	return nil
}

// release ends a request that acquire admitted.
func (l *limiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	if l.running == 0 && l.idle != nil {
		close(l.idle)
		l.idle = nil
	}
}

// close makes acquire refuse all further requests.
func (l *limiter) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// isClosed reports whether close was called.
func (l *limiter) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// wait blocks until no request is in progress or the context ends.
func (l *limiter) wait(ctx context.Context) error {
	l.mu.Lock()
	if l.running == 0 {
		l.mu.Unlock()
		return nil
	}
	if l.idle == nil {
		l.idle = make(chan struct{})
	}
	idle := l.idle
	l.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
