package acct

import (
	"slices"
	"strings"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// State holds the accounts of all instances in one partition. The zero value has none.
// It is not safe for concurrent use.
type State struct {
	accounts map[string]*Account
	// epoch is the epoch of the log that the accounts are read from. evidence holds what
	// was known of accounts before the store was restored.
	epoch    int64
	evidence map[string]*Account
	// asks is set while this process lacks what other processes knew at the last restore.
	asks bool
	// budgets holds the sums over the accounts. It is nil if they have to be recomputed.
	budgets map[string]*sums
}

// sums holds the sums over all accounts' lines of one budget.
type sums struct {
	total Total
	// committed is the number of tokens that are spent or held.
	committed ledger.Tokens
	// withheld is the part of committed that is the margin of unconfirmed accounts.
	withheld ledger.Tokens
	// unsettled is the number of lines whose pending grant is not settled. unconfirmed
	// is the number of accounts that are not confirmed.
	unsettled, unconfirmed int
	lost                   ledger.Tokens
	perSecond              ledger.Tokens
	holders                int
}

// Budget is the view of one budget over all accounts. Amounts are in tokens.
type Budget struct {
	// Total is the newest of the total that the caller knows and those in the accounts.
	Total Total
	// Committed is what is spent or held. Free is the rest of the total. Free is 0 if
	// the total was lowered below Committed.
	Committed ledger.Tokens
	Free      ledger.Tokens
	// Withheld is the part of Committed that holders may not have, but that is not free
	// because their accounts are not confirmed since the store was restored.
	Withheld ledger.Tokens
	// Lost estimates the tokens of ended holders that count as spent but were not used.
	Lost ledger.Tokens
	// PerSecond is the demand of all holders, in tokens per second.
	PerSecond ledger.Tokens
	// Holders is the number of accounts that hold tokens.
	Holders int
}

// Apply adds the account that comes next in the order. A pending grant is settled if
// all other pending grants on its budget are settled. The state does not change the
// account, and the caller must not change it either.
func (s *State) Apply(key string, a *Account) { s.Set(key, s.settle(key, a, false)) }

// Set adds an account without settling its pending grants, which count as granted. It is for
// readers that do not know all accounts before this one in the order.
func (s *State) Set(key string, a *Account) {
	if s.accounts == nil {
		s.accounts = make(map[string]*Account)
	}
	s.accounts[key] = a
	s.budgets = nil
	s.learn(a)
}

// Drop removes the account under a key.
func (s *State) Drop(key string) {
	delete(s.accounts, key)
	s.budgets = nil
}

// Account returns the account under a key, or nil.
func (s *State) Account(key string) *Account { return s.accounts[key] }

// Keys returns the keys of all accounts, sorted.
func (s *State) Keys() []string {
	keys := make([]string, 0, len(s.accounts))
	for k := range s.accounts {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Budget returns the view of a budget. known is the newest total that the caller knows.
func (s *State) Budget(name string, known Total) Budget {
	s.ensureSums()
	b := Budget{Total: known}
	if m := s.budgets[name]; m != nil {
		if m.total.Version > known.Version {
			b.Total = m.total
		}
		b.Withheld = m.withheld
		b.Committed, b.Lost, b.PerSecond, b.Holders = m.committed, m.lost, m.perSecond, m.holders
	}
	b.Free = max(0, b.Total.Tokens-b.Committed)
	return b
}

// ensureSums computes the sums over the accounts if they are out of date.
func (s *State) ensureSums() {
	if s.budgets != nil {
		return
	}
	s.budgets = make(map[string]*sums)
	for _, a := range s.accounts {
		if !s.Confirmed(a) {
			continue
		}
		for _, l := range a.Lines {
			s.sum(l.Budget).add(l)
		}
	}
	if list := s.unconfirmed(); len(list) > 0 {
		s.addUnconfirmed(list)
	}
}

// sum returns the sums of a budget, which it creates if needed.
func (s *State) sum(budget string) *sums {
	m := s.budgets[budget]
	if m == nil {
		m = &sums{}
		s.budgets[budget] = m
	}
	return m
}

// add adds the line of an account.
func (m *sums) add(l Line) {
	if l.Version > m.total.Version {
		m.total = Total{Version: l.Version, Tokens: l.Total}
	}
	m.committed += l.committed()
	if l.Pending > 0 {
		m.unsettled++
	}
	m.lost += l.Lost
	m.perSecond += l.PerSecond
	if l.Held() > 0 {
		m.holders++
	}
}

// Line returns an account's line of a budget. If there is none, or a is nil, it returns
// a line with zero amounts.
func (a *Account) Line(budget string) Line {
	if a != nil {
		if i, ok := a.find(budget); ok {
			return a.Lines[i]
		}
	}
	return Line{Budget: budget}
}

func (a *Account) find(budget string) (int, bool) { return findLine(a.Lines, budget) }

// findLine returns the index of a budget's line among sorted lines, or where it belongs.
func findLine(lines []Line, budget string) (int, bool) {
	return slices.BinarySearchFunc(lines, budget, func(l Line, name string) int { return strings.Compare(l.Budget, name) })
}

// Change is a change that a holder wants to make to its line of a budget.
type Change struct {
	Budget string
	// Total is the newest total that the holder knows.
	Total Total
	// Grant is the number of tokens that the holder asks for. Return is the number that
	// it gives back. It must have debited them before.
	Grant  ledger.Tokens
	Return ledger.Tokens
	// PerSecond is the demand at the holder, in tokens per second.
	PerSecond ledger.Tokens
}

// Next returns the account that a holder writes after base, with the changes applied.
// base is what Settled returned for the holder's previous account. It is nil for the
// first account of a holder, which closes the earlier holder's account under the key.
func (s *State) Next(key string, holder ident.Incarnation, base *Account, closing Closing, changes []Change) *Account {
	next := &Account{Holder: holder, LogEpoch: s.epoch}
	closing.LogEpoch = s.epoch
	if base != nil {
		s.continueAccount(key, next, base, closing, changes)
	} else {
		s.takeOver(key, next, closing, changes)
	}
	if !next.Asks {
		s.answer(key, next)
	}
	for _, c := range changes {
		next.change(c, s.Budget(c.Budget, c.Total).Total)
	}
	next.Lines = slices.DeleteFunc(next.Lines, func(l Line) bool { return l.Spent == 0 && l.Granted == 0 })
	return next
}

// continueAccount sets what the next account of a holder has from the one before it.
func (s *State) continueAccount(key string, next, base *Account, closing Closing, changes []Change) {
	next.Epoch, next.Serial = base.Epoch, base.Serial+1
	if !s.Current(base) {
		// The store may not know the numbers of the epoch before. A higher epoch of
		// the writer also invalidates writes of it that are still in progress.
		next.Epoch, next.Serial = max(base.Epoch, s.accounts[key].epochOrZero())+1, 0
	}
	next.Asks, next.Assumed = base.Asks && s.asks, base.Assumed && s.asks
	next.Lines = slices.Clone(base.Lines)
	if base.Assumed && !s.asks {
		if known := larger(base, s.evidence[key]); len(known.Lines) > 0 {
			next.Lines = s.closeUnconfirmed(known, closing, changes)
		}
	}
}

// takeOver sets what the first account of a holder has from earlier holders of the key.
func (s *State) takeOver(key string, next *Account, closing Closing, changes []Change) {
	next.Asks = s.asks
	before := s.accounts[key]
	if before != nil && s.Confirmed(before) {
		next.Epoch, next.Lines = before.Epoch+1, before.Close(closing)
		return
	}
	next.Epoch, next.Assumed = 1, s.asks
	known := larger(before, s.evidence[key])
	if known == nil {
		return
	}
	next.Epoch = known.Epoch + 1
	if s.asks {
		next.Lines = known.spend()
	} else {
		next.Lines = s.closeUnconfirmed(known, closing, changes)
	}
}

// epochOrZero returns the account's epoch, or 0 if there is no account.
func (a *Account) epochOrZero() int64 {
	if a == nil {
		return 0
	}
	return a.Epoch
}

// change applies a change to the account's line. A return of more than the holder has,
// and a grant over ledger.MaxTokens, are ignored.
func (a *Account) change(c Change, total Total) {
	i, ok := a.find(c.Budget)
	if !ok {
		a.Lines = slices.Insert(a.Lines, i, Line{Budget: c.Budget})
	}
	l := &a.Lines[i]
	if a.Assumed {
		// The margin rests on the demand at the earlier holder.
		c.PerSecond = max(c.PerSecond, l.PerSecond)
	}
	l.Version, l.Total, l.PerSecond = total.Version, total.Tokens, c.PerSecond
	if c.Return > 0 && c.Return <= l.Held() {
		l.Returned += c.Return
	}
	if c.Grant > 0 && c.Grant <= ledger.MaxTokens {
		l.Granted += c.Grant
		l.Pending = c.Grant
	}
}

// Settled returns the account with its pending grants settled, as if it came next in
// the order. Pending grants are cut to what the earlier accounts leave. An earlier
// pending grant that is not settled counts as granted in full.
func (s *State) Settled(key string, a *Account) *Account { return s.settle(key, a, true) }

// Reject returns the account without its pending grants, as if they got nothing. A holder that
// can't read the order up to its account any more goes on with it: readers of the order count
// at least as much for it until it writes again.
func (a *Account) Reject() *Account {
	rejected := *a
	rejected.Lines = slices.Clone(a.Lines)
	for i := range rejected.Lines {
		l := &rejected.Lines[i]
		l.Granted, l.Pending = l.Granted-l.Pending, 0
	}
	return &rejected
}

// settle returns the account with its pending grants cut to what they get. A budget may
// have other pending grants that are not settled. If always is set, these count as
// granted in full. If always is not set, the pending grant of the account stays
// unsettled, because the holder may have got more.
func (s *State) settle(key string, a *Account, always bool) *Account {
	s.ensureSums()
	before := s.accounts[key]
	settled := a
	for i, l := range a.Lines {
		if l.Pending == 0 {
			continue
		}
		previous := before.Line(l.Budget)
		free := l.Total - (l.Spent + l.Held() - l.Pending)
		if m := s.budgets[l.Budget]; m != nil {
			unsettled := m.unsettled
			if previous.Pending > 0 {
				unsettled--
			}
			// Other readers know other evidence of unconfirmed accounts, so the holder may
			// have got more than this reader would leave to it.
			if (unsettled > 0 || m.unconfirmed > 0) && !always {
				continue
			}
			if m.total.Version > l.Version {
				free += m.total.Tokens - l.Total
			}
			free -= m.committed - previous.Spent - previous.Held()
		}
		if settled == a {
			copied := *a
			copied.Lines = slices.Clone(a.Lines)
			settled = &copied
		}
		settled.Lines[i].Granted -= l.Pending - min(l.Pending, max(0, free))
		settled.Lines[i].Pending = 0
	}
	return settled
}
