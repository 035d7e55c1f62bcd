// Package alloc keeps the budgets of an instance in a store that puts records in one
// order. In each partition, an instance has one account for all budgets there, in which
// it asks for grants. One more record holds its pledges for all budgets.
//
// The accounting rules are in pkg/acct and the local decisions in pkg/lease; this
// package does the input and output around them. Unlike internal/budget, which folds
// proposals from a log, it does not depend on how long a log retains records. The
// number of calls that an instance makes does not grow with the number of budgets.
package alloc

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
	"github.com/beryllanding/beryllanding/pkg/acct"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/lease"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

const (
	// DefaultPartitions is the number of partitions of the accounts. An instance writes each
	// partition separately, so fewer partitions mean fewer calls. One partition is
	// enough for some hundred budgets.
	DefaultPartitions = 1
	// DefaultMaxWait bounds how long a request waits for tokens. It covers several calls
	// to a store that answers in 4 ms, or one call to a slow store.
	DefaultMaxWait = 400 * time.Millisecond
	// planInterval is the time between two planning passes over all budgets. It is
	// short compared with the seconds that a lease lasts.
	planInterval = 250 * time.Millisecond
	// refreshScarce is the age at which the accounts are read again while a budget with
	// requests is scarce. The last requests for the budget need the idle tokens that
	// other instances give back.
	refreshScarce = 400 * time.Millisecond
	// refreshIdle is the age at which the accounts are read again in any case. The
	// accounts show which peers can be asked for tokens while the store is unreachable.
	refreshIdle = 3 * time.Second
	// scarceShare is the share of a budget's total below which the tokens that are not
	// granted yet make the budget scarce.
	scarceShare = 0.3
	// spentReadAge is the maximum age of the accounts on which the refusal of a request
	// for a spent budget is based. Tokens that are given back within this time serve
	// only a few requests.
	spentReadAge = 100 * time.Millisecond
	// spentDelay is how long a budget has to be short of tokens before its requests are
	// refused as spent. By then the other instances have given back the tokens that
	// they do not need.
	spentDelay = 3 * refreshScarce
	// confirmTime is how long after a restore of the store the other holders are expected
	// to write their accounts again. Until then, tokens that are withheld do not count as
	// spent.
	confirmTime = 2 * time.Second
	// restoredTime is how long after a restore the accounts are read as often as those of
	// scarce budgets, so that instances that start meanwhile and ask get answers soon.
	restoredTime = 10 * time.Second
	// unreachableRetryAfter is the retry time given to a request whose tokens this
	// instance cannot get now.
	unreachableRetryAfter = 500 * time.Millisecond
	// releasedSlowly and keptForUrgent say what becomes of the tokens that are left of a budget
	// after a loss.
	releasedSlowly = "released slowly"
	keptForUrgent  = "kept for more urgent requests"
)

// Policy sizes leases for a store that may be unreachable for about ten seconds, and
// for demand that changes within seconds.
var Policy = lease.Policy{
	// Covers the usual outages of the store (7 to 9 s). With 6 s, the refusals during
	// outages outweigh the tokens saved after a power loss.
	Horizon: 9 * time.Second,
	// A lease is refilled when about a seventh of it is used. Each refill costs a call.
	LowWater: 0.85,
	// A pledge is renewed every second, and for each reservation that it does not
	// allow. Between two pledges, all holders together may use 2% of a budget.
	PledgeEvery: time.Second,
	PledgeShare: 0.02,
	// In tokens: one or two large requests.
	Floor:      16384,
	FloorInUse: true,
	// Dozens of instances may start at the same time, so their first grants are small.
	// The second grants follow half a second later.
	FirstShare: 1.0 / 64,
	// All leases together hold at most half of what is left, so a power loss of all
	// machines leaves the other half.
	Share: 0.5,
	// When the callers of an organisation move to another instance, the organisation's
	// tokens are needed there.
	IdleReturn: 6 * time.Second,
	// A few requests a second give a usable rate within four seconds.
	RateTime: 4 * time.Second,
	// When less than a tenth of a budget is left, the floors of idle leases would be a
	// large part of it.
	ScarceShare: 0.1,
	// When a budget comes to its end after such a loss, its less urgent requests leave the rest
	// to the more urgent ones, if these need little of it.
	UrgentTime: 20 * time.Second,
	// After a loss of 3% of a budget, the tokens for the last second of demand are
	// released over 20 s. About one small request in twenty is then served.
	PaceTime:      20 * time.Second,
	PaceThreshold: time.Second,
	PaceShare:     0.03,
	// requestTransfers asks two peers at a time for half of the tokens each. A peer that has
	// less than half of its part gives none.
	MinTransferShare: 0.5,
	// Only the instance itself writes its account.
	ReturnOwnOnly: true,
}

// Options configures a Service. Store, Instance and Topic are required.
type Options struct {
	Store keyed.Store
	// Topic is the topic of the accounts. Its Partitions partitions are assigned by
	// budget; 0 means DefaultPartitions. All instances must use the same number.
	Topic      string
	Partitions int
	// Pledges is the topic of the pledges. Its PledgePartitions partitions are assigned
	// by instance.
	Pledges          string
	PledgePartitions int
	// Instance is the name of this instance, and Machine names the machine that it runs
	// on. No other process may have the same pair.
	Instance string
	Machine  string
	// Boot identifies one boot of the machine. It is empty if the boot is not known.
	Boot string
	// PeerAddr is the address at which other instances ask this one for tokens. Dial
	// returns the client for another instance's address. Both may be empty.
	PeerAddr string
	Dial     func(addr string) wire.PeerClient
	Policy   lease.Policy
	// Clock reads a clock of the machine that continues through suspensions and through
	// restarts of the process. If it is nil, no pledges are made.
	Clock func() time.Duration
	// MaxWait bounds how long Reserve waits; 0 is DefaultMaxWait.
	MaxWait time.Duration
	// Logger is optional.
	Logger *log.Logger
}

// Reservation is a reservation of tokens for one request. The zero value reserves no tokens.
type Reservation struct {
	ID      string
	Budget  string
	Charges []ledger.Charge
}

// Total is the sum that was paid for a budget.
type Total struct {
	Budget string
	Tokens ledger.Tokens
}

// Service manages the budgets of one instance. It is safe for concurrent use.
type Service struct {
	opts   Options
	holder *lease.Holder
	// key identifies this instance's accounts and pledges in the store.
	key        string
	partitions []*partition
	pledger    pledger

	mu      sync.Mutex
	budgets map[string]*budgetState
	ctx     context.Context
	stopped bool
	// fenced is set once another process has taken over this instance's account.
	fenced      atomic.Bool
	peerBackoff peerBackoff
}

// New returns a service that does nothing until Run is called.
func New(opts Options) *Service {
	if opts.MaxWait == 0 {
		opts.MaxWait = DefaultMaxWait
	}
	if opts.Clock == nil {
		opts.Policy.PledgeEvery = 0
	}
	s := &Service{
		opts:    opts,
		holder:  lease.New(ident.NewIncarnation(opts.Instance), opts.Policy),
		key:     opts.Instance + "@" + opts.Machine,
		budgets: make(map[string]*budgetState),
	}
	for i := range cmp.Or(opts.Partitions, DefaultPartitions) {
		p := &partition{id: keyed.Partition{Topic: opts.Topic, Index: i}}
		p.worker.turn = func(ctx context.Context) (bool, error) { return s.turn(ctx, p) }
		p.worker.ended = func(err error, lost, reached bool) { s.partitionTurnEnded(p, err, lost, reached) }
		s.partitions = append(s.partitions, p)
	}
	s.pledger.id = keyed.Partition{Topic: opts.Pledges, Index: partitionOf(s.key, opts.PledgePartitions)}
	s.pledger.writer = keyed.Writer{ID: string(s.holder.ID()), Epoch: 1}
	s.pledger.worker.turn = s.pledgeTurn
	s.pledger.worker.ended = s.pledgeTurnEnded
	return s
}

// partitionOf returns the partition of a key.
func partitionOf(key string, parts int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key)) // never fails, as hash.Hash documents
	return int(h.Sum32() % uint32(max(1, parts)))
}

// bootID identifies one boot of one machine.
func (s *Service) bootID() string { return s.opts.Machine + "/" + s.opts.Boot }

// Run starts due reads and writes of the store until the context ends.
func (s *Service) Run(ctx context.Context) {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		s.kickDue()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// kickDue starts each partition's worker if a read or write of it is due, and likewise
// the pledger's worker.
func (s *Service) kickDue() {
	for _, p := range s.partitions {
		if s.isStale(p) {
			p.requestRead()
			p.worker.kick(s.context())
		} else if !p.isKnown() || s.due(p) {
			p.worker.kick(s.context())
		}
	}
	if !s.pledger.isKnown() || s.pledgeDue() {
		s.pledger.worker.kick(s.context())
	}
}

// isStale reports whether the accounts have to be read again. The age limit is lower
// while a budget with requests is scarce.
func (s *Service) isStale(p *partition) bool {
	p.mu.Lock()
	known, age := p.known, time.Since(p.read)
	p.mu.Unlock()
	if !known || age <= refreshScarce {
		return false
	}
	if age > refreshIdle || s.asks(p) || p.sinceRestore() < restoredTime {
		return true
	}
	return slices.ContainsFunc(p.list(), func(b *budgetState) bool {
		view, _, _ := p.view(b)
		return s.isScarce(b, view)
	})
}

func (s *Service) context() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ctx
}

func (s *Service) kickPartitions() {
	for _, p := range s.partitions {
		p.worker.kick(s.context())
	}
}

// partitionTurnEnded wakes the waiting requests after a turn. It logs when the store
// becomes unreachable and when it is reachable again.
func (s *Service) partitionTurnEnded(p *partition, err error, lost, reached bool) {
	for _, b := range p.list() {
		b.signal()
	}
	if err == nil && s.pledgeDue() {
		s.pledger.worker.kick(s.context()) // New tokens may need a pledge.
	}
	s.report("store of budget accounts is", "part", p.id.Index, err, lost, reached)
}

// pledgeTurnEnded is partitionTurnEnded for the pledges.
func (s *Service) pledgeTurnEnded(err error, lost, reached bool) {
	for _, b := range s.allBudgets() {
		b.signal()
	}
	s.report("store of budget pledges is", "part", s.pledger.id.Index, err, lost, reached)
}

func (s *Service) report(what, key string, value any, err error, lost, reached bool) {
	if lost {
		s.logf(log.WarnLevel, what+" unreachable", key, value, "err", err)
	}
	if reached {
		s.logf(log.InfoLevel, what+" reachable again", key, value)
	}
}

// fence stops all reservations after another process has taken over this instance's
// account. Only a process of the same name on the same machine can take it over. If
// both continued, they would spend the same tokens.
func (s *Service) fence(by *acct.Account) {
	if !s.fenced.Swap(true) {
		s.logf(log.ErrorLevel, "account was taken over by another process with this instance name; no more tokens are reserved",
			"key", s.key, "own", s.holder.ID(), "account", by)
	}
}

// SetTotals sets what is paid for each budget, as of a version. Totals that are not
// newer than the known ones have no effect.
func (s *Service) SetTotals(version int64, totals []Total) {
	for _, t := range totals {
		b := s.budget(t.Budget)
		if b.setTotal(acct.Total{Version: version, Tokens: t.Tokens}) {
			s.logf(log.InfoLevel, "paid total of a budget changed", "budget", t.Budget, "version", version, "paid", t.Tokens)
			if b.partition.isKnown() {
				s.sync(b.partition)
			}
			b.partition.worker.kick(s.context())
		}
	}
}

// Loaded reports whether all accounts were read and this instance still owns its own.
func (s *Service) Loaded() bool {
	for _, p := range s.partitions {
		if !p.isKnown() {
			return false
		}
	}
	return !s.fenced.Load()
}

func (s *Service) allBudgets() []*budgetState {
	var all []*budgetState
	for _, p := range s.partitions {
		all = append(all, p.list()...)
	}
	return all
}

func (s *Service) budget(name string) *budgetState {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[name]
	if b == nil {
		b = &budgetState{name: name, partition: s.partitions[partitionOf(name, len(s.partitions))], progress: make(chan struct{})}
		s.budgets[name] = b
		b.partition.add(b)
	}
	return b
}

// Reserve takes tokens of a budget for a request. If the lease does not cover them, it
// waits up to Options.MaxWait for a grant. The error is a *refuse.Refusal with the
// outcome not-run, or the context's error if the context ended first.
func (s *Service) Reserve(ctx context.Context, budget string, tokens ledger.Tokens) (Reservation, error) {
	return s.ReserveRank(ctx, budget, tokens, 0)
}

// ReserveRank is Reserve for a request of a rank, of which 0 is the most urgent. Near the end
// of a budget, less urgent requests are refused for more urgent ones; see lease.Holder.Yields.
func (s *Service) ReserveRank(ctx context.Context, budget string, tokens ledger.Tokens, rank int) (Reservation, error) {
	// The demand of a request that yields counts too: if it didn't, the next one would not
	// yield.
	s.holder.RecordDemand(budget, tokens, time.Now())
	s.holder.RecordRank(budget, rank, tokens, time.Now())
	if s.holder.Yields(budget, rank, time.Now()) {
		return Reservation{}, s.rationedRefusal(budget, tokens, keptForUrgent)
	}
	if s.fenced.Load() {
		return Reservation{}, s.budgetUnreachable(budget, tokens)
	}
	t := Reservation{ID: ident.NewRequestID(), Budget: budget}
	var err error
	t.Charges, err = s.holder.Reserve(t.ID, budget, tokens, time.Now())
	if err == nil {
		return t, nil
	}
	if errors.Is(err, lease.ErrPaced) {
		return Reservation{}, s.rationedRefusal(budget, tokens, releasedSlowly)
	}
	if !errors.Is(err, lease.ErrInsufficient) {
		return Reservation{}, newRefusal(refuse.CodeTooLarge, 0, err.Error())
	}
	return s.waitAndReserve(ctx, t, tokens)
}

// waitAndReserve waits for tokens and reserves them.
func (s *Service) waitAndReserve(ctx context.Context, t Reservation, tokens ledger.Tokens) (Reservation, error) {
	defer s.holder.Withdraw(t.ID, t.Budget)
	began := time.Now()
	waiting, cancel := context.WithTimeout(ctx, s.opts.MaxWait)
	defer cancel()
	b := s.budget(t.Budget)
	b.addWaiter()
	defer b.removeWaiter()
	for {
		// Get the channel before the attempt, so that a change after the attempt is not
		// missed.
		progress := b.wait()
		var err error
		if t.Charges, err = s.holder.Reserve(t.ID, t.Budget, tokens, time.Now()); err == nil {
			return t, nil
		}
		if s.fenced.Load() {
			return Reservation{}, s.budgetUnreachable(t.Budget, tokens)
		}
		if errors.Is(err, lease.ErrPaced) {
			return Reservation{}, s.rationedRefusal(t.Budget, tokens, releasedSlowly)
		}
		if b.partition.worker.isFailed() || s.pledger.worker.isFailed() || s.asks(b.partition) {
			if !s.requestTransfers(waiting, b, tokens-s.holder.Allowed(t.Budget, time.Now())) {
				return Reservation{}, s.budgetUnreachable(t.Budget, tokens)
			}
			continue
		}
		held := s.holder.Holding(t.Budget)
		if missing := tokens - held.Free; missing > 0 {
			// If a pending grant covers the request, wait for that grant.
			if short, spent := s.checkShort(b, began, missing); short && held.Pending < missing {
				// The missing tokens may have been granted to this instance since the
				// last attempt.
				if t.Charges, err = s.holder.Reserve(t.ID, t.Budget, tokens, time.Now()); err == nil {
					return t, nil
				}
				if s.requestTransfers(waiting, b, missing) {
					continue
				}
				if spent {
					return Reservation{}, newRefusal(refuse.CodeBudgetSpent, 0,
						fmt.Sprintf("budget %q does not cover %d tokens", t.Budget, tokens))
				}
				return Reservation{}, s.budgetUnreachable(t.Budget, tokens)
			}
			b.partition.requestReadIfPending()
			b.partition.worker.kick(s.context())
		}
		s.pledger.worker.kick(s.context())
		select {
		case <-progress:
		case <-waiting.Done():
			if ctx.Err() != nil {
				return Reservation{}, ctx.Err()
			}
			return Reservation{}, s.budgetUnreachable(t.Budget, tokens)
		}
	}
}

// checkShort reports whether the accounts have fewer free tokens than a request still
// needs, and whether the budget counts as spent. The accounts must have been read after
// the request began or, for a spent budget, at most spentReadAge before. If they are
// older, checkShort requests a new read and returns false.
func (s *Service) checkShort(b *budgetState, began time.Time, missing ledger.Tokens) (short, spent bool) {
	view, read, ok := b.partition.view(b)
	if !ok || view.Free >= missing {
		return false, false
	}
	// Tokens that are withheld since a restore may become free within moments.
	spent = b.isSpent(time.Now()) && !s.asks(b.partition) && (view.Free+view.Withheld < missing || b.partition.sinceRestore() > confirmTime)
	if spent {
		began = began.Add(-spentReadAge)
	}
	if read.Before(began) {
		b.partition.requestRead()
		return false, false
	}
	b.noteShort(missing, time.Now())
	return true, spent
}

// budgetUnreachable refuses a request whose tokens this instance cannot get now.
func (s *Service) budgetUnreachable(budget string, tokens ledger.Tokens) error {
	return newRefusal(refuse.CodeBudgetUnreachable, unreachableRetryAfter,
		fmt.Sprintf("budget %q: this instance cannot get %d tokens now; it holds %d and may use %d of them",
			budget, tokens, s.holder.Holding(budget).Free, s.holder.Allowed(budget, time.Now())))
}

// rationedRefusal refuses a request beyond the tokens that are released or kept for it, after a loss
// of machines. It has no retry time: what is left serves few of the requests that are refused, so
// most returns would be in vain.
func (s *Service) rationedRefusal(budget string, tokens ledger.Tokens, why string) error {
	return newRefusal(refuse.CodeBudgetSpent, 0,
		fmt.Sprintf("budget %q does not cover %d tokens: after a loss of machines, what is left is %s", budget, tokens, why))
}

func newRefusal(code refuse.Code, after time.Duration, message string) *refuse.Refusal {
	return &refuse.Refusal{Code: code, Outcome: refuse.NotRun, RetryAfter: after, Message: message}
}

// Settle ends a reservation and frees the tokens that were not used.
func (s *Service) Settle(t Reservation, used ledger.Tokens) {
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
	s.budget(t.Budget).signal()
}

// Holder returns the incarnation of this instance.
func (s *Service) Holder() ident.Incarnation { return s.holder.ID() }

// Holdings returns what this instance holds of each budget.
func (s *Service) Holdings() []lease.Holding { return s.holder.Holdings() }

// Stop gives back all free tokens. It returns when the store has recorded their return,
// or when the context ends. Run must still be running.
func (s *Service) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.returnFree()
	for _, b := range s.allBudgets() {
		if err := s.awaitReturn(ctx, b); err != nil {
			return err
		}
	}
	return nil
}

// awaitReturn waits until the store has recorded the return of a budget's free tokens.
func (s *Service) awaitReturn(ctx context.Context, b *budgetState) error {
	b.addWaiter()
	defer b.removeWaiter()
	// A grant may have been pending when the stop began.
	for b.pendingReturn() > 0 || s.holds(b.name) {
		progress := b.wait()
		b.partition.worker.kick(s.context())
		select {
		case <-progress:
		case <-ctx.Done():
			return fmt.Errorf("free tokens of budget %q were not returned to the store: %w", b.name, ctx.Err())
		}
	}
	return nil
}

// holds reports whether this instance has free or pending tokens of a budget.
func (s *Service) holds(budget string) bool {
	h := s.holder.Holding(budget)
	return h.Own > 0 || h.Pending > 0
}

// returnFree debits all free tokens from the holder and queues them for return.
func (s *Service) returnFree() {
	for _, e := range s.holder.ReturnAll() {
		if r, ok := e.(lease.ProposeReturn); ok {
			s.budget(r.Budget).addReturn(r.Tokens)
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
