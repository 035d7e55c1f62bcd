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
	// refreshEvery is how long a gate uses its copy of the target list.
	refreshEvery = 200 * time.Millisecond
	// noTargetRetryAfter is when a caller may come back to a service that has
	// no target.
	noTargetRetryAfter = 2 * time.Second
)

// gate is the routing state of one service, under its own lock.
type gate struct {
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

// waiting is a request in a gate's queue.
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
func (g *gate) acquire(ctx context.Context, list Targets, ask route.Ask, class uint32, patience time.Duration) (route.Target, error) {
	g.mu.Lock()
	now := time.Now()
	g.refresh(now, list)
	if g.queue.Size() == 0 {
		t, err := g.picker.Pick(now, g.rnd, ask)
		if err == nil {
			g.picker.Sent(t.Name)
			g.mu.Unlock()
			return t, nil
		}
		if errors.Is(err, route.ErrNoTarget) {
			g.mu.Unlock()
			return route.Target{}, g.noTarget()
		}
	}
	id, w := g.enqueue(now, ask, class, patience)
	g.mu.Unlock()
	return g.wait(ctx, id, w, patience)
}

// enqueue adds the request to the queue. The caller holds the lock.
func (g *gate) enqueue(now time.Time, ask route.Ask, class uint32, patience time.Duration) (uint64, *waiting) {
	g.lastID++
	w := &waiting{ask: ask, ch: make(chan admission, 1)}
	if g.waiting == nil {
		g.waiting = make(map[uint64]*waiting)
	}
	g.waiting[g.lastID] = w
	shed, full := g.queue.Push(now, route.Waiter{ID: g.lastID, Class: class, Deadline: now.Add(patience)})
	if full {
		g.admit(shed.Waiter.ID, admission{shed: true, after: shed.RetryAfter})
	}
	return g.lastID, w
}

// wait blocks until the request is admitted or given up.
func (g *gate) wait(ctx context.Context, id uint64, w *waiting, patience time.Duration) (route.Target, error) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		select {
		case a := <-w.ch:
			if a.shed {
				return route.Target{}, g.busy(a.after)
			}
			return a.target, nil
		case <-timer.C:
			g.expire()
		case <-ctx.Done():
			g.leave(id, w)
			return route.Target{}, ctx.Err()
		}
	}
}

// leave takes a request out of the queue. Where it was admitted meanwhile, its
// place at the target is given up.
func (g *gate) leave(id uint64, w *waiting) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	if g.queue.Remove(id) {
		return
	}
	select {
	case a := <-w.ch:
		if !a.shed {
			g.picker.Done(a.target.Name, route.Abandoned)
			g.pump(time.Now())
		}
	default:
	}
}

// expire gives up the requests whose time is over.
func (g *gate) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, shed := range g.queue.Expire(time.Now()) {
		g.admit(shed.Waiter.ID, admission{shed: true, after: shed.RetryAfter})
	}
}

// sent records another attempt at a target that was acquired before.
func (g *gate) sent(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.picker.Sent(name)
}

// done records the end of an attempt and admits those that wait.
func (g *gate) done(name string, result route.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.picker.Done(name, result)
	g.pump(now)
}

// report passes on a target's report of its load.
func (g *gate) report(name string, s *wire.TargetStatus) {
	if s == nil {
		return
	}
	g.seen(name, s.GetSide())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.picker.Report(time.Now(), name, route.Status{
		Running: s.GetRunning(),
		Waiting: s.GetWaiting(),
		Leaving: s.GetLeaving(),
	})
}

// seen records the incarnation of a target's side process.
func (g *gate) seen(name, side string) {
	if side == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sides == nil {
		g.sides = make(map[string]string)
	}
	g.sides[name] = side
}

// side returns the last known incarnation of a target's side process: the one
// that answered last, or else the one that is listed.
func (g *gate) side(t route.Target) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return cmp.Or(g.sides[t.Name], t.Incarnation)
}

// blame records that a target gave no answer on a fresh connection either.
func (g *gate) blame(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.picker.Fail(time.Now(), name)
}

// leavingTarget records that a target refused work because it is leaving.
func (g *gate) leavingTarget(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.picker.Report(time.Now(), name, route.Status{Leaving: true})
}

// mayRetry takes a retry out of the budget.
func (g *gate) mayRetry() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retry.Take(time.Now())
}

// arrived records a request, which earns a share of a retry.
func (g *gate) arrived() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retry.Request()
}

// pump admits waiting requests while a target has room. The caller holds the
// lock.
func (g *gate) pump(now time.Time) {
	for {
		first, ok := g.queue.First()
		if !ok {
			return
		}
		t, err := g.picker.Pick(now, g.rnd, g.waiting[first.ID].ask)
		if err != nil {
			return
		}
		g.picker.Sent(t.Name)
		g.queue.Pop(now)
		g.admit(first.ID, admission{target: t})
	}
}

// admit ends a wait. The caller holds the lock.
func (g *gate) admit(id uint64, a admission) {
	if w := g.waiting[id]; w != nil {
		delete(g.waiting, id)
		w.ch <- a
	}
}

// refresh takes over the target list where the copy is old. The caller holds
// the lock.
func (g *gate) refresh(now time.Time, list Targets) {
	if !g.refreshed.IsZero() && now.Sub(g.refreshed) < refreshEvery {
		return
	}
	g.refreshed = now
	g.picker.Update(list.Targets(g.service))
	g.pump(now)
}

// refreshNow takes over the target list.
func (g *gate) refreshNow(list Targets) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh(time.Now(), list)
}

// addresses adds the addresses of the service's targets to a set.
func (g *gate) addresses(set map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for t := range g.picker.All() {
		set[t.Address] = true
	}
}

// stalest returns up to n targets to be asked for their status.
func (g *gate) stalest(n int) []route.Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.picker.Stalest(time.Now(), n)
}

func (g *gate) noTarget() *refuse.Refusal {
	return &refuse.Refusal{
		Code:       refuse.CodeNoTarget,
		Outcome:    refuse.NotRun,
		RetryAfter: noTargetRetryAfter,
		Message:    fmt.Sprintf("service %q has no target that takes work", g.service),
	}
}

func (g *gate) busy(after time.Duration) *refuse.Refusal {
	return &refuse.Refusal{
		Code:       refuse.CodeBusy,
		Outcome:    refuse.NotRun,
		RetryAfter: after,
		Message:    fmt.Sprintf("service %q has more requests than it can serve in time", g.service),
	}
}
