package budget

import (
	"fmt"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/lease"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// onDecision passes a decision to the holder. It is called in the order of the stream,
// under the follower's lock.
func (s *Service) onDecision(d ledger.Decision) {
	switch it := d.Item.(type) {
	case ledger.Grant:
		s.holder.Decided(d, s.now())
		if it.Holder == s.holder.ID() {
			s.wake(it.Budget)
		}
	case ledger.Usage:
		s.holder.Decided(d, s.now())
		s.noteBilled(it.Request)
	case ledger.Reclaim:
		s.CloseHolder(it.Holder)
	}
}

// onApply updates the holder and the pending bills after the reader has jumped to a
// checkpoint, because the decisions before it were not passed to onDecision. It runs
// under the follower's lock.
func (s *Service) onApply(sh *shard) {
	n := sh.follower.Reader.Stats.Restores
	if n == sh.restores {
		return
	}
	sh.restores = n
	s.holder.Recover(sh.state, s.fresh(sh), s.now())
	s.dropBilled(sh.state)
}

// sync passes the folded state of a budget to the holder.
func (s *Service) sync(budget string) {
	sh := s.shardOf(budget)
	sh.follower.View(func(*fold.Reader) {
		s.holder.Sync(budget, lease.ViewOf(sh.state, budget, s.holder.ID(), s.fresh(sh)))
	})
}

// fresh reports whether the folded state is current: the stream was read to its end at
// most Options.MaxAge ago. The caller holds the follower's lock.
func (s *Service) fresh(sh *shard) bool {
	at := sh.follower.FreshAt()
	r := &sh.follower.Reader
	return !r.Stale() && r.AtEnd() && s.now().Sub(at) <= s.opts.MaxAge
}

// Holder returns the incarnation that gets new grants.
func (s *Service) Holder() ident.Incarnation { return s.holder.ID() }

// Ledger returns the follower of a shard, for queries. The follower's state machine is
// a *ledger.State.
func (s *Service) Ledger(shard int) *fold.Follower { return s.shards[shard].follower }

// Shards returns the number of budget streams.
func (s *Service) Shards() int { return len(s.shards) }

// Query runs fn on the folded state of the budget's shard. fn must not keep the
// state.
func (s *Service) Query(budget string, fn func(state *ledger.State)) {
	sh := s.shardOf(budget)
	sh.follower.View(func(*fold.Reader) { fn(sh.state) })
}

// Holdings returns the tokens that this instance holds of a budget, or of every budget
// if the name is empty.
func (s *Service) Holdings(budget string) []lease.Holding {
	if budget == "" {
		return s.holder.Holdings()
	}
	return []lease.Holding{s.holder.Holding(budget)}
}

// Snapshot returns the state of a budget stream, for a peer that starts while the log
// is unavailable.
func (s *Service) Snapshot(stream string) (fold.Checkpoint, error) {
	sh, err := s.streamShard(stream)
	if err != nil {
		return fold.Checkpoint{}, err
	}
	var cp fold.Checkpoint
	sh.follower.View(func(r *fold.Reader) { cp, err = r.Checkpoint() })
	return cp, err
}

// Restore sets a budget stream to a peer's state, unless this instance's own state is
// newer.
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
