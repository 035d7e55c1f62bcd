package route_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/pkg/route"
)

// TestRetryWindowStorm simulates a retry storm: every request fails, and instances of a
// fleet restart. It checks that the retries of all instances in a window never exceed
// the share of the requests plus the burst.
func TestRetryWindowStorm(t *testing.T) {
	const (
		length = 10 * time.Second
		share  = 0.2
		burst  = 52.0
		parts  = 32
	)
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		start := time.Now()
		fresh := func() *route.RetryWindow {
			return &route.RetryWindow{Length: length, Share: share, Burst: burst / parts}
		}
		fleet := make([]*route.RetryWindow, 1+rnd.IntN(20))
		for i := range fleet {
			fleet[i] = fresh()
		}
		var requests, retries []time.Duration
		rate := 5 + 300*rnd.Float64()
		for at := time.Duration(0); at < time.Minute; {
			at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
			if rnd.IntN(2000) == 0 {
				rate = 5 + 300*rnd.Float64()
			}
			i := rnd.IntN(len(fleet))
			if rnd.IntN(500) == 0 {
				fleet[i] = fresh() // The instance restarts.
			}
			fleet[i].Request(start.Add(at))
			requests = append(requests, at)
			for range 3 {
				if fleet[i].Allow(start.Add(at)) {
					retries = append(retries, at)
				}
			}
		}
		for _, end := range retries {
			n := count(retries, end-length, end)
			// The bound is a share of the highest number of requests in three windows:
			// this one, the one before it, and the one that begins half a window before
			// this one.
			most := max(count(requests, end-length, end), count(requests, end-2*length, end-length),
				count(requests, end-3*length/2, end-length/2))
			if float64(n) > share*float64(most)+burst {
				t.Fatalf("seed %d: %d retries in the window to %v, want at most %v of %d requests plus %v", seed, n, end, share, most, burst)
			}
		}
		if len(retries) == 0 {
			t.Errorf("seed %d: 0 retries, want some", seed)
		}
	}
}

func count(times []time.Duration, from, to time.Duration) (n int) {
	for _, at := range times {
		if from < at && at <= to {
			n++
		}
	}
	return n
}
