package route

import (
	"cmp"
	"time"
)

// Defaults of RetryBudget.
const (
	defaultRetryShare = 0.1
	defaultRetryBurst = 10
	// minRetriesPerSecond is the rate of retries allowed to an instance with little
	// traffic.
	minRetriesPerSecond = 0.5
)

// RetryBudget limits retries to a share of the traffic, because unlimited retries
// would multiply the load while many targets fail. It is a token bucket that
// starts full. The zero value is ready to use. A RetryBudget is not safe for
// concurrent use.
type RetryBudget struct {
	// Share is the number of retries that each request adds; 0 means 0.1.
	Share float64
	// Burst is the maximum number of retries saved up; 0 means 10.
	Burst float64

	// spent is the number of retries missing from a full bucket, which holds Burst.
	spent float64
	last  time.Time
}

// Request records a request, which adds Share to the budget.
func (b *RetryBudget) Request() {
	b.earn(cmp.Or(b.Share, defaultRetryShare))
}

// Allow takes one retry out of the budget and returns true, or returns false if
// less than one is left.
func (b *RetryBudget) Allow(now time.Time) bool {
	if !b.last.IsZero() {
		b.earn(minRetriesPerSecond * max(0, now.Sub(b.last).Seconds()))
	}
	b.last = now
	if b.spent+1 > cmp.Or(b.Burst, defaultRetryBurst) {
		return false
	}
	b.spent++
	return true
}

func (b *RetryBudget) earn(n float64) { b.spent = max(0, b.spent-n) }
