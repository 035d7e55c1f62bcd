package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllanding/beryllanding/pkg/refuse"
	"github.com/beryllanding/beryllanding/pkg/route"
)

// runTime is the time that a fake engine takes for a whole answer.
const runTime = 4 * tokenPause

func newEngine(w *world, policy route.Policy, timeouts Timeouts) *Engine {
	return &Engine{
		DataCentre: "dc", Catalogue: w, Budgets: w, Targets: w, Dialer: w,
		Seed: 1, Policy: policy, Timeouts: timeouts,
	}
}

// ask serves one chat of a class.
func ask(ctx context.Context, e *Engine, id int, class uint32) error {
	r := planned{ID: fmt.Sprintf("org/~%d", id), Kind: "chat"}.request()
	r.Account.Class = class
	_, err := e.Do(ctx, r, &callerEnd{})
	return err
}

// TestQueueByClass saturates all targets: those that wait are served by class,
// then in the order of their arrival.
func TestQueueByClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(nil)
		e := newEngine(w, route.Policy{MaxInFlight: 1}, Timeouts{})
		var mu sync.Mutex
		var order []int
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				if err := ask(t.Context(), e, i, uint32(1+i%2)); err != nil {
					t.Errorf("request %d: %v", i, err)
				}
				mu.Lock()
				defer mu.Unlock()
				order = append(order, i)
			})
		}
		wg.Wait()
		if want := []int{0, 1, 2, 4, 6, 8, 10, 3, 5, 7, 9, 11}; !slices.Equal(order, want) {
			t.Errorf("served %v, expected %v", order, want)
		}
	})
}

// TestQueueGivesUp refuses what cannot be served in time, with the time to come
// back, and gives up the place of a caller that hangs up.
func TestQueueGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(nil)
		e := newEngine(w, route.Policy{MaxInFlight: 1}, Timeouts{Queue: runTime / 2})
		var wg sync.WaitGroup
		for i := range 3 {
			wg.Go(func() { _ = ask(t.Context(), e, i, 1) })
		}
		synctest.Wait()
		start := time.Now()
		gone, hangUp := context.WithCancel(t.Context())
		wg.Go(func() {
			if err := ask(gone, e, 4, 0); !errors.Is(err, ErrHungUp) {
				t.Errorf("caller that hung up got %v", err)
			}
		})
		synctest.Wait()
		hangUp()
		refusal, ok := refuse.As(ask(t.Context(), e, 5, 1))
		if !ok || refusal.Code != refuse.CodeBusy || refusal.Outcome != refuse.NotRun || refusal.RetryAfter <= 0 {
			t.Errorf("got %+v", refusal)
		}
		if took := time.Since(start); took != runTime/2 {
			t.Errorf("refused after %v", took)
		}
		wg.Wait()
		for i := range 3 {
			wg.Go(func() {
				if err := ask(t.Context(), e, 10+i, 1); err != nil {
					t.Errorf("place of request %d was not given up: %v", i, err)
				}
			})
		}
		wg.Wait()
	})
}

// TestLeavingTargetGetsNoMore sends requests while a target leaves that the
// instance list still shows as live.
func TestLeavingTargetGetsNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(nil)
		e := newEngine(w, route.Policy{}, Timeouts{})
		w.sides["t1"].leaving = true
		for i := range 50 {
			if err := ask(t.Context(), e, i, 1); err != nil {
				t.Fatal(err)
			}
		}
		if n := w.sides["t1"].asked; n != 1 || w.sides["t2"].asked == 0 {
			t.Errorf("the leaving target was asked %d times, another %d", n, w.sides["t2"].asked)
		}
	})
}

// TestLimitOfAnOrganisation refuses the request over the limit at once.
func TestLimitOfAnOrganisation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(nil)
		e := newEngine(w, route.Policy{}, Timeouts{})
		limited := func(id int) error {
			r := planned{ID: fmt.Sprintf("org/~%d", id), Kind: "chat"}.request()
			r.Account.MaxConcurrent = 1
			_, err := e.Do(t.Context(), r, &callerEnd{})
			return err
		}
		go func() { _ = limited(1) }()
		synctest.Wait()
		if refusal, ok := refuse.As(limited(2)); !ok || refusal.Code != refuse.CodeBusy || refusal.Outcome != refuse.NotRun {
			t.Errorf("got %+v", refusal)
		}
		time.Sleep(2 * runTime)
		if err := limited(3); err != nil {
			t.Error(err)
		}
	})
}

// TestPlaceOfAnAdmittedCallerThatHungUp admits a waiting request whose caller
// goes at the same moment: its place is free again.
func TestPlaceOfAnAdmittedCallerThatHungUp(t *testing.T) {
	w := newWorld(nil)
	d := newEngine(w, route.Policy{MaxInFlight: 1}, Timeouts{}).dispatcher("s")
	for range 3 {
		if _, err := d.acquire(t.Context(), w, route.Ask{}, 1, time.Minute); err != nil {
			t.Fatal(err)
		}
	}
	d.mu.Lock()
	id, waiter := d.enqueue(time.Now(), route.Ask{}, 1, time.Minute)
	d.mu.Unlock()
	d.done("t2", route.Answered)
	d.leave(id, waiter)
	got, err := d.acquire(t.Context(), w, route.Ask{}, 1, time.Nanosecond)
	if err != nil || got.Name != "t2" {
		t.Errorf("got %v, %v", got, err)
	}
}

// TestStuckEngine has an engine that stops while its side process goes on. The
// second silence gives it up.
func TestStuckEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld([]fault{{Kind: "stuck"}})
		e := newEngine(w, route.Policy{}, Timeouts{})
		end := &callerEnd{}
		start := time.Now()
		result, err := e.Do(t.Context(), planned{ID: "org/~1", Kind: "chat"}.request(), end)
		if err != nil || !slices.Contains(w.answers["org/~1"], end.got.String()) || result.Attempts != 3 {
			t.Errorf("got %q after %d attempts, %v", end.got.String(), result.Attempts, err)
		}
		if took := time.Since(start); took > 2*defaultProgress+time.Second {
			t.Errorf("answered after %v", took)
		}
		time.Sleep(2 * stuckTime) // the stuck run ends
	})
}

// TestWatchNotesWhoLeaves asks targets that had no request yet.
func TestWatchNotesWhoLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(nil)
		w.sides["t1"].leaving = true
		e := newEngine(w, route.Policy{}, Timeouts{})
		e.Services = func() []string { return []string{"s"} }
		ctx, stop := context.WithCancel(t.Context())
		go e.Watch(ctx)
		time.Sleep(time.Millisecond)
		stop()
		for i := range 20 {
			if err := ask(t.Context(), e, i, 1); err != nil {
				t.Fatal(err)
			}
		}
		if n := w.sides["t1"].asked; n != 0 {
			t.Errorf("the leaving target was asked %d times", n)
		}
	})
}
