package side

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/beryllanding/beryllanding/pkg/buffer"
)

// response is a target's whole response to a call.
type response struct {
	head head
	// parts is the body, in parts of at most maxChunk bytes, and size its length in bytes.
	parts [][]byte
	size  int
	// reserved is what is reserved for the body of the memory that all runs share, in
	// bytes.
	reserved int64
}

// firstPart is the size in bytes of the first part of a body.
const firstPart = 4 << 10

// readBody reads the body of a response into a. It reserves memory for a body of more than
// buffer.Free bytes: at once if its length is known, and else as it grows. The error is
// errResponseTooLarge, buffer.ErrFull, or that of the body.
func (s *Server) readBody(ctx context.Context, resp *http.Response, a *response) error {
	if resp.Body == http.NoBody { // A response to HEAD may announce the length of a body that it lacks.
		return nil
	}
	limit := s.opts.MaxResponse
	if resp.ContentLength > int64(limit) {
		return errResponseTooLarge
	}
	if resp.ContentLength > buffer.Free {
		if err := s.reserve(ctx, &a.reserved, resp.ContentLength); err != nil {
			return err
		}
	}
	for {
		next := min(max(firstPart, a.size), maxChunk)
		if resp.ContentLength > 0 { // The body ends with a read of a byte more.
			next = min(next, max(0, int(resp.ContentLength)-a.size)+1)
		}
		if need := int64(a.size + next - buffer.Free - 1); need > a.reserved {
			if err := s.reserve(ctx, &a.reserved, need-a.reserved); err != nil {
				return err
			}
		}
		part := make([]byte, next)
		n, err := fill(resp.Body, part)
		if n > 0 {
			a.parts = append(a.parts, part[:n])
			a.size += n
		}
		switch {
		case a.size > limit:
			return errResponseTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// fill reads until p is full or the reader fails, and returns the reader's own error. io.ReadFull
// returns the same error for a body that has ended and for one that is truncated.
func fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		m, err = r.Read(p[n:])
		n += m
	}
	return n, err
}

// recorded returns the body as it is recorded on the log, of at most limit bytes. If the body is
// larger, the result is longer than the limit.
func (a *response) recorded(limit int) []byte {
	if a.size > limit {
		return make([]byte, limit+1)
	}
	var body []byte
	for _, part := range a.parts {
		body = append(body, part...)
	}
	return body
}

// holdWait bounds the wait for more memory of a response that holds some, for which others wait.
const holdWait = time.Second

// reserve reserves n more bytes of the memory that all responses share, and adds them to
// reserved. It waits for room until the context ends, or up to holdWait for a response that has
// reserved some already. The error wraps buffer.ErrFull.
func (s *Server) reserve(ctx context.Context, reserved *int64, n int64) error {
	if *reserved > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, holdWait)
		defer cancel()
	}
	if err := s.buffers.Reserve(ctx, *reserved, n); err != nil {
		return err
	}
	*reserved += n
	return nil
}
