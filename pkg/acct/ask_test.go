package acct

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

var restoredChange = []Change{{Budget: "o", Total: Total{Version: 1, Tokens: restoredTotal}}}

// TestAskAfterRestore guards against a successor that counts only what a copy shows of its
// predecessor. The copy shows 5000 tokens at a, and b has read 40,000 before the restore.
func TestAskAfterRestore(t *testing.T) {
	shown, lost := restoredAccount("a~1", 1, 4, 5000, 100), restoredAccount("a~1", 1, 4, 40_000, 100)
	copied := restoredAccount("b~1", 1, 4, 10_000, 0)
	var b State
	b.SetEpoch(4)
	b.Apply("a", lost)
	b.Apply("b", copied)
	b.SetEpoch(5)
	b.Set("a", shown)
	b.Set("b", copied)
	var a State
	a.SetEpoch(5)
	a.Set("a", shown)
	a.Set("b", copied)
	a.Join("a")
	write := func(key string, account *Account) {
		a.Apply(key, account)
		b.Apply(key, account)
	}

	asking := a.Next("a", "a~2", nil, Closing{}, restoredChange)
	write("a", asking)
	if !asking.Asks || !asking.Assumed || asking.Line("o").Spent != 5000 {
		t.Errorf("first account is %+v, want one that asks, with the 5000 tokens of the copy as spent", asking)
	}
	if got := viewOf(&b); got.Committed-got.Withheld != 50_000 {
		t.Errorf("b counts %d tokens as committed while a asks, want the 40000 it has read and its own 10000", got.Committed-got.Withheld)
	}

	confirmed := b.Next("b", "b~1", copied, Closing{}, restoredChange)
	want := []Known{{Key: "a", Lines: []Line{{Budget: "o", Spent: 40_000, PerSecond: 100}}}}
	if diff := cmp.Diff(want, confirmed.Known); diff != "" || !confirmed.KnowsMore || !cmp.Equal(confirmed.Answers, []ident.Incarnation{"a~2"}) {
		t.Errorf("account of b is %+v, want an answer to a~2 (-want +got):\n%s", confirmed, diff)
	}
	if b.MustAnswer("b", confirmed) {
		t.Error("b has to answer again, want one answer for each holder that asks")
	}
	write("b", confirmed)
	if keys, done := a.Unanswered("a", "a~2", minAsk); len(keys) > 0 || !done {
		t.Errorf("unanswered %v, done %v; want none and true", keys, done)
	}
	a.EndAsking()
	closed := a.Next("a", "a~2", asking, Closing{}, restoredChange)
	// Two accounts share a sixteenth of the budget as their margin.
	if spent := ledger.Tokens(40_000 + restoredTotal/32 + marginSeconds*100); closed.Asks || closed.Assumed || closed.Line("o").Spent != spent {
		t.Errorf("account after the answer is %+v, want %d tokens spent", closed, spent)
	}
	write("a", closed)
	if next := b.Next("b", "b~1", confirmed, Closing{}, restoredChange); next.KnowsMore || next.Answers != nil || next.Known != nil {
		t.Errorf("account of b is %+v, want nothing known beyond the account of a", next)
	}
}

// TestAskWithoutAccount guards against a process that takes an empty copy for a first start,
// and against one that asks although the log has never been restored.
func TestAskWithoutAccount(t *testing.T) {
	for epoch, want := range map[int64]bool{0: false, 3: true} {
		var s State
		s.SetEpoch(epoch)
		s.Join("a")
		if got := s.Next("a", "a~1", nil, Closing{}, restoredChange).Asks; got != want {
			t.Errorf("epoch %d: got asks %v, want %v", epoch, got, want)
		}
	}
	// Nobody asks, but an account says that its holder knows more.
	var s State
	s.SetEpoch(3)
	s.Set("a", restoredAccount("a~1", 1, 3, 100, 0))
	b := restoredAccount("b~1", 1, 3, 100, 0)
	b.KnowsMore = true
	s.Set("b", b)
	s.Join("a")
	if next := s.Next("a", "a~2", nil, Closing{}, restoredChange); !next.Asks || next.Assumed {
		t.Errorf("got account %+v, want one that asks and whose lines are known", next)
	}
}

// TestUnanswered guards against a process that stops asking before the others have answered,
// and against one that waits for holders that have ended.
func TestUnanswered(t *testing.T) {
	account := func(change func(*Account)) *Account {
		a := restoredAccount("x~1", 1, 5, 1, 0)
		change(a)
		return a
	}
	for _, c := range []struct {
		name  string
		other *Account
		// after is the time for which the process asks.
		after time.Duration
	}{
		{"no other account", nil, minAsk},
		{"answered", account(func(a *Account) { a.Answers = []ident.Incarnation{"a~2", "c~9"} }), minAsk},
		{"another holder was answered", account(func(a *Account) { a.Answers = []ident.Incarnation{"a~1"} }), maxAsk + 1},
		{"asks too", account(func(a *Account) { a.Asks = true }), minAsk},
		{"not written since the restore", account(func(a *Account) { a.LogEpoch, a.Answers = 4, []ident.Incarnation{"a~2"} }), minAsk},
		{"not answered", account(func(*Account) {}), maxAsk + 1},
	} {
		var s State
		s.SetEpoch(5)
		if c.other != nil {
			s.Set("x", c.other)
		}
		s.Set("a", account(func(a *Account) { a.Holder, a.Asks = "a~2", true }))
		if _, done := s.Unanswered("a", "a~2", c.after-1); done {
			t.Errorf("%s: done before %v, want not", c.name, c.after)
		}
		if keys, done := s.Unanswered("a", "a~2", c.after); !done {
			t.Errorf("%s: unanswered %v after %v, want done", c.name, keys, c.after)
		}
	}
}

// TestAnswerWithoutAccount guards against a living instance whose knowledge is lost because it
// has no account of its own in the copy.
func TestAnswerWithoutAccount(t *testing.T) {
	var s State
	s.SetEpoch(4)
	s.Apply("a", restoredAccount("a~1", 1, 4, 40_000, 100))
	if s.MustAnswer("b", nil) {
		t.Error("b has to answer before a restore, want not")
	}
	s.SetEpoch(5)
	if !s.MustAnswer("b", nil) {
		t.Error("b does not have to write an account, want one that says that it knows more")
	}
	if next := s.Next("b", "b~1", nil, Closing{}, restoredChange); !next.KnowsMore || next.Asks {
		t.Errorf("account of b is %+v, want one that knows more and does not ask", next)
	}
}
