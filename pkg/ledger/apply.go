package ledger

import (
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
)

// Reason is why an item did not take effect, or not in full.
type Reason string

// The reasons of decisions.
const (
	// ReasonNone: the item took effect in full.
	ReasonNone Reason = ""
	// ReasonRepeated: an item with the same id took effect before.
	ReasonRepeated Reason = "repeated"
	// ReasonUnknownBudget: the budget had no top-up yet.
	ReasonUnknownBudget Reason = "unknown-budget"
	// ReasonNotCovered: the tokens paid or granted do not cover the amount.
	ReasonNotCovered Reason = "not-covered"
	// ReasonClosed: the holder was reclaimed.
	ReasonClosed Reason = "holder-closed"
	// ReasonAmount: the item is invalid. An amount is over MaxTokens, or zero or
	// negative if the item does not allow that; or an id or a name is empty.
	ReasonAmount Reason = "bad-amount"
)

// Decision is the fold's decision on one item.
type Decision struct {
	At   fold.Position
	Item Item
	// Applied reports whether the item took effect at all.
	Applied bool
	// Tokens is the amount that took effect. It may be less than the item's.
	Tokens Tokens
	Reason Reason
	// Billed holds the charges that a usage billed.
	Billed []Charge
}

// Apply folds one item. The item types document when they take effect.
func (s *State) Apply(at fold.Position, item fold.Item) {
	decoded, err := Decode(item)
	if err != nil {
		s.Stats.Malformed++
		return
	}
	d := s.decide(decoded)
	d.At = at
	d.Item = decoded
	s.Stats.Applied++
	if s.OnDecision != nil {
		s.OnDecision(d)
	}
}

func (s *State) decide(item Item) Decision {
	switch it := item.(type) {
	case TopUp:
		return s.topUp(it)
	case Grant:
		return s.grant(it)
	case Return:
		return s.returnTokens(it)
	case Usage:
		return s.usage(it)
	case Reclaim:
		return s.reclaim(it)
	}
	return Decision{}
}

// refused counts a refusal and returns the decision for it.
func (s *State) refused(why Reason) Decision {
	s.Stats.Refused++
	return Decision{Reason: why}
}

func (s *State) topUp(it TopUp) Decision {
	if it.ID == "" || it.Budget == "" || it.Tokens == 0 || it.Tokens > MaxTokens || it.Tokens < -MaxTokens {
		return s.refused(ReasonAmount)
	}
	if _, ok := s.topUps[it.ID]; ok {
		s.Stats.Repeated++
		return Decision{Reason: ReasonRepeated}
	}
	a := s.budgets[it.Budget]
	if a == nil {
		a = &account{}
	}
	if a.paid+it.Tokens < a.netGranted || a.paid+it.Tokens > MaxTokens {
		return s.refused(ReasonNotCovered)
	}
	s.rememberTopUp(it.ID)
	s.budgets[it.Budget] = a
	a.paid += it.Tokens
	return Decision{Applied: true, Tokens: it.Tokens}
}

// rememberTopUp stores the id. Ids are never evicted, so that no top-up counts twice.
func (s *State) rememberTopUp(id string) {
	if s.topUps == nil {
		s.topUps = make(map[string]struct{})
		s.budgets = make(map[string]*account)
	}
	s.topUps[id] = struct{}{}
}

func (s *State) grant(it Grant) Decision {
	if it.Tokens <= 0 || it.Tokens > MaxTokens || it.Holder == "" {
		return s.refused(ReasonAmount)
	}
	a := s.budgets[it.Budget]
	if a == nil {
		return s.refused(ReasonUnknownBudget)
	}
	if s.closed.has(it.Holder) {
		return s.refused(ReasonClosed)
	}
	if a.netGranted+it.Tokens > a.paid {
		return s.refused(ReasonNotCovered)
	}
	a.netGranted += it.Tokens
	lease := a.leases[it.Holder]
	lease.Granted += it.Tokens
	a.set(it.Holder, lease)
	return Decision{Applied: true, Tokens: it.Tokens}
}

func (s *State) returnTokens(it Return) Decision {
	if it.Tokens <= 0 || it.Tokens > MaxTokens {
		return s.refused(ReasonAmount)
	}
	a := s.budgets[it.Budget]
	if a == nil {
		return s.refused(ReasonUnknownBudget)
	}
	lease, ok := a.leases[it.Holder]
	if !ok {
		return s.refused(ReasonClosed)
	}
	n := min(it.Tokens, lease.Left())
	if n == 0 {
		return s.refused(ReasonNotCovered)
	}
	lease.Returned += n
	a.netGranted -= n
	a.set(it.Holder, lease)
	return Decision{Applied: true, Tokens: n}
}

func (s *State) usage(it Usage) Decision {
	if it.Request == "" || !validCharges(it.Charges) {
		return s.refused(ReasonAmount)
	}
	a := s.budgets[it.Budget]
	if a == nil {
		return s.refused(ReasonUnknownBudget)
	}
	if _, ok := s.bills.get(it.Request); ok {
		s.Stats.Repeated++
		return Decision{Reason: ReasonRepeated}
	}
	d := Decision{Applied: true}
	for _, c := range it.Charges {
		n := s.bill(a, c, &d)
		if n > 0 {
			d.Tokens += n
			d.Billed = append(d.Billed, Charge{Holder: c.Holder, Tokens: n})
		}
	}
	s.bills.add(it.Request, Bill{Tokens: d.Tokens, Charges: d.Billed})
	return d
}

func validCharges(charges []Charge) bool {
	for _, c := range charges {
		if c.Tokens < 0 || c.Tokens > MaxTokens || c.Holder == "" {
			return false
		}
	}
	return true
}

// bill bills one charge, up to what its lease has left, and returns the tokens billed.
// If it bills less than the charge, it sets the decision's reason.
func (s *State) bill(a *account, c Charge, d *Decision) Tokens {
	if s.closed.has(c.Holder) {
		s.Stats.ClosedCharges++
		d.Reason = ReasonClosed
		return 0
	}
	lease := a.leases[c.Holder]
	n := min(c.Tokens, lease.Left())
	if n < c.Tokens {
		s.Stats.Overdrawn++
		s.Stats.OverdrawnTokens += c.Tokens - n
		d.Reason = ReasonNotCovered
	}
	if n == 0 {
		return 0
	}
	lease.Billed += n
	a.billed += n
	a.set(c.Holder, lease)
	return n
}

func (s *State) reclaim(it Reclaim) Decision {
	if it.Holder == "" {
		return s.refused(ReasonAmount)
	}
	if s.closed.has(it.Holder) {
		s.Stats.Repeated++
		return Decision{Reason: ReasonRepeated}
	}
	s.closed.add(it.Holder, it.Fleet)
	d := Decision{Applied: true}
	for _, a := range s.budgets {
		d.Tokens += a.release(it.Holder)
	}
	return d
}

// release removes a holder's lease and returns the tokens that were left in it.
func (a *account) release(holder ident.Incarnation) Tokens {
	left := a.leases[holder].Left()
	a.netGranted -= left
	a.set(holder, Lease{})
	delete(a.leases, holder)
	return left
}

// set stores a lease and updates the number of leases with tokens left.
func (a *account) set(holder ident.Incarnation, lease Lease) {
	if a.leases == nil {
		a.leases = make(map[ident.Incarnation]Lease)
	}
	if a.leases[holder].Left() > 0 {
		a.activeLeases--
	}
	if lease.Left() > 0 {
		a.activeLeases++
	}
	a.leases[holder] = lease
}
