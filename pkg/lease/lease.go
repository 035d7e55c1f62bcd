// Package lease manages the leases of budgets that one holder has: it reserves and
// settles tokens, requests grants, transfers tokens to peers and returns them.
//
// A Holder has no goroutine, clock or socket. The caller passes in events and the
// time, and carries out the effects that are returned. State is sharded by budget
// with one lock per shard, so a Holder is safe for concurrent use.
//
// Invariant: for each lease, the tokens charged to it at all instances (free, reserved
// or in transfer between two instances) never exceed the tokens left in the lease on
// the log. To keep the invariant, a holder debits tokens before it returns or transfers
// them, and credits only tokens that the fold granted to it or that a peer has debited.
package lease

import (
	"errors"
	"hash/maphash"
	"sync"
	"time"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// ErrInsufficient reports that the free lots, or the pledge, do not cover a reservation.
var ErrInsufficient = errors.New("lease does not cover the reservation")

// ErrReservationExists reports that an open reservation already has the id.
var ErrReservationExists = errors.New("reservation id is in use")

const (
	// shardCount is the number of shards that budgets are spread over.
	shardCount = 16
	// answerWindow is the number of transfer answers that each shard remembers. A
	// request that is repeated after its id was evicted is served a second time. This
	// moves more tokens than were asked for, but creates none.
	answerWindow = 1024
	// transferTime is how long a holder collects tokens from peers after a shortfall.
	// During this time its own requests come before those of peers with a larger name;
	// see ServeTransfer.
	transferTime = 20 * time.Millisecond
)

// Holder manages the leases of one instance, for all budgets.
type Holder struct {
	// Policy sizes the leases. It must not be changed after the first call.
	Policy Policy

	seed   maphash.Seed
	shards [shardCount]shard
	mu     sync.Mutex // guards own and closed
	own    ident.Incarnation
	closed map[ident.Incarnation]struct{}
}

// New returns a holder that has no tokens.
func New(own ident.Incarnation, policy Policy) *Holder {
	return &Holder{
		Policy: policy,
		seed:   maphash.MakeSeed(),
		own:    own,
		closed: make(map[ident.Incarnation]struct{}),
	}
}

// shard holds the state of the budgets that hash to it.
type shard struct {
	mu      sync.Mutex
	budgets map[string]*budgetState
	// answers holds the answers to transfer requests by id. answerOrder holds the ids
	// in the order of their answers. Once it has answerWindow ids, it is a ring buffer,
	// and answerNext is the index of the oldest id, which the next one replaces.
	answers     map[string][]ledger.Charge
	answerOrder []string
	answerNext  int
	// deferred holds the deferred reservations by request.
	deferred map[string][]deferral
}

// lot is an amount of free tokens that are charged to one holder's lease.
type lot struct {
	holder ident.Incarnation
	tokens ledger.Tokens
}

// budgetState is the holder's state for one budget.
type budgetState struct {
	// own is the incarnation that receives the grants.
	own ident.Incarnation
	// lots holds the free tokens. No two lots have the same holder.
	lots []lot
	// free is the sum over lots.
	free ledger.Tokens
	// reserved is the sum of the charges of all open reservations. reservedOwn is the
	// part that is charged to the holder's own lease.
	reserved     ledger.Tokens
	reservedOwn  ledger.Tokens
	reservations map[string][]ledger.Charge
	// credited is how much of View.Granted has been added to lots.
	credited ledger.Tokens
	// pending is the sum of the proposed grants that are still undecided.
	pending ledger.Tokens
	// openTransfers holds the ids of transfers that peers have not answered yet.
	openTransfers map[string]struct{}
	// shortfalls holds the tokens of reservations that failed with ErrInsufficient since the
	// last plan, by reservation id.
	shortfalls map[string]ledger.Tokens
	// transferUntil is when the collection of tokens for the last shortfall ends.
	transferUntil time.Time
	seen          View
	demand        demand
	// ranks is the demand by rank, or nil before the first request with a rank.
	ranks *rankDemand
	// used counts the tokens of the own lease that settled requests used. Under
	// pledges, it includes those transferred to peers.
	used ledger.Tokens
	// pledge is the last pledge that is known to be on the log. nextPledge is the one
	// being written, or nil.
	pledge     pledge
	nextPledge *pledge
	// paceTokens are the tokens that may be reserved under pacing, as of paceAt.
	paceTokens float64
	paceAt     time.Time
	// waiting holds the tokens of reservations that failed with ErrInsufficient and
	// have neither succeeded nor been withdrawn since, by reservation id. While it is
	// not empty, no tokens are returned as idle or surplus.
	waiting map[string]ledger.Tokens
}

// View is the fold's view of a budget, as one holder sees it. Amounts are in tokens.
type View struct {
	// Fresh is false while the log cannot be read or the reader is stale. No grant
	// or return is then proposed.
	Fresh bool
	// Known is false for a budget that does not exist in the fold.
	Known bool
	Paid  ledger.Tokens
	// Free is what is paid and not granted.
	Free   ledger.Tokens
	Billed ledger.Tokens
	// Holders is the number of leases with tokens left.
	Holders int
	// Lost estimates the tokens of ended holders that count as spent but were not used.
	Lost ledger.Tokens
	// OthersPerSecond is the demand at the other holders, in tokens per second.
	OthersPerSecond ledger.Tokens
	// Own is the incarnation of the holder. Granted is the cumulative amount granted to
	// Own.
	Own     ident.Incarnation
	Granted ledger.Tokens
}

// ID returns the incarnation that new grants go to.
func (h *Holder) ID() ident.Incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.own
}

// isClosed reports whether the holder was closed. It may be called with a shard
// locked.
func (h *Holder) isClosed(holder ident.Incarnation) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.closed[holder]
	return ok
}

func (h *Holder) shardOf(budget string) *shard {
	return &h.shards[maphash.String(h.seed, budget)%shardCount]
}

// with calls fn with the budget's state and its shard, while the shard is locked. It
// creates the state if the budget is new.
func (h *Holder) with(budget string, fn func(s *shard, b *budgetState)) {
	s := h.shardOf(budget)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[budget]
	if b == nil {
		b = &budgetState{own: h.ID()}
		if s.budgets == nil {
			s.budgets = make(map[string]*budgetState)
		}
		s.budgets[budget] = b
	}
	fn(s, b)
}

// each calls fn for every budget, with its shard locked.
func (h *Holder) each(fn func(budget string, b *budgetState)) {
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		for name, b := range s.budgets {
			fn(name, b)
		}
		s.mu.Unlock()
	}
}

// credit adds free tokens that are charged to the holder's lease.
func (b *budgetState) credit(holder ident.Incarnation, n ledger.Tokens) {
	if n <= 0 {
		return
	}
	b.free += n
	for i := range b.lots {
		if b.lots[i].holder == holder {
			b.lots[i].tokens += n
			return
		}
	}
	b.lots = append(b.lots, lot{holder: holder, tokens: n})
}

// debit removes n free tokens and returns them as charges. The caller checks that there
// are at least n. Lots of other holders are used first, for two reasons: they are lost
// when their holder is closed, and fewer lots mean fewer charges for each reservation.
func (b *budgetState) debit(n ledger.Tokens) []ledger.Charge {
	charges := make([]ledger.Charge, 0, 1)
	for _, own := range []bool{false, true} {
		charges, n = b.debitLots(own, n, charges)
	}
	b.removeEmptyLots()
	return charges
}

func (b *budgetState) debitLots(own bool, n ledger.Tokens, charges []ledger.Charge) ([]ledger.Charge, ledger.Tokens) {
	for i := range b.lots {
		l := &b.lots[i]
		if n == 0 || (l.holder == b.own) != own {
			continue
		}
		part := min(l.tokens, n)
		l.tokens -= part
		b.free -= part
		n -= part
		charges = append(charges, ledger.Charge{Holder: l.holder, Tokens: part})
	}
	return charges, n
}

func (b *budgetState) removeEmptyLots() {
	kept := b.lots[:0]
	for _, l := range b.lots {
		if l.tokens > 0 {
			kept = append(kept, l)
		}
	}
	b.lots = kept
}

func sum(charges []ledger.Charge) ledger.Tokens {
	var n ledger.Tokens
	for _, c := range charges {
		n += c.Tokens
	}
	return n
}

// ownPart returns how many tokens are charged to the own lease.
func (b *budgetState) ownPart(charges []ledger.Charge) (n ledger.Tokens) {
	for _, c := range charges {
		if c.Holder == b.own {
			n += c.Tokens
		}
	}
	return n
}

// ownFree returns the free tokens of the own lease.
func (b *budgetState) ownFree() ledger.Tokens {
	for _, l := range b.lots {
		if l.holder == b.own {
			return l.tokens
		}
	}
	return 0
}

// dropLots removes the free tokens that are charged to a holder's lease.
func (b *budgetState) dropLots(holder ident.Incarnation) {
	for i := range b.lots {
		if b.lots[i].holder == holder {
			b.free -= b.lots[i].tokens
			b.lots[i].tokens = 0
		}
	}
	b.removeEmptyLots()
}

// Holding is what a holder has of one budget, in tokens.
type Holding struct {
	Budget string        `json:"budget"`
	Free   ledger.Tokens `json:"free"`
	// Own is the part of Free that is charged to the holder's own lease.
	Own      ledger.Tokens `json:"own"`
	Reserved ledger.Tokens `json:"reserved"`
	Pending  ledger.Tokens `json:"pending"`
}

// Holding returns what the holder has of a budget.
func (h *Holder) Holding(budget string) Holding {
	s := h.shardOf(budget)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[budget]
	if b == nil {
		return Holding{Budget: budget}
	}
	return Holding{Budget: budget, Free: b.free, Own: b.ownFree(), Reserved: b.reserved, Pending: b.pending}
}

// PerSecond returns the demand for a budget at the holder, in tokens per second.
func (h *Holder) PerSecond(budget string, now time.Time) (rate ledger.Tokens) {
	h.with(budget, func(_ *shard, b *budgetState) {
		rate = ledger.Tokens(b.demand.rateNow(h.Policy.rateTime(), h.Policy.RateTime > 0, now))
	})
	return rate
}

// InUse reports whether a request for the budget came within the last
// Policy.IdleReturn. If IdleReturn is 0, any earlier request counts.
func (h *Holder) InUse(budget string, now time.Time) (inUse bool) {
	h.with(budget, func(_ *shard, b *budgetState) { inUse = !b.demand.last.IsZero() && !h.Policy.idle(b, now) })
	return inUse
}

// Unmet estimates the tokens of a budget that requests will ask for within a period. It
// adds the demand at this holder and the rates that the other holders publish. It
// returns 0 if at least half of the tokens recently asked for here were reserved.
//
// Unmet is for budgets that are nearly exhausted: their only free tokens are those that
// requests release when they end. While these tokens serve most requests, a refused
// request may succeed on a retry. Once they serve only a few, retries would be refused
// again.
func (h *Holder) Unmet(budget string, within time.Duration, now time.Time) (n ledger.Tokens) {
	h.with(budget, func(_ *shard, b *budgetState) {
		if b.demand.mostlyServed(h.Policy.rateTime(), now) {
			return
		}
		rate := b.demand.requestRateNow(h.Policy.rateTime(), now) + float64(b.seen.OthersPerSecond)
		n = ledger.Tokens(rate * within.Seconds())
	})
	return n
}

// Holdings returns what the holder has of every budget that it knows.
func (h *Holder) Holdings() []Holding {
	var all []Holding
	h.each(func(name string, b *budgetState) {
		all = append(all, Holding{Budget: name, Free: b.free, Own: b.ownFree(), Reserved: b.reserved, Pending: b.pending})
	})
	return all
}

// Lots returns the free tokens of a budget as one charge for each lease.
func (h *Holder) Lots(budget string) []ledger.Charge {
	s := h.shardOf(budget)
	s.mu.Lock()
	defer s.mu.Unlock()
	var lots []ledger.Charge
	if b := s.budgets[budget]; b != nil {
		for _, l := range b.lots {
			lots = append(lots, ledger.Charge{Holder: l.holder, Tokens: l.tokens})
		}
	}
	return lots
}
