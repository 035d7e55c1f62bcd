// Package budget does the input and output around the budget decisions. It follows the
// budget streams, proposes grants and returns of tokens, transfers tokens between
// peers, and lets a request wait for a bounded time for pending tokens.
package budget

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/lease"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

const (
	// DefaultMaxWait bounds how long a request waits for pending tokens.
	DefaultMaxWait = 400 * time.Millisecond
	// DefaultPlanEvery is the time between two planning passes over all budgets.
	DefaultPlanEvery = 250 * time.Millisecond
	// DefaultMaxAge is the age up to which the folded state counts as current. A read of
	// a stream without new records takes up to two seconds.
	DefaultMaxAge = 5 * time.Second
	// defaultRetryAfter is the Retry-After of a refused request that may succeed later.
	defaultRetryAfter = 2 * time.Second
	// grantWait is how long a request waits for the decision on a grant before it asks
	// the peers.
	grantWait = 100 * time.Millisecond
	// outcomePollInterval is the time between two checks of the open reservations
	// during a planned stop.
	outcomePollInterval = 10 * time.Millisecond
)

// Options configures a Service. Log and Instance are required.
type Options struct {
	Log logsvc.Service
	// Instance is the name of the entry instance, and the prefix of its incarnations.
	Instance string
	// Holder is the first incarnation; if empty, New makes one.
	Holder ident.Incarnation
	// Shards is the number of budget streams; 0 means 1.
	Shards int
	Policy lease.Policy
	// MaxWait bounds how long Reserve waits; 0 means DefaultMaxWait.
	MaxWait time.Duration
	// PlanEvery is the time between planning passes; 0 means DefaultPlanEvery.
	PlanEvery time.Duration
	// MaxAge is the age up to which the folded state counts as current; 0 means
	// DefaultMaxAge.
	MaxAge time.Duration
	// CheckpointEvery is the number of records between checkpoints. CheckpointInterval
	// is the time between checkpoints of a stream with few records. 0 means the default
	// of fold.CheckpointSchedule.
	CheckpointEvery    uint64
	CheckpointInterval time.Duration
	// OnCheckpointError is called when a checkpoint of a stream's state cannot be made.
	// It is optional.
	OnCheckpointError func(err error)
	// BillTimeout is how long a bill may be missing before this instance appends it on
	// behalf of the side process; 0 means DefaultBillTimeout.
	BillTimeout time.Duration
	// BatchInterval is how long proposals are collected for one append; 0 means
	// fold.DefaultBatchInterval.
	BatchInterval time.Duration
	// Peers returns the other entry instances that may be reachable. It is
	// optional.
	Peers func() []wire.PeerClient
}

// Service manages the budgets of an entry instance. It is safe for concurrent use.
type Service struct {
	opts   Options
	holder *lease.Holder
	shards []*shard
	now    func() time.Time
	// refillers counts the budgets whose refills are running.
	refillers sync.WaitGroup

	mu           sync.Mutex
	refills      map[string]*refill
	pendingBills map[string]pendingBill
	stopping     bool
	// ended is set when Run ends. No refill starts after that.
	ended bool
}

// shard is one budget stream.
type shard struct {
	index    int
	follower *fold.Follower
	state    *ledger.State
	writer   *fold.Writer
	// restores is the reader's count of restores at the last check.
	restores     uint64
	checkpointer *fold.Checkpointer
}

// New returns a service that does nothing until Run.
func New(opts Options) *Service {
	setDefaults(&opts)
	s := &Service{
		opts:         opts,
		holder:       lease.New(opts.Holder, opts.Policy),
		now:          time.Now,
		refills:      make(map[string]*refill),
		pendingBills: make(map[string]pendingBill),
	}
	for i := range opts.Shards {
		s.shards = append(s.shards, s.newShard(i))
	}
	return s
}

func setDefaults(o *Options) {
	if o.Holder == "" {
		o.Holder = ident.NewIncarnation(o.Instance)
	}
	o.Shards = max(1, o.Shards)
	o.MaxWait = cmp.Or(o.MaxWait, DefaultMaxWait)
	o.PlanEvery = cmp.Or(o.PlanEvery, DefaultPlanEvery)
	o.MaxAge = cmp.Or(o.MaxAge, DefaultMaxAge)
	o.BillTimeout = cmp.Or(o.BillTimeout, DefaultBillTimeout)
}

func (s *Service) newShard(i int) *shard {
	sh := &shard{index: i, state: &ledger.State{}}
	stream := ledger.Stream(i)
	sh.state.OnDecision = s.onDecision
	sh.follower = &fold.Follower{
		Log:     s.opts.Log,
		Stream:  stream,
		Reader:  fold.Reader{Machine: sh.state},
		OnApply: func() { s.onApply(sh) },
	}
	// A writer's name must never be reused, not even when the holder continues as a new
	// incarnation within this process.
	name := string(s.opts.Holder) + "/" + stream
	sh.writer = &fold.Writer{Log: s.opts.Log, Stream: stream, Name: name, BatchInterval: s.opts.BatchInterval, Folded: sh.follower.Folded}
	sh.checkpointer = &fold.Checkpointer{Follower: sh.follower, Writer: sh.writer, Schedule: fold.CheckpointSchedule{
		Records: s.opts.CheckpointEvery, Interval: s.opts.CheckpointInterval,
	}, OnError: s.opts.OnCheckpointError}
	return sh
}

// ShardOf returns the shard of a budget among n.
func ShardOf(budget string, n int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(budget)) // never fails, as hash.Hash documents
	return int(h.Sum32() % uint32(n))
}

func (s *Service) shardOf(budget string) *shard {
	return s.shards[ShardOf(budget, len(s.shards))]
}

// Run follows the streams, and plans, until the context ends.
func (s *Service) Run(ctx context.Context) {
	var g errgroup.Group
	for _, sh := range s.shards {
		g.Go(func() error { sh.follower.Run(ctx); return nil })
		g.Go(func() error { sh.writer.Run(ctx); return nil })
		g.Go(func() error { sh.checkpointer.Run(ctx); return nil })
	}
	g.Go(func() error { s.planLoop(ctx); return nil })
	_ = g.Wait() // the functions return no errors
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.refillers.Wait()
}

func (s *Service) planLoop(ctx context.Context) {
	tick := time.NewTicker(s.opts.PlanEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s.planAll()
		s.appendMissingBills()
	}
}

// planAll plans for every budget and carries out the plan. If the service is stopping,
// it returns all free tokens instead.
func (s *Service) planAll() {
	if s.isStopping() {
		s.returnAll()
		return
	}
	now := s.now()
	for _, h := range s.holder.Holdings() {
		s.sync(h.Budget)
	}
	for _, e := range s.holder.Plan(now) {
		s.execute(e)
	}
}

// execute proposes the grant or return that an effect asks for. It ignores a
// lease.RequestTransfer, which refillOnce carries out.
func (s *Service) execute(e lease.Effect) {
	switch e := e.(type) {
	case lease.ProposeGrant:
		s.propose(e.Budget, ledger.Grant{Budget: e.Budget, Holder: e.Holder, Tokens: e.Tokens})
	case lease.ProposeReturn:
		s.propose(e.Budget, ledger.Return{Budget: e.Budget, Holder: e.Holder, Tokens: e.Tokens})
	}
}

func (s *Service) propose(budget string, item ledger.Item) {
	s.shardOf(budget).writer.Propose(ledger.Encode(item), nil)
}

// Stop returns all tokens to their budgets. The tokens of a reservation with an unknown
// outcome are returned once the folded state shows the outcome. Stop waits until all
// returns are on the log or the context ends. Run must still be running. While it runs,
// tokens that requests settle later are returned too.
func (s *Service) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.appendPendingBills()
	for {
		open := s.Reserved()
		s.returnAll()
		if err := s.flush(ctx); err != nil || open == 0 {
			return err
		}
		if err := s.awaitOutcome(ctx, open); err != nil {
			return err
		}
	}
}

// returnAll proposes the return of all free tokens.
func (s *Service) returnAll() {
	for _, e := range s.holder.ReturnAll() {
		s.execute(e)
	}
}

// flush waits until all proposals are on the log.
func (s *Service) flush(ctx context.Context) error {
	for _, sh := range s.shards {
		if err := sh.writer.Flush(ctx); err != nil {
			return fmt.Errorf("returning the leases of %q on stream %q: %w", s.Holder(), sh.follower.Stream, err)
		}
	}
	return nil
}

// awaitOutcome waits until the number of reserved tokens is below before.
func (s *Service) awaitOutcome(ctx context.Context, before ledger.Tokens) error {
	poll := time.NewTicker(outcomePollInterval)
	defer poll.Stop()
	for s.Reserved() >= before {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return fmt.Errorf("%d tokens of %q are reserved for requests of unknown outcome: %w", s.Reserved(), s.Holder(), ctx.Err())
		}
	}
	return nil
}

// Reserved returns the tokens of all budgets that are reserved here.
func (s *Service) Reserved() (sum ledger.Tokens) {
	for _, h := range s.holder.Holdings() {
		sum += h.Reserved
	}
	return sum
}

func (s *Service) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}
