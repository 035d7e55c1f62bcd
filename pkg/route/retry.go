package route

import (
	"cmp"
	"time"
)

// Defaults of RetryBudget.
const (
	defaultRetryShare = 0.1
	defaultRetryBurst = 10
	// retryFloor is the retries a second that an instance with little traffic
	// may make.
	retryFloor = 0.5
)

// RetryBudget bounds retries to a share of the traffic, so that a failure of
// many targets is not answered by a multiple of the load. The zero value works.
// It is not safe for concurrent use.
type RetryBudget struct {
	// Share is the retries allowed for each request; 0 stands for 0.1.
	Share float64
	// Burst bounds the retries saved up; 0 stands for 10.
	Burst float64

	spent float64
	last  time.Time
}

// Request records a request, which earns a share of a retry.
func (b *RetryBudget) Request() {
	b.earn(cmp.Or(b.Share, defaultRetryShare))
}

// Take takes one retry out of the budget, or reports that there is none.
func (b *RetryBudget) Take(now time.Time) bool {
	if !b.last.IsZero() {
		b.earn(retryFloor * max(0, now.Sub(b.last).Seconds()))
	}
	b.last = now
	if b.spent+1 > cmp.Or(b.Burst, defaultRetryBurst) {
		return false
	}
	b.spent++
	return true
}

func (b *RetryBudget) earn(n float64) { b.spent = max(0, b.spent-n) }
