package edge

import (
	"bufio"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/beryllanding/beryllanding/pkg/http1"
	"github.com/beryllanding/beryllanding/pkg/pause"
)

var (
	// ErrBuffersFull reports that the large responses in progress leave no room for another one.
	ErrBuffersFull = errors.New("large responses in progress take all memory for buffers")
	// ErrBodiesFull reports that the large requests in progress leave no room for another one.
	ErrBodiesFull = errors.New("large requests in progress take all memory for bodies")
)

const (
	// freeBuffer is the size in bytes up to which a request buffers a response, or an event
	// of a stream, without a reservation.
	freeBuffer = 64 << 10
	// maxBuffers bounds the memory for all buffers of responses beyond that, and that for all
	// bodies of requests, in bytes.
	maxBuffers = 32 << 20
	// bufferStep is the factor by which the reservation for a response grows.
	bufferStep = 4
	// bufferOverhead is the memory that a growing buffer takes, as a multiple of its data.
	bufferOverhead = 2
	// bufferWait bounds the wait for a reservation, and bufferPoll is the interval between
	// two attempts at it. A request that has reserved waitBelow bytes or more doesn't wait:
	// the others couldn't go on.
	bufferWait = time.Second
	bufferPoll = 5 * time.Millisecond
	waitBelow  = 1 << 20
)

// buffers counts the memory that is reserved for large buffers. The zero value has none.
type buffers struct{ reserved atomic.Int64 }

// tryReserve reserves n bytes, and reports whether there was room for them.
func (b *buffers) tryReserve(n int64) bool {
	if b.reserved.Add(n) <= maxBuffers {
		return true
	}
	b.reserved.Add(-n)
	return false
}

// reserveBuffer reserves n bytes until the request ends. It waits for room up to bufferWait.
// The error is ErrBuffersFull, or that of the context.
func (x *exchange) reserveBuffer(n int64) error {
	ctx, cancel := context.WithTimeout(x.ctx, min(bufferWait, time.Until(x.deadline)))
	defer cancel()
	for !x.e.buffers.tryReserve(n) {
		if x.reserved >= waitBelow || !pause.For(ctx, bufferPoll) {
			return errors.Join(ErrBuffersFull, x.ctx.Err())
		}
	}
	x.reserved += n
	return nil
}

// releaseBuffers releases what the request has reserved.
func (x *exchange) releaseBuffers() {
	x.e.buffers.release(x.reserved)
	x.reserved = 0
}

// release gives back n bytes.
func (b *buffers) release(n int64) { b.reserved.Add(-n) }

// readBody reads a whole body of at most maxResponseBody bytes.
func (x *exchange) readBody(body *http1.Body) ([]byte, error) {
	size := int64(freeBuffer)
	data, err := body.ReadAll(nil, size)
	for errors.Is(err, http1.ErrBodyTooLarge) && size < maxResponseBody {
		next := min(maxResponseBody, bufferStep*size)
		if err := x.reserveBuffer(bufferOverhead * (next - size)); err != nil {
			return nil, err
		}
		size = next
		data, err = body.ReadAll(data, size)
	}
	return data, err
}

// readBody reads the request's body of at most limit bytes. Bodies above freeBuffer share
// memory: if there is no room, the error is ErrBodiesFull, before the rest is read.
func (r *request) readBody(in *bufio.Reader, limit int64, shared *buffers) error {
	body := http1.NewBody(in, r.head)
	var err error
	if r.head.Framing == http1.FramingLength {
		if n := r.head.Length; n > freeBuffer && n <= limit && !r.reserve(shared, n) {
			return ErrBodiesFull
		}
		r.body, err = body.ReadAll(nil, limit)
		return err
	}
	size := min(limit, freeBuffer)
	r.body, err = body.ReadAll(nil, size)
	for errors.Is(err, http1.ErrBodyTooLarge) && size < limit {
		next := min(limit, bufferStep*size)
		if !r.reserve(shared, bufferOverhead*(next-size)) {
			return ErrBodiesFull
		}
		size = next
		r.body, err = body.ReadAll(r.body, size)
	}
	return err
}

// reserve reserves n bytes for the request's body, and reports whether there was room.
func (r *request) reserve(shared *buffers, n int64) bool {
	if !shared.tryReserve(n) {
		return false
	}
	r.reserved += n
	return true
}
