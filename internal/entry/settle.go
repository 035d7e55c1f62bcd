package entry

import (
	"context"
	"time"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/pause"
)

const (
	// The pause between two queries about an attempt that is still running doubles from
	// minQueryPause to maxQueryPause.
	minQueryPause = 20 * time.Millisecond
	maxQueryPause = time.Second
)

// settle settles the request's reservations. If no outcome is open, it does so at once.
// If one is open, it first queries the side processes, in the background.
func (r *run) settle(ctx context.Context) {
	if len(r.flow.Reservations) == 0 {
		return
	}
	if len(r.flow.Open()) == 0 {
		r.result.Billed = r.settleNow()
		return
	}
	r.e.settling.Add(1)
	go func() {
		defer r.e.settling.Done()
		r.resolve(context.WithoutCancel(ctx))
		r.settleNow()
	}()
}

// resolve queries the side processes about each open attempt until its outcome is known
// or Timeouts.Resolve has passed. If a side process that started its attempt cannot be
// reached any more, the output that the caller received is billed.
func (r *run) resolve(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.e.Timeouts.Resolve)
	defer cancel()
	var orphan *Attempt
	for _, a := range r.flow.Open() {
		state := r.resolveOne(ctx, a)
		if state == StateUnreachable && a.Started {
			orphan = a
		}
	}
	if orphan != nil && r.tokens > 0 {
		r.billOrphan(orphan)
	}
}

// resolveOne queries one attempt until its outcome is known, the side process reports
// StateUnknown or StateNotRun, or the context ends. It returns the last state received.
func (r *run) resolveOne(ctx context.Context, a *Attempt) State {
	state := StateUnreachable
	for wait := minQueryPause; ; wait = min(2*wait, maxQueryPause) {
		report := r.e.queryOnAnyConn(ctx, r.req.ID, a)
		r.flow.Record(a, report)
		if ctx.Err() == nil || report.State != StateUnreachable {
			state = report.State
		}
		if a.Outcome != OutcomeOpen || state == StateUnknown || state == StateNotRun {
			return state
		}
		if !pause.For(ctx, wait) {
			return state
		}
	}
}

// billOrphan charges the output that the caller received to the reservation of attempt
// a.
func (r *run) billOrphan(a *Attempt) {
	if r.e.Orphans == nil {
		return
	}
	r.e.Counts.Orphaned.Add(1)
	reservation := r.flow.Reservations[a.Reservation]
	r.e.Orphans.BillOrphan(r.req.ID, reservation, r.req.Service.Name, wire.FirstCharges(reservation.Charges, r.tokens))
}

// settleNow carries out the flow's settlements and returns the number of tokens charged.
func (r *run) settleNow() ledger.Tokens {
	var charged ledger.Tokens
	for i, s := range r.flow.Settlements() {
		reservation := r.flow.Reservations[i]
		switch s := s.(type) {
		case Settle:
			r.e.Counts.Settled.Add(1)
			charged += wire.SumCharges(s.Charges)
			r.e.Budgets.Settle(reservation, r.req.ID, r.req.Service.Name, s.Charges)
		case Cancel:
			r.e.Counts.Cancelled.Add(1)
			r.e.Budgets.Cancel(reservation)
		case Defer:
			r.e.Counts.Deferred.Add(1)
			r.e.Budgets.Defer(reservation, r.req.ID, r.flow.openSides())
		}
	}
	return charged
}

// queryOutcome asks the target's side process for the outcome of an attempt.
func (e *Engine) queryOutcome(ctx context.Context, request string, a *Attempt, client wire.SideClient) OutcomeReport {
	ctx, cancel := context.WithTimeout(ctx, e.Timeouts.Probe)
	defer cancel()
	reply, err := client.Outcome(ctx, &wire.OutcomeRequest{RequestId: request, AttemptId: a.ID, Side: a.Side})
	if err != nil {
		return OutcomeReport{State: StateUnreachable}
	}
	return factOf(reply)
}

// queryOnFreshConn queries the outcome of an attempt over a connection other than that
// of old.
func (e *Engine) queryOnFreshConn(ctx context.Context, request string, a *Attempt, old wire.SideClient) OutcomeReport {
	client, err := e.Dialer.Reconnect(a.Target, old)
	if err != nil {
		return OutcomeReport{State: StateUnreachable}
	}
	return e.queryOutcome(ctx, request, a, client)
}

// queryOnAnyConn queries the outcome of an attempt over the shared connection. If the
// side process does not respond there, it queries over a new connection.
func (e *Engine) queryOnAnyConn(ctx context.Context, request string, a *Attempt) OutcomeReport {
	client, err := e.Dialer.Side(a.Target)
	if err != nil {
		return OutcomeReport{State: StateUnreachable}
	}
	report := e.queryOutcome(ctx, request, a, client)
	if report.State != StateUnreachable {
		return report
	}
	return e.queryOnFreshConn(ctx, request, a, client)
}

// factOf returns the content of a reply. An unrecognised state becomes StateUnknown.
func factOf(reply *wire.OutcomeReply) OutcomeReport {
	switch s := State(reply.GetState()); s {
	case StateRunning, StateFinished, StateNotRun:
		return OutcomeReport{State: s, Side: reply.GetSide(), Charges: wire.ChargesOf(reply.GetCharges())}
	}
	return OutcomeReport{State: StateUnknown}
}
