package entry

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/refuse"
	"github.com/beryllanding/beryllanding/pkg/route"
)

const (
	// refreshInterval is how long a dispatcher uses its copy of the target list.
	refreshInterval = 200 * time.Millisecond
	// noTargetRetryAfter is the Retry-After of a request whose service has no
	// target.
	noTargetRetryAfter = 2 * time.Second
)

// dispatcher is the routing state of one service, protected by its own lock.
type dispatcher struct {
	service string

	mu      sync.Mutex
	picker  route.Picker
	queue   route.Queue
	retry   route.RetryBudget
	rnd     *rand.Rand
	waiting map[uint64]*queuedRequest
	// sides is the last known incarnation of each target's side process.
	sides     map[string]string
	lastID    uint64
	refreshed time.Time
}

// queuedRequest is a request in a dispatcher's queue.
type queuedRequest struct {
	req route.Request
	// ch receives one admission. Its buffer keeps the sender from blocking.
	ch chan admission
}

// admission is the result of a wait: a target or, if the request was shed, the time
// after which to retry.
type admission struct {
	target     route.Target
	shed       bool
	retryAfter time.Duration
}

// acquire returns a target for the request and counts an attempt at that target. If all
// targets are at their limit, it waits up to timeout. The error is a *refuse.Refusal or
// the error of ctx.
func (d *dispatcher) acquire(ctx context.Context, targets Targets, req route.Request, class uint32, timeout time.Duration) (route.Target, error) {
	d.mu.Lock()
	now := time.Now()
	d.refresh(now, targets)
	if d.queue.Size() == 0 {
		t, err := d.picker.Pick(now, d.rnd, req)
		if err == nil {
			d.picker.AttemptStarted(t.Name)
			d.mu.Unlock()
			return t, nil
		}
		if errors.Is(err, route.ErrNoTarget) {
			d.mu.Unlock()
			return route.Target{}, d.noTarget()
		}
	}
	id, w := d.enqueue(now, req, class, timeout)
	d.mu.Unlock()
	return d.wait(ctx, id, w, timeout)
}

// enqueue adds the request to the queue. The queue may shed a request at once: this one
// if it is not expected to be served in time, or the last one of the lowest priority if
// the queue is full. The caller holds the lock.
func (d *dispatcher) enqueue(now time.Time, req route.Request, class uint32, timeout time.Duration) (uint64, *queuedRequest) {
	d.lastID++
	w := &queuedRequest{req: req, ch: make(chan admission, 1)}
	if d.waiting == nil {
		d.waiting = make(map[uint64]*queuedRequest)
	}
	d.waiting[d.lastID] = w
	shed, full := d.queue.Push(now, route.Waiter{ID: d.lastID, Class: class, Deadline: now.Add(timeout)})
	if full {
		d.admit(shed.Waiter.ID, admission{shed: true, retryAfter: shed.RetryAfter})
	}
	return d.lastID, w
}

// wait blocks until the request is admitted or shed, or ctx ends. It returns the target
// of an admitted request.
func (d *dispatcher) wait(ctx context.Context, id uint64, w *queuedRequest, timeout time.Duration) (route.Target, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case a := <-w.ch:
			if a.shed {
				return route.Target{}, d.busy(a.retryAfter)
			}
			return a.target, nil
		case <-timer.C:
			d.expireQueue()
		case <-ctx.Done():
			d.cancelWait(id, w)
			return route.Target{}, ctx.Err()
		}
	}
}

// cancelWait removes a request from the queue. If the request has been admitted in the
// meantime, its slot at the target is released.
func (d *dispatcher) cancelWait(id uint64, w *queuedRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, id)
	if d.queue.Remove(id) {
		return
	}
	select {
	case a := <-w.ch:
		if !a.shed {
			d.picker.AttemptEnded(a.target.Name, route.Unknown)
			d.admitWaiting(time.Now())
		}
	default:
	}
}

// expireQueue sheds the requests whose deadline has passed.
func (d *dispatcher) expireQueue() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, shed := range d.queue.Expire(time.Now()) {
		d.admit(shed.Waiter.ID, admission{shed: true, retryAfter: shed.RetryAfter})
	}
}

// recordSent counts another attempt at a target that was acquired before.
func (d *dispatcher) recordSent(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.AttemptStarted(name)
}

// recordDone records the end of an attempt and admits waiting requests.
func (d *dispatcher) recordDone(name string, result route.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.picker.AttemptEnded(name, result)
	d.admitWaiting(now)
}

// recordStatus records a target's report of its load.
func (d *dispatcher) recordStatus(name string, s *wire.TargetStatus) {
	if s == nil {
		return
	}
	d.recordSide(name, s.GetSide())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.Report(time.Now(), name, route.Status{
		Running:  s.GetRunning(),
		Waiting:  s.GetWaiting(),
		Draining: s.GetLeaving(),
	})
}

// recordSide records the incarnation of a target's side process.
func (d *dispatcher) recordSide(name, side string) {
	if side == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sides == nil {
		d.sides = make(map[string]string)
	}
	d.sides[name] = side
}

// side returns the last known incarnation of a target's side process: the one that
// responded last or, if none did, the one in the target list.
func (d *dispatcher) side(t route.Target) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return cmp.Or(d.sides[t.Name], t.Incarnation)
}

// markFailed records that a target did not respond even on a new connection, or that
// its engine is stuck.
func (d *dispatcher) markFailed(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.RecordConnectFailure(time.Now(), name)
}

// markDraining records that a target refused work because it is draining.
func (d *dispatcher) markDraining(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.Report(time.Now(), name, route.Status{Draining: true})
}

// mayRetry takes one retry from the retry budget. It returns false if none is left.
func (d *dispatcher) mayRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retry.Allow(time.Now())
}

// recordRequest counts a request, which adds a fraction of a retry to the retry budget.
func (d *dispatcher) recordRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retry.Request()
}

// admitWaiting admits queued requests while a target has room. The caller holds the lock.
func (d *dispatcher) admitWaiting(now time.Time) {
	for {
		first, ok := d.queue.First()
		if !ok {
			return
		}
		t, err := d.picker.Pick(now, d.rnd, d.waiting[first.ID].req)
		if err != nil {
			return
		}
		d.picker.AttemptStarted(t.Name)
		d.queue.Pop(now)
		d.admit(first.ID, admission{target: t})
	}
}

// admit ends a wait. The caller holds the lock.
func (d *dispatcher) admit(id uint64, a admission) {
	if w := d.waiting[id]; w != nil {
		delete(d.waiting, id)
		w.ch <- a
	}
}

// refresh updates the target list if the copy is older than refreshInterval. The caller
// holds the lock.
func (d *dispatcher) refresh(now time.Time, targets Targets) {
	if !d.refreshed.IsZero() && now.Sub(d.refreshed) < refreshInterval {
		return
	}
	d.refreshed = now
	d.picker.Update(targets.Targets(d.service))
	d.admitWaiting(now)
}

// lockAndRefresh takes the lock and calls refresh.
func (d *dispatcher) lockAndRefresh(targets Targets) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh(time.Now(), targets)
}

// addresses adds the addresses of the service's targets to set.
func (d *dispatcher) addresses(set map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for t := range d.picker.All() {
		set[t.Address] = true
	}
}

// stalest returns up to n targets whose status should be queried.
func (d *dispatcher) stalest(n int) []route.Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.picker.StatusDue(time.Now(), n)
}

func (d *dispatcher) noTarget() *refuse.Refusal {
	return &refuse.Refusal{
		Code:       refuse.CodeNoTarget,
		Outcome:    refuse.NotRun,
		RetryAfter: noTargetRetryAfter,
		Message:    fmt.Sprintf("service %q has no target that takes work", d.service),
	}
}

func (d *dispatcher) busy(retryAfter time.Duration) *refuse.Refusal {
	return &refuse.Refusal{
		Code:       refuse.CodeBusy,
		Outcome:    refuse.NotRun,
		RetryAfter: retryAfter,
		Message:    fmt.Sprintf("service %q has more requests than it can serve in time", d.service),
	}
}
