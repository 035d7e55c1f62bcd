package entry

import (
	"errors"
	"slices"
	"time"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/refuse"
	"github.com/beryllanding/beryllanding/pkg/route"
)

// Limits of one request.
const (
	// maxAttempts bounds the attempts at all targets together.
	maxAttempts = 5
	// maxResumes bounds the attempts that rejoin a run at the same target.
	maxResumes = 3
	// maxSilences is the silences after which a target is given up although its
	// side process answers. The first may be the connection's fault; the attempt
	// that rejoins on a fresh connection shows whether it is the engine's.
	maxSilences = 2
	// interruptedRetryAfter is when a caller may ask again for a request that
	// was interrupted.
	interruptedRetryAfter = time.Second
)

// AttemptOutcome is what is known of one attempt.
type AttemptOutcome int

// The outcomes of attempts.
const (
	// OutcomeOpen: the attempt runs, or nothing is known of it.
	OutcomeOpen AttemptOutcome = iota
	// OutcomeNotRun: it did not and will not run.
	OutcomeNotRun
	// OutcomeBilled: it ran, and Charges were billed for it.
	OutcomeBilled
	// OutcomeJoined: it joined a run that is charged to another attempt.
	OutcomeJoined
)

// Attempt is one attempt of a request at one target.
type Attempt struct {
	ID     string
	Target route.Target
	// Side is the incarnation of the target's side process that was known before
	// the attempt was sent; it may be empty.
	Side string
	// Hold is the index of the ticket that is charged.
	Hold    int
	Outcome AttemptOutcome
	// Join is set where the attempt may only join the run of an earlier one.
	Join bool
	// Started is set once the side process confirmed the start.
	Started bool
	// Charges were billed, for OutcomeBilled.
	Charges []ledger.Charge
	// next is the index of the next event.
	next   uint64
	joined bool
}

// Flow decides the course of one request: what to do when an attempt ends, what
// the caller is told, and how the tickets are settled.
type Flow struct {
	// Rerunnable is set where the work may run twice.
	Rerunnable bool
	// Prior is set where an earlier request with the same id may have run. The
	// caller is then not told that the work did not happen.
	Prior bool
	// Attempts are in the order in which they were made.
	Attempts []*Attempt
	// Holds are the tickets, in the order in which they were reserved.
	Holds []Ticket
	// Output is set once a part of the answer went to the caller.
	Output bool

	resumes int
	// silences counts the attempts that ended by silence.
	silences int
}

// last returns the attempt in progress.
func (f *Flow) last() *Attempt { return f.Attempts[len(f.Attempts)-1] }

// Ended decides what follows the end of the last attempt.
func (f *Flow) Ended(end End) Step {
	a := f.last()
	switch e := end.(type) {
	case Finished:
		a.finished(e)
		return Done{}
	case Refused:
		return f.refused(a, e)
	case Broken:
		return f.broken(e.Cause)
	}
	return Refuse{Refusal: f.Interrupted("the attempt ended in an unknown way")}
}

// finished notes the bill. An attempt that joined a run is not charged.
func (a *Attempt) finished(e Finished) {
	a.Started = true
	if e.Joined {
		a.Outcome = OutcomeJoined
		return
	}
	a.Outcome, a.Charges = OutcomeBilled, e.Charges
}

// broken decides what follows a broken attempt. Where the run itself cannot give
// the answer, there is nothing to ask.
func (f *Flow) broken(cause error) Step {
	if errors.Is(cause, ErrSilent) {
		f.silences++
	}
	switch {
	case errors.Is(cause, errDiffers):
		return Refuse{Refusal: f.Interrupted("the run that was joined gives another answer")}
	case !errors.Is(cause, errCancelled):
		return Probe{Cause: cause}
	case f.mayMove():
		return Retry{Refusal: f.Interrupted("the run was cancelled")}
	}
	return Refuse{Refusal: f.Interrupted("the run was cancelled before its answer was complete")}
}

// refused decides what follows a refusal by the side process. Only a refusal
// that proves that the attempt did not run, before any output, is tried again.
func (f *Flow) refused(a *Attempt, e Refused) Step {
	r := e.Refusal
	if r.Code == refuse.CodeInProgress && !a.Started {
		a.Outcome = OutcomeJoined // another run of the request bears the charge
		return Refuse{Refusal: f.forRequest(r)}
	}
	if r.Outcome != refuse.NotRun || a.Started {
		return Refuse{Refusal: f.forRequest(r)}
	}
	a.Outcome = OutcomeNotRun
	if !f.mayMove() {
		return Refuse{Refusal: f.forRequest(r)}
	}
	switch r.Code {
	case refuse.CodeHolderClosed:
		return Rehold{Refusal: r, Holder: e.Holder}
	case refuse.CodeLeaving:
		return Retry{Free: true, Refusal: r}
	case refuse.CodeBusy, refuse.CodeNoTarget, refuse.CodeInterrupted:
		return Retry{Refusal: r}
	}
	return Refuse{Refusal: f.forRequest(r)}
}

// Probed decides what follows the side process's answer to a Probe. Work that
// may not run twice is never sent to another target while its outcome is open, and
// neither is work whose answer the caller has a part of.
func (f *Flow) Probed(fact Fact) Step {
	a := f.last()
	f.Learn(a, fact)
	if f.mayResume(a, fact.State) {
		f.resumes++
		return Retry{Same: true, Free: true, Refusal: f.Interrupted("the run could not be joined")}
	}
	if f.mayMove() {
		return Retry{Refusal: f.Interrupted("the target gave no answer")}
	}
	return Refuse{Refusal: f.Interrupted("the target stopped answering before the answer was complete")}
}

// mayResume reports whether the run can be joined at the last attempt's target:
// the attempt's own, or that of an earlier attempt there that this one was to
// join.
func (f *Flow) mayResume(a *Attempt, state State) bool {
	if f.resumes >= maxResumes || f.Stuck() || !f.mayContinue() {
		return false
	}
	switch state {
	case StateRunning, StateFinished:
		return true
	case StateNotRun:
		return slices.ContainsFunc(f.Attempts, func(other *Attempt) bool {
			return other != a && other.Started && other.Target.Name == a.Target.Name
		})
	}
	return false
}

// Stuck reports whether the target has been silent too often to wait for it.
func (f *Flow) Stuck() bool { return f.silences >= maxSilences }

// mayMove reports whether the request may go to another target: the caller has
// no part of an answer, and a second run does no harm or no attempt, the last
// or one before it, may have run.
func (f *Flow) mayMove() bool {
	if f.Output || !f.mayContinue() {
		return false
	}
	return f.Rerunnable || !f.mayHaveRun()
}

// Learn notes what a side process said about an attempt.
//
// "Not run" is believed only of an incarnation that was known before the
// attempt was sent. Another one may have taken its place after that and cannot
// know what ran before its time. Neither can an attempt that started have the
// outcome not-run, whatever is said later.
func (f *Flow) Learn(a *Attempt, fact Fact) {
	if a.Outcome != OutcomeOpen {
		return
	}
	switch fact.State {
	case StateFinished:
		a.finished(Finished{Joined: wire.SumCharges(fact.Charges) == 0, Charges: fact.Charges})
	case StateNotRun:
		if !a.Started && a.Side != "" && a.Side == fact.Side {
			a.Outcome = OutcomeNotRun
		}
	case StateRunning:
		a.Started = true
	}
}

// mayContinue reports whether another attempt is allowed.
func (f *Flow) mayContinue() bool { return len(f.Attempts) < maxAttempts }

// forRequest returns the refusal with the outcome that holds for the request as a
// whole: not run only where no attempt of it may have run.
func (f *Flow) forRequest(r refuse.Refusal) refuse.Refusal {
	r.Outcome = f.Outcome()
	return r
}

// Interrupted returns the refusal of a request that ended without an answer.
func (f *Flow) Interrupted(message string) refuse.Refusal {
	return f.forRequest(refuse.Refusal{
		Code:       refuse.CodeInterrupted,
		RetryAfter: interruptedRetryAfter,
		Message:    message,
	})
}

// Outcome returns what may be promised about the request as a whole.
func (f *Flow) Outcome() refuse.Outcome {
	if f.Prior || f.mayHaveRun() {
		return refuse.Unknown
	}
	return refuse.NotRun
}

// mayHaveRun reports whether an attempt of this request may have run.
func (f *Flow) mayHaveRun() bool {
	return slices.ContainsFunc(f.Attempts, func(a *Attempt) bool { return a.Outcome != OutcomeNotRun })
}

// openSides returns the incarnations of the side processes that attempts of
// unknown outcome were sent to.
func (f *Flow) openSides() []string {
	var sides []string
	for _, a := range f.Open() {
		if !slices.Contains(sides, a.Side) {
			sides = append(sides, a.Side)
		}
	}
	return sides
}

// tried returns the names of the targets that were tried.
func (f *Flow) tried() []string {
	var names []string
	for _, a := range f.Attempts {
		if !slices.Contains(names, a.Target.Name) {
			names = append(names, a.Target.Name)
		}
	}
	return names
}
