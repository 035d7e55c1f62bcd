package edge

import (
	"bufio"
	"context"
	"errors"
	"time"

	"github.com/beryllanding/beryllanding/pkg/buffer"
	"github.com/beryllanding/beryllanding/pkg/http1"
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
	freeBuffer = buffer.Free
	// bufferStep is the factor by which the reservation for a response grows.
	bufferStep = 4
	// bufferWait bounds the wait for a reservation.
	bufferWait = time.Second
)

// reserveBuffer reserves n bytes until the request ends. It waits for room up to bufferWait.
// The error is ErrBuffersFull, or that of the context.
func (x *exchange) reserveBuffer(n int64) error {
	ctx, cancel := context.WithTimeout(x.ctx, min(bufferWait, time.Until(x.deadline)))
	defer cancel()
	if err := x.e.buffers.Reserve(ctx, x.reserved, n); err != nil {
		return errors.Join(ErrBuffersFull, x.ctx.Err())
	}
	x.reserved += n
	return nil
}

// releaseBuffers releases what the request has reserved.
func (x *exchange) releaseBuffers() {
	x.e.buffers.Release(x.reserved)
	x.reserved = 0
}

// readBody reads a whole body of at most maxResponseBody bytes.
func (x *exchange) readBody(body *http1.Body) ([]byte, error) {
	size := int64(freeBuffer)
	data, err := body.ReadAll(nil, size)
	for errors.Is(err, http1.ErrBodyTooLarge) && size < maxResponseBody {
		next := min(maxResponseBody, bufferStep*size)
		if err := x.reserveBuffer(buffer.Overhead * (next - size)); err != nil {
			return nil, err
		}
		size = next
		data, err = body.ReadAll(data, size)
	}
	return data, err
}

// readBody reads the request's body of at most limit bytes. Bodies above freeBuffer share
// memory: if there is no room, the error is ErrBodiesFull, before the rest is read.
func (r *request) readBody(in *bufio.Reader, limit int64, shared *buffer.Pool) error {
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
		if !r.reserve(shared, buffer.Overhead*(next-size)) {
			return ErrBodiesFull
		}
		size = next
		r.body, err = body.ReadAll(r.body, size)
	}
	return err
}

// reserve reserves n bytes for the request's body, and reports whether there was room.
func (r *request) reserve(shared *buffer.Pool, n int64) bool {
	if !shared.TryReserve(n) {
		return false
	}
	r.reserved += n
	return true
}
