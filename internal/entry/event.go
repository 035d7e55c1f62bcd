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
	// errForeign reports an event of another attempt, or one seen before.
	errForeign = errors.New("event belongs to no attempt in progress")
	// errLost reports a gap in the events.
	errLost = errors.New("an event was lost")
	// errDiffers reports that a joined run repeats another answer than the one
	// that the caller has a part of.
	errDiffers = errors.New("joined run gives another answer")
	// errCancelled reports that the run which was joined had been cut short.
	errCancelled = errors.New("joined run was cancelled")
)

// reasonCancelled is the finish reason of a run that was cut short.
const reasonCancelled = "cancelled"

// accept checks that the event is the attempt's next one. An event that is
// errForeign is dropped; one that is errLost breaks the attempt.
func (a *Attempt) accept(e *wire.RunEvent) error {
	if e.GetAttemptId() != a.ID || e.GetIndex() < a.next {
		return errForeign
	}
	if e.GetIndex() > a.next {
		return fmt.Errorf("%w: got event %d where %d was expected", errLost, e.GetIndex(), a.next)
	}
	a.next++
	return nil
}

// progress is how much of the answer the caller has. It survives attempts: a
// joined run repeats the answer from its start, and what the caller has of it
// is compared and skipped.
type progress struct {
	head bool
	// status is the head's, to compare a repeated head.
	status int32
	// bytes and sum cover the data delivered.
	bytes int64
	sum   maphash.Hash
	// tokens were delivered, as the side process counted them.
	tokens int64

	// skipped and skippedSum cover the data repeated by the current attempt.
	skipped    int64
	skippedSum maphash.Hash
}

// rewind starts the comparison with a new attempt's answer.
func (p *progress) rewind() {
	p.skipped = 0
	p.skippedSum.SetSeed(p.sum.Seed())
	p.skippedSum.Reset()
}

// fresh returns the part of data that the caller does not have yet.
func (p *progress) fresh(data []byte) ([]byte, error) {
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
		return nil, errDiffers
	}
	rest := data[n:]
	p.bytes += int64(len(rest))
	p.skipped = p.bytes
	_, _ = p.sum.Write(rest)
	return rest, nil
}

// whole reports whether the current attempt repeated all that was delivered.
func (p *progress) whole() bool { return p.skipped == p.bytes }

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
