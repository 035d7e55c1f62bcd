package acct

import (
	"slices"

	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// An account is confirmed if it was written in the present epoch of the log by a holder that
// knows what it has. After the store was restored from an older copy, the accounts in it are
// from earlier epochs. Their holders may have been granted more in the seconds that the copy
// lacks. Until a holder, or its successor, writes the account again, it counts with the
// largest amount that is known of it plus a margin. What is known comes from what this reader
// read before the restore and from what other holders answer; see ask.go.

const (
	// marginSeconds is the time for which the margin covers the demand of the holder, as
	// its account published it.
	marginSeconds = 12
	// marginDivisor is the part (1/n) of a budget's total that the margins of all accounts
	// have on top, for holders whose demand began in the lost seconds.
	marginDivisor = 16
)

// margin returns the tokens that the holder of an unconfirmed account may hold beyond
// what is known of it. This is an assumption about the seconds that the copy lacks: the
// holder used no more in them than marginSeconds of the demand that the copy shows, plus an
// equal part of a sixteenth of the budget. accounts is the number of accounts.
func (l Line) margin(accounts int) ledger.Tokens {
	return l.Total/ledger.Tokens(marginDivisor*max(1, accounts)) + marginSeconds*l.PerSecond
}

// unconfirmed returns the accounts that are not confirmed, with the evidence of earlier
// epochs.
func (s *State) unconfirmed() []*Account {
	var list []*Account
	for key, a := range s.accounts {
		if !s.Confirmed(a) {
			list = append(list, larger(a, s.evidence[key]))
		}
	}
	for key, a := range s.evidence {
		if s.accounts[key] == nil {
			list = append(list, a)
		}
	}
	return list
}

// addUnconfirmed adds the accounts that are not confirmed, each with a margin for every
// budget, whether the account has a line of it or not.
func (s *State) addUnconfirmed(list []*Account) {
	n := len(s.accounts)
	for _, a := range list {
		for _, l := range a.Lines {
			s.sum(l.Budget).add(l)
		}
	}
	for budget, m := range s.budgets {
		m.unconfirmed = len(list)
		for _, a := range list {
			l := a.Line(budget)
			l.Total = m.total.Tokens
			m.withheld += l.margin(n)
		}
		m.committed += m.withheld
	}
}

// closeUnconfirmed returns the lines of an ended holder's account that is not confirmed, with
// the margin as used. The changes that the successor makes name the budgets and their totals.
func (s *State) closeUnconfirmed(before *Account, closing Closing, changes []Change) []Line {
	lines := before.Close(closing)
	for _, c := range changes {
		l := before.Line(c.Budget)
		l.Total = c.Total.Tokens
		i, ok := findLine(lines, c.Budget)
		if !ok {
			lines = slices.Insert(lines, i, Line{Budget: c.Budget})
		}
		lines[i].Spent += l.margin(len(s.accounts))
	}
	return lines
}

// SetEpoch sets the epoch of the log from which the accounts are read. If it is not the
// one before, the store was restored: the known accounts are kept as evidence of what
// their holders had, and the accounts of the copy are to be set next.
func (s *State) SetEpoch(epoch int64) {
	if epoch == s.epoch {
		return
	}
	evidence := make(map[string]*Account, len(s.accounts))
	for key, a := range s.accounts {
		evidence[key] = a
		if !s.Confirmed(a) {
			evidence[key] = larger(a, s.evidence[key])
		}
	}
	for key, a := range s.evidence {
		if s.accounts[key] == nil {
			evidence[key] = a
		}
	}
	s.epoch, s.evidence, s.accounts, s.budgets = epoch, evidence, nil, nil
}

// Reset drops all accounts before a new snapshot of the same epoch is set.
func (s *State) Reset() { s.accounts, s.budgets = nil, nil }

// Current reports whether the account was written in the present epoch.
func (s *State) Current(a *Account) bool { return a.LogEpoch == s.epoch }

// Confirmed reports whether the account was written in the present epoch by a holder that
// knew what it has.
func (s *State) Confirmed(a *Account) bool { return s.Current(a) && !a.Assumed }

// larger returns an account that has, for each budget, the line of a or b that commits
// more. Both may be nil.
func larger(a, b *Account) *Account {
	if a == nil {
		return b
	}
	if b == nil {
		return a
	}
	out := &Account{Holder: a.Holder, Epoch: a.Epoch, Serial: a.Serial, LogEpoch: a.LogEpoch}
	for _, from := range []*Account{a, b} {
		for _, l := range from.Lines {
			i, ok := out.find(l.Budget)
			switch {
			case !ok:
				out.Lines = slices.Insert(out.Lines, i, l)
			case l.committed() > out.Lines[i].committed():
				out.Lines[i] = l
			}
		}
	}
	return out
}

// committed returns the tokens of the line that are spent or held.
func (l Line) committed() ledger.Tokens { return l.Spent + l.Held() }
