// Package pause waits for a duration or until a context ends.
package pause

import (
	"context"
	"time"
)

// For waits for d and returns true. If the context ends first, or has already ended,
// it returns false at once. If d is zero or less, it does not wait and starts no
// timer.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
