package side

import (
	"container/heap"
	"context"
	"errors"
	"sync"
	"time"
)

// errQueueFull reports that too many runs wait.
var errQueueFull = errors.New("queue is full")

// errQueueWait reports that a run waited too long.
var errQueueWait = errors.New("wait in the queue was too long")

// limiter lets a bounded number of runs through at a time. The others wait in
// order of priority, smaller first, and of arrival.
type limiter struct {
	// slots is the number of runs let through at a time.
	slots int
	// maxWaiting bounds those that wait.
	maxWaiting int

	mu      sync.Mutex
	running int
	arrived uint64
	waiting waiters
}

// waiter is a run that waits.
type waiter struct {
	priority uint32
	arrival  uint64
	// index is the position in the heap; -1 once it was let through.
	index int
	ready chan struct{}
}

// acquire waits for a turn. It returns errQueueFull, errQueueWait or the
// context's error.
func (l *limiter) acquire(ctx context.Context, priority uint32, wait time.Duration) error {
	w, err := l.join(priority)
	if w == nil {
		return err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
		err = errQueueWait
	}
	if l.giveUp(w) {
		return err
	}
	return nil
}

// join takes a slot, or a place in the queue: then the waiter is returned.
func (l *limiter) join(priority uint32) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running < l.slots {
		l.running++
		return nil, nil
	}
	if len(l.waiting) >= l.maxWaiting {
		return nil, errQueueFull
	}
	l.arrived++
	w := &waiter{priority: priority, arrival: l.arrived, ready: make(chan struct{})}
	heap.Push(&l.waiting, w)
	return w, nil
}

// giveUp takes a waiter off the queue. It is false where it was let through.
func (l *limiter) giveUp(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.index < 0 {
		return false
	}
	heap.Remove(&l.waiting, w.index)
	return true
}

// release gives the slot to the first waiter.
func (l *limiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		l.running--
		return
	}
	w := heap.Pop(&l.waiting).(*waiter)
	close(w.ready)
}

// counts returns the runs let through and those that wait.
func (l *limiter) counts() (running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running, len(l.waiting)
}

// waiters is a heap by priority and arrival.
type waiters []*waiter

// Len is part of heap.Interface.
func (w waiters) Len() int { return len(w) }

// Less is part of heap.Interface.
func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority < w[j].priority
	}
	return w[i].arrival < w[j].arrival
}

// Swap is part of heap.Interface.
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index = i
	w[j].index = j
}

// Push is part of heap.Interface.
func (w *waiters) Push(x any) {
	v := x.(*waiter)
	v.index = len(*w)
	*w = append(*w, v)
}

// Pop is part of heap.Interface.
func (w *waiters) Pop() any {
	old := *w
	v := old[len(old)-1]
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	v.index = -1
	return v
}
