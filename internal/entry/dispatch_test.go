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

// runTime is the time that a fake engine takes for a complete response.
const runTime = 4 * tokenPause

func newEngine(fc *fakeCluster, policy route.Policy, timeouts Timeouts) *Engine {
	return &Engine{
		DataCentre: "dc", Catalogue: fc, Budgets: fc, Targets: fc, Dialer: fc,
		Seed: 1, Policy: policy, Timeouts: timeouts,
	}
}

// doChat serves one chat with the given priority class.
func doChat(ctx context.Context, e *Engine, id int, class uint32) error {
	r := plannedRequest{ID: fmt.Sprintf("org/~%d", id), Kind: "chat"}.request()
	r.Account.Class = class
	_, err := e.Do(ctx, r, &fakeCaller{})
	return err
}

// TestQueueByClass saturates all targets. Queued requests must be served by class, and
// within a class in order of arrival.
func TestQueueByClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fc := newFakeCluster(nil)
		e := newEngine(fc, route.Policy{MaxInFlight: 1}, Timeouts{})
		var mu sync.Mutex
		var order []int
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				if err := doChat(t.Context(), e, i, uint32(1+i%2)); err != nil {
					t.Errorf("request %d: %v", i, err)
				}
				mu.Lock()
				defer mu.Unlock()
				order = append(order, i)
			})
		}
		wg.Wait()
		if want := []int{0, 1, 2, 4, 6, 8, 10, 3, 5, 7, 9, 11}; !slices.Equal(order, want) {
			t.Errorf("requests were answered in the order %v, want %v", order, want)
		}
	})
}

// TestQueueGivesUp checks that a request that cannot be served in time is refused with
// a Retry-After. It also checks that a caller that hangs up while queued occupies no
// slot.
func TestQueueGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fc := newFakeCluster(nil)
		e := newEngine(fc, route.Policy{MaxInFlight: 1}, Timeouts{Queue: runTime / 2})
		var wg sync.WaitGroup
		for i := range 3 {
			wg.Go(func() { _ = doChat(t.Context(), e, i, 1) })
		}
		synctest.Wait()
		start := time.Now()
		gone, hangUp := context.WithCancel(t.Context())
		wg.Go(func() {
			if err := doChat(gone, e, 4, 0); !errors.Is(err, ErrCallerGone) {
				t.Errorf("caller that hung up got error %v, want ErrCallerGone", err)
			}
		})
		synctest.Wait()
		hangUp()
		refusal, ok := refuse.As(doChat(t.Context(), e, 5, 1))
		if !ok || refusal.Code != refuse.CodeBusy || refusal.Outcome != refuse.NotRun || refusal.RetryAfter <= 0 {
			t.Errorf("got refusal %+v, want code busy, outcome not-run and a Retry-After", refusal)
		}
		if took := time.Since(start); took != runTime/2 {
			t.Errorf("refused after %v, want the Queue time-out of %v", took, runTime/2)
		}
		wg.Wait()
		for i := range 3 {
			wg.Go(func() {
				if err := doChat(t.Context(), e, 10+i, 1); err != nil {
					t.Errorf("request %d found no free slot: %v", i, err)
				}
			})
		}
		wg.Wait()
	})
}

// TestDrainingTargetGetsNoMore sends requests while a target is draining but still live
// in the target list. Only the first request may be sent to that target.
func TestDrainingTargetGetsNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fc := newFakeCluster(nil)
		e := newEngine(fc, route.Policy{}, Timeouts{})
		fc.sides["t1"].draining = true
		for i := range 50 {
			if err := doChat(t.Context(), e, i, 1); err != nil {
				t.Fatal(err)
			}
		}
		if n := fc.sides["t1"].asked; n != 1 || fc.sides["t2"].asked == 0 {
			t.Errorf("draining target t1 got %d attempts and t2 got %d, want 1 and at least 1", n, fc.sides["t2"].asked)
		}
	})
}

// TestOrganisationLimit checks that a request above the organisation's limit of
// requests in progress is refused at once.
func TestOrganisationLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fc := newFakeCluster(nil)
		e := newEngine(fc, route.Policy{}, Timeouts{})
		limited := func(id int) error {
			r := plannedRequest{ID: fmt.Sprintf("org/~%d", id), Kind: "chat"}.request()
			r.Account.MaxConcurrent = 1
			_, err := e.Do(t.Context(), r, &fakeCaller{})
			return err
		}
		go func() { _ = limited(1) }()
		synctest.Wait()
		if refusal, ok := refuse.As(limited(2)); !ok || refusal.Code != refuse.CodeBusy || refusal.Outcome != refuse.NotRun {
			t.Errorf("got refusal %+v, want code busy and outcome not-run", refusal)
		}
		time.Sleep(2 * runTime)
		if err := limited(3); err != nil {
			t.Error(err)
		}
	})
}

// TestSlotFreedAfterHangUp admits a queued request whose caller hangs up at the same
// moment. The slot at the target must be free again.
func TestSlotFreedAfterHangUp(t *testing.T) {
	fc := newFakeCluster(nil)
	d := newEngine(fc, route.Policy{MaxInFlight: 1}, Timeouts{}).dispatcher("s")
	for range 3 {
		if _, err := d.acquire(t.Context(), fc, route.Request{}, 1, time.Minute); err != nil {
			t.Fatal(err)
		}
	}
	d.mu.Lock()
	id, waiter := d.enqueue(time.Now(), route.Request{}, 1, time.Minute)
	d.mu.Unlock()
	d.recordDone("t2", route.Responded)
	d.cancelWait(id, waiter)
	got, err := d.acquire(t.Context(), fc, route.Request{}, 1, time.Nanosecond)
	if err != nil || got.Name != "t2" {
		t.Errorf("got target %v, error %v; want t2", got, err)
	}
}

// TestStuckEngine stops an engine while its side process keeps responding. After the
// second silent attempt the request must go to another target.
func TestStuckEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fc := newFakeCluster([]fault{{Kind: "stuck"}})
		e := newEngine(fc, route.Policy{}, Timeouts{})
		caller := &fakeCaller{}
		start := time.Now()
		result, err := e.Do(t.Context(), plannedRequest{ID: "org/~1", Kind: "chat"}.request(), caller)
		if err != nil || !slices.Contains(fc.responses["org/~1"], caller.got.String()) || result.Attempts != 3 {
			t.Errorf("got %q after %d attempts, error %v; want a complete response after 3 attempts", caller.got.String(), result.Attempts, err)
		}
		if took := time.Since(start); took > 2*defaultProgress+time.Second {
			t.Errorf("answered after %v, want at most two Progress time-outs and 1 s", took)
		}
		time.Sleep(2 * stuckTime) // lets the stuck run end
	})
}

// TestWatchMarksDrainingTarget checks that Watch marks a draining target before any
// request is sent there.
func TestWatchMarksDrainingTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fc := newFakeCluster(nil)
		fc.sides["t1"].draining = true
		e := newEngine(fc, route.Policy{}, Timeouts{})
		e.Services = func() []string { return []string{"s"} }
		ctx, stop := context.WithCancel(t.Context())
		go e.Watch(ctx)
		time.Sleep(time.Millisecond)
		stop()
		for i := range 20 {
			if err := doChat(t.Context(), e, i, 1); err != nil {
				t.Fatal(err)
			}
		}
		if n := fc.sides["t1"].asked; n != 0 {
			t.Errorf("draining target got %d attempts, want 0", n)
		}
	})
}
