// Package vault keeps the budgets of an instance on a store that puts records in one
// order. Each instance has one account of all budgets, in which it claims tokens, and one
// record of pledges.
//
// The rules are those of pkg/sheet and the local decisions those of pkg/slice;
// what is done here is the input and output around them. Compared with
// internal/budget, which folds proposals from a log, nothing has to outlive the
// log's retention. The calls of an instance do not grow with the number of budgets.
package vault

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/refuse"
	"github.com/beryllanding/beryllanding/pkg/sheet"
	"github.com/beryllanding/beryllanding/pkg/slice"
)

const (
	// DefaultParts is the number of partitions of the accounts. An instance writes each
	// by itself, so that few make few calls. One takes some hundred budgets.
	DefaultParts = 1
	// DefaultWait bounds how long a request waits for tokens: some calls to a
	// store that answers in 4 ms, or one to a slow store.
	DefaultWait = 400 * time.Millisecond
	// planEvery is the pause between two plans over all budgets. A slice lasts
	// for seconds.
	planEvery = 250 * time.Millisecond
	// refreshScarce is the age at which the accounts are read again while a budget
	// with requests is nearly granted. Idle tokens near its end are what its last
	// requests lack.
	refreshScarce = 400 * time.Millisecond
	// refreshIdle is the age at which the accounts are read again in any case: they say
	// who may be asked for tokens in a cut.
	refreshIdle = 3 * time.Second
	// scarceShare is the part of a budget under which it is nearly granted.
	scarceShare = 0.3
	// recent is the age up to which the accounts tell a request of a spent budget that
	// they lack its tokens: what is given back serves few of them.
	recent = 100 * time.Millisecond
	// settleTime is how long a budget has to lack tokens before its requests are
	// told that it is spent: by then the other instances have given back what
	// they hold without need.
	settleTime = 3 * refreshScarce
	// awayRetry is when a request may come back whose tokens are out of reach.
	awayRetry = 500 * time.Millisecond
)

// Policy sizes slices for a store that may be out of reach for some ten seconds,
// with demand that changes within seconds. Where a figure was tried against others,
// the commit that set it has both.
var Policy = slice.Policy{
	// Outages of seven to nine seconds are usual; six lost more in them than it
	// saved after a power loss.
	Horizon: 9 * time.Second,
	// A slice is renewed when a seventh of it is used, at the cost of a call.
	LowWater: 0.85,
	// A pledge is renewed each second, and with each reservation beyond it; all
	// holders together may use 2% of a budget between two.
	PledgeEvery: time.Second,
	PledgeShare: 0.02,
	// In tokens: one or two large requests.
	Floor:      16384,
	FloorInUse: true,
	// Dozens of instances may begin at a time; the second grant comes half a second
	// later.
	FirstShare: 1.0 / 64,
	// At most half of what is left is in all slices, so that a power loss of all
	// machines leaves the other half.
	Share: 0.5,
	// An organisation whose callers moved to another instance needs the tokens
	// there.
	IdleReturn: 6 * time.Second,
	// A few requests a second give a rate within four seconds.
	RateTime: 4 * time.Second,
	// Below a tenth, idle floors would be a large part of what is left.
	ScarceShare: 0.1,
	// After a loss of 3% the last second of demand is stretched over 20 s: about
	// one small request in twenty is served.
	PaceTime:  20 * time.Second,
	PaceBelow: time.Second,
	PaceShare: 0.03,
	// Two peers are asked for half each.
	GiveLeast: 0.5,
	// An account is written by its instance alone.
	ReturnOwn: true,
}

// Options configures a Service. Store, Instance and Topic are required.
type Options struct {
	Store keyed.Store
	// Topic holds the accounts, in Parts partitions by budget; 0 is DefaultParts. All
	// instances have the same number.
	Topic string
	Parts int
	// Pledges holds the pledges, in PledgeParts partitions by instance.
	Pledges     string
	PledgeParts int
	// Instance is the name of this instance, and Machine names the machine that it
	// runs on. No other process has the two.
	Instance string
	Machine  string
	// Boot tells the machine's starts apart, where it can be known.
	Boot string
	// Peer is where other instances ask this one for tokens, and Dial returns the
	// client of another's address. Both may be empty.
	Peer   string
	Dial   func(addr string) wire.PeerClient
	Policy slice.Policy
	// Clock reads a clock of the machine that goes on over suspensions and restarts of
	// the process. Where it is nil, no pledges are made.
	Clock func() time.Duration
	// Wait bounds how long Reserve waits; 0 is DefaultWait.
	Wait time.Duration
	// Logger is optional.
	Logger *log.Logger
}

// Ticket is a reservation of tokens for one request. The zero value is one of no
// tokens.
type Ticket struct {
	ID      string
	Budget  string
	Charges []ledger.Charge
}

// Total is what was paid for a budget in all.
type Total struct {
	Budget string
	Tokens ledger.Tokens
}

// Service is the budgets of one instance. It is safe for concurrent use.
type Service struct {
	opts   Options
	holder *slice.Holder
	// key is that of the own account and pledges.
	key     string
	parts   []*part
	pledger pledger

	mu      sync.Mutex
	books   map[string]*book
	ctx     context.Context
	stopped bool
	// fenced is set once another process took over the own account.
	fenced atomic.Bool
	peers  peerMemory
}

// New returns a service that does nothing until Run.
func New(opts Options) *Service {
	if opts.Wait == 0 {
		opts.Wait = DefaultWait
	}
	if opts.Clock == nil {
		opts.Policy.PledgeEvery = 0
	}
	s := &Service{
		opts:   opts,
		holder: slice.New(ident.NewIncarnation(opts.Instance), opts.Policy),
		key:    opts.Instance + "@" + opts.Machine,
		books:  make(map[string]*book),
	}
	for i := range cmp.Or(opts.Parts, DefaultParts) {
		p := &part{place: keyed.Place{Topic: opts.Topic, Part: i}}
		p.worker.turn = func(ctx context.Context) (bool, error) { return s.turn(ctx, p) }
		p.worker.ended = func(err error, lost, reached bool) { s.partEnded(p, err, lost, reached) }
		s.parts = append(s.parts, p)
	}
	s.pledger.place = keyed.Place{Topic: opts.Pledges, Part: partOf(s.key, opts.PledgeParts)}
	s.pledger.writer = keyed.Writer{ID: string(s.holder.Own()), Epoch: 1}
	s.pledger.worker.turn = s.pledgeTurn
	s.pledger.worker.ended = s.pledgesEnded
	return s
}

// partOf returns the partition of a key.
func partOf(key string, parts int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key)) // never fails, as hash.Hash documents
	return int(h.Sum32() % uint32(max(1, parts)))
}

// machine names one start of the machine.
func (s *Service) machine() string { return s.opts.Machine + "/" + s.opts.Boot }

// Run plans until the context ends.
func (s *Service) Run(ctx context.Context) {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	tick := time.NewTicker(planEvery)
	defer tick.Stop()
	for {
		s.plans()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// plans asks for the turns that are due.
func (s *Service) plans() {
	for _, p := range s.parts {
		if s.isOld(p) {
			p.askRead()
			p.worker.kick(s.context())
		} else if !p.isKnown() || s.due(p) {
			p.worker.kick(s.context())
		}
	}
	if !s.pledger.isKnown() || s.pledgeDue() {
		s.pledger.worker.kick(s.context())
	}
}

// isOld reports whether the accounts have to be read again: soon for a budget that has
// requests and is nearly granted.
func (s *Service) isOld(p *part) bool {
	p.mu.Lock()
	known, age := p.known, time.Since(p.read)
	p.mu.Unlock()
	if !known || age <= refreshScarce {
		return false
	}
	if age > refreshIdle {
		return true
	}
	return slices.ContainsFunc(p.list(), func(b *book) bool {
		view, _, _ := p.view(b)
		return s.isScarce(b, view)
	})
}

func (s *Service) context() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ctx
}

func (s *Service) kickParts() {
	for _, p := range s.parts {
		p.worker.kick(s.context())
	}
}

// partEnded tells those who wait, and the log, what a turn came to.
func (s *Service) partEnded(p *part, err error, lost, reached bool) {
	for _, b := range p.list() {
		b.signal()
	}
	if err == nil && s.pledgeDue() {
		s.pledger.worker.kick(s.context()) // There may be tokens to pledge for.
	}
	s.report("accounts of budgets are", "part", p.place.Part, err, lost, reached)
}

// pledgesEnded is partEnded for the pledges.
func (s *Service) pledgesEnded(err error, lost, reached bool) {
	for _, b := range s.all() {
		b.signal()
	}
	s.report("pledges of budgets are", "part", s.pledger.place.Part, err, lost, reached)
}

func (s *Service) report(what, key string, value any, err error, lost, reached bool) {
	if lost {
		s.logf(log.WarnLevel, what+" out of reach", key, value, "err", err)
	}
	if reached {
		s.logf(log.InfoLevel, what+" within reach again", key, value)
	}
}

// fence ends the use of tokens: the own account was taken over, which only a process
// of this name on this machine does. Two would spend the same tokens.
func (s *Service) fence(by *sheet.Account) {
	if !s.fenced.Swap(true) {
		s.logf(log.ErrorLevel, "account was taken over by another process of this instance; no tokens are given out",
			"key", s.key, "own", s.holder.Own(), "account", by)
	}
}

// SetTotals takes over what is paid for each budget, as of a version.
func (s *Service) SetTotals(version int64, totals []Total) {
	for _, t := range totals {
		b := s.book(t.Budget)
		if b.setTotal(sheet.Total{Version: version, Tokens: t.Tokens}) {
			s.logf(log.InfoLevel, "total of a budget changed", "budget", t.Budget, "version", version, "paid", t.Tokens)
			if b.part.isKnown() {
				s.sync(b.part)
			}
			b.part.worker.kick(s.context())
		}
	}
}

// Loaded reports whether all accounts were read.
func (s *Service) Loaded() bool {
	for _, p := range s.parts {
		if !p.isKnown() {
			return false
		}
	}
	return !s.fenced.Load()
}

func (s *Service) all() []*book {
	var all []*book
	for _, p := range s.parts {
		all = append(all, p.list()...)
	}
	return all
}

func (s *Service) book(name string) *book {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.books[name]
	if b == nil {
		b = &book{name: name, part: s.parts[partOf(name, len(s.parts))], progress: make(chan struct{})}
		s.books[name] = b
		b.part.add(b)
	}
	return b
}

// Reserve takes tokens of a budget for a request. Where the slice does not cover
// them it waits, for a bounded time, for a grant. The error is a *refuse.Refusal
// with the outcome not-run, or the context's error where the caller left.
func (s *Service) Reserve(ctx context.Context, budget string, tokens ledger.Tokens) (Ticket, error) {
	if s.fenced.Load() {
		return Ticket{}, s.away(budget, tokens)
	}
	t := Ticket{ID: ident.NewRequest(), Budget: budget}
	s.holder.Wanted(budget, tokens, time.Now())
	var err error
	t.Charges, err = s.holder.Reserve(t.ID, budget, tokens, time.Now())
	if err == nil {
		return t, nil
	}
	if errors.Is(err, slice.ErrPaced) {
		return Ticket{}, s.setAside(budget)
	}
	if !errors.Is(err, slice.ErrDry) {
		return Ticket{}, refused(refuse.CodeTooLarge, 0, err.Error())
	}
	return s.reserveDry(ctx, t, tokens)
}

// reserveDry waits for tokens and reserves them.
func (s *Service) reserveDry(ctx context.Context, t Ticket, tokens ledger.Tokens) (Ticket, error) {
	defer s.holder.Withdraw(t.ID, t.Budget)
	began := time.Now()
	waiting, cancel := context.WithTimeout(ctx, s.opts.Wait)
	defer cancel()
	b := s.book(t.Budget)
	b.enter()
	defer b.leave()
	for {
		// The channel is taken before the attempt, so that no progress after the
		// attempt is missed.
		progress := b.wait()
		var err error
		if t.Charges, err = s.holder.Reserve(t.ID, t.Budget, tokens, time.Now()); err == nil {
			return t, nil
		}
		if s.fenced.Load() {
			return Ticket{}, s.away(t.Budget, tokens)
		}
		if errors.Is(err, slice.ErrPaced) {
			return Ticket{}, s.setAside(t.Budget)
		}
		if b.part.worker.isFailed() || s.pledger.worker.isFailed() {
			if !s.askPeers(waiting, b, tokens-s.holder.Allowed(t.Budget, time.Now())) {
				return Ticket{}, s.away(t.Budget, tokens)
			}
			continue
		}
		held := s.holder.Holding(t.Budget)
		if missing := tokens - held.Free; missing > 0 {
			// A claim on its way that covers it is waited for.
			if short, spent := s.lacks(b, began, missing); short && held.Pending < missing {
				// The accounts may lack what was granted here since the attempt.
				if t.Charges, err = s.holder.Reserve(t.ID, t.Budget, tokens, time.Now()); err == nil {
					return t, nil
				}
				if s.askPeers(waiting, b, missing) {
					continue
				}
				if spent {
					return Ticket{}, refused(refuse.CodeBudgetSpent, 0,
						fmt.Sprintf("budget %q does not cover %d tokens", t.Budget, tokens))
				}
				return Ticket{}, s.away(t.Budget, tokens)
			}
			b.part.askSettled()
			b.part.worker.kick(s.context())
		}
		s.pledger.worker.kick(s.context())
		select {
		case <-progress:
		case <-waiting.Done():
			if ctx.Err() != nil {
				return Ticket{}, ctx.Err()
			}
			return Ticket{}, s.away(t.Budget, tokens)
		}
	}
}

// lacks reports whether accounts that were read after a request began have fewer tokens
// free than it misses here, and whether the budget counts as spent. Older accounts are
// read again.
func (s *Service) lacks(b *book, began time.Time, missing ledger.Tokens) (short, spent bool) {
	view, read, ok := b.part.view(b)
	if !ok || view.Free >= missing {
		return false, false
	}
	spent = b.isSpent(time.Now())
	if spent {
		began = began.Add(-recent)
	}
	if read.Before(began) {
		b.part.askRead()
		return false, false
	}
	b.lacks(missing, time.Now())
	return true, spent
}

func (s *Service) away(budget string, tokens ledger.Tokens) error {
	return refused(refuse.CodeBudgetAway, awayRetry,
		fmt.Sprintf("budget %q has no %d tokens within reach of this instance: it holds %d, and may use %d of them",
			budget, tokens, s.holder.Holding(budget).Free, s.holder.Allowed(budget, time.Now())))
}

// setAside refuses a request to which nothing of a budget's last tokens is due.
// Coming back soon would not help.
func (s *Service) setAside(budget string) error {
	return refused(refuse.CodeBudgetSpent, 0,
		fmt.Sprintf("budget %q is spent but for a rest that is set aside after a loss", budget))
}

func refused(code refuse.Code, after time.Duration, message string) *refuse.Refusal {
	return &refuse.Refusal{Code: code, Outcome: refuse.NotRun, RetryAfter: after, Message: message}
}

// Settle ends a ticket: what was not used is free again.
func (s *Service) Settle(t Ticket, used ledger.Tokens) {
	if t.ID == "" {
		return
	}
	charges := make([]ledger.Charge, 0, len(t.Charges))
	for _, c := range t.Charges {
		c.Tokens = min(c.Tokens, used)
		used -= c.Tokens
		charges = append(charges, c)
	}
	s.holder.Settle(t.ID, t.Budget, charges, time.Now())
	s.book(t.Budget).signal()
}

// Holder returns the incarnation of this instance.
func (s *Service) Holder() ident.Incarnation { return s.holder.Own() }

// Holdings returns what this instance has of all budgets.
func (s *Service) Holdings() []slice.Holding { return s.holder.Holdings() }

// Stop gives back all free tokens. It returns when they are on the store or the
// context ends; Run must still be running.
func (s *Service) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.returnFree()
	for _, b := range s.all() {
		if err := s.awaitReturn(ctx, b); err != nil {
			return err
		}
	}
	return nil
}

// awaitReturn waits until the store has all tokens of a budget that are given back.
func (s *Service) awaitReturn(ctx context.Context, b *book) error {
	b.enter()
	defer b.leave()
	// A grant may have been on its way when the stop began.
	for b.owed() > 0 || s.holds(b.name) {
		progress := b.wait()
		b.part.worker.kick(s.context())
		select {
		case <-progress:
		case <-ctx.Done():
			return fmt.Errorf("free tokens of budget %q are not given back: %w", b.name, ctx.Err())
		}
	}
	return nil
}

// holds reports whether tokens of a budget are free here, or on their way.
func (s *Service) holds(budget string) bool {
	h := s.holder.Holding(budget)
	return h.Own > 0 || h.Pending > 0
}

// returnFree debits all free tokens, to be given back.
func (s *Service) returnFree() {
	for _, e := range s.holder.ReturnAll() {
		if r, ok := e.(slice.ProposeReturn); ok {
			s.book(r.Budget).owe(r.Tokens)
		}
	}
}

func (s *Service) isStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

func (s *Service) logf(level log.Level, msg string, fields ...any) {
	if s.opts.Logger != nil {
		s.opts.Logger.Log(level, msg, fields...)
	}
}
