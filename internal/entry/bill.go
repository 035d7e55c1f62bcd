package entry

import "github.com/beryllanding/beryllanding/pkg/ledger"

// Open returns the attempts whose outcome is open.
func (f *Flow) Open() []*Attempt {
	var open []*Attempt
	for _, a := range f.Attempts {
		if a.Outcome == OutcomeOpen {
			open = append(open, a)
		}
	}
	return open
}

// Settlement is how to settle one reservation: Settle, Cancel or Defer.
type Settlement interface{ settlement() }

// Settle charges the reservation and returns the rest of its tokens.
type Settle struct{ Charges []ledger.Charge }

// Cancel returns all of the reservation's tokens.
type Cancel struct{}

// Defer keeps the tokens reserved until the log shows the request's bill.
type Defer struct{}

func (Settle) settlement() {}
func (Cancel) settlement() {}
func (Defer) settlement()  {}

// Settlements returns how to settle each reservation, in the order of Reservations.
//
// The fold bills the first usage on the log under the request's id. If at most one
// attempt was billed and no outcome is open, that usage can only be the charges of the
// billed attempt. If two attempts were billed or an outcome is open, only the log shows
// which usage was first. Every reservation that may be charged is then deferred, since
// returning tokens on a guess could overspend the budget.
func (f *Flow) Settlements() []Settlement {
	certain := len(f.Open()) == 0 && f.billed() <= 1
	list := make([]Settlement, len(f.Reservations))
	for i := range f.Reservations {
		list[i] = f.settlement(i, certain)
	}
	return list
}

// settlement returns how to settle the reservation with the index i. certain means
// that at most one attempt was billed and no outcome is open.
func (f *Flow) settlement(i int, certain bool) Settlement {
	var result Settlement = Cancel{}
	for _, a := range f.Attempts {
		if a.Reservation != i || a.Outcome == OutcomeNotRun || a.Outcome == OutcomeJoined {
			continue
		}
		if !certain {
			return Defer{}
		}
		result = Settle{Charges: a.Charges}
	}
	return result
}

// billed returns the number of attempts that were billed.
func (f *Flow) billed() int {
	n := 0
	for _, a := range f.Attempts {
		if a.Outcome == OutcomeBilled {
			n++
		}
	}
	return n
}
