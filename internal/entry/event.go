package entry

import (
	"errors"
	"fmt"
	"hash/maphash"
	"time"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// Errors of an attempt's events. Test for them with errors.Is.
var (
	// errUnexpectedEvent reports an event of another attempt or a repeated event.
	errUnexpectedEvent = errors.New("event belongs to another attempt or was received before")
	// errEventGap reports a gap in the indexes of the events.
	errEventGap = errors.New("gap in the attempt's events")
	// errResponseDiffers reports that a joined run's response differs from the part
	// that the caller already has.
	errResponseDiffers = errors.New("joined run's response differs from the part already sent")
	// errCancelled reports that the run was cancelled before its response was complete.
	errCancelled = errors.New("run was cancelled before its response was complete")
)

// reasonCancelled is the finish reason of a run that was cancelled.
const reasonCancelled = "cancelled"

// accept checks that e is the attempt's next event. If it returns errUnexpectedEvent, the event
// must be dropped. If it returns errEventGap, the attempt is broken.
func (a *Attempt) accept(e *wire.RunEvent) error {
	if e.GetAttemptId() != a.ID || e.GetIndex() < a.next {
		return errUnexpectedEvent
	}
	if e.GetIndex() > a.next {
		return fmt.Errorf("%w: got event %d, want %d", errEventGap, e.GetIndex(), a.next)
	}
	a.next++
	return nil
}

// progress tracks, across attempts, how much of the response the caller has. A joined
// run repeats the response from the start. The part that the caller has is compared and
// skipped.
type progress struct {
	head bool
	// status is the status of the head, for comparison with a repeated head.
	status int32
	// bytes and sum are the length and the hash of the data delivered.
	bytes int64
	sum   maphash.Hash
	// tokens is the number of tokens delivered, as counted by the side process.
	tokens int64

	// skipped and skippedSum are the length and the hash of the data that the
	// current attempt has repeated.
	skipped    int64
	skippedSum maphash.Hash
}

// restartComparison prepares the comparison with a new attempt's response.
func (p *progress) restartComparison() {
	p.skipped = 0
	p.skippedSum.SetSeed(p.sum.Seed())
	p.skippedSum.Reset()
}

// undelivered returns the part of data that the caller does not have yet. It returns
// errResponseDiffers if the repeated part differs from the part that the caller has.
func (p *progress) undelivered(data []byte) ([]byte, error) {
	if p.skipped == p.bytes {
		p.bytes += int64(len(data))
		p.skipped = p.bytes
		_, _ = p.sum.Write(data)
		return data, nil
	}
	n := min(int64(len(data)), p.bytes-p.skipped)
	_, _ = p.skippedSum.Write(data[:n])
	p.skipped += n
	if p.skipped < p.bytes {
		return nil, nil
	}
	if p.skippedSum.Sum64() != p.sum.Sum64() {
		return nil, errResponseDiffers
	}
	rest := data[n:]
	p.bytes += int64(len(rest))
	p.skipped = p.bytes
	_, _ = p.sum.Write(rest)
	return rest, nil
}

// caughtUp reports whether the current attempt has repeated all data that the caller
// has.
func (p *progress) caughtUp() bool { return p.skipped == p.bytes }

// refusalOf returns the refusal that an event carries.
func refusalOf(r *wire.Refused) refuse.Refusal {
	outcome := refuse.Unknown
	if r.GetOutcome() == string(refuse.NotRun) {
		outcome = refuse.NotRun
	}
	return refuse.Refusal{
		Code:       refuse.Code(r.GetCode()),
		Outcome:    outcome,
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
		Message:    r.GetMessage(),
	}
}
