package budget

import "github.com/beryllanding/beryllanding/pkg/ledger"

// Bill proposes a usage in place of a side process that is gone. Where the
// request was billed before, it has no effect.
func (s *Service) Bill(u ledger.Usage) {
	u.At = s.now().Unix()
	s.propose(u.Budget, u)
}
