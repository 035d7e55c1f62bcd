package budget

import (
	"time"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// DefaultBillTimeout is how long a bill may be missing from the log, while the log can
// be read, before this instance appends it.
const DefaultBillTimeout = 10 * time.Second

// pendingBill is a usage that a side process reported and that the log does not show
// yet.
type pendingBill struct {
	usage ledger.Usage
	since time.Time
}

// SettleReported ends a reservation with the usage that a side process reported. The side
// process appends the usage to the log. If it dies before that, only this instance has
// the usage. The service therefore keeps the usage until the log shows it, and appends
// the usage if it stays missing for Options.BillTimeout. If the log gets two copies,
// only the first is billed.
func (s *Service) SettleReported(t Reservation, u ledger.Usage) {
	s.Settle(t, u.Charges)
	if len(u.Charges) == 0 || u.Request == "" {
		return
	}
	u.Budget, u.At = t.Budget, s.now().Unix()
	s.mu.Lock()
	s.pendingBills[u.Request] = pendingBill{usage: u, since: s.now()}
	s.mu.Unlock()
	// The usage may have been folded before it was added to pendingBills.
	s.Query(t.Budget, func(state *ledger.State) {
		if _, billed := state.Billed(u.Request); billed {
			s.noteBilled(u.Request)
		}
	})
}

// noteBilled records that the log contains the bill of a request.
func (s *Service) noteBilled(request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pendingBills, request)
}

// appendMissingBills appends the bills that have been missing for Options.BillTimeout.
// Time in which the log cannot be read does not count, since this instance does not see
// what side processes append in that time.
func (s *Service) appendMissingBills() {
	fresh := s.freshShards()
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for request, e := range s.pendingBills {
		switch {
		case !fresh[ShardOf(e.usage.Budget, len(s.shards))]:
			e.since = now
		case now.Sub(e.since) < s.opts.BillTimeout:
			continue
		default:
			e.since = now
			s.propose(e.usage.Budget, e.usage)
		}
		s.pendingBills[request] = e
	}
}

// appendPendingBills appends all bills that the log does not show yet, before this
// instance ends.
func (s *Service) appendPendingBills() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.pendingBills {
		s.propose(e.usage.Budget, e.usage)
	}
}

// freshShards reports for each shard whether its folded state is current.
func (s *Service) freshShards() []bool {
	fresh := make([]bool, len(s.shards))
	for i, sh := range s.shards {
		sh.follower.View(func(*fold.Reader) { fresh[i] = s.fresh(sh) })
	}
	return fresh
}

// dropBilled drops the pending bills that the folded state contains after a jump to a
// checkpoint. It runs under the follower's lock.
func (s *Service) dropBilled(state *ledger.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for request := range s.pendingBills {
		if _, billed := state.Billed(request); billed {
			delete(s.pendingBills, request)
		}
	}
}
