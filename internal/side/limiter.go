package side

import (
	"container/heap"
	"context"
	"errors"
	"sync"
	"time"
)

// errQueueFull reports that the queue already has maxWaiting runs.
var errQueueFull = errors.New("queue is full")

// errQueueWait reports that a run waited longer than Options.QueueWait.
var errQueueWait = errors.New("wait in the queue exceeded the time limit")

// limiter limits the number of concurrent runs. Further runs wait in the order of
// their priority numbers, smallest first. Runs of equal priority wait in the order
// of arrival.
type limiter struct {
	// slots is the largest number of concurrent runs.
	slots int
	// maxWaiting is the largest number of waiting runs.
	maxWaiting int

	mu      sync.Mutex
	running int
	arrived uint64
	waiting waiters
}

// waiter is a run that waits for a slot.
type waiter struct {
	priority uint32
	arrival  uint64
	// index is the position in the heap; -1 once the waiter has left the heap.
	index int
	ready chan struct{}
}

// acquire waits for a slot, for at most the given time. If it gets no slot, it
// returns errQueueFull, errQueueWait or the context's error.
func (l *limiter) acquire(ctx context.Context, priority uint32, wait time.Duration) error {
	w, err := l.enter(priority)
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
	if l.remove(w) {
		return err
	}
	return nil
}

// enter takes a free slot and returns nil. If no slot is free, it queues a waiter
// and returns it. The error is errQueueFull if the queue is full too.
func (l *limiter) enter(priority uint32) (*waiter, error) {
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

// remove removes a waiter from the queue. It returns false if the waiter already
// has a slot.
func (l *limiter) remove(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.index < 0 {
		return false
	}
	heap.Remove(&l.waiting, w.index)
	return true
}

// release passes the slot to the first waiter, or frees it if none waits.
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

// counts returns the numbers of runs that have a slot and that wait for one.
func (l *limiter) counts() (running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running, len(l.waiting)
}

// waiters is a heap ordered by priority and arrival.
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
