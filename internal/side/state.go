package side

import (
	"time"

	"github.com/beryllanding/beryllanding/pkg/claim"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// phase is how far a run is.
type phase int

const (
	// phaseWaiting: admitted to the table, not yet at the target.
	phaseWaiting phase = iota
	// phaseRunning: sent to the target.
	phaseRunning
	// phaseFinished: the whole answer is known.
	phaseFinished
	// phaseRefused: ended without an answer.
	phaseRefused
)

// run is the work on one request at this side process. Several attempts may
// read its output.
type run struct {
	request     string
	fingerprint []byte
	budget      string
	charges     []ledger.Charge
	keyed, once bool
	// owner is the attempt that began the run and whose reservation it is
	// charged to.
	owner string
	// attempts are the attempts that read it, until it is settled.
	attempts []string
	// readers counts the attempts that read it now.
	readers int
	// abandoned is when the last reader left; zero while any reads.
	abandoned time.Time

	phase   phase
	head    *head
	chunks  []chunk
	bytes   int
	end     end
	refusal *refuse.Refusal
	// late says that the answer came after the callers were refused.
	late    bool
	settled bool

	finishedAt time.Time

	// changed, where set, is closed at the next change.
	changed chan struct{}
	// cancel ends the run's work. It is set once, by the server.
	cancel func()
}

// head is the head of a target's answer to a call.
type head struct {
	status  int
	headers []claim.Header
}

// chunk is a part of an answer. It is never changed once it is in a run.
type chunk struct {
	data   []byte
	tokens ledger.Tokens
}

// end is how a run ended.
type end struct {
	billed  ledger.Tokens
	charges []ledger.Charge
	reason  string
}

// ended reports whether the run's callers have their final event.
func (r *run) ended() bool { return r.phase >= phaseFinished }

// begin notes that the run is sent to the target.
func (r *run) begin() {
	if r.phase == phaseWaiting {
		r.phase = phaseRunning
	}
}

// add appends a chunk to the output, and is false where the run has ended: late
// output of an abandoned run is dropped.
func (r *run) add(c chunk) bool {
	if r.ended() {
		return false
	}
	r.chunks = append(r.chunks, c)
	r.bytes += len(c.data)
	return true
}

// again returns the refusal of an attempt at this run that is delivered a second
// time, when the run can no longer be joined. An attempt starts at most one run.
func (r *run) again() *refuse.Refusal {
	if r.phase == phaseRefused {
		return r.refusal
	}
	return unknown(refuse.CodeInterrupted, 0, "the attempt was made before, and its answer is no longer kept")
}

// notify wakes the readers that wait for a change.
func (r *run) notify() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// wait returns a channel that is closed at the next change.
func (r *run) wait() <-chan struct{} {
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// notRun returns a refusal that promises that the work did not happen.
func notRun(code refuse.Code, after time.Duration, message string) *refuse.Refusal {
	return &refuse.Refusal{Code: code, Outcome: refuse.NotRun, RetryAfter: after, Message: message}
}

// unknown returns a refusal of which the work may have happened.
func unknown(code refuse.Code, after time.Duration, message string) *refuse.Refusal {
	return &refuse.Refusal{Code: code, Outcome: refuse.Unknown, RetryAfter: after, Message: message}
}
