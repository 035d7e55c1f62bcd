package side

import (
	"time"

	"github.com/beryllanding/beryllanding/pkg/claim"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// phase is the progress of a run.
type phase int

const (
	// phaseWaiting: in the table, not yet sent to the target.
	phaseWaiting phase = iota
	// phaseRunning: sent to the target.
	phaseRunning
	// phaseFinished: ended with a complete response.
	phaseFinished
	// phaseRefused: ended without a response.
	phaseRefused
)

// run is the work on one request at this side process. Several attempts may read
// its output. keyed reports that the request has an idempotency key, and once that
// it is non-idempotent.
type run struct {
	request     string
	fingerprint []byte
	budget      string
	charges     []ledger.Charge
	keyed, once bool
	// owner is the attempt that started the run. The run is charged to its
	// reservation.
	owner string
	// attempts lists all attempts that have joined the run, until it is settled.
	attempts []string
	// readers counts the attempts that are reading the run.
	readers int
	// abandonedAt is when the last reader left; zero while there are readers.
	abandonedAt time.Time

	phase  phase
	head   *head
	chunks []chunk
	// bytes is the size of the chunks' data. reserved is what is reserved for the chunks of
	// the memory that all runs share, in bytes.
	bytes    int
	reserved int64
	end      end
	refusal  *refuse.Refusal
	// lateResponse reports that the response arrived after the run was refused.
	lateResponse bool
	settled      bool

	finishedAt time.Time

	// changed, if not nil, is closed at the next change.
	changed chan struct{}
	// cancel cancels the run's work. The server sets it once, in launch.
	cancel func()
}

// head is the status and the headers of a target's response to a call.
type head struct {
	status  int
	headers []claim.Header
}

// chunk is a part of a response. It is immutable once it is in a run.
type chunk struct {
	data   []byte
	tokens ledger.Tokens
}

// chunkOverhead is the memory that a chunk takes beside its data, in bytes, with what the list of
// chunks grows beyond its length.
const chunkOverhead = 96

// memory returns the memory that the output takes, in bytes.
func (r *run) memory() int { return r.bytes + chunkOverhead*len(r.chunks) }

// end is the bill and the finish reason of a run that ended.
type end struct {
	billed       ledger.Tokens
	charges      []ledger.Charge
	finishReason string
}

// ended reports whether the run has its final event.
func (r *run) ended() bool { return r.phase >= phaseFinished }

// markSent records that the run is being sent to the target.
func (r *run) markSent() {
	if r.phase == phaseWaiting {
		r.phase = phaseRunning
	}
}

// add appends a chunk to the output. If the run has ended, it drops the chunk and
// returns false.
func (r *run) add(c chunk) bool {
	if r.ended() {
		return false
	}
	r.chunks = append(r.chunks, c)
	r.bytes += len(c.data)
	return true
}

// repeatRefusal returns the refusal of an attempt that is delivered a second time,
// after the run that it started or joined can no longer be joined. The attempt must
// not start a second run.
func (r *run) repeatRefusal() *refuse.Refusal {
	if r.phase == phaseRefused {
		return r.refusal
	}
	return unknown(refuse.CodeInterrupted, 0, "the attempt was made before, and its response is no longer kept")
}

// notify wakes the readers that wait for a change. The caller holds the run's lock.
func (r *run) notify() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// wait returns a channel that is closed at the next change. The caller holds the
// run's lock.
func (r *run) wait() <-chan struct{} {
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// notRun returns a refusal that guarantees that the work did not and will not
// happen.
func notRun(code refuse.Code, after time.Duration, message string) *refuse.Refusal {
	return &refuse.Refusal{Code: code, Outcome: refuse.NotRun, RetryAfter: after, Message: message}
}

// unknown returns a refusal of work that may have happened.
func unknown(code refuse.Code, after time.Duration, message string) *refuse.Refusal {
	return &refuse.Refusal{Code: code, Outcome: refuse.Unknown, RetryAfter: after, Message: message}
}
