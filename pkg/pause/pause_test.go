package pause_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllanding/beryllanding/pkg/pause"
)

func TestFor(t *testing.T) {
	tests := map[string]struct {
		pause, end time.Duration // end is when the context ends, from the start
		whole      bool
		took       time.Duration
	}{
		"whole":         {time.Second, time.Minute, true, time.Second},
		"cut short":     {time.Minute, time.Second, false, time.Second},
		"nothing":       {0, time.Minute, true, 0},
		"less":          {-time.Hour, time.Minute, true, 0},
		"ended, more":   {time.Second, 0, false, 0},
		"ended, less":   {-time.Second, 0, false, 0},
		"ended, exact":  {0, 0, false, 0},
		"longest pause": {1<<63 - 1, time.Hour, false, time.Hour},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), tt.end)
				defer cancel()
				start := time.Now()
				if got := pause.For(ctx, tt.pause); got != tt.whole {
					t.Errorf("For = %v, want %v", got, tt.whole)
				}
				if took := time.Since(start); took != tt.took {
					t.Errorf("For took %v, want %v", took, tt.took)
				}
			})
		})
	}
}

// TestNonPositivePausesUnderRaceDetector guards against a crash of the race
// detector in synctest tests. A channel timer that is due when a goroutine reads its
// channel runs on the processor of this goroutine. In a synctest bubble all such
// timers share one context of the race detector (Go 1.26.8:
// runtime.(*timer).unlockAndRun), and two timers that run at the same time crash it.
// For therefore starts no timer for a pause of zero or less.
func TestNonPositivePausesUnderRaceDetector(t *testing.T) {
	const waiters, turns = 16, 2000
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		for range waiters {
			wg.Go(func() {
				for range turns {
					pause.For(t.Context(), time.Millisecond)
					pause.For(t.Context(), 0)
					pause.For(t.Context(), -time.Second)
				}
			})
		}
		wg.Wait()
	})
}
