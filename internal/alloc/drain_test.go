package alloc_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllanding/beryllanding/internal/alloc"
	"github.com/beryllanding/beryllanding/internal/stand/keyd"
	"github.com/beryllanding/beryllanding/pkg/lease"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

const (
	// idleAtEnd is the stated target for the largest share of a paid budget that may go
	// unused while requests are refused for lack of tokens.
	idleAtEnd = 0.03
	// settleAtEnd is, by the same target, how long after the end of a request its
	// unused reserved tokens may stay unavailable to other requests.
	settleAtEnd = 1500 * time.Millisecond
	// spentAfter is the time until a budget is known to be spent. The averages of
	// demand and of what is served have a time constant of four seconds.
	spentAfter = 8 * time.Second
	// firstGrants is the time until all instances have tokens. Before that, a request
	// waits for the first grant of its instance for at most DefaultMaxWait. It is
	// refused if the grant is lost.
	firstGrants = time.Second
)

// drain spends one budget through all instances until nothing is left, and keeps a
// simple sum of what is used for comparison.
type drain struct {
	instances int
	paid      ledger.Tokens
	// rate is in requests a second, over all instances.
	rate float64
	// demandFactor is the total demand as a multiple of the budget; 0 is 1.5.
	demandFactor float64
	// place chooses the instance for a request.
	place  func(rnd *rand.Rand, since time.Duration) int
	policy lease.Policy
	// switches apply to the store after firstGrants.
	switches keyd.Switches

	mu sync.Mutex
	// used is the sum of the tokens that served requests use. bound is the sum of the
	// tokens that ended requests used and of those that open requests may use at most.
	// A request counts as open until settleAtEnd after its end.
	bound, used ledger.Tokens
	// served and refused count requests. refusedFitting counts refused requests that
	// fit into what was left. toldToRetry counts refused requests that got a retry
	// time. It leaves out those within spentAfter of the first refusal, because other
	// instances may still hold idle tokens.
	served, refused, refusedFitting, toldToRetry int
	firstRefusal                                 time.Time
}

// request reserves most tokens, runs and settles with used.
func (d *drain) request(ctx context.Context, s *alloc.Service, most, used ledger.Tokens, runs time.Duration) {
	d.mu.Lock()
	fits := float64(d.bound+most) <= (1-idleAtEnd)*float64(d.paid)
	d.mu.Unlock()
	reservation, err := s.Reserve(ctx, "o", most)
	d.mu.Lock()
	if err != nil {
		d.refused++
		if d.firstRefusal.IsZero() {
			d.firstRefusal = time.Now()
		}
		if r, ok := refuse.As(err); ok && r.RetryAfter > 0 && time.Since(d.firstRefusal) > spentAfter {
			d.toldToRetry++
		}
		// Tokens that were unavailable at the start may have been returned since. Only
		// a request that fits at both times was refused without need.
		if fits && float64(d.bound+most) <= (1-idleAtEnd)*float64(d.paid) {
			d.refusedFitting++
		}
		d.mu.Unlock()
		return
	}
	d.served++
	d.bound += most
	d.used += used
	d.mu.Unlock()
	time.Sleep(runs)
	s.Settle(reservation, used)
	time.Sleep(settleAtEnd)
	d.mu.Lock()
	d.bound -= most - used
	d.mu.Unlock()
}

// idle is the share of the budget that was not used.
func (d *drain) idle() float64 { return 1 - float64(d.used)/float64(d.paid) }

// run sends requests until their total demand is demandFactor times the budget.
func (d *drain) run(t *testing.T, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	store := &keyd.Store{Rand: rand.New(rand.NewPCG(seed, 4))}
	store.Switches.Set(keyd.Switches{Delay: 4 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	var fleet []*alloc.Service
	for i := range d.instances {
		s := alloc.New(alloc.Options{
			Store: store, Topic: "b", Partitions: 1, Instance: fmt.Sprintf("i%d", i), Policy: d.policy,
			Machine: fmt.Sprintf("m%d", i), Clock: func() time.Duration { return time.Duration(time.Now().UnixNano()) },
		})
		go s.Run(ctx)
		s.SetTotals(1, []alloc.Total{{Budget: "o", Tokens: d.paid}})
		fleet = append(fleet, s)
	}
	time.Sleep(time.Second)
	start := time.Now()
	var wg sync.WaitGroup
	most := ledger.Tokens(cmp.Or(d.demandFactor, 1.5) * float64(d.paid))
	for asked := ledger.Tokens(0); asked < most; {
		if time.Since(start) > firstGrants {
			store.Switches.Set(d.switches)
		}
		time.Sleep(time.Duration(rnd.ExpFloat64() / d.rate * float64(time.Second)))
		s := fleet[d.place(rnd, time.Since(start))]
		bound := 2000 + ledger.Tokens(rnd.Int64N(8000))
		used := bound * ledger.Tokens(30+rnd.Int64N(70)) / 100
		runs := time.Duration(rnd.Int64N(int64(2 * time.Second)))
		asked += used
		wg.Go(func() { d.request(ctx, s, bound, used, runs) })
	}
	wg.Wait()
	cancel()
}

func evenly(n int) func(*rand.Rand, time.Duration) int {
	return func(rnd *rand.Rand, _ time.Duration) int { return rnd.IntN(n) }
}

// TestDrain guards against tokens that stay unused at some instances while others
// refuse requests. It spends budgets to the end through all instances: at most
// idleAtEnd of a budget may be idle, and no refused request may fit into the rest.
func TestDrain(t *testing.T) {
	usual := keyd.Switches{Delay: 4 * time.Millisecond}
	tests := map[string]*drain{
		"even over 4":   {instances: 4, paid: 3_000_000, rate: 40, place: evenly(4), switches: usual},
		"even over 16":  {instances: 16, paid: 3_000_000, rate: 100, place: evenly(16), switches: usual},
		"small over 16": {instances: 16, paid: 400_000, rate: 10, place: evenly(16), switches: usual},
		"slow over 8":   {instances: 8, paid: 600_000, rate: 5, place: evenly(8), switches: usual},
		"mostly one": {instances: 8, paid: 3_000_000, rate: 40, switches: usual, place: func(rnd *rand.Rand, _ time.Duration) int {
			return max(0, rnd.IntN(36)-28)
		}},
		"moving callers": {instances: 8, paid: 6_000_000, rate: 50, switches: usual, place: func(_ *rand.Rand, since time.Duration) int {
			return int(since/(4*time.Second)) % 8
		}},
		"slow store": {instances: 4, paid: 3_000_000, rate: 40, place: evenly(4), switches: keyd.Switches{
			Delay: 40 * time.Millisecond, Lost: 0.05, Late: 300 * time.Millisecond,
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				d := &drain{instances: tt.instances, paid: tt.paid, rate: tt.rate, place: tt.place, policy: alloc.Policy, switches: tt.switches}
				synctest.Test(t, func(t *testing.T) { d.run(t, seed) })
				t.Logf("seed %d: %.4f of the budget idle, %d requests served, %d refused, %d of them fitted", seed, d.idle(), d.served, d.refused, d.refusedFitting)
				if d.idle() > idleAtEnd {
					t.Errorf("seed %d: %.4f of the budget is idle at the end, want at most %v", seed, d.idle(), idleAtEnd)
				}
				if d.refusedFitting > 0 {
					t.Errorf("seed %d: %d of %d refused requests fitted into what was left, want 0", seed, d.refusedFitting, d.refused)
				}
				if d.used > d.paid {
					t.Errorf("seed %d: %d tokens used, want at most the %d paid", seed, d.used, d.paid)
				}
			}
		})
	}
}

// TestDrainDetectsIdleTokens checks that drain finds the fault that TestDrain guards
// against. Leases with a large floor, also at instances without requests, withhold
// tokens from the instance that has the requests.
func TestDrainDetectsIdleTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &drain{instances: 4, paid: 3_000_000, rate: 40, place: func(*rand.Rand, time.Duration) int { return 0 }, policy: alloc.Policy}
		d.policy.Floor, d.policy.FloorInUse, d.policy.IdleReturn, d.policy.ScarceShare = 100_000, false, 0, 0
		d.run(t, 1)
		if d.idle() <= idleAtEnd || d.refusedFitting == 0 {
			t.Errorf("got %.4f of the budget idle and %d refused requests that fitted, want more than %v and more than 0", d.idle(), d.refusedFitting, idleAtEnd)
		}
	})
}

// TestSpentBudgetGivesNoRetryAfter guards against waves of retries long after a budget
// is spent. Requests that end still give back unused tokens, and each return serves one
// or two requests. All others must be refused as spent, without a retry time: a retry
// would be refused too.
func TestSpentBudgetGivesNoRetryAfter(t *testing.T) {
	for seed := range uint64(3) {
		d := &drain{
			instances: 4, paid: 1_500_000, rate: 40, demandFactor: 3, place: evenly(4), policy: alloc.Policy,
			switches: keyd.Switches{Delay: 4 * time.Millisecond},
		}
		synctest.Test(t, func(t *testing.T) { d.run(t, seed) })
		t.Logf("seed %d: %d served, %d refused, %d of them with a retry time", seed, d.served, d.refused, d.toldToRetry)
		// Requests that arrive just after a return of tokens may get a retry time.
		if d.refused < 400 || d.toldToRetry > d.refused/20 {
			t.Errorf("seed %d: %d of %d refused requests got a retry time, want at most 1 in 20 of at least 400", seed, d.toldToRetry, d.refused)
		}
	}
}
