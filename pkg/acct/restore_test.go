package acct

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

const restoredTotal = 160_000

// restoredAccount returns an account with one line of the budget "o".
func restoredAccount(holder string, epoch, logEpoch int64, granted, perSecond ledger.Tokens) *Account {
	return &Account{Holder: ident.Incarnation(holder), Epoch: epoch, LogEpoch: logEpoch, Lines: []Line{{
		Budget: "o", Version: 1, Total: restoredTotal, Granted: granted, PerSecond: perSecond,
	}}}
}

func viewOf(s *State) Budget { return s.Budget("o", Total{Version: 1, Tokens: restoredTotal}) }

// TestRestoredAccounts follows the view of a budget through a restore. The copy lacks
// what holder b was granted last, and all of holder c.
func TestRestoredAccounts(t *testing.T) {
	var s State
	s.SetEpoch(4)
	s.Apply("a", restoredAccount("a~1", 1, 4, 10_000, 0))
	s.Apply("b", restoredAccount("b~1", 1, 4, 40_000, 100))
	s.Apply("c", restoredAccount("c~1", 1, 4, 20_000, 0))
	if got := viewOf(&s); got.Free != 90_000 || got.Withheld != 0 {
		t.Errorf("before the restore: %d free, %d withheld; want 90000 and 0", got.Free, got.Withheld)
	}

	s.SetEpoch(5)
	s.Set("a", restoredAccount("a~1", 1, 4, 10_000, 0))
	s.Set("b", restoredAccount("b~1", 1, 4, 5000, 100))
	// Each of the three has a margin of a 32nd of the budget (a sixteenth over the two
	// accounts of the copy), and b one for its demand.
	margin := ledger.Tokens(restoredTotal/32*3 + marginSeconds*100)
	if got := viewOf(&s); got.Free != 90_000-margin || got.Withheld != margin {
		t.Errorf("after the restore: %d free, %d withheld; want %d and %d", got.Free, got.Withheld, 90_000-margin, margin)
	}

	for _, c := range []struct {
		key string
		a   *Account
	}{
		{"b", restoredAccount("b~1", 2, 5, 41_000, 100)},
		{"c", restoredAccount("c~1", 2, 5, 20_000, 0)},
		{"a", restoredAccount("a~1", 2, 5, 10_000, 0)},
	} {
		s.Apply(c.key, c.a)
	}
	if got := viewOf(&s); got.Free != 89_000 || got.Withheld != 0 {
		t.Errorf("after all have written again: %d free, %d withheld; want 89000 and 0", got.Free, got.Withheld)
	}
}

// TestSecondRestore checks that evidence from before a first restore is kept through a
// second one, as long as the holder has not written again.
func TestSecondRestore(t *testing.T) {
	var s State
	s.Apply("a", restoredAccount("a~1", 1, 0, 50_000, 0))
	s.SetEpoch(1)
	s.Set("a", restoredAccount("a~1", 1, 0, 10_000, 0))
	s.SetEpoch(2)
	s.Set("a", restoredAccount("a~1", 1, 0, 1000, 0))
	if got := viewOf(&s); got.Committed-got.Withheld != 50_000 {
		t.Errorf("%d tokens are committed, want the 50000 that were known before the first restore", got.Committed-got.Withheld)
	}
}

// TestPendingStaysUnsettled checks that a reader does not settle another holder's grant
// while an account is unconfirmed, since that holder may know other evidence.
func TestPendingStaysUnsettled(t *testing.T) {
	var s State
	s.SetEpoch(1)
	s.Set("a", restoredAccount("a~1", 1, 0, 100_000, 0))
	b := restoredAccount("b~1", 1, 1, 90_000, 0)
	b.Lines[0].Pending = 90_000
	s.Apply("b", b)
	if got := s.Account("b").Line("o"); got.Granted != 90_000 || got.Pending != 90_000 {
		t.Errorf("line is %+v, want the grant unsettled and counted in full", got)
	}
	if own := s.Settled("b", b).Line("o"); own.Granted > restoredTotal-100_000 {
		t.Errorf("the holder itself uses %d tokens, want at most the %d that are left", own.Granted, restoredTotal-100_000)
	}
}

// TestNextAfterRestore checks the first account that a live holder writes after a restore,
// and that of a successor that closes an account of an earlier epoch.
func TestNextAfterRestore(t *testing.T) {
	own := restoredAccount("a~1", 3, 7, 30_000, 0)
	own.Serial = 9
	var s State
	s.SetEpoch(8)
	s.Set("a", restoredAccount("a~0", 5, 7, 1000, 0))
	next := s.Next("a", "a~1", own, Closing{}, nil)
	want := restoredAccount("a~1", 6, 8, 30_000, 0)
	if diff := cmp.Diff(want, next); diff != "" {
		t.Errorf("account of a live holder (-want +got):\n%s", diff)
	}

	change := Change{Budget: "o", Total: Total{Version: 1, Tokens: restoredTotal}}
	pledges := &Pledges{Holder: "a~0", BootID: "m/1", LogEpoch: 7, Lines: []Pledge{{Budget: "o", Base: 10}}}
	closing := Closing{Pledges: pledges, BootID: "m/1", Clock: time.Second}
	got := s.Next("a", "a~2", nil, closing, []Change{change}).Line("o")
	if spent := ledger.Tokens(1000 + restoredTotal/16); got.Spent != spent || got.Granted != 0 {
		t.Errorf("closed line is %+v, want %d spent: all that was held and the margin, without trust in the pledge", got, spent)
	}

	// Both records are of the present epoch: the pledge counts.
	s.Set("a", restoredAccount("a~0", 5, 8, 1000, 0))
	pledges.LogEpoch = 8
	if got := s.Next("a", "a~2", nil, closing, []Change{change}).Line("o"); got.Spent != 10 {
		t.Errorf("closed line is %+v, want the 10 tokens spent that the pledge allows", got)
	}
}
