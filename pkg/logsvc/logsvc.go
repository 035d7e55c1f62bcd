// Package logsvc is the client side of the platform's log service: append-only
// streams whose records are numbered by offset and kept for a limited time.
//
// The published protocol is HTTP with JSON bodies:
//
//	POST /streams/{stream}/records            body: the record's bytes
//	  200 {"offset": 17}
//	GET  /streams/{stream}/records?from=5&limit=100&wait-ms=1000
//	  200 {"first": 3, "next": 18, "records": [{"offset": 5, "data": "<base64>"}]}
//
// An append that fails with 413 (too large), 429 (rate limit) or 503 (outage) had
// no effect. After any other failure of a request that was sent, the outcome of
// the append is unknown.
package logsvc

import (
	"context"
	"errors"
	"time"
)

// Offset is a record's position in its stream. The first record of a stream has
// offset 1; 0 stands for the position before it.
type Offset uint64

// Record is one record as the log service returns it.
type Record struct {
	Offset Offset `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the response to a read.
type Page struct {
	// First is the lowest offset still retained. It equals Next if the stream
	// retains no records.
	First Offset `json:"first"`
	// Next is the offset that the next append to the stream will get.
	Next Offset `json:"next"`
	// Records are contiguous and ascending, and start at the larger of First and
	// the requested offset.
	Records []Record `json:"records"`
}

// Errors of the log service. Test for them with errors.Is.
var (
	// ErrUnavailable reports that a call failed without effect, because the service
	// was not reached or refused the call. A read also fails with ErrUnavailable if
	// its response is lost.
	ErrUnavailable = errors.New("log service is unavailable")
	// ErrRateLimited reports that the append was refused by the rate limit,
	// without effect.
	ErrRateLimited = errors.New("log service rate limit exceeded")
	// ErrOutcomeUnknown reports that an append may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("outcome of the append is unknown")
	// ErrTooLarge reports a record over MaxRecord.
	ErrTooLarge = errors.New("record exceeds the size limit")
)

// MaxRecord is the largest record, in bytes, that the service accepts.
const MaxRecord = 256 << 10

// MaxPage bounds the total size of the records in one page, in bytes. A page exceeds
// it only if the first record alone exceeds it.
const MaxPage = 1 << 20

// Service is a client of the log service. Implementations are safe for concurrent
// use.
type Service interface {
	// Append adds one record to the stream and returns its offset. After
	// ErrUnavailable, ErrRateLimited and ErrTooLarge, the append had no effect.
	// After ErrOutcomeUnknown, it may have taken effect.
	Append(ctx context.Context, stream string, data []byte) (Offset, error)
	// Read returns up to limit records from the given offset on. If there are none
	// yet, it waits for the first one. It returns an empty page if none arrives
	// within the duration wait.
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Page, error)
}
