package entry

import (
	"errors"
	"slices"
	"time"

	"github.com/beryllanding/beryllanding/pkg/ident"
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
	// interruptedRetryAfter is when a caller may ask again for a request that
	// was interrupted.
	interruptedRetryAfter = time.Second
)

// Fate is what is known of one attempt.
type Fate int

// The fates of attempts.
const (
	// FateOpen: the attempt runs, or nothing is known of it.
	FateOpen Fate = iota
	// FateNotRun: it did not and will not run.
	FateNotRun
	// FateBilled: it ran, and Charges were billed for it.
	FateBilled
	// FateJoined: it joined a run that is charged to another attempt.
	FateJoined
)

// Attempt is one attempt of a request at one target.
type Attempt struct {
	ID     string
	Target route.Target
	// Hold is the index of the ticket that is charged.
	Hold int
	Fate Fate
	// Started is set once the side process confirmed the start.
	Started bool
	// Charges were billed, for FateBilled.
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
	// Attempts are in the order in which they were made.
	Attempts []*Attempt
	// Holds are the tickets, in the order in which they were reserved.
	Holds []Ticket
	// Output is set once a part of the answer went to the caller.
	Output bool

	resumes int
}

// End says how an attempt ended: Finished, Refused or Broken.
type End interface{ end() }

// Finished is an end with the whole answer.
type Finished struct {
	Joined  bool
	Charges []ledger.Charge
}

// Refused is an end by the side process's refusal.
type Refused struct {
	Refusal refuse.Refusal
	// Holder is the closed holder, for CodeHolderClosed; it may be empty.
	Holder ident.Incarnation
}

// Broken is an end without an answer: the connection was lost, went silent or
// carried events that do not belong together.
type Broken struct{ Cause error }

func (Finished) end() {}
func (Refused) end()  {}
func (Broken) end()   {}

// Step is what to do next: Done, Refuse, Retry, Rehold or Probe.
type Step interface{ step() }

// Done says that the caller has the whole answer.
type Done struct{}

// Refuse says that the caller gets this refusal.
type Refuse struct{ Refusal refuse.Refusal }

// Retry says to make another attempt, at the same target to join the run there, or at
// another. Free attempts put no load on the targets and cost no retry budget.
type Retry struct {
	Same    bool
	Free    bool
	Refusal refuse.Refusal
}

// Rehold says that a slice charged belongs to a closed holder: reserve anew and
// retry.
type Rehold struct {
	Refusal refuse.Refusal
	// Holder is the closed holder, or empty where it was not named.
	Holder ident.Incarnation
}

// Probe says to ask the target's side process, on a fresh connection, what
// became of the last attempt, and to pass its answer to Probed.
type Probe struct{}

func (Done) step()   {}
func (Refuse) step() {}
func (Retry) step()  {}
func (Rehold) step() {}
func (Probe) step()  {}

// Fact is a side process's answer to what became of an attempt.
type Fact struct {
	State   State
	Charges []ledger.Charge
}

// State is the state of an attempt as its side process tells it.
type State string

// The states of attempts.
const (
	StateRunning  State = "running"
	StateFinished State = "finished"
	StateNotRun   State = "not-run"
	StateUnknown  State = "unknown"
	// StateUnreachable: the side process gave no answer.
	StateUnreachable State = "unreachable"
)

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
		if errors.Is(e.Cause, errDiffers) {
			return Refuse{Refusal: f.Interrupted("the run that was joined gives another answer")}
		}
		return Probe{}
	}
	return Refuse{Refusal: f.Interrupted("the attempt ended in an unknown way")}
}

// finished notes the bill. An attempt that joined a run is not charged.
func (a *Attempt) finished(e Finished) {
	a.Started = true
	if e.Joined {
		a.Fate = FateJoined
		return
	}
	a.Fate, a.Charges = FateBilled, e.Charges
}

// refused decides what follows a refusal by the side process. Only a refusal
// that proves that the attempt did not run, before any output, is tried again.
func (f *Flow) refused(a *Attempt, e Refused) Step {
	r := e.Refusal
	if r.Code == refuse.CodeInProgress && !a.Started {
		a.Fate = FateJoined // another run of the request bears the charge
		return Refuse{Refusal: f.honest(r)}
	}
	if r.Outcome != refuse.NotRun || a.Started {
		return Refuse{Refusal: f.honest(r)}
	}
	a.Fate = FateNotRun
	if f.Output || !f.mayContinue() {
		return Refuse{Refusal: f.honest(r)}
	}
	switch r.Code {
	case refuse.CodeHolderClosed:
		return Rehold{Refusal: r, Holder: e.Holder}
	case refuse.CodeLeaving:
		return Retry{Free: true, Refusal: r}
	case refuse.CodeBusy, refuse.CodeNoTarget, refuse.CodeInterrupted:
		return Retry{Refusal: r}
	}
	return Refuse{Refusal: f.honest(r)}
}

// Probed decides what follows the side process's answer to a Probe. Work that
// may not run twice is never sent to another target while its fate is open, and
// neither is work whose answer the caller has a part of.
func (f *Flow) Probed(fact Fact) Step {
	a := f.last()
	f.Learn(a, fact)
	switch fact.State {
	case StateRunning, StateFinished:
		if f.resumes < maxResumes && f.mayContinue() {
			f.resumes++
			return Retry{Same: true, Free: true, Refusal: f.Interrupted("the run could not be joined")}
		}
	case StateNotRun:
		if !f.Output && f.mayContinue() {
			return Retry{Refusal: f.Interrupted("the attempt did not run")}
		}
	}
	if f.Rerunnable && !f.Output && f.mayContinue() {
		return Retry{Refusal: f.Interrupted("the target gave no answer")}
	}
	return Refuse{Refusal: f.Interrupted("the target stopped answering before the answer was complete")}
}

// Learn notes what a side process said about an attempt. An attempt that
// started cannot have the fate not-run, whatever is said later.
func (f *Flow) Learn(a *Attempt, fact Fact) {
	if a.Fate != FateOpen {
		return
	}
	switch fact.State {
	case StateFinished:
		a.Started = true
		a.Fate, a.Charges = FateBilled, fact.Charges
	case StateNotRun:
		if !a.Started {
			a.Fate = FateNotRun
		}
	case StateRunning:
		a.Started = true
	}
}

// mayContinue reports whether another attempt is allowed.
func (f *Flow) mayContinue() bool { return len(f.Attempts) < maxAttempts }

// honest returns the refusal with the outcome that holds for the request as a
// whole: not run only where no attempt of it may have run.
func (f *Flow) honest(r refuse.Refusal) refuse.Refusal {
	r.Outcome = f.Outcome()
	return r
}

// Interrupted returns the refusal of a request that ended without an answer.
func (f *Flow) Interrupted(message string) refuse.Refusal {
	return f.honest(refuse.Refusal{
		Code:       refuse.CodeInterrupted,
		RetryAfter: interruptedRetryAfter,
		Message:    message,
	})
}

// Outcome returns what may be promised about the request as a whole.
func (f *Flow) Outcome() refuse.Outcome {
	for _, a := range f.Attempts {
		if a.Fate != FateNotRun {
			return refuse.Unknown
		}
	}
	return refuse.NotRun
}

// Open returns the attempts whose fate is not known.
func (f *Flow) Open() []*Attempt {
	var open []*Attempt
	for _, a := range f.Attempts {
		if a.Fate == FateOpen {
			open = append(open, a)
		}
	}
	return open
}

// Settlement is what to do with one ticket: Settle, Cancel or Defer.
type Settlement interface{ settlement() }

// Settle charges the ticket.
type Settle struct{ Charges []ledger.Charge }

// Cancel puts the ticket's tokens back.
type Cancel struct{}

// Defer leaves the ticket to what the log says about the request.
type Defer struct{}

func (Settle) settlement() {}
func (Cancel) settlement() {}
func (Defer) settlement()  {}

// Settlements returns what to do with each ticket, in the order of Holds.
//
// The fold bills the first usage on the log under the request's id. Where one
// attempt at most was billed and all others are known not to be, its charges
// are that usage. Where two were billed or the fate of one is open, only the
// log tells which usage was first, so that each ticket that may be charged is
// deferred; putting tokens back on a guess could overspend the budget.
func (f *Flow) Settlements() []Settlement {
	certain := len(f.Open()) == 0 && f.billed() <= 1
	list := make([]Settlement, len(f.Holds))
	for i := range f.Holds {
		list[i] = f.settlement(i, certain)
	}
	return list
}

func (f *Flow) settlement(hold int, certain bool) Settlement {
	var result Settlement = Cancel{}
	for _, a := range f.Attempts {
		if a.Hold != hold || a.Fate == FateNotRun || a.Fate == FateJoined {
			continue
		}
		if !certain {
			return Defer{}
		}
		result = Settle{Charges: a.Charges}
	}
	return result
}

func (f *Flow) billed() int {
	n := 0
	for _, a := range f.Attempts {
		if a.Fate == FateBilled {
			n++
		}
	}
	return n
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
