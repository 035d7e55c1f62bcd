package entry

import "github.com/beryllanding/beryllanding/pkg/ledger"

// Open returns the attempts whose outcome is not known.
func (f *Flow) Open() []*Attempt {
	var open []*Attempt
	for _, a := range f.Attempts {
		if a.Outcome == OutcomeOpen {
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
// are that usage. Where two were billed or the outcome of one is open, only the
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
		if a.Hold != hold || a.Outcome == OutcomeNotRun || a.Outcome == OutcomeJoined {
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
		if a.Outcome == OutcomeBilled {
			n++
		}
	}
	return n
}
