package boot

import (
	"context"
	"time"
)

// timeoutContext returns a context that ends after d.
func timeoutContext(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}
