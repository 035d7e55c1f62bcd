package budget

import (
	"time"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// DefaultBillPatience is how long a bill may be missing from the log, while that
// can be read, before this instance appends it.
const DefaultBillPatience = 10 * time.Second

// expected is a bill that a side process reported and that is not on the log
// yet.
type expected struct {
	usage ledger.Usage
	since time.Time
}

// SettleBilled ends a ticket by the usage that a side process reported. The side
// process appends it; but where it dies first, nobody else knows the bill. So it
// is kept until the log shows it, and appended in the side process's place where
// it stays away. The fold bills the first copy.
func (s *Service) SettleBilled(t Ticket, u ledger.Usage) {
	s.Settle(t, u.Charges)
	if len(u.Charges) == 0 || u.Request == "" {
		return
	}
	u.Budget, u.At = t.Budget, s.now().Unix()
	s.mu.Lock()
	s.expected[u.Request] = expected{usage: u, since: s.now()}
	s.mu.Unlock()
	// The usage may have been folded before it was expected.
	s.Query(t.Budget, func(state *ledger.State) {
		if _, billed := state.Billed(u.Request); billed {
			s.seen(u.Request)
		}
	})
}

// seen notes that the log has the bill of a request.
func (s *Service) seen(request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.expected, request)
}

// billMissing appends the bills that stayed away for too long. The time in which
// the log could not be read does not count: the side processes append then too.
func (s *Service) billMissing() {
	fresh := s.freshShards()
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for request, e := range s.expected {
		switch {
		case !fresh[ShardOf(e.usage.Budget, len(s.shards))]:
			e.since = now
		case now.Sub(e.since) < s.opts.BillPatience:
			continue
		default:
			e.since = now
			s.propose(e.usage.Budget, e.usage)
		}
		s.expected[request] = e
	}
}

// billAll appends all bills that are not on the log, before this instance ends.
func (s *Service) billAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.expected {
		s.propose(e.usage.Budget, e.usage)
	}
}

// freshShards tells for each shard whether its fold is current.
func (s *Service) freshShards() []bool {
	fresh := make([]bool, len(s.shards))
	for i, sh := range s.shards {
		sh.follower.View(func(*fold.Reader) { fresh[i] = s.fresh(sh) })
	}
	return fresh
}

// forgetBilled drops what the fold has after it jumped to a checkpoint. It runs
// under the follower's lock.
func (s *Service) forgetBilled(state *ledger.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for request := range s.expected {
		if _, billed := state.Billed(request); billed {
			delete(s.expected, request)
		}
	}
}
