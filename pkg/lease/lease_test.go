package lease

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

var start = time.Unix(1000, 0)

// granted returns the holder own~1 with a grant of n tokens of budget b.
func granted(n ledger.Tokens, p Policy) *Holder {
	h := New("own~1", p)
	h.Decided(ledger.Decision{Applied: true, Tokens: n, Item: ledger.Grant{Budget: "b", Holder: "own~1", Tokens: n}}, start)
	return h
}

// seen returns the fold's view of budget b, with tokens granted only to own~1.
func seen(free, granted ledger.Tokens) View {
	return View{Fresh: true, Known: true, Paid: free + granted, Free: free, Holders: 1, Own: "own~1", Granted: granted}
}

func free(h *Holder) ledger.Tokens { return h.Holding("b").Free }

// TestSyncCreditsOnce guards against a grant that is credited twice: by its decision
// and by Sync, or by two calls of Sync. Sync credits only the part of Granted that was
// not credited before.
func TestSyncCreditsOnce(t *testing.T) {
	h := granted(100, Policy{})
	for range 2 {
		h.Sync("b", seen(0, 150))
		if got := free(h); got != 150 {
			t.Errorf("%d tokens are free, want 150", got)
		}
	}
	h.CloseHolder("own~1", "own~2")
	h.Sync("b", seen(0, 150))
	if got := free(h); got != 0 {
		t.Errorf("%d tokens of a closed holder are free, want 0", got)
	}
	h.Sync("b", View{Own: "own~2", Granted: 40})
	if got := free(h); got != 40 {
		t.Errorf("%d tokens are free to the new incarnation, want 40", got)
	}
}

func TestReserve(t *testing.T) {
	h := granted(100, Policy{})
	h.BeginTransfer("m", "b")
	h.CompleteTransfer("m", "b", []ledger.Charge{{Holder: "peer~1", Tokens: 30}})
	got, err := h.Reserve("t", "b", 50, start)
	want := []ledger.Charge{{Holder: "peer~1", Tokens: 30}, {Holder: "own~1", Tokens: 20}}
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Fatalf("Reserve: error %v; charges (-want +got):\n%s", err, diff)
	}
	if _, err := h.Reserve("t", "b", 1, start); !errors.Is(err, ErrReservationExists) {
		t.Errorf("second reservation under one id: got error %v, want ErrReservationExists", err)
	}
	if _, err := h.Reserve("u", "b", 81, start); !errors.Is(err, ErrInsufficient) {
		t.Errorf("reserving 81 of 80 tokens: got error %v, want ErrInsufficient", err)
	}
	for _, n := range []ledger.Tokens{0, -1, ledger.MaxTokens + 1} {
		if _, err := h.Reserve("v", "b", n, start); err == nil || errors.Is(err, ErrInsufficient) {
			t.Errorf("reserving %d tokens: got error %v, want an error about the range", n, err)
		}
	}
	// Use beyond the reservation is ignored, and so is use charged to a holder that the
	// reservation does not charge.
	h.Settle("t", "b", []ledger.Charge{{Holder: "own~1", Tokens: 70}, {Holder: "x~1", Tokens: 9}}, start)
	want = []ledger.Charge{{Holder: "own~1", Tokens: 80}, {Holder: "peer~1", Tokens: 30}}
	if diff := cmp.Diff(want, h.Lots("b")); diff != "" {
		t.Errorf("lots (-want +got):\n%s", diff)
	}
}

// TestResolveSettlesBillOnce guards against a bill that is settled against each of the two
// deferred reservations of a request, which would take its tokens twice.
func TestResolveSettlesBillOnce(t *testing.T) {
	h := granted(100, Policy{})
	for _, id := range []string{"t", "u"} {
		if _, err := h.Reserve(id, "b", 40, start); err != nil {
			t.Fatal(err)
		}
		h.Defer(id, "b", "org/1")
	}
	h.Resolve("b", "org/1", []ledger.Charge{{Holder: "own~1", Tokens: 10}}, start)
	if got := h.Holding("b"); got.Free != 90 || got.Reserved != 0 {
		t.Errorf("holding is %+v, want 90 free and 0 reserved", got)
	}
}

func TestPlan(t *testing.T) {
	grant := func(n ledger.Tokens) Effect { return ProposeGrant{Budget: "b", Holder: "own~1", Tokens: n} }
	ask := func(n ledger.Tokens) Effect { return RequestTransfer{Budget: "b", Tokens: n} }
	for _, c := range []struct {
		name      string
		policy    Policy
		seen      View
		shortfall ledger.Tokens
		after     time.Duration
		want      []Effect
	}{
		{"refills to the floor", Policy{Floor: 1000}, seen(5000, 100), 0, 0, []Effect{grant(900)}},
		{"enough", Policy{Floor: 110}, seen(5000, 100), 0, 0, nil},
		{"shortfall above the floor", Policy{Floor: 1000}, seen(5000, 100), 3100, 0, []Effect{grant(3000)}},
		{"asks peers when the free tokens do not cover the shortfall", Policy{Floor: 1000}, seen(500, 100), 3100, 0, []Effect{grant(500), ask(3000)}},
		{"no transfer", Policy{Floor: 1000, NoTransfer: true}, seen(500, 100), 3100, 0, []Effect{grant(500)}},
		{"stale: no grant, peers only", Policy{Floor: 1000}, View{Free: 5000, Own: "own~1", Granted: 100}, 3100, 0, []Effect{ask(3000)}},
		{"bound near exhaustion", Policy{Floor: 1000, Share: 0.5}, seen(300, 100), 0, 0, []Effect{grant(100)}},
		{"sum of floors below the free tokens", Policy{Floor: 1000, ScarceShare: 0.1, IdleReturn: time.Minute}, View{Fresh: true, Paid: 20000, Free: 5000, Holders: 4, Own: "own~1", Granted: 100}, 0, 0, []Effect{grant(900)}},
		{"sum of floors above the free tokens", Policy{Floor: 1000, ScarceShare: 0.1, IdleReturn: time.Minute}, View{Fresh: true, Paid: 20000, Free: 5000, Holders: 16, Own: "own~1", Granted: 100}, 0, 0, []Effect{ProposeReturn{Budget: "b", Holder: "own~1", Tokens: 99}}}, // the peak of 1 token is kept
		{"idle", Policy{IdleReturn: time.Minute}, seen(0, 100), 0, 2 * time.Minute, []Effect{ProposeReturn{Budget: "b", Holder: "own~1", Tokens: 100}}},
		{"idle, stale", Policy{IdleReturn: time.Minute}, View{Own: "own~1", Granted: 100}, 0, 2 * time.Minute, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := granted(100, c.policy)
			h.Sync("b", c.seen)
			if c.shortfall > 0 {
				_, _ = h.Reserve("t", "b", c.shortfall, start) // fails with ErrInsufficient and records the shortfall
			} else {
				h.Cancel("none", "b", start)
				_, _ = h.Reserve("t", "b", 1, start)
				h.Cancel("t", "b", start)
			}
			if diff := cmp.Diff(c.want, h.PlanBudget("b", start.Add(c.after))); diff != "" {
				t.Errorf("effects (-want +got):\n%s", diff)
			}
			if c.shortfall > 0 || c.after > 0 {
				return
			}
			if diff := cmp.Diff([]Effect(nil), h.PlanBudget("b", start)); diff != "" {
				t.Errorf("second plan while the first is pending (-want +got):\n%s", diff)
			}
		})
	}
}

// TestWithdraw checks that a plan covers only the reservations that still wait: tokens for
// a withdrawn one would be bound here without use.
func TestWithdraw(t *testing.T) {
	h := granted(100, Policy{Floor: 1})
	for id, n := range map[string]ledger.Tokens{"stays": 120, "left": 500} {
		if _, err := h.Reserve(id, "b", n, start); !errors.Is(err, ErrInsufficient) {
			t.Fatal(err)
		}
	}
	h.Withdraw("left", "b")
	want := []Effect{RequestTransfer{Budget: "b", Tokens: 20}}
	if diff := cmp.Diff(want, h.PlanBudget("b", start)); diff != "" {
		t.Errorf("effects (-want +got):\n%s", diff)
	}
}

// TestWeight checks that Weight raises reservations and shortens the horizon.
func TestWeight(t *testing.T) {
	h := granted(104, Policy{Weight: 1})
	if _, err := h.Reserve("t", "b", 100, start); !errors.Is(err, ErrInsufficient) {
		t.Errorf("reserving 100 tokens with a margin of 5 out of 104: got error %v, want ErrInsufficient", err)
	}
	if got := (Policy{Weight: 1}).horizon(); got != DefaultHorizon/2 {
		t.Errorf("horizon is %v, want half of the default", got)
	}
}

func BenchmarkReserveSettle(b *testing.B) {
	for _, budgets := range []int{10, 1000, 52000} {
		for _, lots := range []int{1, 4, 40} {
			b.Run(fmt.Sprintf("budgets=%d/lots=%d", budgets, lots), func(b *testing.B) {
				h, names := withPeerLots(budgets, lots)
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					name := names[i%budgets]
					charges, err := h.Reserve("t", name, 1000, start)
					if err != nil {
						b.Fatal(err)
					}
					h.Settle("t", name, charges[:0], start)
				}
			})
		}
	}
}

// withPeerLots returns a holder that has a number of lots from peers in each budget, and the
// names of the budgets.
func withPeerLots(budgets, lots int) (*Holder, []string) {
	h := New("own~1", Policy{})
	names := make([]string, budgets)
	for i := range names {
		names[i] = fmt.Sprintf("org-%d/maint", i)
		for l := range lots {
			id := fmt.Sprintf("m%d", l)
			h.BeginTransfer(id, names[i])
			h.CompleteTransfer(id, names[i], []ledger.Charge{{Holder: ident.Incarnation(fmt.Sprintf("peer%d~1", l)), Tokens: 1 << 20}})
		}
	}
	return h, names
}

func BenchmarkPlan(b *testing.B) {
	for _, budgets := range []int{1000, 10000, 52000} {
		b.Run(fmt.Sprintf("budgets=%d", budgets), func(b *testing.B) {
			h, _ := withPeerLots(budgets, 1)
			for b.Loop() {
				h.Plan(start)
			}
		})
	}
}

// TestServeTransferOrder guards against two holders that are both short and take each other's
// tokens, so that both fail: the holder with the smaller name keeps its tokens while it
// collects. The other holder gets what is left afterwards.
func TestServeTransferOrder(t *testing.T) {
	h := granted(100, Policy{})
	_, _ = h.Reserve("t", "b", 300, start) // fails with ErrInsufficient
	h.PlanBudget("b", start)
	if got, ok := h.ServeTransfer("m1", "zzz~1", "b", 60, start); ok || got != nil {
		t.Errorf("ServeTransfer gave %v to a holder with a larger name, want no answer yet", got)
	}
	if got, ok := h.ServeTransfer("m2", "aaa~1", "b", 10, start); !ok || sum(got) != 10 {
		t.Errorf("ServeTransfer gave %v, ok=%t to a holder with a smaller name, want 10 tokens, ok=true", got, ok)
	}
	if got, ok := h.ServeTransfer("m1", "zzz~1", "b", 60, start.Add(transferTime)); !ok || sum(got) != 60 {
		t.Errorf("ServeTransfer gave %v, ok=%t after the collection ended, want 60 tokens, ok=true", got, ok)
	}
	if got := h.DeclineTransfer("m1", "b"); sum(got) != 60 {
		t.Errorf("DeclineTransfer for an answered transfer returned %v, want the earlier answer of 60 tokens", got)
	}
	h.DeclineTransfer("m3", "b")
	if got, ok := h.ServeTransfer("m3", "aaa~1", "b", 5, start); !ok || got != nil {
		t.Errorf("ServeTransfer gave %v, ok=%t after DeclineTransfer, want no tokens, ok=true", got, ok)
	}
}
