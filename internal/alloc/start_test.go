package alloc_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllanding/beryllanding/internal/alloc"
	"github.com/beryllanding/beryllanding/internal/stand/keyd"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// TestReserveBeforeAccountsAreRead sends the first request to each instance as it
// starts, before it has read the accounts, and again after all instances were killed at
// the same time. Every request must wait for the reading and be served. If the store
// takes longer than DefaultMaxWait, the request must be refused as unreachable then, and
// never as spent.
func TestReserveBeforeAccountsAreRead(t *testing.T) {
	for _, c := range []struct {
		name   string
		delay  time.Duration
		served bool
	}{
		{"store answers in 4 ms", 4 * time.Millisecond, true},
		{"store answers in a tenth of the wait", alloc.DefaultMaxWait / 10, true},
		{"store answers after the wait", 2 * alloc.DefaultMaxWait, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &keyd.Store{}
				store.Switches.Set(keyd.Switches{Delay: c.delay})
				for range 3 {
					startAllAndReserve(t, store, c.served)
				}
			})
		})
	}
}

// startAllAndReserve starts 30 instances at the same time, sends each a request at once,
// and then kills all of them.
func startAllAndReserve(t *testing.T, store *keyd.Store, served bool) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i := range 30 {
		name := fmt.Sprint("i", i)
		s := alloc.New(alloc.Options{
			Store: store, Topic: "b", Pledges: "p", PledgePartitions: 4, Instance: name, Machine: "m-" + name,
			Policy: alloc.Policy, Clock: machineClock,
		})
		go s.Run(ctx)
		s.SetTotals(1, []alloc.Total{{Budget: "o", Tokens: 100_000_000}})
		wg.Go(func() {
			began := time.Now()
			_, err := s.Reserve(ctx, "o", 9000)
			if took := time.Since(began); took > alloc.DefaultMaxWait {
				t.Errorf("%s: request took %v, want at most %v", name, took, alloc.DefaultMaxWait)
			}
			r, refused := refuse.As(err)
			switch {
			case served && err != nil:
				t.Errorf("%s: %v, want tokens", name, err)
			case !served && (!refused || r.Code != refuse.CodeBudgetUnreachable):
				t.Errorf("%s: error is %v, want %s", name, err, refuse.CodeBudgetUnreachable)
			}
		})
	}
	wg.Wait()
	cancel()
	synctest.Wait()
}
