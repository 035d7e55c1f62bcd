package budget

import "github.com/beryllanding/beryllanding/pkg/ledger"

// Bill proposes a usage in place of a side process that is gone. Where the
// request was billed before, it has no effect.
func (s *Service) Bill(u ledger.Usage) {
	u.At = s.now().Unix()
	s.propose(u.Budget, u)
}

// Reclaim proposes, on every budget stream, to release the slices of a holder
// whose closing is final.
func (s *Service) Reclaim(r ledger.Reclaim) {
	for _, sh := range s.shards {
		sh.writer.Propose(ledger.Encode(r), nil)
	}
}
