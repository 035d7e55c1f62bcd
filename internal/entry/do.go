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

// run is one request in progress.
type run struct {
	e    *Engine
	disp *dispatcher
	req  *Request
	sink Sink
	flow Flow
	progress
	result  Result
	arrived time.Time
	// target and client are those of the last attempt.
	target route.Target
	client wire.SideClient
	// join is set where the next attempt may only join a run.
	join bool
	// remembered is 1 once the engine's memory counts this request.
	remembered int
	// cause is why the last broken attempt broke.
	cause error
}

// Do serves one request and passes the answer to the sink. The error is a
// *refuse.Refusal, also where output was passed on before; or the context's
// error where the caller has gone. The tickets are settled when Do returns, or
// soon after in the background.
func (e *Engine) Do(ctx context.Context, req *Request, sink Sink) (Result, error) {
	e.init()
	e.Counts.Requests.Add(1)
	r := &run{e: e, disp: e.dispatcher(req.Service.Name), req: req, sink: sink, arrived: time.Now()}
	r.flow.Rerunnable = req.rerunnable()
	if err := e.enter(req.Account); err != nil {
		e.Counts.Refused.Add(1)
		return Result{}, r.forRequest(err)
	}
	defer e.exit(req.Account)
	r.disp.arrived()
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

// serveAndSettle settles the tickets also where the sink panics.
func (r *run) serveAndSettle(ctx context.Context) error {
	defer r.settle(ctx)
	if r.req.Keyed {
		r.e.memory.add(r.req.ID)
		r.remembered = 1
		defer r.forget() // before settle, which goes on with the flow by itself
	}
	return r.serve(ctx)
}

// lookBack notes whether an earlier request with the same id may have run. It
// comes before each decision that may end in a refusal.
func (r *run) lookBack() {
	r.flow.Prior = r.req.Keyed && r.e.mayHaveRun(r.req.ID, r.req.Service.Kind == KindApp, r.remembered)
}

// forget takes the request back where no attempt of it may have run.
func (r *run) forget() {
	if !r.flow.mayHaveRun() {
		r.e.memory.forget(r.req.ID)
	}
}

// serve reserves and makes attempts until the request is answered or refused.
func (r *run) serve(ctx context.Context) error {
	if err := r.reserve(ctx); err != nil {
		return err
	}
	if err := r.choose(ctx); err != nil {
		return r.forRequest(err)
	}
	for {
		end, err := r.attempt(ctx)
		if err != nil {
			return err
		}
		if _, answered := end.(Finished); !answered {
			r.lookBack()
		}
		if done, err := r.follow(ctx, r.flow.Ended(end)); done {
			return err
		}
	}
}

// follow takes a step, and reports whether the request has ended.
func (r *run) follow(ctx context.Context, step Step) (bool, error) {
	switch s := step.(type) {
	case Done:
		return true, nil
	case Refuse:
		return true, r.because(&s.Refusal)
	case Probe:
		return r.probe(ctx, s.Cause)
	case Rehold:
		return r.rehold(ctx, s)
	case Retry:
		return r.again(ctx, s)
	}
	return true, nil
}

// reserve takes the request's upper bound out of the budget.
func (r *run) reserve(ctx context.Context) error {
	ctx, span := r.e.Tracer.Start(ctx, "reserve")
	defer span.End()
	start := time.Now()
	t, err := r.e.Budgets.Reserve(ctx, r.req.Account.Budget, r.req.bound())
	r.result.Reserved += time.Since(start)
	if err != nil {
		span.RecordError(err)
		return r.forRequest(r.orGone(ctx, err))
	}
	r.flow.Holds = append(r.flow.Holds, t)
	return nil
}

// choose acquires a target that was not tried yet.
func (r *run) choose(ctx context.Context) error {
	ask := route.Ask{Exclude: r.flow.tried()}
	if r.req.Keyed {
		ask.Key = r.req.ID
	}
	if chat, ok := r.req.Work.(Chat); ok {
		ask.Prefix = chat.Prefix
	}
	start := time.Now()
	t, err := r.disp.acquire(ctx, r.e.Targets, ask, r.req.Account.Class, r.e.Timeouts.Queue)
	r.result.Queued += time.Since(start)
	if err != nil {
		return r.orGone(ctx, err)
	}
	r.target = t
	r.client = nil
	r.join = false
	return nil
}

// again prepares another attempt.
func (r *run) again(ctx context.Context, s Retry) (bool, error) {
	if s.Same {
		r.e.Counts.Resumes.Add(1)
		r.disp.sent(r.target.Name)
		r.join = true
		return false, nil
	}
	if !s.Free && !r.disp.mayRetry() {
		return true, r.forRequest(&s.Refusal)
	}
	r.e.Counts.Retries.Add(1)
	if err := r.choose(ctx); err != nil {
		return true, r.forRequest(err)
	}
	return false, nil
}

// rehold reports the closed holder and reserves anew. The old ticket is settled
// with the others at the end.
func (r *run) rehold(ctx context.Context, s Rehold) (bool, error) {
	for _, h := range s.closed(r.flow.Holds[len(r.flow.Holds)-1]) {
		r.e.Budgets.CloseHolder(h)
	}
	if err := r.reserve(ctx); err != nil {
		return true, err
	}
	return r.again(ctx, Retry{Free: true, Refusal: s.Refusal})
}

// closed returns the holders to report: the one that the side process named, or
// all of the ticket's where it named none.
func (s Rehold) closed(t Ticket) []ident.Incarnation {
	if s.Holder != "" {
		return []ident.Incarnation{s.Holder}
	}
	return holders(t)
}

// probe asks the target's side process what became of the last attempt. Where
// it cannot be reached on a fresh connection either, or the run stays silent on
// one, the target is blamed.
func (r *run) probe(ctx context.Context, cause error) (bool, error) {
	r.e.Counts.Probes.Add(1)
	r.cause = cause
	ctx, span := r.e.Tracer.Start(ctx, "probe")
	defer span.End()
	fact := r.fact(ctx, cause)
	span.SetAttributes(attribute.String("state", string(fact.State)))
	if err := r.gone(ctx); err != nil {
		return true, err
	}
	if fact.State == StateUnreachable || r.flow.Stuck() {
		r.disp.blame(r.target.Name)
	}
	r.lookBack()
	return r.follow(ctx, r.flow.Probed(fact))
}

// fact asks about the last attempt. A connection that went silent or was lost
// is not asked over again, since grpc would wait for it or for its backoff.
func (r *run) fact(ctx context.Context, cause error) Fact {
	last := r.flow.last()
	switch {
	case r.client == nil:
		return Fact{State: StateUnreachable}
	case errors.Is(cause, ErrSilent), status.Code(cause) == codes.Unavailable:
		return r.e.askFresh(ctx, r.req.ID, last, r.client)
	}
	return r.e.askAny(ctx, r.req.ID, last)
}

// because returns the refusal as an error that wraps ErrSilent where the last
// attempt ended by silence.
func (r *run) because(refusal *refuse.Refusal) error {
	if errors.Is(r.cause, ErrSilent) {
		return fmt.Errorf("%w: %w", refusal, ErrSilent)
	}
	return refusal
}

// orGone returns err, or ErrHungUp where the caller has gone.
func (r *run) orGone(ctx context.Context, err error) error {
	if gone := r.gone(ctx); gone != nil {
		return gone
	}
	return err
}

// forRequest makes a refusal say what holds for the request as a whole.
func (r *run) forRequest(err error) error {
	refusal, ok := refuse.As(err)
	if !ok {
		return err
	}
	r.lookBack()
	copied := r.flow.forRequest(*refusal)
	return &copied
}
