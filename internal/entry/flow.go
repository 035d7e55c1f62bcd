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
	// maxAttempts limits the attempts of a request at all targets together.
	maxAttempts = 5
	// maxResumes limits the attempts that rejoin a run at the same target.
	maxResumes = 3
	// maxSilences is the number of silent attempts after which a target is left for
	// another one even if its side process responds to queries. The first silence may be
	// caused by the connection. A second one, on a new connection, shows that the engine
	// has stopped, or pauses.
	maxSilences = 2
	// interruptedRetryAfter is the Retry-After of a request that was interrupted.
	interruptedRetryAfter = time.Second
)

// AttemptOutcome is the known outcome of one attempt.
type AttemptOutcome int

// The outcomes of attempts.
const (
	// OutcomeOpen: the attempt is running, or its state is unknown.
	OutcomeOpen AttemptOutcome = iota
	// OutcomeNotRun: the attempt did not run and never will.
	OutcomeNotRun
	// OutcomeBilled: the attempt ran and Attempt.Charges were billed for it.
	OutcomeBilled
	// OutcomeJoined: the attempt joined a run that is charged to another one.
	OutcomeJoined
)

// Attempt is one attempt of a request at one target.
type Attempt struct {
	ID     string
	Target route.Target
	// Side is the incarnation of the target's side process that was known when
	// the attempt was sent. It may be empty.
	Side string
	// Reservation is the index in Flow.Reservations of the reservation that is charged.
	Reservation int
	Outcome     AttemptOutcome
	// Join is set if the attempt may only join the run of an earlier attempt.
	Join bool
	// Started is set once the side process has confirmed the start.
	Started bool
	// Charges is what was billed, for OutcomeBilled.
	Charges []ledger.Charge
	// next is the index of the next expected event.
	next   uint64
	joined bool
}

// Flow decides the course of one request: the next step after each attempt, the
// caller's refusal, and the settlement of the reservations.
type Flow struct {
	// Rerunnable is set if the work may run twice.
	Rerunnable bool
	// PriorMayHaveRun is set if an earlier request with the same id may have run. A
	// refusal then never states that the work did not run.
	PriorMayHaveRun bool
	// Attempts are in the order in which they were made.
	Attempts []*Attempt
	// Reservations are the reservations in the order in which they were reserved.
	Reservations []Reservation
	// OutputSent is set once a part of the response was sent to the caller.
	OutputSent bool

	resumes int
	// silences counts the attempts that ended because the stream went silent.
	silences int
}

// last returns the latest attempt.
func (f *Flow) last() *Attempt { return f.Attempts[len(f.Attempts)-1] }

// AfterAttempt returns the next step after the latest attempt ended.
func (f *Flow) AfterAttempt(end End) Step {
	a := f.last()
	switch e := end.(type) {
	case Finished:
		a.recordFinished(e)
		return Done{}
	case Refused:
		return f.afterRefused(a, e)
	case Broken:
		return f.afterBroken(e.Cause)
	}
	return Refuse{Refusal: f.Interrupted("the attempt ended in an unknown way")}
}

// recordFinished records the bill. An attempt that joined a run is not charged.
func (a *Attempt) recordFinished(e Finished) {
	a.Started = true
	if e.Joined {
		a.Outcome = OutcomeJoined
		return
	}
	a.Outcome, a.Charges = OutcomeBilled, e.Charges
}

// afterBroken returns the step after a broken attempt. It probes the attempt, unless
// the run itself cannot complete the response: the run was cancelled, or its response
// differs from the part already sent.
func (f *Flow) afterBroken(cause error) Step {
	if errors.Is(cause, ErrSilent) {
		f.silences++
	}
	switch {
	case errors.Is(cause, errResponseDiffers):
		return Refuse{Refusal: f.Interrupted("the joined run's response differs from the part already sent")}
	case !errors.Is(cause, errCancelled):
		return Probe{Cause: cause}
	case f.mayTryElsewhere():
		return Retry{Refusal: f.Interrupted("the run was cancelled")}
	}
	return Refuse{Refusal: f.Interrupted("the run was cancelled before its response was complete")}
}

// afterRefused returns the step after a refusal by the side process. It retries
// only if the refusal proves that the attempt did not run and there was no output.
func (f *Flow) afterRefused(a *Attempt, e Refused) Step {
	r := e.Refusal
	if r.Code == refuse.CodeInProgress && !a.Started {
		a.Outcome = OutcomeJoined // Another run of the same request is in progress, and is charged.
		return Refuse{Refusal: f.withRequestOutcome(r)}
	}
	if r.Outcome != refuse.NotRun || a.Started {
		return Refuse{Refusal: f.withRequestOutcome(r)}
	}
	a.Outcome = OutcomeNotRun
	if !f.mayTryElsewhere() {
		return Refuse{Refusal: f.withRequestOutcome(r)}
	}
	switch r.Code {
	case refuse.CodeHolderClosed:
		return ReserveAgain{Refusal: r, Holder: e.Holder}
	case refuse.CodeDraining:
		return Retry{Free: true, Refusal: r}
	case refuse.CodeBusy, refuse.CodeNoTarget, refuse.CodeInterrupted:
		return Retry{Refusal: r}
	}
	return Refuse{Refusal: f.withRequestOutcome(r)}
}

// AfterProbe returns the step after the side process's report in response to a Probe.
// Work that must not run twice is never sent to another target while the outcome of an
// attempt is open. Work whose response the caller has in part is never sent to another
// target either.
func (f *Flow) AfterProbe(report OutcomeReport) Step {
	a := f.last()
	f.Record(a, report)
	if !f.TooManySilences() && f.mayJoin(a, report.State) {
		return f.joinAgain()
	}
	mayJoin := f.mayJoin(a, report.State)
	if f.mayTryElsewhere() {
		return Retry{OrJoin: mayJoin, Refusal: f.Interrupted("the target did not respond")}
	}
	if mayJoin {
		return f.joinAgain()
	}
	return Refuse{Refusal: f.Interrupted("the target stopped responding before the response was complete")}
}

// joinAgain returns the step that joins the run at the same target.
func (f *Flow) joinAgain() Retry {
	f.resumes++
	return Retry{Join: true, Free: true, Refusal: f.Interrupted("the run could not be joined")}
}

// mayJoin reports whether the run can be joined at the target of attempt a. The run
// was started by a, or by an earlier attempt at that target that a was meant to join.
func (f *Flow) mayJoin(a *Attempt, state State) bool {
	if f.resumes >= maxResumes || !f.attemptsLeft() {
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

// TooManySilences reports whether the request has seen maxSilences silent attempts.
func (f *Flow) TooManySilences() bool { return f.silences >= maxSilences }

// mayTryElsewhere reports whether the request may go to another target: the caller
// has no part of a response, and either a second run is harmless or no attempt so far
// may have run.
func (f *Flow) mayTryElsewhere() bool {
	if f.OutputSent || !f.attemptsLeft() {
		return false
	}
	return f.Rerunnable || !f.mayHaveRun()
}

// Record records a side process's report about an attempt.
//
// StateNotRun counts only if the report comes from the incarnation that was known
// before the attempt was sent. A successor has no record of what ran before its own
// start. An attempt that has started never gets OutcomeNotRun, whatever is reported
// later.
func (f *Flow) Record(a *Attempt, report OutcomeReport) {
	if a.Outcome != OutcomeOpen {
		return
	}
	switch report.State {
	case StateFinished:
		a.recordFinished(Finished{Joined: wire.SumCharges(report.Charges) == 0, Charges: report.Charges})
	case StateNotRun:
		if !a.Started && a.Side != "" && a.Side == report.Side {
			a.Outcome = OutcomeNotRun
		}
	case StateRunning:
		a.Started = true
	}
}

// attemptsLeft reports whether another attempt is allowed.
func (f *Flow) attemptsLeft() bool { return len(f.Attempts) < maxAttempts }

// withRequestOutcome returns the refusal with the outcome of the request as a whole:
// not-run only if none of its attempts may have run.
func (f *Flow) withRequestOutcome(r refuse.Refusal) refuse.Refusal {
	r.Outcome = f.Outcome()
	return r
}

// Interrupted returns the refusal of a request that ended without a complete response.
func (f *Flow) Interrupted(message string) refuse.Refusal {
	return f.withRequestOutcome(refuse.Refusal{
		Code:       refuse.CodeInterrupted,
		RetryAfter: interruptedRetryAfter,
		Message:    message,
	})
}

// Outcome returns NotRun if no attempt, and no earlier request with the same id, may have
// run; otherwise it returns Unknown.
func (f *Flow) Outcome() refuse.Outcome {
	if f.PriorMayHaveRun || f.mayHaveRun() {
		return refuse.Unknown
	}
	return refuse.NotRun
}

// mayHaveRun reports whether an attempt of this request may have run.
func (f *Flow) mayHaveRun() bool {
	return slices.ContainsFunc(f.Attempts, func(a *Attempt) bool { return a.Outcome != OutcomeNotRun })
}

// openSides returns the distinct incarnations of the side processes of the attempts
// whose outcome is open.
func (f *Flow) openSides() []string {
	var sides []string
	for _, a := range f.Open() {
		if !slices.Contains(sides, a.Side) {
			sides = append(sides, a.Side)
		}
	}
	return sides
}

// tried returns the distinct names of the targets of all attempts.
func (f *Flow) tried() []string {
	var names []string
	for _, a := range f.Attempts {
		if !slices.Contains(names, a.Target.Name) {
			names = append(names, a.Target.Name)
		}
	}
	return names
}
