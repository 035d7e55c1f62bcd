package alloc_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllanding/beryllanding/internal/alloc"
	"github.com/beryllanding/beryllanding/internal/stand/keyd"
	"github.com/beryllanding/beryllanding/pkg/acct"
	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// countingStore counts the calls to a store.
type countingStore struct {
	keyd.Store
	calls atomic.Int64
	// refuse is the number of writes that still fail with keyed.ErrOutOfOrder.
	refuse atomic.Int64
}

func (c *countingStore) Newest(ctx context.Context, p keyed.Partition, after string) (keyed.Page, error) {
	c.calls.Add(1)
	return c.Store.Newest(ctx, p, after)
}

func (c *countingStore) Read(ctx context.Context, p keyed.Partition, from keyed.Offset, wait time.Duration) (keyed.Page, error) {
	c.calls.Add(1)
	return c.Store.Read(ctx, p, from, wait)
}

func (c *countingStore) Write(ctx context.Context, p keyed.Partition, w keyed.Writer, e keyed.Entry) error {
	c.calls.Add(1)
	if c.refuse.Add(-1) >= 0 {
		return keyed.ErrOutOfOrder
	}
	return c.Store.Write(ctx, p, w, e)
}

func machineClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// startOn starts an instance on a store. The instance runs until the context ends.
func startOn(ctx context.Context, store keyed.Store, name string, totals ...alloc.Total) *alloc.Service {
	s := alloc.New(alloc.Options{
		Store: store, Topic: "b", Pledges: "p", PledgePartitions: 4, Instance: name, Machine: "m-" + name,
		Policy: alloc.Policy, Clock: machineClock,
	})
	go s.Run(ctx)
	s.SetTotals(1, totals)
	time.Sleep(time.Second)
	return s
}

// TestCallsOfManyBudgets guards against calls that grow with the number of budgets: an
// instance with forty budgets makes at most twice the calls of one with two.
func TestCallsOfManyBudgets(t *testing.T) {
	calls := func(budgets int) (n int64) {
		synctest.Test(t, func(t *testing.T) {
			store := &countingStore{}
			store.Switches.Set(keyd.Switches{Delay: 4 * time.Millisecond})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var totals []alloc.Total
			for i := range budgets {
				totals = append(totals, alloc.Total{Budget: fmt.Sprint(i), Tokens: 40_000_000 / ledger.Tokens(budgets)})
			}
			s := startOn(ctx, store, "i", totals...)
			for i := range 600 { // 30 s; each budget has its lease after 10 s.
				if i == 200 {
					n = store.calls.Load()
				}
				reservation, err := s.Reserve(t.Context(), fmt.Sprint(i%budgets), 2000)
				if err != nil {
					t.Fatal(err)
				}
				s.Settle(reservation, 1500)
				time.Sleep(50 * time.Millisecond)
			}
			n = store.calls.Load() - n
			cancel()
		})
		return n
	}
	few, many := calls(2), calls(40)
	t.Logf("%d calls for 2 budgets, %d for 40", few, many)
	if many > 2*few {
		t.Errorf("got %d calls for 40 budgets, want at most twice the %d calls for 2", many, few)
	}
}

// TestRecoveryAfterOutage guards against an instance that never finds out that an
// outage is over. The write that was due when the store became unreachable is no longer
// due when the outage ends, so only the next request can reach the store.
func TestRecoveryAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &keyd.Store{}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := startOn(ctx, store, "i", alloc.Total{Budget: "o", Tokens: 100_000})
		store.Switches.Set(keyd.Switches{Down: true})
		if _, err := s.Reserve(t.Context(), "o", 60_000); err == nil {
			t.Fatal("60,000 tokens reserved while the store is down, want a refusal")
		}
		time.Sleep(30 * time.Second) // Demand has decayed by then, so no grant is due any more.
		store.Switches.Set(keyd.Switches{})
		time.Sleep(time.Second)
		if _, err := s.Reserve(t.Context(), "o", 60_000); err != nil {
			t.Error(err)
		}
		cancel()
	})
}

// TestAccountTakeoverStopsReservations guards against two processes of the same name
// and machine that spend the same tokens. Once the second has taken over the account,
// the first must refuse all requests.
func TestAccountTakeoverStopsReservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &keyd.Store{}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		total := alloc.Total{Budget: "o", Tokens: 100_000}
		first := startOn(ctx, store, "i", total)
		if _, err := first.Reserve(t.Context(), "o", 1000); err != nil {
			t.Fatal(err)
		}
		second := startOn(ctx, store, "i", total)
		// The first process notices when it reads the accounts. It reads because the
		// request needs more than it holds.
		if _, err := first.Reserve(t.Context(), "o", 90_000); err == nil {
			t.Error("first process: 90,000 tokens reserved after the takeover, want a refusal")
		}
		if first.Loaded() || !second.Loaded() {
			t.Errorf("Loaded: got first %v, second %v; want false, true", first.Loaded(), second.Loaded())
		}
		if _, err := first.Reserve(t.Context(), "o", 1000); err == nil {
			t.Error("first process: 1000 of the tokens it held reserved after the takeover, want a refusal")
		}
		cancel()
	})
}

// TestPledgesRenumberedAfterErrOrder guards against pledges that are never written
// again after the store lost the numbers of their writer. They have to be written under
// a new epoch.
func TestPledgesRenumberedAfterErrOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{}
		store.refuse.Store(2)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := startOn(ctx, store, "i", alloc.Total{Budget: "o", Tokens: 100_000})
		if _, err := s.Reserve(t.Context(), "o", 60_000); err != nil {
			t.Error(err)
		}
		cancel()
	})
}

// TestUnreadableAccount guards against grants while another account cannot be decoded.
// That account may hold any number of tokens. Reservations work again once it can be
// decoded.
func TestUnreadableAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &keyd.Store{}
		partition := keyed.Partition{Topic: "b"}
		store.Put(partition, keyed.Entry{Key: "j@m", Value: []byte("?")})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := startOn(ctx, store, "i", alloc.Total{Budget: "o", Tokens: 100_000})
		if _, err := s.Reserve(t.Context(), "o", 1000); err == nil || s.Loaded() {
			t.Errorf("with an unreadable account: got error %v, loaded %v; want a refusal, false", err, s.Loaded())
		}
		account := &acct.Account{Holder: "j~1", Epoch: 1, Lines: []acct.Line{{Budget: "o", Version: 1, Total: 100_000, Granted: 50_000}}}
		value, err := account.Encode()
		if err != nil {
			t.Fatal(err)
		}
		store.Put(partition, keyed.Entry{Key: "j@m", Value: value})
		time.Sleep(time.Second)
		if _, err := s.Reserve(t.Context(), "o", 50_001); err == nil {
			t.Error("50,001 tokens reserved while another account holds 50,000 of the 100,000 paid, want a refusal")
		}
		if _, err := s.Reserve(t.Context(), "o", 50_000); err != nil {
			t.Error(err)
		}
		cancel()
	})
}
