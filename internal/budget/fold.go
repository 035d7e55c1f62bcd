package budget

import (
	"fmt"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/slice"
)

// noteDecision keeps the verdicts that concern this instance. It runs under the
// follower's lock.
func (s *Service) noteDecision(sh *shard, d ledger.Decision) {
	switch it := d.Item.(type) {
	case ledger.Grant:
		if it.Holder == s.holder.Own() {
			sh.decided = append(sh.decided, d)
		}
	case ledger.Usage:
		if d.Held && s.isDeferred(it.Request) {
			sh.decided = append(sh.decided, d)
		}
	case ledger.Reclaim:
		sh.decided = append(sh.decided, d)
	}
}

// onApply hands the verdicts of a page to the holder. It runs under the
// follower's lock, so that the verdicts are applied in the stream's order.
func (s *Service) onApply(sh *shard) {
	if n := sh.follower.Reader.Stats.Restores; n != sh.restores {
		sh.restores = n
		s.afterRestore(sh)
	}
	decided := sh.decided
	sh.decided = nil
	for _, d := range decided {
		s.apply(d)
	}
}

func (s *Service) apply(d ledger.Decision) {
	switch it := d.Item.(type) {
	case ledger.Grant:
		if d.Held {
			s.holder.Granted(it.Budget, it.Holder, it.Tokens)
		} else {
			s.holder.Refused(it.Budget, it.Holder, it.Tokens)
		}
		s.progress(it.Budget)
	case ledger.Usage:
		s.Resolve(it.Request, d.Billed)
	case ledger.Reclaim:
		s.CloseHolder(it.Holder)
	}
}

// afterRestore takes over what was decided behind a checkpoint.
func (s *Service) afterRestore(sh *shard) {
	s.holder.Forget()
	for _, h := range s.holder.Holdings() {
		if s.shardOf(h.Budget) == sh {
			s.holder.Sync(h.Budget, s.seen(sh, h.Budget))
		}
	}
	for request := range s.deferredRequests() {
		if bill, ok := sh.state.Billed(request); ok {
			s.Resolve(request, bill.Charges)
		}
	}
}

// sync shows the holder what the fold has of a budget.
func (s *Service) sync(budget string) {
	sh := s.shardOf(budget)
	sh.follower.View(func(*fold.Reader) {
		s.holder.Sync(budget, s.seen(sh, budget))
	})
}

// seen returns what the fold shows of a budget. The caller holds the follower's
// lock.
func (s *Service) seen(sh *shard, budget string) slice.Seen {
	own := s.holder.Own()
	b, known := sh.state.Budget(budget)
	sl, _ := sh.state.Slice(budget, own)
	return slice.Seen{
		Fresh:   s.fresh(sh),
		Known:   known,
		Paid:    b.Paid,
		Free:    b.Free,
		Billed:  b.Billed,
		Holders: b.Holders,
		Own:     own,
		Granted: sl.Granted,
	}
}

// fresh reports whether the fold is current. The caller holds the follower's
// lock.
func (s *Service) fresh(sh *shard) bool {
	at := sh.follower.FreshAt()
	return !sh.follower.Reader.Stale() && s.now().Sub(at) <= s.opts.Fresh
}

// Holder returns the incarnation that new grants go to.
func (s *Service) Holder() ident.Incarnation { return s.holder.Own() }

// Ledger returns the follower of a shard, whose machine is a *ledger.State, for
// queries.
func (s *Service) Ledger(shard int) *fold.Follower { return s.shards[shard].follower }

// Shards returns the number of budget streams.
func (s *Service) Shards() int { return len(s.shards) }

// Query runs fn on the folded state of the budget's shard. fn must not keep the
// state.
func (s *Service) Query(budget string, fn func(state *ledger.State)) {
	sh := s.shardOf(budget)
	sh.follower.View(func(*fold.Reader) { fn(sh.state) })
}

// Holdings returns what this instance has of a budget, or of all budgets where
// the name is empty.
func (s *Service) Holdings(budget string) []slice.Holding {
	if budget == "" {
		return s.holder.Holdings()
	}
	return []slice.Holding{s.holder.Holding(budget)}
}

// Snapshot returns the state of a budget stream, for a peer that starts while
// the log is unavailable.
func (s *Service) Snapshot(stream string) (fold.Checkpoint, error) {
	sh, err := s.streamShard(stream)
	if err != nil {
		return fold.Checkpoint{}, err
	}
	var cp fold.Checkpoint
	sh.follower.View(func(r *fold.Reader) { cp, err = r.Checkpoint() })
	return cp, err
}

// Restore moves a budget stream to a peer's state, unless it is behind.
func (s *Service) Restore(stream string, cp fold.Checkpoint) error {
	sh, err := s.streamShard(stream)
	if err != nil {
		return err
	}
	return sh.follower.Restore(cp)
}

func (s *Service) streamShard(stream string) (*shard, error) {
	for _, sh := range s.shards {
		if sh.follower.Stream == stream {
			return sh, nil
		}
	}
	return nil, fmt.Errorf("stream %q is not one of the %d budget streams", stream, len(s.shards))
}
