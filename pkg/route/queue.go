package route

import (
	"slices"
	"time"
)

// Defaults of Queue.
const (
	defaultQueueLen = 1024
	// minRetryAfter is the least time to come back that a shed request is told.
	minRetryAfter = 250 * time.Millisecond
	// paceWeight is the weight of the newest interval in the moving average.
	paceWeight = 0.1
)

// Waiter is a request that waits for a target.
type Waiter struct {
	// ID is unique among the waiters.
	ID uint64
	// Class is the priority; smaller numbers go first.
	Class uint32
	// Deadline is when the request is given up.
	Deadline time.Time
}

// Shed is a waiter that was given up.
type Shed struct {
	Waiter Waiter
	// RetryAfter is when the queue is expected to have room again.
	RetryAfter time.Duration
}

// Queue holds requests until a target has room: by class, and within a class in
// the order of arrival. It is bounded, and gives up at once what is not
// expected to be served before its deadline. The zero value works. It is not
// safe for concurrent use.
type Queue struct {
	// Len bounds the waiters; 0 stands for 1024, and less for none.
	Len int

	waiters []Waiter
	// pace is the moving average of the time between two departures.
	pace time.Duration
	last time.Time
}

// Size returns the number of waiters.
func (q *Queue) Size() int { return len(q.waiters) }

// Wait returns how long a new request of the class is expected to wait.
func (q *Queue) Wait(class uint32) time.Duration {
	return time.Duration(q.position(class)+1) * q.pace
}

// Push adds a waiter. Where the queue is full, the last waiter of the lowest
// class is given up, which may be the new one. So is a waiter that is not
// expected to be served in time.
func (q *Queue) Push(now time.Time, w Waiter) (Shed, bool) {
	if wait := q.Wait(w.Class); now.Add(wait).After(w.Deadline) {
		return q.shed(w), true
	}
	q.waiters = slices.Insert(q.waiters, q.position(w.Class), w)
	if len(q.waiters) <= max(0, q.limit()) {
		return Shed{}, false
	}
	last := q.waiters[len(q.waiters)-1]
	q.waiters = q.waiters[:len(q.waiters)-1]
	return q.shed(last), true
}

// First returns the waiter that Pop would remove.
func (q *Queue) First() (Waiter, bool) {
	if len(q.waiters) == 0 {
		return Waiter{}, false
	}
	return q.waiters[0], true
}

// Pop removes the first waiter, because a target has room.
func (q *Queue) Pop(now time.Time) (Waiter, bool) {
	if len(q.waiters) == 0 {
		q.last = time.Time{}
		return Waiter{}, false
	}
	q.departed(now)
	w := q.waiters[0]
	q.waiters = slices.Delete(q.waiters, 0, 1)
	return w, true
}

// Remove takes out a waiter whose caller has gone.
func (q *Queue) Remove(id uint64) bool {
	i := slices.IndexFunc(q.waiters, func(w Waiter) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}

// Expire gives up the waiters whose deadline has come.
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

// position returns the index at which a waiter of the class is inserted.
func (q *Queue) position(class uint32) int {
	i, _ := slices.BinarySearchFunc(q.waiters, class, func(w Waiter, class uint32) int {
		if w.Class <= class {
			return -1
		}
		return 1
	})
	return i
}

// departed updates the pace. The time before the first waiter came is no part
// of it.
func (q *Queue) departed(now time.Time) {
	if !q.last.IsZero() {
		interval := now.Sub(q.last)
		q.pace += time.Duration(paceWeight * float64(interval-q.pace))
	}
	q.last = now
}

func (q *Queue) shed(w Waiter) Shed {
	return Shed{Waiter: w, RetryAfter: max(minRetryAfter, q.Wait(w.Class))}
}

func (q *Queue) limit() int {
	if q.Len == 0 {
		return defaultQueueLen
	}
	return q.Len
}
