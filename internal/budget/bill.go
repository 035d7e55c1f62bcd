package budget

import "github.com/beryllanding/beryllanding/pkg/ledger"

// AppendUsage proposes a usage on behalf of a side process that has ended. If the
// request was billed already, the usage has no effect.
func (s *Service) AppendUsage(u ledger.Usage) {
	u.At = s.now().Unix()
	s.propose(u.Budget, u)
}
