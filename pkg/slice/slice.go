// Package slice decides what a holder does with its slices of budgets: admit,
// settle, ask for more, hand over and give back.
//
// A Holder has no goroutine, clock or socket. Events and the time go in; charges
// and effects come out. Its state is in shards by budget, each under its own
// lock, so it is safe for concurrent use.
//
// The invariant: for each budget and each slice on the log, the lots of all
// instances (free, reserved or on their way between two) never exceed what the
// slice has left. A holder debits before it returns or hands over, and credits
// only what the fold granted to it or a peer debited.
package slice

import (
	"errors"
	"hash/maphash"
	"sync"
	"time"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// ErrDry reports that the free lots do not cover a reservation.
var ErrDry = errors.New("slice does not cover the reservation")

// ErrKnown reports that a ticket id is in use.
var ErrKnown = errors.New("ticket id is in use")

const (
	// shardCount is the number of locks that the budgets are spread over.
	shardCount = 16
	// givenWindow is the number of answers to transfers that each shard
	// remembers. An id forgotten since would be served anew, which moves more
	// tokens than asked and never creates any.
	givenWindow = 1024
	// shortTime is how long an effort to get tokens from peers takes.
	shortTime = 20 * time.Millisecond
)

// Holder is the state of one instance over all budgets.
type Holder struct {
	// Policy sizes the slices. Set it before use.
	Policy Policy

	seed   maphash.Seed
	shards [shardCount]shard
	mu     sync.Mutex // guards own and closed
	own    ident.Incarnation
	closed map[ident.Incarnation]struct{}
}

// New returns a holder without any tokens.
func New(own ident.Incarnation, policy Policy) *Holder {
	return &Holder{
		Policy: policy,
		seed:   maphash.MakeSeed(),
		own:    own,
		closed: make(map[ident.Incarnation]struct{}),
	}
}

// shard holds the books of some of the budgets.
type shard struct {
	mu    sync.Mutex
	books map[string]*book
	// given holds the answers to transfers; givenOrder is the ring of their ids.
	given      map[string][]ledger.Charge
	givenOrder []string
	givenNext  int
	// deferred holds the deferred tickets by request.
	deferred map[string][]deferral
}

// lot is a number of free tokens charged to one holder's slice.
type lot struct {
	holder ident.Incarnation
	tokens ledger.Tokens
}

// book is what the holder knows and has of one budget.
type book struct {
	// own is the incarnation that the book's grants go to.
	own ident.Incarnation
	// lots holds the free tokens. No two lots have the same holder.
	lots []lot
	// free is the sum over lots.
	free ledger.Tokens
	// reserved is the sum over the charges of tickets, and reservedOwn the part of it
	// that is charged to the own slice.
	reserved    ledger.Tokens
	reservedOwn ledger.Tokens
	tickets     map[string][]ledger.Charge
	// credited is the part of the own slice's Granted that was put into lots.
	credited ledger.Tokens
	// pending is the sum of the proposed grants that are not decided.
	pending ledger.Tokens
	// asks holds the ids of the transfers asked for and not answered.
	asks map[string]struct{}
	// lacking holds the reservations that found the book dry since the last
	// plan, by ticket id.
	lacking map[string]ledger.Tokens
	// shortUntil is when the effort for the last lack is over.
	shortUntil time.Time
	seen       Seen
	need       demand
	// used is what settled requests used of the own slice, and what peers got of it
	// under pledges.
	used ledger.Tokens
	// pledge is the promise that the log holds, nextPledge one that is being
	// written.
	pledge     pledge
	nextPledge *pledge
	// paceLevel is what may be reserved under pacing, as of paceAt.
	paceLevel float64
	paceAt    time.Time
	// awaited holds the reservations that found the book dry until they succeed or
	// are withdrawn, by ticket id. Nothing is given back meanwhile.
	awaited map[string]ledger.Tokens
}

// Seen is what the fold shows of a budget.
type Seen struct {
	// Fresh is false while the log cannot be read or the reader is stale; no
	// grant is proposed then.
	Fresh bool
	// Known is false for a budget that does not exist in the fold.
	Known bool
	Paid  ledger.Tokens
	// Free is paid and not granted.
	Free   ledger.Tokens
	Billed ledger.Tokens
	// Holders is the number of slices with tokens left.
	Holders int
	// Lost estimates what went with ended holders.
	Lost ledger.Tokens
	// OthersPerSecond is the rate of the demand at the other holders.
	OthersPerSecond ledger.Tokens
	// Granted is the cumulative amount granted to Own.
	Own     ident.Incarnation
	Granted ledger.Tokens
}

// Own returns the incarnation that new grants go to.
func (h *Holder) Own() ident.Incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.own
}

// isClosed reports whether the holder was closed. It may be called under a
// shard's lock.
func (h *Holder) isClosed(holder ident.Incarnation) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.closed[holder]
	return ok
}

func (h *Holder) shardOf(budget string) *shard {
	return &h.shards[maphash.String(h.seed, budget)%shardCount]
}

// with runs fn on the budget's book, which is made where it is new, under the
// shard's lock.
func (h *Holder) with(budget string, fn func(s *shard, b *book)) {
	s := h.shardOf(budget)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.books[budget]
	if b == nil {
		b = &book{own: h.Own()}
		if s.books == nil {
			s.books = make(map[string]*book)
		}
		s.books[budget] = b
	}
	fn(s, b)
}

// each runs fn on every book under its shard's lock.
func (h *Holder) each(fn func(budget string, b *book)) {
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		for name, b := range s.books {
			fn(name, b)
		}
		s.mu.Unlock()
	}
}

// put adds free tokens.
func (b *book) put(holder ident.Incarnation, n ledger.Tokens) {
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

// draw takes n free tokens, which the caller knows to be there. Lots of others
// go first: they are lost when their holder is closed, and a book with few lots
// makes reservations of few charges.
func (b *book) draw(n ledger.Tokens) []ledger.Charge {
	charges := make([]ledger.Charge, 0, 1)
	for _, own := range []bool{false, true} {
		charges, n = b.drawFrom(own, n, charges)
	}
	b.dropEmpty()
	return charges
}

func (b *book) drawFrom(own bool, n ledger.Tokens, charges []ledger.Charge) ([]ledger.Charge, ledger.Tokens) {
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

func (b *book) dropEmpty() {
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

// ownPart returns the part of charges that is charged to the own slice.
func (b *book) ownPart(charges []ledger.Charge) (n ledger.Tokens) {
	for _, c := range charges {
		if c.Holder == b.own {
			n += c.Tokens
		}
	}
	return n
}

// ownFree returns the free tokens of the own slice.
func (b *book) ownFree() ledger.Tokens {
	for _, l := range b.lots {
		if l.holder == b.own {
			return l.tokens
		}
	}
	return 0
}

// drop removes a holder's free tokens.
func (b *book) drop(holder ident.Incarnation) {
	for i := range b.lots {
		if b.lots[i].holder == holder {
			b.free -= b.lots[i].tokens
			b.lots[i].tokens = 0
		}
	}
	b.dropEmpty()
}

// Holding is what a holder has of one budget.
type Holding struct {
	Budget string        `json:"budget"`
	Free   ledger.Tokens `json:"free"`
	// Own is the part of Free that is of the holder's own slice.
	Own      ledger.Tokens `json:"own"`
	Reserved ledger.Tokens `json:"reserved"`
	Pending  ledger.Tokens `json:"pending"`
}

// Holding returns what the holder has of a budget.
func (h *Holder) Holding(budget string) Holding {
	s := h.shardOf(budget)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.books[budget]
	if b == nil {
		return Holding{Budget: budget}
	}
	return Holding{Budget: budget, Free: b.free, Own: b.ownFree(), Reserved: b.reserved, Pending: b.pending}
}

// PerSecond returns the rate of a budget's demand at the holder.
func (h *Holder) PerSecond(budget string, now time.Time) (rate ledger.Tokens) {
	h.with(budget, func(_ *shard, b *book) {
		rate = ledger.Tokens(b.need.rateNow(h.Policy.rateTime(), h.Policy.RateTime > 0, now))
	})
	return rate
}

// InUse reports whether requests for a budget came lately.
func (h *Holder) InUse(budget string, now time.Time) (inUse bool) {
	h.with(budget, func(_ *shard, b *book) { inUse = !b.need.last.IsZero() && !h.Policy.idle(b, now) })
	return inUse
}

// Unmet returns the tokens of a budget that are asked for within a time, here and, as
// far as they pledge to use them, at the other holders; 0 where most of what is asked
// for here is reserved.
//
// It answers the end of a budget: requests that end give back what they did not use.
// While that serves most requests, one that is turned away may well come back. Once
// it serves few, those that come back would find the same, time and again.
func (h *Holder) Unmet(budget string, within time.Duration, now time.Time) (n ledger.Tokens) {
	h.with(budget, func(_ *shard, b *book) {
		if b.need.mostlyServed(h.Policy.rateTime(), now) {
			return
		}
		rate := b.need.askedNow(h.Policy.rateTime(), now) + float64(b.seen.OthersPerSecond)
		n = ledger.Tokens(rate * within.Seconds())
	})
	return n
}

// Holdings returns what the holder has of every budget it has a book of.
func (h *Holder) Holdings() []Holding {
	var all []Holding
	h.each(func(name string, b *book) {
		all = append(all, Holding{Budget: name, Free: b.free, Own: b.ownFree(), Reserved: b.reserved, Pending: b.pending})
	})
	return all
}

// Lots returns the free tokens of a budget by the slice they are charged to.
func (h *Holder) Lots(budget string) []ledger.Charge {
	s := h.shardOf(budget)
	s.mu.Lock()
	defer s.mu.Unlock()
	var lots []ledger.Charge
	if b := s.books[budget]; b != nil {
		for _, l := range b.lots {
			lots = append(lots, ledger.Charge{Holder: l.holder, Tokens: l.tokens})
		}
	}
	return lots
}
