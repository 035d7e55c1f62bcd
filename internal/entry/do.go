package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/refuse"
	"github.com/beryllanding/beryllanding/pkg/route"
)

// run is one request in progress at an Engine.
type run struct {
	e    *Engine
	disp *dispatcher
	req  *Request
	sink Sink
	flow Flow
	progress
	result  Result
	arrived time.Time
	// target and client belong to the latest attempt.
	target route.Target
	client wire.SideClient
	// join is set if the next attempt may only join a run.
	join bool
	// ownCount is the number of times that Engine.recent counts this request: 1 once it
	// was added, else 0.
	ownCount int
	// probeCause is why the latest probed attempt broke.
	probeCause error
}

// Do serves one request and passes the response to the sink. If the caller has hung up,
// the error wraps ErrCallerGone. Any other error wraps a *refuse.Refusal, even if a
// part of the response was passed on. The reservations are settled before Do returns
// or, if the outcome of an attempt is open, later in the background.
func (e *Engine) Do(ctx context.Context, req *Request, sink Sink) (Result, error) {
	e.init()
	e.Counts.Requests.Add(1)
	r := &run{e: e, disp: e.dispatcher(req.Service.Name), req: req, sink: sink, arrived: time.Now()}
	r.flow.Rerunnable = req.rerunnable()
	if err := e.beginRequest(req.Account); err != nil {
		e.Counts.Refused.Add(1)
		return Result{}, r.withRequestOutcome(err)
	}
	defer e.endRequest(req.Account)
	r.disp.recordRequest()
	err := r.serveAndSettle(ctx)
	r.result.Target = r.target.Name
	r.result.Attempts = len(r.flow.Attempts)
	if err != nil {
		e.Counts.Refused.Add(1)
		return r.result, err
	}
	e.Counts.Answered.Add(1)
	return r.result, nil
}

// serveAndSettle serves the request and settles its reservations, even if the sink
// panics.
func (r *run) serveAndSettle(ctx context.Context) error {
	defer r.settle(ctx)
	if r.req.Keyed {
		r.e.recent.add(r.req.ID)
		r.ownCount = 1
		defer r.forgetIfNotRun() // runs before settle, whose goroutine may change the flow
	}
	return r.serve(ctx)
}

// checkPrior records whether an earlier request with the same id may have run. Call it
// before each decision that may end in a refusal.
func (r *run) checkPrior() {
	r.flow.PriorMayHaveRun = r.req.Keyed && r.e.mayHaveRun(r.req.ID, r.req.Service.Kind == KindApp, r.ownCount)
}

// forgetIfNotRun removes the request from Engine.recent if no attempt may have run.
func (r *run) forgetIfNotRun() {
	if !r.flow.mayHaveRun() {
		r.e.recent.remove(r.req.ID)
	}
}

// serve reserves tokens and makes attempts until the request succeeds or is refused.
func (r *run) serve(ctx context.Context) error {
	if err := r.reserve(ctx); err != nil {
		return err
	}
	if err := r.acquireTarget(ctx); err != nil {
		return r.withRequestOutcome(err)
	}
	for {
		end, err := r.attempt(ctx)
		if err != nil {
			return err
		}
		if _, finished := end.(Finished); !finished {
			r.checkPrior()
		}
		if done, err := r.applyStep(ctx, r.flow.AfterAttempt(end)); done {
			return err
		}
	}
}

// applyStep carries out a step and reports whether the request has ended.
func (r *run) applyStep(ctx context.Context, step Step) (bool, error) {
	switch s := step.(type) {
	case Done:
		return true, nil
	case Refuse:
		return true, r.withSilence(&s.Refusal)
	case Probe:
		return r.probe(ctx, s.Cause)
	case ReserveAgain:
		return r.reserveAgain(ctx, s)
	case Retry:
		return r.prepareRetry(ctx, s)
	}
	return true, nil
}

// reserve reserves the upper bound of the request's cost.
func (r *run) reserve(ctx context.Context) error {
	ctx, span := r.e.Tracer.Start(ctx, "reserve")
	defer span.End()
	start := time.Now()
	t, err := r.e.Budgets.Reserve(ctx, r.req.Account.Budget, r.req.maxCost())
	r.result.Reserved += time.Since(start)
	if err != nil {
		span.RecordError(err)
		return r.withRequestOutcome(r.orCallerGone(ctx, err))
	}
	r.flow.Reservations = append(r.flow.Reservations, t)
	return nil
}

// acquireTarget acquires a target that has not been tried yet.
func (r *run) acquireTarget(ctx context.Context) error {
	req := route.Request{Exclude: r.flow.tried()}
	if r.req.Keyed {
		req.Key = r.req.ID
	}
	if chat, ok := r.req.Work.(Chat); ok {
		req.Prefix = chat.Prefix
	}
	start := time.Now()
	t, err := r.disp.acquire(ctx, r.e.Targets, req, r.req.Account.Class, r.e.Timeouts.Queue)
	r.result.Queued += time.Since(start)
	if err != nil {
		return r.orCallerGone(ctx, err)
	}
	r.target = t
	r.client = nil
	r.join = false
	return nil
}

// prepareRetry prepares another attempt. If there can be none, it returns true and the
// error that ends the request.
func (r *run) prepareRetry(ctx context.Context, s Retry) (bool, error) {
	if s.Join {
		r.joinRun()
		return false, nil
	}
	err := error(&s.Refusal)
	if s.Free || r.disp.mayRetry() {
		r.e.Counts.Retries.Add(1)
		if err = r.acquireTarget(ctx); err == nil {
			return false, nil
		}
	}
	if s.OrJoin && ctx.Err() == nil {
		r.flow.joinAgain()
		r.joinRun()
		return false, nil
	}
	return true, r.withRequestOutcome(err)
}

// joinRun prepares an attempt that joins the run at the same target.
func (r *run) joinRun() {
	r.e.Counts.Resumes.Add(1)
	r.disp.recordSent(r.target.Name)
	r.join = true
}

// reserveAgain reports the closed holder and makes a new reservation. The old one is
// settled with the others when the request ends.
func (r *run) reserveAgain(ctx context.Context, s ReserveAgain) (bool, error) {
	for _, h := range s.closedHolders(r.flow.Reservations[len(r.flow.Reservations)-1]) {
		r.e.Budgets.ReportClosedHolder(h)
	}
	if err := r.reserve(ctx); err != nil {
		return true, err
	}
	return r.prepareRetry(ctx, Retry{Free: true, Refusal: s.Refusal})
}

// closedHolders returns the holders to report: the one that the side process named, or
// all holders of the reservation if it named none.
func (s ReserveAgain) closedHolders(t Reservation) []ident.Incarnation {
	if s.Holder != "" {
		return []ident.Incarnation{s.Holder}
	}
	return holders(t)
}

// probe asks the target's side process for the outcome of the latest attempt. It marks
// the target as failed if the side process does not respond on a new connection either,
// or if too many attempts of the request went silent.
func (r *run) probe(ctx context.Context, cause error) (bool, error) {
	r.e.Counts.Probes.Add(1)
	r.probeCause = cause
	ctx, span := r.e.Tracer.Start(ctx, "probe")
	defer span.End()
	report := r.queryLastAttempt(ctx, cause)
	span.SetAttributes(attribute.String("state", string(report.State)))
	if err := r.callerGoneError(ctx); err != nil {
		return true, err
	}
	if report.State == StateUnreachable || r.flow.TooManySilences() {
		r.disp.markFailed(r.target.Name)
	}
	r.checkPrior()
	return r.applyStep(ctx, r.flow.AfterProbe(report))
}

// queryLastAttempt asks for the outcome of the latest attempt. A connection that went
// silent or was lost is not used again, since gRPC would wait for that connection or
// for its backoff.
func (r *run) queryLastAttempt(ctx context.Context, cause error) OutcomeReport {
	last := r.flow.last()
	switch {
	case r.client == nil:
		return OutcomeReport{State: StateUnreachable}
	case errors.Is(cause, ErrSilent), status.Code(cause) == codes.Unavailable:
		return r.e.queryOnFreshConn(ctx, r.req.ID, last, r.client)
	}
	return r.e.queryOnAnyConn(ctx, r.req.ID, last)
}

// withSilence returns the refusal as an error. The error also wraps ErrSilent if the
// latest probed attempt went silent.
func (r *run) withSilence(refusal *refuse.Refusal) error {
	if errors.Is(r.probeCause, ErrSilent) {
		return fmt.Errorf("%w: %w", refusal, ErrSilent)
	}
	return refusal
}

// orCallerGone returns err, or ErrCallerGone if the caller has hung up.
func (r *run) orCallerGone(ctx context.Context, err error) error {
	if gone := r.callerGoneError(ctx); gone != nil {
		return gone
	}
	return err
}

// withRequestOutcome gives a refusal the outcome of the request as a whole. Other errors
// are returned as they are.
func (r *run) withRequestOutcome(err error) error {
	refusal, ok := refuse.As(err)
	if !ok {
		return err
	}
	r.checkPrior()
	copied := r.flow.withRequestOutcome(*refusal)
	return &copied
}
