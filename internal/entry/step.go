package entry

import (
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// End is how an attempt ended: Finished, Refused or Broken.
type End interface{ end() }

// Finished is an end with the complete response.
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

// Broken is an end without a complete response: the connection was lost or went silent,
// events were missing or invalid, or a joined run was cancelled or gave another
// response.
type Broken struct{ Cause error }

func (Finished) end() {}
func (Refused) end()  {}
func (Broken) end()   {}

// Step is what to do next: Done, Refuse, Retry, ReserveAgain or Probe.
type Step interface{ step() }

// Done means that the caller has the complete response.
type Done struct{}

// Refuse ends the request with a refusal.
type Refuse struct{ Refusal refuse.Refusal }

// Retry makes another attempt. If Join is set, the attempt joins the run at the same
// target, else it goes to another target. A Free attempt adds no load to the targets
// and is not taken from the retry budget. If that budget is empty or no other target takes the
// request, the run at the same target is joined again if OrJoin is set, and else the refusal is
// sent.
type Retry struct {
	Join    bool
	Free    bool
	OrJoin  bool
	Refusal refuse.Refusal
}

// ReserveAgain makes a new reservation and retries, because a holder that the old
// reservation charges is closed.
type ReserveAgain struct {
	Refusal refuse.Refusal
	// Holder is the closed holder, or empty if the side process named none.
	Holder ident.Incarnation
}

// Probe asks the target's side process for the outcome of the latest attempt. The
// report goes to Flow.AfterProbe.
type Probe struct{ Cause error }

func (Done) step()         {}
func (Refuse) step()       {}
func (Retry) step()        {}
func (ReserveAgain) step() {}
func (Probe) step()        {}

// OutcomeReport is a side process's report in response to a query about an attempt.
type OutcomeReport struct {
	State State
	// Side is the incarnation of the side process that responded.
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
	// StateUnreachable: the side process did not respond.
	StateUnreachable State = "unreachable"
)
