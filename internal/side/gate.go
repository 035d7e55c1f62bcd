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

// gate lets a bounded number of runs through at a time. The others wait in
// order of priority, smaller first, and of arrival.
type gate struct {
	// slots is the number of runs let through at a time.
	slots int
	// maxWaiting bounds those that wait.
	maxWaiting int

	mu      sync.Mutex
	inside  int
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

// enter waits for a turn. It returns errQueueFull, errQueueWait or the
// context's error.
func (g *gate) enter(ctx context.Context, priority uint32, wait time.Duration) error {
	w, err := g.join(priority)
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
	if g.giveUp(w) {
		return err
	}
	return nil
}

// join takes a slot, or a place in the queue: then the waiter is returned.
func (g *gate) join(priority uint32) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inside < g.slots {
		g.inside++
		return nil, nil
	}
	if len(g.waiting) >= g.maxWaiting {
		return nil, errQueueFull
	}
	g.arrived++
	w := &waiter{priority: priority, arrival: g.arrived, ready: make(chan struct{})}
	heap.Push(&g.waiting, w)
	return w, nil
}

// giveUp takes a waiter off the queue. It is false where it was let through.
func (g *gate) giveUp(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.index < 0 {
		return false
	}
	heap.Remove(&g.waiting, w.index)
	return true
}

// exit gives the slot to the first waiter.
func (g *gate) exit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.waiting) == 0 {
		g.inside--
		return
	}
	w := heap.Pop(&g.waiting).(*waiter)
	close(w.ready)
}

// counts returns the runs let through and those that wait.
func (g *gate) counts() (inside, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inside, len(g.waiting)
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
