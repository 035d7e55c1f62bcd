package alloc_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllanding/beryllanding/internal/alloc"
	"github.com/beryllanding/beryllanding/internal/stand/keyd"
	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

const (
	historySeeds  = 20
	historyLength = 40 * time.Second
	instances     = 4
)

// simulation is a set of instances that draw on the same budgets, with a simple sum of
// the tokens used of each budget for comparison.
type simulation struct {
	t     *testing.T
	rnd   *rand.Rand
	store *keyd.Store
	start time.Time
	// restores makes the store come back from older copies, at times. apart is the least
	// time between a restore and a kill, in which the store has no other fault; 0 allows
	// both at any time.
	restores bool
	apart    time.Duration
	// single leaves out kills of all instances, so that some live through each restore.
	single bool
	// frozenClock stops the machines' clocks, which breaks the rule that they continue
	// after a restart.
	frozenClock bool
	// network carries the instances' requests for tokens to each other.
	network network

	mu sync.Mutex
	// used counts the tokens of each budget that were or may have been spent. A request
	// whose incarnation ends before the request counts with all tokens that it
	// reserved.
	used      map[string]ledger.Tokens
	paid      map[string]ledger.Tokens
	overspend string
	// served and refused count requests.
	served, refused int
	// restored counts the restores of the store. restoredAt is the time of the last one,
	// and died that of the last kill.
	restored         int
	restoredAt, died time.Time
}

// machine runs the incarnations of one instance, one after another.
type machine struct {
	sim  *simulation
	name string
	// clockBase is what the machine's clock showed at the start of the simulation. A
	// power loss changes it.
	clockBase time.Duration
	cancel    context.CancelFunc
	// current is the incarnation that runs.
	current incarnation
}

// incarnation is one run of an instance.
type incarnation struct {
	sim     *simulation
	service *alloc.Service
	// ended is closed when the incarnation ends.
	ended chan struct{}
}

func (sim *simulation) spend(budget string, n ledger.Tokens) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.used[budget] += n
	if sim.used[budget] > sim.paid[budget] && sim.overspend == "" {
		sim.overspend = fmt.Sprintf("budget %s: %d tokens used, want at most the %d paid", budget, sim.used[budget], sim.paid[budget])
	}
}

func (m *machine) boot() {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	base := m.clockBase
	service := alloc.New(alloc.Options{
		Store: m.sim.store, Topic: "budgets", Partitions: 3, Pledges: "pledges", PledgePartitions: 2, Instance: m.name, Policy: alloc.Policy,
		PeerAddr: m.name, Dial: m.sim.network.dial, Machine: m.name, Clock: func() time.Duration {
			if m.sim.frozenClock {
				return base
			}
			return base + time.Since(m.sim.start)
		},
	})
	m.sim.network.set(m.name, service)
	go service.Run(ctx)
	m.current = incarnation{sim: m.sim, service: service, ended: make(chan struct{})}
	m.sim.mu.Lock()
	var totals []alloc.Total
	for b, n := range m.sim.paid {
		totals = append(totals, alloc.Total{Budget: b, Tokens: n})
	}
	m.sim.mu.Unlock()
	service.SetTotals(1, totals)
}

// kill ends the incarnation without a stop. A power loss also changes the machine's
// clock.
func (m *machine) kill(power bool) {
	m.sim.died = time.Now()
	m.cancel()
	close(m.current.ended)
	m.sim.network.set(m.name, nil)
	if power {
		m.clockBase = time.Duration(m.sim.rnd.Int64N(int64(100 * time.Hour)))
	}
}

// request simulates one request: it reserves tokens, runs for a while and settles. If
// the incarnation ends in between, the request may have used all tokens that it
// reserved.
func (in incarnation) request(budget string, tokens, used ledger.Tokens, runs time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-in.ended:
			cancel()
		case <-ctx.Done():
		}
	}()
	reservation, err := in.service.Reserve(ctx, budget, tokens)
	select {
	case <-in.ended:
		if err == nil {
			in.sim.spend(budget, tokens)
		}
		return
	default:
	}
	if err != nil {
		if r, ok := refuse.As(err); ok && r.Outcome != refuse.NotRun {
			in.sim.t.Errorf("refusal has the outcome %q, want not-run", r.Outcome)
		}
		in.sim.mu.Lock()
		in.sim.refused++
		in.sim.mu.Unlock()
		return
	}
	in.sim.spend(budget, used)
	select {
	case <-in.ended:
		in.sim.spend(budget, tokens-used)
	case <-time.After(runs):
		in.service.Settle(reservation, used)
		in.sim.mu.Lock()
		in.sim.served++
		in.sim.mu.Unlock()
	}
}

// history runs one random history. configure, which may be nil, sets its options.
func history(t *testing.T, seed uint64, configure func(*simulation)) *simulation {
	rnd := rand.New(rand.NewPCG(seed, 1))
	sim := &simulation{
		t: t, rnd: rnd, store: &keyd.Store{Rand: rand.New(rand.NewPCG(seed, 2))}, start: time.Now(),
		used: make(map[string]ledger.Tokens),
		paid: map[string]ledger.Tokens{"large": 3_000_000, "small": 200_000, "spare": 30_000_000},
	}
	if configure != nil {
		configure(sim)
	}
	sim.network.rnd, sim.network.lost = rand.New(rand.NewPCG(seed, 3)), 0.2
	var fleet []*machine
	for i := range instances {
		m := &machine{sim: sim, name: fmt.Sprintf("i%d", i), clockBase: time.Duration(rnd.Int64N(int64(100 * time.Hour)))}
		m.boot()
		fleet = append(fleet, m)
	}
	budgets := []string{"large", "large", "large", "small", "spare"}
	for time.Since(sim.start) < historyLength {
		time.Sleep(time.Duration(rnd.ExpFloat64() * float64(20*time.Millisecond)))
		m := fleet[rnd.IntN(len(fleet))]
		tokens := 1000 + ledger.Tokens(rnd.Int64N(15_000))
		go m.current.request(budgets[rnd.IntN(len(budgets))], tokens, tokens*ledger.Tokens(rnd.Int64N(100))/100,
			time.Duration(rnd.Int64N(int64(2*time.Second))))
		sim.injectFault(fleet)
	}
	for _, m := range fleet {
		m.kill(false)
	}
	time.Sleep(time.Minute)
	sim.mu.Lock() // All requests have ended; the lock is for the race detector.
	defer sim.mu.Unlock()
	return sim
}

// injectFault sometimes kills instances or changes the faults of the store.
func (sim *simulation) injectFault(fleet []*machine) {
	if sim.restores && sim.rnd.IntN(400) == 0 && time.Since(sim.died) > sim.apart {
		sim.restoreStore(fleet)
	}
	if sim.restores && time.Since(sim.restoredAt) < sim.apart {
		return
	}
	switch n := sim.rnd.IntN(2000); {
	case n < 6:
		m := fleet[sim.rnd.IntN(len(fleet))]
		m.kill(sim.rnd.IntN(3) == 0)
		time.Sleep(time.Duration(sim.rnd.Int64N(int64(time.Second))))
		m.boot()
	case n < 8 && !sim.single:
		for _, m := range fleet {
			m.kill(false)
		}
		time.Sleep(time.Duration(sim.rnd.Int64N(int64(3 * time.Second))))
		for _, m := range fleet {
			m.boot()
		}
	case n < 14:
		sim.store.Switches.Set(keyd.Switches{
			Down:  sim.rnd.IntN(3) == 0,
			Delay: time.Duration(sim.rnd.Int64N(int64(300 * time.Millisecond))),
			Lost:  sim.rnd.Float64() * 0.6,
			Late:  time.Duration(sim.rnd.Int64N(int64(5 * time.Second))),
		})
	case n < 30:
		sim.store.Switches.Set(keyd.Switches{Delay: 4 * time.Millisecond})
	}
}

// restoreStore takes the store away for a moment and puts it back to a copy that is some
// seconds old, once or twice in a row.
func (sim *simulation) restoreStore(fleet []*machine) {
	switches := sim.store.Switches.Get()
	if sim.apart > 0 {
		switches = keyd.Switches{Delay: 4 * time.Millisecond}
	}
	for range 1 + sim.rnd.IntN(2) {
		down := switches
		down.Down = true
		sim.store.Switches.Set(down)
		time.Sleep(time.Duration(sim.rnd.Int64N(int64(500 * time.Millisecond))))
		sim.store.Restore(time.Duration(sim.rnd.Int64N(int64(5*time.Second))), time.Second)
		sim.store.Switches.Set(switches)
		sim.restored++
		sim.restoredAt = time.Now()
		for _, m := range fleet {
			m.current.service.StoreRestored()
		}
	}
}

// TestHistoriesWithRestores is TestHistories with a store that comes back from older
// copies, several times in a history. All holders live through a restore.
func TestHistoriesWithRestores(t *testing.T) {
	historiesWithRestores(t, func(s *simulation) { s.apart = 6 * time.Second }, nil)
}

// TestHistoriesWithRestoresAndRestarts is TestHistoriesWithRestores with kills and power
// losses of one instance after the other at any time. It guards against an instance that
// starts on a copy and is granted tokens that others know to be used.
func TestHistoriesWithRestoresAndRestarts(t *testing.T) {
	// These seeds overspent when instances that start did not ask the others.
	overspent := []uint64{75, 83, 166, 331}
	historiesWithRestores(t, func(s *simulation) { s.single = true }, overspent)
}

// TestHistoriesWithRestoresAndDeaths is TestHistoriesWithRestores with kills and power
// losses at any time, also between a restore and the moment at which a holder has written
// its account again.
func TestHistoriesWithRestoresAndDeaths(t *testing.T) {
	// In these histories, holders die without having written their accounts again, and
	// had used more in the lost seconds than the margin of an unconfirmed account.
	overspending := []uint64{72, 75, 166, 186, 276}
	historiesWithRestores(t, func(*simulation) {}, overspending)
}

// historiesWithRestores runs configured histories with restores, for the usual seeds and for
// more of them.
func historiesWithRestores(t *testing.T, configure func(*simulation), more []uint64) {
	served, refused, restored := 0, 0, 0
	seeds := more
	for seed := range uint64(historySeeds) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		overspend := ""
		synctest.Test(t, func(t *testing.T) {
			sim := history(t, seed, func(s *simulation) {
				s.restores = true
				configure(s)
			})
			served, refused, restored = served+sim.served, refused+sim.refused, restored+sim.restored
			overspend = sim.overspend
		})
		if overspend != "" {
			t.Errorf("seed %d: %s", seed, overspend)
		}
	}
	t.Logf("%d requests served, %d refused, %d restores", served, refused, restored)
	if restored < historySeeds {
		t.Errorf("%d restores in %d histories, want more than one in each", restored, historySeeds)
	}
	if refused > served {
		t.Errorf("%d requests refused and %d served, want more served than refused", refused, served)
	}
}

// TestHistories guards against overspending: the organisations must not use more than
// is paid. It runs random histories of kills, power losses, outages, lost answers and
// late writes, and compares with a simple sum.
func TestHistories(t *testing.T) {
	served, refused := 0, 0
	for seed := range uint64(historySeeds) {
		synctest.Test(t, func(t *testing.T) {
			sim := history(t, seed, nil)
			if sim.overspend != "" {
				t.Errorf("seed %d: %s", seed, sim.overspend)
			}
			served += sim.served
			refused += sim.refused
		})
	}
	t.Logf("%d requests served, %d refused", served, refused)
	if served < refused {
		t.Errorf("%d requests served, %d refused; want at least as many served as refused, because otherwise the histories spend too little", served, refused)
	}
}

// TestHistoriesDetectOverspend checks that the histories find overspending. With
// machine clocks that stand still, a successor counts tokens as unused that were spent.
func TestHistoriesDetectOverspend(t *testing.T) {
	for seed := uint64(21); seed < 21+historySeeds; seed++ {
		overspend := ""
		synctest.Test(t, func(t *testing.T) {
			overspend = history(t, seed, func(s *simulation) { s.frozenClock = true }).overspend
		})
		if overspend != "" {
			t.Logf("seed %d: %s", seed, overspend)
			return
		}
	}
	t.Errorf("got no overspending in %d histories with machine clocks that stand still, want some", historySeeds)
}

// TestAnswerLost guards against a grant that is counted twice or never because its
// answer was lost and the store applied it seconds later.
func TestAnswerLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &keyd.Store{Rand: rand.New(rand.NewPCG(7, 7))}
		store.Switches.Set(keyd.Switches{Lost: 0.7, Late: 2 * time.Second})
		s := alloc.New(alloc.Options{Store: store, Topic: "b", Partitions: 1, Instance: "i", Policy: alloc.Policy})
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		s.SetTotals(1, []alloc.Total{{Budget: "o", Tokens: 100_000}})
		sum := ledger.Tokens(0)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if reservation, err := s.Reserve(t.Context(), "o", 5000); err == nil {
				s.Settle(reservation, 5000)
				sum += 5000
			}
		}
		if sum != 100_000 {
			t.Errorf("%d tokens spent, want exactly the 100,000 paid", sum)
		}
		cancel()
	})
}

// TestSpentBudgetCode guards against the wrong refusal code for a spent budget. Just
// after the budget was spent, other instances may still return tokens, so the code is
// CodeBudgetUnreachable, which allows a retry. Later it is CodeBudgetSpent, until more
// is paid.
func TestSpentBudgetCode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := alloc.New(alloc.Options{Store: &keyd.Store{}, Topic: "b", Partitions: 1, Instance: "i", Policy: alloc.Policy})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.Run(ctx)
		s.SetTotals(1, []alloc.Total{{Budget: "o", Tokens: 10_000}})
		reservation, err := s.Reserve(t.Context(), "o", 9_000)
		if err != nil {
			t.Fatal(err)
		}
		s.Settle(reservation, 9_000)
		var codes []refuse.Code
		for range 2 {
			_, err := s.Reserve(t.Context(), "o", 9_000)
			r, ok := refuse.As(err)
			if !ok || !errors.Is(err, refuse.ErrRefused) {
				t.Fatal(err)
			}
			codes = append(codes, r.Code)
			time.Sleep(3 * time.Second)
		}
		if codes[0] != refuse.CodeBudgetUnreachable || codes[1] != refuse.CodeBudgetSpent {
			t.Errorf("got codes %v, want [%s %s]", codes, refuse.CodeBudgetUnreachable, refuse.CodeBudgetSpent)
		}
		s.SetTotals(2, []alloc.Total{{Budget: "o", Tokens: 30_000}})
		time.Sleep(time.Second)
		if _, err := s.Reserve(t.Context(), "o", 9_000); err != nil {
			t.Errorf("reserving after the total was raised: got error %v, want none", err)
		}
		cancel()
	})
}

// TestStopReturnsTokens guards against tokens that stay with a stopped instance:
// another instance must be able to use them.
func TestStopReturnsTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &keyd.Store{}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		start := func(name string) *alloc.Service {
			s := alloc.New(alloc.Options{Store: store, Topic: "b", Partitions: 1, Instance: name, Policy: alloc.Policy})
			go s.Run(ctx)
			s.SetTotals(1, []alloc.Total{{Budget: "o", Tokens: 100_000}})
			time.Sleep(time.Second)
			return s
		}
		a := start("a")
		reservation, err := a.Reserve(t.Context(), "o", 20_000)
		if err != nil {
			t.Fatal(err)
		}
		a.Settle(reservation, 10_000)
		if err := a.Stop(t.Context()); err != nil {
			t.Fatal(err)
		}
		b := start("b")
		if _, err := b.Reserve(t.Context(), "o", 90_000); err != nil {
			page, _ := store.Newest(t.Context(), keyed.Partition{Topic: "b"}, "")
			t.Errorf("reserving the 90,000 tokens left: got %v, want no error; a %+v, b %+v, account %s", err, a.Holdings(), b.Holdings(), page.Entries[0].Value)
		}
		cancel()
	})
}

// TestEarlyOutage guards against a first lease that is too small for an outage. The
// store becomes unreachable 2.5 s after the first request, before most requests have
// ended. A lease that is sized by the tokens of ended requests alone covers only two
// seconds of demand.
func TestEarlyOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &keyd.Store{}
		store.Switches.Set(keyd.Switches{Delay: 4 * time.Millisecond})
		s := alloc.New(alloc.Options{
			Store: store, Topic: "b", Partitions: 1, Instance: "i", Policy: alloc.Policy,
			Machine: "m", Clock: func() time.Duration { return time.Duration(time.Now().UnixNano()) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.Run(ctx)
		s.SetTotals(1, []alloc.Total{{Budget: "o", Tokens: 3_000_000}})
		time.Sleep(time.Second)
		var served, refused atomic.Int64
		for i := range 105 { // 10.5 s with ten requests a second.
			if i == 25 {
				store.Switches.Set(keyd.Switches{Down: true})
			}
			go func() {
				reservation, err := s.Reserve(t.Context(), "o", 8000)
				if err != nil {
					refused.Add(1)
					return
				}
				served.Add(1)
				time.Sleep(2 * time.Second)
				s.Settle(reservation, 7000)
			}()
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		cancel()
		if n := refused.Load(); n > 10 {
			t.Errorf("%d of 105 requests refused, want at most 10", n)
		}
	})
}
