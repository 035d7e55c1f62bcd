package ledger

import (
	"bytes"
	"fmt"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/beryllanding/beryllanding/pkg/fold"
)

// verdict is the part of a decision that the tests compare.
type verdict struct {
	Applied bool
	Tokens  Tokens
	Reason  Reason
}

// step is an item and the verdict that is expected for it.
type step struct {
	item Item
	want verdict
}

// apply folds the steps in order and compares each verdict.
func apply(t *testing.T, s *State, steps []step) {
	t.Helper()
	var got verdict
	s.OnDecision = func(d Decision) { got = verdict{Applied: d.Applied, Tokens: d.Tokens, Reason: d.Reason} }
	for i, st := range steps {
		s.Apply(fold.Position{}, Encode(st.item))
		if diff := cmp.Diff(st.want, got); diff != "" {
			t.Errorf("step %d, %+v (-want +got):\n%s", i, st.item, diff)
		}
	}
}

func applied(n Tokens) verdict      { return verdict{Applied: true, Tokens: n} }
func refused(why Reason) verdict    { return verdict{Reason: why} }
func charges(cs ...Charge) []Charge { return cs }

func TestRules(t *testing.T) {
	for name, steps := range map[string][]step{
		"top-up": {
			{TopUp{ID: "1", Budget: "b", Tokens: 100}, applied(100)},
			{TopUp{ID: "1", Budget: "b", Tokens: 100}, refused(ReasonRepeated)},
			{TopUp{ID: "2", Budget: "new", Tokens: -1}, refused(ReasonNotCovered)},
			{TopUp{ID: "3", Budget: "b", Tokens: -60}, applied(-60)},
			{Grant{Budget: "b", Holder: "h", Tokens: 30}, applied(30)},
			{TopUp{ID: "4", Budget: "b", Tokens: -11}, refused(ReasonNotCovered)},
			{TopUp{ID: "4", Budget: "b", Tokens: -10}, applied(-10)},
			{TopUp{ID: "5", Budget: "b", Tokens: MaxTokens}, refused(ReasonNotCovered)},
			{TopUp{ID: "6", Budget: "b", Tokens: math.MaxInt64}, refused(ReasonAmount)},
			{TopUp{ID: "7", Budget: "b", Tokens: math.MinInt64}, refused(ReasonAmount)},
			{TopUp{Budget: "b", Tokens: 1}, refused(ReasonAmount)},
		},
		"grant": {
			{Grant{Budget: "b", Holder: "h", Tokens: 1}, refused(ReasonUnknownBudget)},
			{TopUp{ID: "1", Budget: "b", Tokens: 100}, applied(100)},
			{Grant{Budget: "b", Holder: "h", Tokens: 0}, refused(ReasonAmount)},
			{Grant{Budget: "b", Holder: "h", Tokens: -5}, refused(ReasonAmount)},
			{Grant{Budget: "b", Holder: "h", Tokens: math.MaxInt64}, refused(ReasonAmount)},
			{Grant{Budget: "b", Holder: "h", Tokens: 101}, refused(ReasonNotCovered)},
			{Grant{Budget: "b", Holder: "h", Tokens: 60}, applied(60)},
			{Grant{Budget: "b", Holder: "i", Tokens: 41}, refused(ReasonNotCovered)},
			{Grant{Budget: "b", Holder: "i", Tokens: 40}, applied(40)},
		},
		"return": {
			{TopUp{ID: "1", Budget: "b", Tokens: 100}, applied(100)},
			{Grant{Budget: "b", Holder: "h", Tokens: 100}, applied(100)},
			{Usage{Budget: "b", Request: "r", Charges: charges(Charge{"h", 30})}, applied(30)},
			{Return{Budget: "b", Holder: "h", Tokens: 50}, applied(50)},
			{Return{Budget: "b", Holder: "h", Tokens: 50}, applied(20)},
			{Return{Budget: "b", Holder: "h", Tokens: 1}, refused(ReasonNotCovered)},
			{Return{Budget: "b", Holder: "i", Tokens: 1}, refused(ReasonClosed)},
			{Grant{Budget: "b", Holder: "i", Tokens: 71}, refused(ReasonNotCovered)},
			{Grant{Budget: "b", Holder: "i", Tokens: 70}, applied(70)},
		},
		"usage": {
			{TopUp{ID: "1", Budget: "b", Tokens: 100}, applied(100)},
			{Grant{Budget: "b", Holder: "h", Tokens: 50}, applied(50)},
			{Usage{Budget: "b", Request: "r", Charges: charges(Charge{"h", -1})}, refused(ReasonAmount)},
			{Usage{Budget: "b", Request: "r", Charges: charges(Charge{"h", 20}, Charge{"h", 10})}, applied(30)},
			{Usage{Budget: "b", Request: "r", Charges: charges(Charge{"h", 20})}, refused(ReasonRepeated)},
			{Usage{Budget: "b", Request: "s", Charges: charges(Charge{"h", 30})}, verdict{true, 20, ReasonNotCovered}},
			{Usage{Budget: "b", Request: "z"}, applied(0)},
			{Usage{Budget: "b", Request: "z", Charges: charges(Charge{"h", 1})}, refused(ReasonRepeated)},
			{Usage{Budget: "c", Request: "y"}, refused(ReasonUnknownBudget)},
		},
		"reclaim": {
			{TopUp{ID: "1", Budget: "b", Tokens: 100}, applied(100)},
			{TopUp{ID: "2", Budget: "c", Tokens: 100}, applied(100)},
			{Grant{Budget: "b", Holder: "h", Tokens: 100}, applied(100)},
			{Grant{Budget: "c", Holder: "h", Tokens: 40}, applied(40)},
			{Usage{Budget: "b", Request: "r", Charges: charges(Charge{"h", 30})}, applied(30)},
			{Reclaim{Holder: "h"}, applied(110)},
			{Reclaim{Holder: "h"}, refused(ReasonRepeated)},
			{Grant{Budget: "b", Holder: "h", Tokens: 1}, refused(ReasonClosed)},
			{Return{Budget: "b", Holder: "h", Tokens: 1}, refused(ReasonClosed)},
			{Usage{Budget: "b", Request: "s", Charges: charges(Charge{"h", 1})}, verdict{true, 0, ReasonClosed}},
			{Grant{Budget: "b", Holder: "i", Tokens: 71}, refused(ReasonNotCovered)},
			{Grant{Budget: "b", Holder: "i", Tokens: 70}, applied(70)},
		},
	} {
		t.Run(name, func(t *testing.T) { apply(t, &State{}, steps) })
	}
}

func TestMalformedHasNoEffect(t *testing.T) {
	var s State
	s.Apply(fold.Position{}, fold.Item{Kind: "grant", Body: []byte(`{"tokens":"x"}`)})
	s.Apply(fold.Position{}, fold.Item{Kind: "unheard-of", Body: []byte(`{}`)})
	if want := (Stats{Malformed: 2}); s.Stats != want {
		t.Errorf("stats are %+v, want %+v", s.Stats, want)
	}
}

// filled returns a state with the given numbers of budgets, of holders of each budget,
// and of bills.
func filled(budgets, holders, bills int) *State {
	s := &State{}
	for b := range budgets {
		name := fmt.Sprintf("org-%d/maint", b)
		s.decide(TopUp{ID: fmt.Sprintf("t%d", b), Budget: name, Tokens: 1 << 40})
		for h := range holders {
			s.decide(Grant{Budget: name, Holder: holderName(h), Tokens: 1 << 30})
		}
	}
	for i := range bills {
		s.decide(bill(i, budgets, holders))
	}
	return s
}

func TestSnapshot(t *testing.T) {
	s := filled(7, 5, 100)
	s.decide(Reclaim{Holder: holderName(2), Fleet: 9})
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var restored State
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	again, err := restored.Snapshot()
	if err != nil || !bytes.Equal(data, again) {
		t.Errorf("snapshot of the restored state failed, or differs from the one that was restored; error is %v", err)
	}
	for _, s := range []*State{s, &restored} {
		if b, _ := s.Budget("org-3/maint"); b.Holders != 4 {
			t.Errorf("budget has %d holders, want 4 of 5", b.Holders)
		}
	}
	next := []step{
		{bill(99, 7, 5), refused(ReasonRepeated)},
		{TopUp{ID: "t3", Budget: "org-3/maint", Tokens: 1}, refused(ReasonRepeated)},
		{Grant{Budget: "org-3/maint", Holder: holderName(2), Tokens: 1}, refused(ReasonClosed)},
	}
	apply(t, s, next)
	apply(t, &restored, next)
	before, err := restored.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{`{`, `{"bills":"AAAA"}`, `{"budgets":[{"name":"b","paid":1,"net":2}]}`} {
		if restored.Restore([]byte(bad)) == nil {
			t.Errorf("restored the invalid snapshot %s, want an error", bad)
		}
	}
	if after, err := restored.Snapshot(); err != nil || !bytes.Equal(before, after) {
		t.Errorf("snapshot after a failed restore failed, or differs from the one before; error is %v", err)
	}
	apply(t, &restored, next)
}

// TestBillWindow checks that the oldest bill is evicted first, also after a restore. If a
// newer bill were evicted, its request could be billed twice.
func TestBillWindow(t *testing.T) {
	s := filled(1, 1, billWindow+3)
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var restored State
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	for _, s := range []*State{s, &restored} {
		for i, want := range map[int]bool{2: false, 3: true, billWindow + 2: true} {
			if _, ok := s.Billed(bill(i, 1, 1).Request); ok != want {
				t.Errorf("bill %d is remembered: %t, want %t", i, ok, want)
			}
		}
		s.decide(bill(billWindow+3, 1, 1))
		if _, ok := s.Billed(bill(3, 1, 1).Request); ok {
			t.Error("the oldest bill is still remembered after another bill, want it evicted")
		}
	}
}

// TestLeaseHolders checks that a holder with an empty lease is listed until it is
// reclaimed.
func TestLeaseHolders(t *testing.T) {
	s := new(State)
	for _, item := range []Item{
		TopUp{ID: "1", Budget: "b", Tokens: 100},
		Grant{Budget: "b", Holder: "h1", Tokens: 30},
		Grant{Budget: "b", Holder: "h2", Tokens: 30},
		Return{Budget: "b", Holder: "h1", Tokens: 30},
	} {
		s.Apply(fold.Position{}, Encode(item))
	}
	if got := fmt.Sprint(s.LeaseHolders()); got != "[h1 h2]" {
		t.Errorf("holders are %s, want [h1 h2]", got)
	}
	s.Apply(fold.Position{}, Encode(Reclaim{Holder: "h1"}))
	if got := fmt.Sprint(s.LeaseHolders()); got != "[h2]" {
		t.Errorf("holders after the reclaim are %s, want [h2]", got)
	}
}
