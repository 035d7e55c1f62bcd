// Package buffer bounds the memory that the large buffers of a process take together.
package buffer

import (
	"cmp"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/beryllanding/beryllanding/pkg/pause"
)

// ErrFull reports that the large buffers in use leave no room for another one.
var ErrFull = errors.New("large buffers take all memory that is set aside for them")

const (
	// Free is the size in bytes up to which a buffer needs no reservation.
	Free = 64 << 10
	// Overhead is the memory that a growing buffer takes, as a multiple of its data.
	Overhead = 2
	// DefaultMax is the size in bytes of a Pool without a Max.
	DefaultMax = 32 << 20

	// poll is the interval between two attempts at a reservation. A request that has
	// reserved waitBelow bytes or more doesn't wait: the others couldn't go on.
	poll      = 5 * time.Millisecond
	waitBelow = 1 << 20
)

// Pool counts the memory that is reserved for large buffers. The zero value has nothing reserved.
// A Pool is safe for concurrent use.
type Pool struct {
	// Max bounds all reservations together, in bytes; 0 means DefaultMax.
	Max int64

	reserved atomic.Int64
}

// TryReserve reserves n bytes, and reports whether there was room for them.
func (p *Pool) TryReserve(n int64) bool {
	if p.reserved.Add(n) <= p.limit() {
		return true
	}
	p.reserved.Add(-n)
	return false
}

func (p *Pool) limit() int64 { return cmp.Or(p.Max, DefaultMax) }

// Reserve reserves n bytes for a request that holds a number of reserved bytes already. It waits
// for room until the context ends, unless there can never be enough. The error wraps ErrFull, and
// that of the context.
func (p *Pool) Reserve(ctx context.Context, held, n int64) error {
	for !p.TryReserve(n) {
		if held >= waitBelow || held+n > p.limit() || !pause.For(ctx, poll) {
			return errors.Join(ErrFull, ctx.Err())
		}
	}
	return nil
}

// Release gives back n bytes.
func (p *Pool) Release(n int64) { p.reserved.Add(-n) }

// Reserved returns the number of bytes that are reserved.
func (p *Pool) Reserved() int64 { return p.reserved.Load() }
