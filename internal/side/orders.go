package side

import (
	"context"
	"expvar"
	"net/http"
	"slices"
	"time"

	"github.com/beryllanding/beryllanding/pkg/catal"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/loads"
	"github.com/beryllanding/beryllanding/pkg/pause"
)

const (
	// reconcileTimeout limits one reading of the target's report and the orders
	// that follow from it. The time continues while the process is paused, so a
	// process that resumes late does not send the orders that it planned before.
	reconcileTimeout = 5 * time.Second
	// maxFleetAge is the largest age of the fleet state at which orders are sent.
	// It is longer than the time that a read of a quiet stream waits for a record.
	maxFleetAge = 5 * time.Second
)

// reconciler makes the target's weights and role match the catalogue. It sends
// orders to the target, and coordinates loads with the other side processes of the
// service through the queue in the loads stream.
type reconciler struct {
	catalogue      fold.Follower
	catalogueState catal.State
	queue          fold.Follower
	queueState     loads.State
	writer         fold.Writer
	planner        loads.Planner
	served         servedWeights
	// catalogueRead is closed once the follower has read the catalogue to its end.
	catalogueRead chan struct{}
	// staleSince is when the queue's state was first found stale; zero while the
	// state is not stale.
	staleSince time.Time

	ordersSent, ordersRefused, loadsSkipped expvar.Int
}

// newReconciler returns the server's reconciler, or nil if Options.FollowWeights is
// not set.
func (s *Server) newReconciler() *reconciler {
	if !s.opts.FollowWeights {
		return nil
	}
	rc := &reconciler{catalogueRead: make(chan struct{}), planner: loads.Planner{
		Side: s.opts.Incarnation, Slot: s.opts.Slot, Service: s.opts.Service, Timeout: s.opts.LoadTimeout,
	}}
	rc.catalogue.Log, rc.catalogue.Stream = s.opts.Log, ledger.CatalogueStream
	rc.catalogue.Reader.Machine = &rc.catalogueState
	rc.queue.Log, rc.queue.Stream = s.opts.Log, ledger.LoadsStream
	rc.queue.Reader.Machine = &rc.queueState
	rc.writer.Log, rc.writer.Stream = s.opts.Log, ledger.LoadsStream
	rc.writer.Name = s.writerName()
	rc.writer.Folded = rc.queue.Folded
	return rc
}

// startReconciler starts the loops that follow the streams and send the orders.
func (s *Server) startReconciler() {
	s.startLoop(s.reconciler.queue.Run)
	s.startLoop(s.reconciler.writer.Run)
	s.startLoop(s.checkpointer(&s.reconciler.queue, &s.reconciler.writer).Run)
	s.startLoop(s.reconcileLoop)
}

// reconcileLoop calls reconcile periodically until a later side process takes over.
// It first reads the catalogue to its end, so no order follows from an outdated
// entry.
func (s *Server) reconcileLoop(ctx context.Context) {
	rc := s.reconciler
	for rc.catalogue.CatchUp(ctx) != nil {
		if !pause.For(ctx, orderRetryPause) {
			return
		}
	}
	s.startLoop(rc.catalogue.Run)
	// Weights that the catalogue names count as not loaded until the target has
	// reported them.
	rc.served.set(loads.Decision{Managed: len(rc.wanted().Weights) > 0})
	close(rc.catalogueRead)
	for s.reconcile(ctx) {
		if !pause.For(ctx, s.opts.StatusEvery) {
			return
		}
	}
}

// reconcile reads the target's report once and applies the planner's decision. It
// returns false if a later side process of the slot has taken over.
//
// A target that checks fencing numbers refuses the orders of an earlier side
// process. For other targets, only the fleet stream shows that a later side process
// has taken over. A process that was paused may send one order before it reads this.
func (s *Server) reconcile(ctx context.Context) bool {
	if !s.Registered() || s.Draining() {
		return true
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	view := s.plannerView(ctx)
	if s.superseded() {
		s.leaveTarget("a later side process of the slot is on the fleet stream")
		return false
	}
	var d loads.Decision
	s.reconciler.queue.View(func(r *fold.Reader) {
		if !r.Stale() {
			view.Queue = &s.reconciler.queueState
		}
		d = s.reconciler.planner.Step(view, time.Now())
	})
	s.reconciler.served.set(d)
	if !view.Open(s.opts.Incarnation) || time.Since(s.fleet.FreshAt()) > maxFleetAge {
		return true // the effects are planned again at the next step
	}
	s.resetStaleQueue(ctx, view.Queue == nil, began)
	for _, e := range d.Effects {
		// After the process was paused, the context's timer may not have fired yet.
		if time.Since(began) > reconcileTimeout {
			return true
		}
		if !s.apply(ctx, e) {
			s.leaveTarget("the target refused an order by its fencing number")
			return false
		}
	}
	return true
}

// superseded reports whether the fleet stream has a later side process of the
// slot.
func (s *Server) superseded() bool {
	later := false
	fence := s.fence.Load()
	s.fleet.View(func(*fold.Reader) {
		for _, side := range s.fleetState.Sides() {
			later = later || side.Slot == s.opts.Slot && uint64(side.Fence) > fence
		}
	})
	return later
}

// leaveTarget makes this side process refuse new work, since a later side process
// has taken over the target.
func (s *Server) leaveTarget(reason string) {
	s.opts.Logger.Warn("a later side process has taken over the target; sending no more orders and refusing new work", "slot", s.opts.Slot, "fence", s.fence.Load(), "reason", reason)
	s.SetDraining()
}

// plannerView returns the planner's input, without the queue.
func (s *Server) plannerView(ctx context.Context) loads.View {
	view := loads.View{Desired: s.reconciler.wanted(), InUse: s.reconciler.served.inUse(), Open: s.sidesOpen()}
	if l, ok := s.readLoad(ctx); ok {
		view.Report = &l.Report
	}
	return view
}

// wanted returns what the catalogue specifies for the side's service.
func (rc *reconciler) wanted() loads.Desired {
	record, _ := rc.catalogueState.Get(rc.planner.Service)
	e, ok := record.Entry.(*catal.Service)
	if !ok {
		return loads.Desired{}
	}
	return loads.Desired{Weights: e.Weights, Role: e.Role, MaxLoads: int(e.MaxLoads), Change: record.At}
}

// awaitCatalogue blocks until the catalogue has been read to its end. It returns
// at once if the side has no reconciler, and false if the context ends first.
func (s *Server) awaitCatalogue(ctx context.Context) bool {
	if s.reconciler == nil {
		return true
	}
	select {
	case <-s.reconciler.catalogueRead:
		return true
	case <-ctx.Done():
		return false
	}
}

// sidesOpen returns a function that reports whether a side is open, as of the
// fleet state at the time of this call.
func (s *Server) sidesOpen() func(ident.Incarnation) bool {
	open := make(map[ident.Incarnation]bool)
	s.fleet.View(func(*fold.Reader) {
		for _, side := range s.fleetState.Sides() {
			open[side.Side] = true
		}
	})
	return func(side ident.Incarnation) bool { return open[side] }
}

// targetOrder is the JSON body of an order to the target.
type targetOrder struct {
	Action string `json:"action"`
	Model  string `json:"model,omitempty"`
	Role   string `json:"role,omitempty"`
	Fence  uint64 `json:"fence"`
}

// apply carries out one effect of the planner's decision. It returns false if the
// target refused the order because of its fencing number. An effect that fails for
// another reason is planned again at the next step.
func (s *Server) apply(ctx context.Context, e loads.Effect) bool {
	order := targetOrder{Fence: s.fence.Load()}
	switch e := e.(type) {
	case loads.Propose:
		s.propose(e.Item)
		return true
	case loads.Load:
		order.Action, order.Model = "load", e.Model
	case loads.Unload:
		order.Action, order.Model = "unload", e.Model
	case loads.SetRole:
		order.Action, order.Role = "role", e.Role
	}
	status, err := s.SendOrder(ctx, order)
	if err != nil {
		return true
	}
	s.reconciler.ordersSent.Add(1)
	if status >= http.StatusBadRequest {
		s.reconciler.ordersRefused.Add(1)
		s.opts.Logger.Warn("target refused the order", "action", order.Action, "model", order.Model, "role", order.Role, "status", status)
	}
	return status != http.StatusConflict && status != http.StatusPreconditionFailed
}

func (s *Server) propose(item loads.Item) {
	if skip, ok := item.(loads.Skip); ok {
		s.reconciler.loadsSkipped.Add(1)
		s.opts.Logger.Warn("proposing to skip a load request", "side", skip.Side, "reason", skip.Reason)
	}
	s.reconciler.writer.Propose(loads.Encode(item), nil)
}

// vars returns the reconciler's metrics.
func (rc *reconciler) vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("orders-given", &rc.ordersSent)
	m.Set("orders-refused", &rc.ordersRefused)
	m.Set("skips-proposed", &rc.loadsSkipped)
	m.Set("serving", expvar.Func(func() any { return rc.served.names() }))
	m.Set("queue", expvar.Func(func() any {
		var sides []ident.Incarnation
		rc.queue.View(func(*fold.Reader) {
			for _, p := range rc.queueState.Queue(rc.planner.Service) {
				sides = append(sides, p.Side)
			}
		})
		return slices.Clip(sides)
	}))
	return m
}
