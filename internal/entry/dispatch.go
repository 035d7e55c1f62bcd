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
	// refreshEvery is how long a dispatcher uses its copy of the target list.
	refreshEvery = 200 * time.Millisecond
	// noTargetRetryAfter is when a caller may come back to a service that has
	// no target.
	noTargetRetryAfter = 2 * time.Second
)

// dispatcher is the routing state of one service, under its own lock.
type dispatcher struct {
	service string

	mu      sync.Mutex
	picker  route.Picker
	queue   route.Queue
	retry   route.RetryBudget
	rnd     *rand.Rand
	waiting map[uint64]*waiting
	// sides holds the last known incarnation of each target's side process.
	sides     map[string]string
	lastID    uint64
	refreshed time.Time
}

// waiting is a request in a dispatcher's queue.
type waiting struct {
	ask route.Ask
	// ch receives one admission; it never blocks the sender.
	ch chan admission
}

// admission ends a wait: with a target, or with the time to come back.
type admission struct {
	target route.Target
	shed   bool
	after  time.Duration
}

// acquire returns a target for the request and records that an attempt goes
// there. It waits where all targets are at their limit. The error is a
// *refuse.Refusal, or the context's.
func (d *dispatcher) acquire(ctx context.Context, list Targets, ask route.Ask, class uint32, patience time.Duration) (route.Target, error) {
	d.mu.Lock()
	now := time.Now()
	d.refresh(now, list)
	if d.queue.Size() == 0 {
		t, err := d.picker.Pick(now, d.rnd, ask)
		if err == nil {
			d.picker.Sent(t.Name)
			d.mu.Unlock()
			return t, nil
		}
		if errors.Is(err, route.ErrNoTarget) {
			d.mu.Unlock()
			return route.Target{}, d.noTarget()
		}
	}
	id, w := d.enqueue(now, ask, class, patience)
	d.mu.Unlock()
	return d.wait(ctx, id, w, patience)
}

// enqueue adds the request to the queue. The caller holds the lock.
func (d *dispatcher) enqueue(now time.Time, ask route.Ask, class uint32, patience time.Duration) (uint64, *waiting) {
	d.lastID++
	w := &waiting{ask: ask, ch: make(chan admission, 1)}
	if d.waiting == nil {
		d.waiting = make(map[uint64]*waiting)
	}
	d.waiting[d.lastID] = w
	shed, full := d.queue.Push(now, route.Waiter{ID: d.lastID, Class: class, Deadline: now.Add(patience)})
	if full {
		d.admit(shed.Waiter.ID, admission{shed: true, after: shed.RetryAfter})
	}
	return d.lastID, w
}

// wait blocks until the request is admitted or given up.
func (d *dispatcher) wait(ctx context.Context, id uint64, w *waiting, patience time.Duration) (route.Target, error) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		select {
		case a := <-w.ch:
			if a.shed {
				return route.Target{}, d.busy(a.after)
			}
			return a.target, nil
		case <-timer.C:
			d.expire()
		case <-ctx.Done():
			d.leave(id, w)
			return route.Target{}, ctx.Err()
		}
	}
}

// leave takes a request out of the queue. Where it was admitted meanwhile, its
// place at the target is given up.
func (d *dispatcher) leave(id uint64, w *waiting) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, id)
	if d.queue.Remove(id) {
		return
	}
	select {
	case a := <-w.ch:
		if !a.shed {
			d.picker.Done(a.target.Name, route.Abandoned)
			d.admitWaiting(time.Now())
		}
	default:
	}
}

// expire gives up the requests whose time is over.
func (d *dispatcher) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, shed := range d.queue.Expire(time.Now()) {
		d.admit(shed.Waiter.ID, admission{shed: true, after: shed.RetryAfter})
	}
}

// sent records another attempt at a target that was acquired before.
func (d *dispatcher) sent(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.Sent(name)
}

// done records the end of an attempt and admits those that wait.
func (d *dispatcher) done(name string, result route.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.picker.Done(name, result)
	d.admitWaiting(now)
}

// report passes on a target's report of its load.
func (d *dispatcher) report(name string, s *wire.TargetStatus) {
	if s == nil {
		return
	}
	d.seen(name, s.GetSide())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.Report(time.Now(), name, route.Status{
		Running: s.GetRunning(),
		Waiting: s.GetWaiting(),
		Leaving: s.GetLeaving(),
	})
}

// seen records the incarnation of a target's side process.
func (d *dispatcher) seen(name, side string) {
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

// side returns the last known incarnation of a target's side process: the one
// that answered last, or else the one that is listed.
func (d *dispatcher) side(t route.Target) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return cmp.Or(d.sides[t.Name], t.Incarnation)
}

// blame records that a target gave no answer on a fresh connection either.
func (d *dispatcher) blame(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.Fail(time.Now(), name)
}

// leavingTarget records that a target refused work because it is leaving.
func (d *dispatcher) leavingTarget(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.Report(time.Now(), name, route.Status{Leaving: true})
}

// mayRetry takes a retry out of the budget.
func (d *dispatcher) mayRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retry.Take(time.Now())
}

// arrived records a request, which earns a share of a retry.
func (d *dispatcher) arrived() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retry.Request()
}

// admitWaiting admits waiting requests while a target has room. The caller holds the
// lock.
func (d *dispatcher) admitWaiting(now time.Time) {
	for {
		first, ok := d.queue.First()
		if !ok {
			return
		}
		t, err := d.picker.Pick(now, d.rnd, d.waiting[first.ID].ask)
		if err != nil {
			return
		}
		d.picker.Sent(t.Name)
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

// refresh takes over the target list where the copy is old. The caller holds
// the lock.
func (d *dispatcher) refresh(now time.Time, list Targets) {
	if !d.refreshed.IsZero() && now.Sub(d.refreshed) < refreshEvery {
		return
	}
	d.refreshed = now
	d.picker.Update(list.Targets(d.service))
	d.admitWaiting(now)
}

// refreshNow takes over the target list.
func (d *dispatcher) refreshNow(list Targets) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh(time.Now(), list)
}

// addresses adds the addresses of the service's targets to a set.
func (d *dispatcher) addresses(set map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for t := range d.picker.All() {
		set[t.Address] = true
	}
}

// stalest returns up to n targets to be asked for their status.
func (d *dispatcher) stalest(n int) []route.Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.picker.Stalest(time.Now(), n)
}

func (d *dispatcher) noTarget() *refuse.Refusal {
	return &refuse.Refusal{
		Code:       refuse.CodeNoTarget,
		Outcome:    refuse.NotRun,
		RetryAfter: noTargetRetryAfter,
		Message:    fmt.Sprintf("service %q has no target that takes work", d.service),
	}
}

func (d *dispatcher) busy(after time.Duration) *refuse.Refusal {
	return &refuse.Refusal{
		Code:       refuse.CodeBusy,
		Outcome:    refuse.NotRun,
		RetryAfter: after,
		Message:    fmt.Sprintf("service %q has more requests than it can serve in time", d.service),
	}
}
