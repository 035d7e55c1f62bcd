package entry

import (
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// End is how an attempt ended: Finished, Refused or Broken.
type End interface{ end() }

// Finished is an end with the complete answer.
type Finished struct {
	Joined  bool
	Charges []ledger.Charge
}

// Refused is an end with a refusal by the side process.
type Refused struct {
	Refusal refuse.Refusal
	// Holder is the closed holder, for CodeHolderClosed. It may be empty.
	Holder ident.Incarnation
}

// Broken is an end without a complete answer: the connection was lost or went silent,
// events were missing or invalid, or a joined run was cancelled or gave another answer.
type Broken struct{ Cause error }

func (Finished) end() {}
func (Refused) end()  {}
func (Broken) end()   {}

// Step is what to do next: Done, Refuse, Retry, ReserveAgain or Probe.
type Step interface{ step() }

// Done means that the caller has the complete answer.
type Done struct{}

// Refuse ends the request with a refusal.
type Refuse struct{ Refusal refuse.Refusal }

// Retry makes another attempt: at the same target, to join the run there, or at another
// target. Free attempts put no load on the targets and are not taken from the retry
// budget. The refusal is sent if that budget is empty.
type Retry struct {
	Join    bool
	Free    bool
	Refusal refuse.Refusal
}

// ReserveAgain makes a new reservation and retries, because a holder that the reservation
// charges is closed.
type ReserveAgain struct {
	Refusal refuse.Refusal
	// Holder is the closed holder, or empty if the side process named none.
	Holder ident.Incarnation
}

// Probe asks the target's side process, on a new connection, for the outcome of the
// latest attempt. The answer goes to Flow.AfterProbe.
type Probe struct{ Cause error }

func (Done) step()         {}
func (Refuse) step()       {}
func (Retry) step()        {}
func (ReserveAgain) step() {}
func (Probe) step()        {}

// OutcomeReport is a side process's answer to a query about an attempt.
type OutcomeReport struct {
	State State
	// Side is the incarnation of the side process that answered.
	Side    string
	Charges []ledger.Charge
}

// State is the state of an attempt as reported by its side process.
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
