package entry

import (
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

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
type Probe struct{ Cause error }

func (Done) step()   {}
func (Refuse) step() {}
func (Retry) step()  {}
func (Rehold) step() {}
func (Probe) step()  {}

// Fact is a side process's answer to what became of an attempt.
type Fact struct {
	State State
	// Side is the incarnation of the side process that answered.
	Side    string
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
