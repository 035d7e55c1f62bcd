package lease

import (
	"slices"
	"strings"
	"time"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// Effect is an action that a plan asks the caller to carry out: ProposeGrant,
// ProposeReturn or RequestTransfer.
type Effect interface{ effect() }

// ProposeGrant proposes a grant on the log. The caller passes the fold's decision to
// Decided.
type ProposeGrant struct {
	Budget string
	Holder ident.Incarnation
	Tokens ledger.Tokens
}

// ProposeReturn proposes the return of tokens on the log. They are already debited.
type ProposeReturn struct {
	Budget string
	Holder ident.Incarnation
	Tokens ledger.Tokens
}

// RequestTransfer asks reachable peers for tokens, through BeginTransfer, ServeTransfer
// and CompleteTransfer.
type RequestTransfer struct {
	Budget string
	Tokens ledger.Tokens
}

func (ProposeGrant) effect()    {}
func (ProposeReturn) effect()   {}
func (RequestTransfer) effect() {}

// Plan returns the due effects for all budgets, sorted by the budgets' names: proposed
// grants and proposed returns of tokens. It leaves the shortfalls of waiting
// reservations to PlanBudget, whose caller waits for the effects.
func (h *Holder) Plan(now time.Time) []Effect {
	var names []string
	h.each(func(name string, _ *budgetState) { names = append(names, name) })
	slices.SortFunc(names, strings.Compare)
	var effects []Effect
	for _, name := range names {
		h.with(name, func(_ *shard, b *budgetState) {
			effects = append(effects, h.Policy.plan(name, b, 0, h.Policy.lowWater(), now)...)
		})
	}
	return effects
}

// PlanBudget returns the effects that are due for one budget. They cover the shortfalls
// of reservations since the last call.
func (h *Holder) PlanBudget(budget string, now time.Time) []Effect {
	return h.planBudget(budget, h.Policy.lowWater(), now)
}

// TopUp is like PlanBudget, but refills every lease below its desired level, not only
// those below the low-water mark. It is for callers that write to the log in any case.
func (h *Holder) TopUp(budget string, now time.Time) []Effect { return h.planBudget(budget, 1, now) }

func (h *Holder) planBudget(budget string, lowWater float64, now time.Time) []Effect {
	var effects []Effect
	h.with(budget, func(_ *shard, b *budgetState) {
		shortfall := b.takeShortfall()
		if shortfall > 0 {
			b.transferUntil = now.Add(transferTime)
		}
		effects = h.Policy.plan(budget, b, shortfall, lowWater, now)
	})
	return effects
}

// Urgency is how soon a plan for a budget is needed.
type Urgency int

// The urgencies, from the least to the most urgent.
const (
	// UrgencyNone: a plan would have no effect.
	UrgencyNone Urgency = iota
	// UrgencySoon: the lease has to be refilled, or a part of it returned.
	UrgencySoon
	// UrgencyNow: a request is waiting for tokens.
	UrgencyNow
)

// Urgency reports how soon a plan for the budget is needed.
func (h *Holder) Urgency(budget string, now time.Time) (urgency Urgency) {
	h.with(budget, func(_ *shard, b *budgetState) { urgency = h.Policy.urgencyOf(b, now) })
	return urgency
}

func (p Policy) urgencyOf(b *budgetState, now time.Time) Urgency {
	shortfall := b.shortfall()
	if p.idleReturnDue(b, shortfall, now) {
		if b.seen.Fresh && b.returnable(p) > 0 {
			return UrgencySoon
		}
		return UrgencyNone
	}
	want := p.desiredLevel(b, now)
	switch {
	case shortfall > 0 && p.grantSize(b, want, shortfall, p.lowWater()) > 0:
		return UrgencyNow
	case p.grantSize(b, want, shortfall, p.lowWater()) > 0 || p.hasSurplus(b, want):
		return UrgencySoon
	}
	return UrgencyNone
}

func (p Policy) plan(name string, b *budgetState, shortfall ledger.Tokens, lowWater float64, now time.Time) []Effect {
	if p.idleReturnDue(b, shortfall, now) {
		return p.planReturn(name, b, 0)
	}
	want := p.desiredLevel(b, now)
	effects := p.planGrant(name, b, want, shortfall, lowWater)
	// If the proposed grant covers the shortfall, it is faster than a transfer.
	// Undecided grants of earlier plans do not count: the request does not wait for
	// them.
	if shortfall > 0 && !p.NoTransfer && grantTotal(effects) < shortfall {
		effects = append(effects, RequestTransfer{Budget: name, Tokens: shortfall})
	}
	if len(effects) == 0 && p.hasSurplus(b, want) {
		return p.planReturn(name, b, want)
	}
	return effects
}

// idleReturnDue reports whether the lease has to be returned because no request came
// within Policy.IdleReturn.
func (p Policy) idleReturnDue(b *budgetState, shortfall ledger.Tokens, now time.Time) bool {
	return len(b.waiting) == 0 && shortfall == 0 && p.idle(b, now)
}

// hasSurplus reports whether the free tokens exceed surplusFactor times the desired
// level and some of them can be returned.
func (p Policy) hasSurplus(b *budgetState, want ledger.Tokens) bool {
	return len(b.waiting) == 0 && b.seen.Fresh && b.free > surplusFactor*max(want, p.floorOf(b)) && p.IdleReturn > 0 && b.returnable(p) > 0
}

// returnable returns the free tokens that the policy lets the holder return.
func (b *budgetState) returnable(p Policy) ledger.Tokens {
	if p.ReturnOwnOnly {
		return b.ownFree()
	}
	return b.free
}

// shortfall returns by how many tokens the reservations that failed since the last plan
// exceed the free tokens.
func (b *budgetState) shortfall() ledger.Tokens {
	var n ledger.Tokens
	for _, tokens := range b.shortfalls {
		n += tokens
	}
	return max(0, n-b.free)
}

// takeShortfall returns the shortfall and clears it. Reservations that are still waiting
// are recorded again when they retry.
func (b *budgetState) takeShortfall() ledger.Tokens {
	n := b.shortfall()
	clear(b.shortfalls)
	return n
}

// grantTotal returns the sum of the grants that the effects propose.
func grantTotal(effects []Effect) ledger.Tokens {
	var n ledger.Tokens
	for _, e := range effects {
		if g, ok := e.(ProposeGrant); ok {
			n += g.Tokens
		}
	}
	return n
}

func (p Policy) idle(b *budgetState, now time.Time) bool {
	return p.IdleReturn > 0 && now.Sub(b.demand.last) > p.IdleReturn
}

// planReturn proposes the return of the free tokens above keep. It returns nil if the
// fold's view is not fresh.
func (p Policy) planReturn(name string, b *budgetState, keep ledger.Tokens) []Effect {
	if !b.seen.Fresh {
		return nil
	}
	return p.proposeReturns(name, b, b.free-keep)
}

// planGrant proposes a grant if the level is below the low-water mark or a reservation
// lacks tokens. The grant is at most what the fold shows as free.
func (p Policy) planGrant(name string, b *budgetState, want, shortfall ledger.Tokens, lowWater float64) []Effect {
	n := p.grantSize(b, want, shortfall, lowWater)
	if n <= 0 {
		return nil
	}
	b.pending += n
	return []Effect{ProposeGrant{Budget: name, Holder: b.own, Tokens: n}}
}

// grantSize returns the tokens to request as a grant. It is 0 if none are needed, if
// none are free, or if the fold's view is not fresh.
func (p Policy) grantSize(b *budgetState, want, shortfall ledger.Tokens, lowWater float64) ledger.Tokens {
	if !b.seen.Fresh || b.seen.Free <= 0 {
		return 0
	}
	level := b.free + b.pending
	low := float64(level) < lowWater*float64(want)
	short := shortfall > b.pending
	if !low && !short {
		return 0
	}
	n := want - level
	if p.FirstShare > 0 && b.credited == 0 {
		// At the first grant, the demand here is known from few requests, and the
		// demand at other holders is not known.
		n = min(n, ledger.Tokens(p.FirstShare*float64(b.seen.Free)))
	}
	return max(0, min(max(n, shortfall-b.pending), b.seen.Free-b.pending))
}
