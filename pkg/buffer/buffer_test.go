package buffer_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllanding/beryllanding/pkg/buffer"
)

// TestReserve guards against reservations beyond the maximum, against requests that wait for each
// other, and against a wait that outlives its context.
func TestReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &buffer.Pool{Max: 4 << 20}
		if !p.TryReserve(4<<20) || p.TryReserve(1) {
			t.Fatal("reserved other than up to the maximum")
		}
		began := time.Now()
		if err := p.Reserve(t.Context(), 1<<20, 1); !errors.Is(err, buffer.ErrFull) || time.Since(began) > 0 {
			t.Errorf("a request that holds 1 MB got error %v after %v, want %v at once", err, time.Since(began), buffer.ErrFull)
		}
		if err := p.Reserve(t.Context(), 0, 5<<20); !errors.Is(err, buffer.ErrFull) || time.Since(began) > 0 {
			t.Errorf("more than the maximum: got error %v after %v, want %v at once", err, time.Since(began), buffer.ErrFull)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := p.Reserve(ctx, 0, 1); !errors.Is(err, buffer.ErrFull) || !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got error %v, want %v and that of the context", err, buffer.ErrFull)
		}
		time.AfterFunc(time.Second, func() { p.Release(1) })
		if err := p.Reserve(t.Context(), 0, 1); err != nil {
			t.Errorf("got error %v after memory was released, want none", err)
		}
		if got := p.Reserved(); got != 4<<20 {
			t.Errorf("%d bytes are reserved, want %d", got, 4<<20)
		}
		if zero := (&buffer.Pool{}); !zero.TryReserve(buffer.DefaultMax) || zero.TryReserve(1) {
			t.Error("the zero value reserved other than up to the default maximum")
		}
	})
}
