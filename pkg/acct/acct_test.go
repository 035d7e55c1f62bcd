package acct_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/beryllanding/beryllanding/pkg/acct"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// write applies an account with changes as the next in the order, and returns the
// settled account.
func write(s *acct.State, key string, holder ident.Incarnation, base *acct.Account, closing acct.Closing, changes ...acct.Change) *acct.Account {
	next := s.Next(key, holder, base, closing, changes)
	held := s.Settled(key, next)
	s.Apply(key, next)
	return held
}

func total(version int64, n ledger.Tokens) acct.Total {
	return acct.Total{Version: version, Tokens: n}
}

// TestTotal guards against grants beyond a total that was lowered, and against an older
// total that replaces a newer one.
func TestTotal(t *testing.T) {
	var s acct.State
	var none acct.Closing
	a := write(&s, "a", "a~1", nil, none, acct.Change{Budget: "o", Total: total(5, 1000), Grant: 800})
	// A total of an older version is not used, even if the holder knows no newer one.
	b := write(&s, "b", "b~1", nil, none, acct.Change{Budget: "o", Total: total(4, 9000), Grant: 201})
	if b.Line("o").Granted != 200 {
		t.Errorf("account is %+v, want 200 granted by the newer total", b)
	}
	b = write(&s, "b", "b~1", b, none, acct.Change{Budget: "o", Total: total(4, 9000), Return: 200})
	// The total is lowered below what is held: nothing more is granted, and returned
	// tokens do not become free.
	lowered := total(6, 500)
	if b = write(&s, "b", "b~1", b, none, acct.Change{Budget: "o", Total: lowered, Grant: 1}); b.Line("o").Held() != 0 {
		t.Errorf("account is %+v, want 0 held under the lowered total", b)
	}
	write(&s, "b", "b~1", b, none, acct.Change{Budget: "o", Total: lowered})
	a = write(&s, "a", "a~1", a, none, acct.Change{Budget: "o", Total: lowered, Return: 200})
	if v := s.Budget("o", lowered); v.Committed != 600 || v.Free != 0 {
		t.Errorf("budget is %+v, want 600 committed and 0 free", v)
	}
	write(&s, "a", "a~1", a, none, acct.Change{Budget: "o", Total: lowered, Return: 400})
	if v := s.Budget("o", lowered); v.Committed != 200 || v.Free != 300 {
		t.Errorf("budget is %+v, want 200 committed and 300 free", v)
	}
	if v := s.Budget("o", total(7, 2000)); v.Free != 1800 {
		t.Errorf("budget is %+v, want 1800 free", v)
	}
}

// TestSettled guards against pending grants that together exceed the total: a pending
// grant gets what the earlier accounts leave, and earlier pending grants that are not
// settled count in full.
func TestSettled(t *testing.T) {
	var s acct.State
	var none acct.Closing
	paid := total(1, 1000)
	a := write(&s, "a", "a~1", nil, none, acct.Change{Budget: "o", Total: paid, Grant: 700, PerSecond: 10})
	b := write(&s, "b", "b~1", nil, none, acct.Change{Budget: "o", Total: paid, Grant: 400}, acct.Change{Budget: "p", Total: total(1, 50), Grant: 50})
	want := []acct.Line{{Budget: "o", Version: 1, Total: 1000, Granted: 300}, {Budget: "p", Version: 1, Total: 50, Granted: 50}}
	if diff := cmp.Diff(want, b.Lines); diff != "" {
		t.Error(diff)
	}
	// To a reader that does not know the accounts before b, the whole pending grant of b
	// counts until b writes again. A pending grant of c then gets nothing.
	var late acct.State
	late.Set("a", a)
	late.Set("b", &acct.Account{Holder: "b~1", Epoch: 1, Lines: []acct.Line{{Budget: "o", Version: 1, Total: 1000, Granted: 400, Pending: 400}}})
	if c := write(&late, "c", "c~1", nil, none, acct.Change{Budget: "o", Total: paid, Grant: 1}); c.Line("o").Granted != 0 {
		t.Errorf("account of c is %+v, want 0 granted", c)
	}
	late.Apply("b", s.Next("b", "b~1", b, none, nil))
	if v := late.Budget("o", paid); v.Committed != 1001 {
		t.Errorf("budget is %+v, want 1001 committed, with the unsettled pending grant of c for 1", v)
	}
	c := write(&s, "c", "c~1", nil, none, acct.Change{Budget: "o", Total: paid, Grant: 1})
	if c.Line("o").Granted != 0 {
		t.Errorf("account of c is %+v, want 0 granted", c)
	}
	a = write(&s, "a", "a~1", a, none, acct.Change{Budget: "o", Total: paid, Return: 200, PerSecond: 20})
	if l := a.Line("o"); l.Held() != 500 || a.Serial != 1 || a.Epoch != 1 {
		t.Errorf("account is %+v, want 500 held, serial 1 and epoch 1", a)
	}
	if v := s.Budget("o", paid); v.Free != 200 || v.Holders != 2 || v.PerSecond != 20 {
		t.Errorf("budget is %+v, want 200 free, 2 holders and 20 per second", v)
	}
	// Tokens that an account returns are free for a pending grant in the same write. A
	// return of more than the holder has is ignored.
	b = write(&s, "b", "b~1", b, none, acct.Change{Budget: "o", Total: paid, Return: 100, Grant: 300}, acct.Change{Budget: "p", Total: total(1, 50), Return: 51})
	want = []acct.Line{{Budget: "o", Version: 1, Total: 1000, Granted: 600, Returned: 100}, {Budget: "p", Version: 1, Total: 50, Granted: 50}}
	if diff := cmp.Diff(want, b.Lines); diff != "" {
		t.Error(diff)
	}
}

// TestClose guards against freeing tokens that an ended holder may have used. Tokens
// are freed only by a pledge of that holder whose age can be trusted.
func TestClose(t *testing.T) {
	pledges := &acct.Pledges{Holder: "a~1", Clock: time.Hour, BootID: "m", Lines: []acct.Pledge{{
		Budget: "o", Base: 100, Burst: 50, PerSecond: 10, After: 2 * time.Second, LatePerSecond: 40,
	}}}
	for _, c := range []struct {
		name    string
		pledges *acct.Pledges
		bootID  string
		clock   time.Duration
		spent   ledger.Tokens
		lost    ledger.Tokens
	}{
		{"at once", pledges, "m", time.Hour, 150, 0},
		{"after a second", pledges, "m", time.Hour + time.Second, 160, 10},
		{"after four seconds", pledges, "m", time.Hour + 4*time.Second, 250, 100},
		{"after all is used", pledges, "m", time.Hour + 19*time.Second, 850, 700},
		{"pledges too old to trust", pledges, "m", time.Hour + 21*time.Second, 1000, 850},
		{"another machine", pledges, "n", time.Hour + time.Second, 1000, 850},
		{"the clock was reset", pledges, "m", time.Minute, 1000, 850},
		{"no clock", pledges, "", 0, 1000, 850},
		{"no pledges", nil, "m", time.Hour, 1000, 1000},
		{"another holder's pledges", &acct.Pledges{Holder: "a~0", Clock: time.Hour, BootID: "m", Lines: pledges.Lines}, "m", time.Hour, 1000, 1000},
		{"no pledge of the budget", &acct.Pledges{Holder: "a~1", Clock: time.Hour, BootID: "m"}, "m", time.Hour, 1000, 1000},
	} {
		var s acct.State
		var none acct.Closing
		paid := total(1, 5000)
		a := write(&s, "a", "a~1", nil, none, acct.Change{Budget: "o", Total: paid, Grant: 1200})
		write(&s, "a", "a~1", a, none, acct.Change{Budget: "o", Total: paid, Return: 200})
		a = write(&s, "a", "a~2", nil, acct.Closing{Pledges: c.pledges, BootID: c.bootID, Clock: c.clock},
			acct.Change{Budget: "o", Total: paid, Grant: 5000})
		want := []acct.Line{{Budget: "o", Version: 1, Total: 5000, Spent: c.spent, Lost: c.lost, Granted: 5000 - c.spent}}
		if diff := cmp.Diff(want, a.Lines); diff != "" || a.Serial != 0 || a.Epoch != 2 {
			t.Errorf("%s: epoch %d, serial %d, want 2 and 0; lines (-want +got):\n%s", c.name, a.Epoch, a.Serial, diff)
		}
	}
}

// TestPendingGrants guards against overspend. Instances start, end and write at random,
// and each has read only a part of the order. What they may use, plus what ended ones
// have used, must never exceed what is paid.
func TestPendingGrants(t *testing.T) {
	for seed := range uint64(100) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		paid := total(1, 10_000)
		w := simulation{t: t, rnd: rnd, paid: paid, used: make(map[ident.Incarnation]ledger.Tokens)}
		for range 5 {
			w.instances = append(w.instances, &instance{})
		}
		for range 300 {
			w.step()
			w.check(seed)
		}
	}
}

// orderedAccount is an account with its key in the order.
type orderedAccount struct {
	key     string
	account *acct.Account
}

// instance is an instance that has read the order up to, but not including, index read.
type instance struct {
	incarnation int
	holder      ident.Incarnation
	key         string
	state       acct.State
	read        int
	own         *acct.Account
	// pending is the index in the order, plus one, of the instance's account that it
	// has not read back yet, or 0 if there is none. returned is the number of tokens
	// that this account returns. The instance no longer uses them.
	pending  int
	returned ledger.Tokens
}

// held returns what the instance may use.
func (c *instance) held() ledger.Tokens { return c.own.Line("o").Held() - c.returned }

type simulation struct {
	t         *testing.T
	rnd       *rand.Rand
	paid      acct.Total
	order     []orderedAccount
	instances []*instance
	// used is what each ended incarnation had used, a random part of what it held.
	used map[ident.Incarnation]ledger.Tokens
	// spent is the sum over used.
	spent ledger.Tokens
}

// readTo lets an instance read the order up to, not including, an index.
func (c *instance) readTo(order []orderedAccount, to int) {
	for ; c.read < to; c.read++ {
		e := order[c.read]
		if c.pending > 0 && c.read == c.pending-1 {
			c.own, c.pending, c.returned = c.state.Settled(c.key, e.account), 0, 0
		}
		c.state.Apply(e.key, e.account)
	}
}

func (w *simulation) step() {
	i := w.rnd.IntN(len(w.instances))
	c := w.instances[i]
	c.key = fmt.Sprintf("i%d", i)
	switch n := w.rnd.IntN(20); {
	case n == 0 || c.holder == "":
		// A new incarnation reads the whole order and closes the one before it.
		if c.own != nil {
			used := w.rnd.Int64N(c.held() + 1)
			w.used[c.holder] = used
			w.spent += used
		}
		*c = instance{incarnation: c.incarnation + 1, key: c.key, holder: ident.Incarnation(fmt.Sprintf("%s~%d", c.key, c.incarnation+1))}
		if w.rnd.IntN(2) == 0 {
			c.readTo(w.order, len(w.order))
			return
		}
		// The store has compacted the history to the newest record of each key.
		for _, e := range w.order {
			c.state.Set(e.key, e.account)
		}
		c.read = len(w.order)
	case n < 8:
		c.readTo(w.order, c.read+w.rnd.IntN(len(w.order)-c.read+1))
	case c.pending > 0:
		c.readTo(w.order, c.pending)
	default:
		change := acct.Change{Budget: "o", Total: w.paid, Grant: w.rnd.Int64N(4000)}
		if w.rnd.IntN(2) == 0 {
			change.Return = w.rnd.Int64N(c.held() + 1)
		}
		var closing acct.Closing
		if before := c.state.Account(c.key); before != nil && c.own == nil {
			closing.BootID = "m"
			closing.Pledges = &acct.Pledges{Holder: before.Holder, BootID: "m", Lines: []acct.Pledge{{Budget: "o", Base: w.used[before.Holder]}}}
		}
		w.order = append(w.order, orderedAccount{c.key, c.state.Next(c.key, c.holder, c.own, closing, []acct.Change{change})})
		c.pending, c.returned = len(w.order), change.Return
	}
}

// check compares the paid tokens with the sum of what each instance holds by its own
// view and what ended incarnations have used.
func (w *simulation) check(seed uint64) {
	w.t.Helper()
	sum := w.spent
	for _, c := range w.instances {
		if c.held() < 0 {
			w.t.Fatalf("seed %d: an instance holds fewer than 0 tokens, want 0 or more; its account is %+v", seed, c.own)
		}
		sum += c.held()
	}
	if sum > w.paid.Tokens {
		w.t.Fatalf("seed %d: %d tokens are used or held, want at most the %d paid", seed, sum, w.paid.Tokens)
	}
}

// TestCodec encodes and decodes accounts and pledges, and checks that an account that
// would corrupt the sums is refused.
func TestCodec(t *testing.T) {
	a := &acct.Account{Holder: "a~1", Epoch: 2, Serial: 3, Peer: "10.0.0.1:7", Lines: []acct.Line{
		{Budget: "o", Version: 7, Total: 500, Spent: 3, Lost: 1, Granted: 90, Returned: 40, PerSecond: 5}, {Budget: "p", Granted: 1},
	}}
	data, err := a.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := acct.DecodeAccount(data)
	if diff := cmp.Diff(a, got); err != nil || diff != "" {
		t.Error(err, diff)
	}
	p := &acct.Pledges{Holder: "a~1", Clock: time.Hour, BootID: "m/b", Lines: []acct.Pledge{{Budget: "o", Base: 5, Burst: 6, PerSecond: 7, After: time.Second, LatePerSecond: 8}}}
	if data, err = p.Encode(); err != nil {
		t.Fatal(err)
	}
	gotPledges, err := acct.DecodePledges(data)
	if diff := cmp.Diff(p, gotPledges); err != nil || diff != "" {
		t.Error(err, diff)
	}
	if _, err := acct.DecodePledges([]byte("{}x")); !errors.Is(err, acct.ErrRecord) {
		t.Errorf("decoding invalid pledges: error is %v, want ErrRecord", err)
	}
	for name, bad := range map[string]*acct.Account{
		"no holder":         {Epoch: 1},
		"no epoch":          {Holder: "a~1"},
		"returned too much": {Holder: "a~1", Epoch: 1, Lines: []acct.Line{{Budget: "o", Granted: 1, Returned: 2}}},
		"spent below zero":  {Holder: "a~1", Epoch: 1, Lines: []acct.Line{{Budget: "o", Spent: -1}}},
		"out of order":      {Holder: "a~1", Epoch: 1, Lines: []acct.Line{{Budget: "p"}, {Budget: "o"}}},
		"twice":             {Holder: "a~1", Epoch: 1, Lines: []acct.Line{{Budget: "o", Granted: 1}, {Budget: "o", Granted: 2}}},
	} {
		data, err := bad.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if got, err := acct.DecodeAccount(data); !errors.Is(err, acct.ErrRecord) {
			t.Errorf("%s: got %+v, error %v, want ErrRecord", name, got, err)
		}
	}
}

// TestLoggedLine guards against a renamed key in a log line: accounts are logged as
// JSON, and Pending keeps the key of the field's former name.
func TestLoggedLine(t *testing.T) {
	got, err := json.Marshal(acct.Line{Budget: "o", Granted: 5, Pending: 2})
	want := `{"Budget":"o","Version":0,"Total":0,"Spent":0,"Lost":0,"Granted":5,"Returned":0,"Claim":2,"PerSecond":0}`
	if diff := cmp.Diff(want, string(got)); diff != "" || err != nil {
		t.Errorf("line as JSON: error %v (-want +got):\n%s", err, diff)
	}
}
