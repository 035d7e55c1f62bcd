package ledger

import (
	"maps"
	"slices"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

const (
	// MaxTokens bounds the tokens of one item and those paid for one budget, so
	// that no sum of two overflows.
	MaxTokens Tokens = 1 << 52
	// billWindow is the number of usages whose request ids are remembered. A second
	// usage for an id is recognised if fewer than this many others were folded in
	// between. The window is not a time, since the result of the fold must not depend
	// on the writers' clocks.
	billWindow = 1 << 16
	// closedWindow is the number of reclaimed holders that are remembered. A grant to a
	// holder that is no longer remembered would take effect, but its tokens could not
	// be spent, because the fleet stream still shows the holder as closed.
	closedWindow = 1 << 14
)

// State is the folded state of one budget stream. The zero value is the state before
// the first record. It implements the state machine interface of package fold, and is
// not safe for concurrent use.
//
// Invariant for each budget, at every position in the stream: billed <= net granted <=
// paid.
type State struct {
	// OnDecision, if set, is called for each well-formed item with the fold's decision.
	// It must not use the state.
	OnDecision func(Decision)
	// Stats holds counters. They never decrease, except by Restore.
	Stats Stats

	budgets map[string]*account
	topUps  map[string]struct{}
	closed  closedHolders
	bills   recentBills
}

// account is the state of one budget.
type account struct {
	// paid is the sum of the top-ups that took effect.
	paid Tokens
	// netGranted is granted - returned - reclaimed over all leases, including those of
	// reclaimed holders. It never exceeds paid.
	netGranted Tokens
	// billed is the sum of all bills. It never exceeds netGranted.
	billed Tokens
	leases map[ident.Incarnation]Lease
	// activeLeases is the number of leases with tokens left.
	activeLeases int
}

// Lease is the part of one budget that was granted to one holder. Amounts are
// cumulative.
type Lease struct {
	Granted  Tokens `json:"granted"`
	Returned Tokens `json:"returned"`
	Billed   Tokens `json:"billed"`
}

// Left returns the tokens that can still be billed to the lease.
func (s Lease) Left() Tokens { return s.Granted - s.Returned - s.Billed }

// Stats counts items by the fold's decision on them.
type Stats struct {
	Applied   uint64 `json:"applied"`
	Malformed uint64 `json:"malformed"`
	// Refused counts items that did not take effect, except repeated ones.
	Refused uint64 `json:"refused"`
	// Repeated counts usages and top-ups whose id had taken effect before, and reclaims
	// of holders that were reclaimed before.
	Repeated uint64 `json:"repeated"`
	// Overdrawn counts charges above what their lease had left. OverdrawnTokens counts
	// the tokens that were therefore not billed. Both stay 0 unless a holder or a side
	// process is faulty.
	Overdrawn       uint64 `json:"overdrawn"`
	OverdrawnTokens Tokens `json:"overdrawn-tokens"`
	// ClosedCharges counts charges to reclaimed holders, which are not billed.
	ClosedCharges uint64 `json:"closed-charges"`
}

// closedHolders remembers the last closedWindow reclaimed holders.
type closedHolders struct {
	offsets map[ident.Incarnation]logsvc.Offset
	order   []ident.Incarnation
}

// add remembers a holder, and evicts the oldest one if there are more than closedWindow.
func (c *closedHolders) add(holder ident.Incarnation, fleet logsvc.Offset) {
	if c.offsets == nil {
		c.offsets = make(map[ident.Incarnation]logsvc.Offset)
	}
	c.offsets[holder] = fleet
	c.order = append(c.order, holder)
	if len(c.order) > closedWindow {
		delete(c.offsets, c.order[0])
		c.order = c.order[1:]
	}
}

func (c *closedHolders) has(holder ident.Incarnation) bool {
	_, ok := c.offsets[holder]
	return ok
}

// Budget is the public view of one budget.
type Budget struct {
	Name string `json:"name"`
	Paid Tokens `json:"paid"`
	// Granted is what holders were granted, less what was returned or reclaimed.
	Granted Tokens `json:"granted"`
	Billed  Tokens `json:"billed"`
	// Free is what is paid and not granted.
	Free Tokens `json:"free"`
	// Holders is the number of leases with tokens left.
	Holders int `json:"holders"`
}

// Balance returns the tokens that are paid and not billed.
func (b Budget) Balance() Tokens { return b.Paid - b.Billed }

// Budget returns a budget, and whether it exists.
func (s *State) Budget(name string) (Budget, bool) {
	a, ok := s.budgets[name]
	if !ok {
		return Budget{Name: name}, false
	}
	return a.view(name), true
}

func (a *account) view(name string) Budget {
	return Budget{
		Name: name, Paid: a.paid, Granted: a.netGranted, Billed: a.billed,
		Free: a.paid - a.netGranted, Holders: a.activeLeases,
	}
}

// Budgets returns the names of all budgets, sorted.
func (s *State) Budgets() []string { return slices.Sorted(maps.Keys(s.budgets)) }

// Lease returns a holder's lease of a budget, and whether it exists. The leases
// of a reclaimed holder no longer exist.
func (s *State) Lease(budget string, holder ident.Incarnation) (Lease, bool) {
	a, ok := s.budgets[budget]
	if !ok {
		return Lease{}, false
	}
	lease, ok := a.leases[holder]
	return lease, ok
}

// Holders returns the holders that have a lease of the budget, sorted.
func (s *State) Holders(budget string) []ident.Incarnation {
	a, ok := s.budgets[budget]
	if !ok {
		return nil
	}
	return slices.Sorted(maps.Keys(a.leases))
}

// Reclaimed reports whether the holder's leases were reclaimed.
func (s *State) Reclaimed(holder ident.Incarnation) bool { return s.closed.has(holder) }

// Billed returns the bill of a request, and whether the bill is among the remembered
// ones.
func (s *State) Billed(request string) (Bill, bool) { return s.bills.get(request) }
