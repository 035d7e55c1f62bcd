package route

import (
	"slices"
	"time"
)

// Constants of Queue.
const (
	defaultQueueLen = 1024
	// minRetryAfter is the minimum of Shed.RetryAfter.
	minRetryAfter = 250 * time.Millisecond
	// intervalWeight is the weight of the newest interval in the moving average of
	// the time between departures.
	intervalWeight = 0.1
)

// Waiter is a request that waits for a target.
type Waiter struct {
	// ID is unique among the waiters.
	ID uint64
	// Class is the priority; smaller numbers go first.
	Class uint32
	// Deadline is when the request is shed if it still waits.
	Deadline time.Time
}

// Shed is a waiter that the queue rejected or removed without serving it.
type Shed struct {
	Waiter Waiter
	// RetryAfter is the estimated time until the queue has room again.
	RetryAfter time.Duration
}

// Queue holds requests until a target has room. It orders them by class, and
// within a class by arrival. It is bounded, and sheds a request at once if it is
// not expected to be served before its deadline. The zero value is ready to use. A
// Queue is not safe for concurrent use.
type Queue struct {
	// Len is the maximum number of waiters; 0 means 1024, a negative value none.
	Len int

	waiters []Waiter
	// meanInterval is the moving average of the time between two departures.
	meanInterval time.Duration
	// lastDeparture is when the last waiter was popped, or zero if the queue was
	// empty at the last Pop.
	lastDeparture time.Time
}

// Size returns the number of waiters.
func (q *Queue) Size() int { return len(q.waiters) }

// Wait returns the estimated waiting time of a new request of the class.
func (q *Queue) Wait(class uint32) time.Duration {
	return time.Duration(q.insertIndex(class)+1) * q.meanInterval
}

// Push adds a waiter. It returns the waiter that was shed, and whether there was
// one. A new waiter is shed if it is not expected to be served before its
// deadline. If the queue is full, the last waiter of the lowest priority is shed,
// which may be the new one.
func (q *Queue) Push(now time.Time, w Waiter) (Shed, bool) {
	if wait := q.Wait(w.Class); now.Add(wait).After(w.Deadline) {
		return q.shed(w), true
	}
	q.waiters = slices.Insert(q.waiters, q.insertIndex(w.Class), w)
	if len(q.waiters) <= max(0, q.capacity()) {
		return Shed{}, false
	}
	last := q.waiters[len(q.waiters)-1]
	q.waiters = q.waiters[:len(q.waiters)-1]
	return q.shed(last), true
}

// First returns the waiter that Pop would remove, and whether there is one.
func (q *Queue) First() (Waiter, bool) {
	if len(q.waiters) == 0 {
		return Waiter{}, false
	}
	return q.waiters[0], true
}

// Pop removes and returns the first waiter, and reports whether there was one. It is to
// be called when a target has room.
func (q *Queue) Pop(now time.Time) (Waiter, bool) {
	if len(q.waiters) == 0 {
		q.lastDeparture = time.Time{}
		return Waiter{}, false
	}
	q.recordDeparture(now)
	w := q.waiters[0]
	q.waiters = slices.Delete(q.waiters, 0, 1)
	return w, true
}

// Remove removes a waiter whose caller has gone, and reports whether it was in
// the queue.
func (q *Queue) Remove(id uint64) bool {
	i := slices.IndexFunc(q.waiters, func(w Waiter) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}

// Expire removes and returns the waiters whose deadline has passed.
func (q *Queue) Expire(now time.Time) []Shed {
	var shed []Shed
	q.waiters = slices.DeleteFunc(q.waiters, func(w Waiter) bool {
		if now.Before(w.Deadline) {
			return false
		}
		shed = append(shed, q.shed(w))
		return true
	})
	return shed
}

// insertIndex returns the index at which a new waiter of the class is inserted.
func (q *Queue) insertIndex(class uint32) int {
	i, _ := slices.BinarySearchFunc(q.waiters, class, func(w Waiter, class uint32) int {
		if w.Class <= class {
			return -1
		}
		return 1
	})
	return i
}

// recordDeparture updates the mean interval between departures. Time in which the
// queue was empty does not count.
func (q *Queue) recordDeparture(now time.Time) {
	if !q.lastDeparture.IsZero() {
		interval := now.Sub(q.lastDeparture)
		q.meanInterval += time.Duration(intervalWeight * float64(interval-q.meanInterval))
	}
	q.lastDeparture = now
}

func (q *Queue) shed(w Waiter) Shed {
	return Shed{Waiter: w, RetryAfter: max(minRetryAfter, q.Wait(w.Class))}
}

func (q *Queue) capacity() int {
	if q.Len == 0 {
		return defaultQueueLen
	}
	return q.Len
}
