package route

import "time"

const (
	// windowBuckets is the number of buckets in which the requests of a window are
	// counted. The oldest bucket is dropped as a whole.
	windowBuckets = 20
	// usableShare is the fraction of RetryWindow.Share that is used. The rest is a
	// margin for requests that leave the window between two calls of Allow.
	usableShare = 0.85
)

// RetryWindow limits retries to a share of the requests in a sliding window. It
// prevents retry storms: while targets fail, they get a bounded multiple of the
// load. The limit holds for a whole fleet without coordination: each instance
// counts its own requests, so the sums over any number of instances keep the same
// share. An instance that restarts begins with empty counts. A RetryWindow is not
// safe for concurrent use.
type RetryWindow struct {
	// Length is the duration of the window.
	Length time.Duration
	// Share is the share of the requests that may be retried.
	Share float64
	// Burst is the number of retries that this instance may make in a window on
	// top of the share.
	Burst float64

	requests [windowBuckets]float64
	retries  [windowBuckets]float64
	bucket   int64
	start    time.Time
}

// Request records a request.
func (w *RetryWindow) Request(now time.Time) {
	w.requests[w.advance(now)]++
}

// Allow records one retry and returns true, or returns false if the limit is
// reached.
func (w *RetryWindow) Allow(now time.Time) bool {
	i := w.advance(now)
	var requests, retries float64
	for j := range windowBuckets {
		requests += w.requests[j]
		retries += w.retries[j]
	}
	if retries+1 > usableShare*w.Share*requests+w.Burst {
		return false
	}
	w.retries[i]++
	return true
}

// advance clears the buckets older than the window and returns the index of the
// current bucket.
func (w *RetryWindow) advance(now time.Time) int {
	if w.start.IsZero() {
		w.start = now
	}
	// The current bucket is incomplete. Each bucket therefore covers
	// Length/(windowBuckets-1), so that the other buckets cover a whole window.
	current := int64(now.Sub(w.start)) / max(1, int64(w.Length)/(windowBuckets-1))
	for n := min(current-w.bucket, windowBuckets); n > 0; n-- {
		i := (current - n + 1) % windowBuckets
		w.requests[i], w.retries[i] = 0, 0
	}
	w.bucket = max(w.bucket, current)
	return int(w.bucket % windowBuckets)
}
