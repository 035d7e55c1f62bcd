package acct

import (
	"slices"
	"strings"
	"time"

	"github.com/beryllanding/beryllanding/pkg/ident"
)

// A process that starts after a restore does not know what the copy lacks, but processes
// that have lived through the restore do. Its first account therefore asks them. Each of
// them answers in its own account, with what it knows of other accounts beyond what the
// store shows. The process is granted nothing until it has read the answers.

const (
	// minAsk is the least time for which a process asks. Within it, living instances notice
	// a restore and write their accounts again. Later, no answer is expected from an account
	// that was not written since the restore.
	minAsk = 2 * time.Second
	// maxAsk is the time after which no answer is expected at all. It is longer than the
	// interval at which an idle instance reads the accounts.
	maxAsk = 6 * time.Second
)

// Join is called once a process that starts under a key has read all accounts. If they show
// that the store may lack something, the first account of the process asks.
func (s *State) Join(key string) {
	// Without an account of the key, the copy may be so old that it lacks all accounts.
	s.asks = s.lacksAccounts() || (s.epoch > 0 && s.accounts[key] == nil)
}

// EndAsking is called once no more answers are expected; see Unanswered.
func (s *State) EndAsking() { s.asks = false }

// Asks reports whether this process lacks what others may know.
func (s *State) Asks() bool { return s.asks }

// lacksAccounts reports whether an account shows that the store may lack something.
func (s *State) lacksAccounts() bool {
	for _, a := range s.accounts {
		if !s.Confirmed(a) || a.KnowsMore {
			return true
		}
	}
	return false
}

// Unanswered returns the keys of the accounts that have not answered the asking holder of a
// key, sorted. done is set if the holder need not ask any longer. asked is the time for which
// it has asked.
func (s *State) Unanswered(key string, holder ident.Incarnation, asked time.Duration) (keys []string, done bool) {
	for k, a := range s.accounts {
		switch {
		case k == key, !s.Current(a) && asked >= minAsk:
		case s.Current(a) && (a.Asks || slices.Contains(a.Answers, holder)):
		default:
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys, asked > maxAsk || (len(keys) == 0 && asked >= minAsk)
}

// MustAnswer reports whether the holder of a key has to write its account: because another
// holder asks, or because it knows more than the store shows, and no account of its own says
// so. own is the holder's account, or nil.
func (s *State) MustAnswer(key string, own *Account) bool {
	if own == nil {
		return !s.asks && len(s.knownBeyond(key)) > 0
	}
	if !s.Current(own) || own.Asks {
		return false
	}
	return slices.ContainsFunc(s.asking(key), func(h ident.Incarnation) bool { return !slices.Contains(own.Answers, h) })
}

// asking returns the holders that ask, but for that of a key, sorted.
func (s *State) asking(key string) []ident.Incarnation {
	var list []ident.Incarnation
	for k, a := range s.accounts {
		if k != key && s.Current(a) && a.Asks {
			list = append(list, a.Holder)
		}
	}
	slices.Sort(list)
	return list
}

// answer adds to the account under a key what its holder knows beyond what the store shows.
func (s *State) answer(key string, next *Account) {
	known := s.knownBeyond(key)
	next.KnowsMore = len(known) > 0
	if next.Answers = s.asking(key); len(next.Answers) > 0 {
		next.Known = known
	}
}

// knownBeyond returns what is known of accounts that are not confirmed, but for that of a
// key, beyond what the store shows.
func (s *State) knownBeyond(key string) []Known {
	var list []Known
	for k, a := range s.evidence {
		shown := s.accounts[k]
		if k == key || (shown != nil && s.Confirmed(shown)) {
			continue
		}
		known := Known{Key: k}
		for _, l := range a.Lines {
			if n := l.committed(); n > shown.Line(l.Budget).committed() {
				known.Lines = append(known.Lines, Line{Budget: l.Budget, Spent: n, PerSecond: l.PerSecond})
			}
		}
		if len(known.Lines) > 0 {
			list = append(list, known)
		}
	}
	slices.SortFunc(list, func(a, b Known) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// learn adds what the holder of an account knows to the evidence.
func (s *State) learn(a *Account) {
	if !s.Current(a) {
		return
	}
	for _, k := range a.Known {
		if s.evidence == nil {
			s.evidence = make(map[string]*Account)
		}
		s.evidence[k.Key] = larger(&Account{Lines: k.Lines}, s.evidence[k.Key])
	}
}

// spend returns the account's lines with all that they hold as spent. They keep the demand.
func (a *Account) spend() []Line {
	lines := slices.Clone(a.Lines)
	for i, l := range lines {
		l.Spent, l.Lost = l.committed(), l.Lost+l.Held()
		l.Granted, l.Returned, l.Pending = 0, 0, 0
		lines[i] = l
	}
	return lines
}
