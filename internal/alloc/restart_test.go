package alloc_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllanding/beryllanding/internal/alloc"
	"github.com/beryllanding/beryllanding/internal/stand/keyd"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// restored is a fleet whose store comes back from a copy that lacks what one instance was
// granted and used.
type restored struct {
	t     *testing.T
	store *keyd.Store
	// ends ends each instance by its name.
	ends map[string]context.CancelFunc
	used ledger.Tokens
}

const restoredPaid = 300_000

// start starts an instance.
func (r *restored) start(name string) *alloc.Service {
	ctx, cancel := context.WithCancel(r.t.Context())
	r.ends[name] = cancel
	s := alloc.New(alloc.Options{
		Store: r.store, Topic: "b", Partitions: 1, Pledges: "p", PledgePartitions: 1,
		Instance: name, Machine: name, Policy: alloc.Policy, Clock: machineClock,
	})
	go s.Run(ctx)
	s.SetTotals(1, []alloc.Total{{Budget: "o", Tokens: restoredPaid}, {Budget: "other", Tokens: 10 * restoredPaid}})
	return s
}

// use sends requests to an instance for some time and adds up what they use. It returns the
// number of requests that were served.
func (r *restored) use(s *alloc.Service, length time.Duration) (served int) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		if reservation, err := s.Reserve(r.t.Context(), "o", 1580); err == nil {
			s.Settle(reservation, 1580)
			r.used += 1580
			served++
		}
	}
	return served
}

// TestRestartAfterRestore guards against tokens that are granted twice by an instance that
// has not seen what the store lost. The store comes back from an older copy, and the
// instance that used most of a budget since the copy has ended. What the living instances
// know of its account has to bind its successor, and any other instance that starts then.
func TestRestartAfterRestore(t *testing.T) {
	const away = time.Second
	for name, c := range map[string]struct {
		// delay is the time from the restore to the start of the last instance, which has
		// this name and serves the requests.
		delay time.Duration
		last  string
		// again is set if the instance starts once more soon after that.
		again bool
		// restores is the number of restores.
		restores int
		// idle is set if the living instances serve no requests at all.
		idle bool
	}{
		"successor that starts before the restore":     {delay: -away / 2, last: "a", restores: 1},
		"successor that starts after the restore":      {delay: 100 * time.Millisecond, last: "a", restores: 1},
		"successor that starts long after the restore": {delay: 10 * time.Second, last: "a", restores: 1},
		"successor that starts twice":                  {delay: 20 * time.Millisecond, last: "a", again: true, restores: 1},
		"another instance that starts":                 {delay: 500 * time.Millisecond, last: "new", restores: 1},
		"another instance that starts long after":      {delay: 10 * time.Second, last: "new", restores: 1},
		"successor, idle instances":                    {delay: -away / 2, last: "a", restores: 1, idle: true},
		"another instance that starts, idle instances": {delay: 500 * time.Millisecond, last: "new", restores: 1, idle: true},
		"successor, two restores":                      {delay: -away / 2, last: "a", restores: 2},
		"another instance that starts, two restores":   {delay: 500 * time.Millisecond, last: "new", restores: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &restored{t: t, store: &keyd.Store{}, ends: make(map[string]context.CancelFunc)}
				r.store.Switches.Set(keyd.Switches{Delay: 4 * time.Millisecond})
				a := r.start("a")
				var others []*alloc.Service
				for i := range 2 {
					others = append(others, r.start(fmt.Sprintf("b%d", i)))
				}
				stop := make(chan struct{})
				defer close(stop)
				for _, s := range others {
					if !c.idle {
						go keepInUse(t.Context(), s, stop)
					}
				}
				time.Sleep(2 * time.Second)
				copied := time.Now()
				if served := r.use(a, 4*time.Second); served < 100 {
					t.Fatalf("%d requests served before the restore, want 100 or more", served)
				}
				time.Sleep(500 * time.Millisecond)
				r.store.Switches.Set(keyd.Switches{Down: true})
				r.ends["a"]()
				restore := func() {
					r.store.Restore(time.Since(copied), 0)
					r.store.Switches.Set(keyd.Switches{Delay: 4 * time.Millisecond})
					for _, s := range others {
						s.StoreRestored()
					}
				}
				var last *alloc.Service
				begin := func() {
					last = r.start(c.last)
					if c.again {
						time.Sleep(30 * time.Millisecond)
						r.ends[c.last]()
						last = r.start(c.last)
					}
				}
				if c.delay < 0 {
					time.Sleep(away + c.delay)
					begin()
					time.Sleep(-c.delay)
				} else {
					time.Sleep(away)
				}
				for i := range c.restores {
					if i > 0 {
						time.Sleep(300 * time.Millisecond)
					}
					restore()
				}
				if c.delay >= 0 {
					time.Sleep(c.delay)
					begin()
				}
				before := r.used
				go keepInUse(t.Context(), last, stop)
				r.use(last, 12*time.Second)
				t.Logf("%d tokens used before the restore, %d after it", before, r.used-before)
				if _, err := last.Reserve(t.Context(), "other", 340); err != nil {
					t.Errorf("reserving tokens of the other budget: got error %v, want none", err)
				}
				if r.used > restoredPaid {
					t.Errorf("%d tokens used, want at most the %d paid", r.used, restoredPaid)
				}
			})
		})
	}
}

// keepInUse lets an instance use some tokens of another budget until stop closes.
func keepInUse(ctx context.Context, s *alloc.Service, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		if reservation, err := s.Reserve(ctx, "other", 340); err == nil {
			s.Settle(reservation, 340)
		}
	}
}
