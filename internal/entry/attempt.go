package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/refuse"
	"github.com/beryllanding/beryllanding/pkg/route"
)

// Errors of an attempt. Test for them with errors.Is.
var (
	// ErrSilent reports that nothing arrived on the connection in time.
	ErrSilent = errors.New("connection went silent: nothing arrived in time")
	// ErrUnsent reports that a request was not sent because its stream could not
	// be opened.
	ErrUnsent = errors.New("request was not sent: its stream could not be opened")
	// ErrCallerGone reports that the caller disconnected before the response was
	// complete.
	ErrCallerGone = errors.New("caller disconnected before the response was complete")
)

// attempt makes one attempt at the acquired target. It returns how the attempt ended. A
// non-nil error means that the caller has hung up.
func (r *run) attempt(ctx context.Context) (End, error) {
	a := &Attempt{
		ID: ident.NewRequestID(), Target: r.target, Side: r.disp.side(r.target),
		Reservation: len(r.flow.Reservations) - 1, Join: r.join,
	}
	r.flow.Attempts = append(r.flow.Attempts, a)
	r.e.Counts.Attempts.Add(1)
	r.restartComparison()
	ctx, span := r.e.Tracer.Start(ctx, "attempt", trace.WithAttributes(
		attribute.String("attempt", a.ID), attribute.String("target", a.Target.Name)))
	defer span.End()
	end, err := r.receive(ctx, a)
	r.disp.recordDone(a.Target.Name, routeResult(end))
	if b, ok := end.(Broken); ok {
		span.RecordError(b.Cause)
	}
	return end, err
}

// routeResult returns what the end of an attempt shows about the target. After a broken
// attempt the result is unknown until the probe that follows.
func routeResult(end End) route.Result {
	switch end.(type) {
	case Finished, Refused:
		return route.Responded
	}
	return route.Unknown
}

// receive opens the attempt's stream and passes its events to the caller until the
// stream ends. It returns how the attempt ended. A timer cancels the stream if nothing
// arrives in time, because gRPC has no deadline for a single message. The timer also
// covers opening the stream, which waits for the connection.
func (r *run) receive(parent context.Context, a *Attempt) (End, error) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	idleTimer := time.AfterFunc(r.firstEventTimeout(), func() { cancel(ErrSilent) })
	defer idleTimer.Stop()
	stream, err := r.open(ctx, a)
	if err != nil {
		if r.client == nil || errors.Is(err, ErrUnsent) {
			a.Outcome = OutcomeNotRun
		}
		return Broken{Cause: causeOf(ctx, err)}, r.callerGoneError(parent)
	}
	for {
		event, err := stream.Recv()
		if err != nil {
			return Broken{Cause: causeOf(ctx, err)}, r.callerGoneError(parent)
		}
		if err := a.accept(event); errors.Is(err, errUnexpectedEvent) {
			r.e.Counts.Dropped.Add(1)
			continue
		} else if err != nil {
			return Broken{Cause: err}, nil
		}
		idleTimer.Reset(r.e.Timeouts.Progress)
		if end, err := r.handleEvent(a, event); end != nil || err != nil {
			return end, err
		}
	}
}

// firstEventTimeout returns the time within which the side process must confirm the
// start.
func (r *run) firstEventTimeout() time.Duration {
	if r.req.Once {
		return r.e.Timeouts.Claim
	}
	return r.e.Timeouts.FirstEvent
}

// open starts the attempt's stream.
func (r *run) open(ctx context.Context, a *Attempt) (wire.Side_RunClient, error) {
	client, err := r.e.Dialer.Side(a.Target)
	if err != nil {
		return nil, err
	}
	r.client = client
	return client.Run(ctx, r.runRequest(a))
}

// callerGoneError returns an error that wraps ErrCallerGone if the caller's context has
// ended.
func (r *run) callerGoneError(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrCallerGone, ctx.Err())
}

// causeOf returns why a stream ended. For a cancelled stream that is the context's
// cause.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// handleEvent processes one event of the attempt. A non-nil End ends the attempt.
func (r *run) handleEvent(a *Attempt, event *wire.RunEvent) (End, error) {
	switch e := event.GetEvent().(type) {
	case *wire.RunEvent_Started:
		a.Started = true
		a.joined = e.Started.GetJoined()
		r.result.Joined = a.joined
		r.disp.recordSide(a.Target.Name, e.Started.GetSide())
		r.disp.recordStatus(a.Target.Name, e.Started.GetStatus())
		return nil, nil
	case *wire.RunEvent_Head:
		return nil, r.passHead(e.Head)
	case *wire.RunEvent_Chunk:
		return r.passChunk(e.Chunk)
	case *wire.RunEvent_Finish:
		return r.handleFinish(a, e.Finish), nil
	case *wire.RunEvent_Refused:
		return r.handleRefused(a, e.Refused), nil
	}
	return Broken{Cause: fmt.Errorf("event %d has an unknown kind", event.GetIndex())}, nil
}

// passHead passes an application's status and headers to the caller, once per request.
func (r *run) passHead(h *wire.Head) error {
	if r.head {
		return nil
	}
	r.head = true
	r.recordFirstByte()
	if err := r.sink.WriteHead(int(h.GetStatus()), h.GetHeaders()); err != nil {
		return fmt.Errorf("%w: %w", ErrCallerGone, err)
	}
	return nil
}

// passChunk passes on the part of the data that the caller does not have yet.
func (r *run) passChunk(c *wire.Chunk) (End, error) {
	data, err := r.undelivered(c.GetData())
	if err != nil {
		return Broken{Cause: err}, nil
	}
	if len(data) == 0 {
		return nil, nil
	}
	r.recordFirstByte()
	r.tokens += c.GetTokens()
	r.e.Counts.Tokens.Add(c.GetTokens())
	if err := r.sink.WriteChunk(data); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCallerGone, err)
	}
	return nil, nil
}

// recordFirstByte records the time of the first output.
func (r *run) recordFirstByte() {
	if r.flow.OutputSent {
		return
	}
	r.flow.OutputSent = true
	r.result.FirstByte = time.Since(r.arrived)
}

// handleFinish returns how the attempt ended. The End is Broken if the run was
// cancelled, since the response is then incomplete. The End is also Broken if a joined
// run ended before it repeated all data that the caller has, since the run's response
// is then a different one.
func (r *run) handleFinish(a *Attempt, f *wire.Finish) End {
	r.disp.recordStatus(a.Target.Name, f.GetStatus())
	end := Finished{Joined: a.joined, Charges: wire.ChargesOf(f.GetCharges())}
	switch {
	case f.GetFinishReason() == reasonCancelled:
		a.recordFinished(end)
		return Broken{Cause: errCancelled}
	case !r.caughtUp():
		a.recordFinished(end)
		return Broken{Cause: errResponseDiffers}
	}
	return end
}

// handleRefused returns the End of an attempt that the side process refused.
func (r *run) handleRefused(a *Attempt, refused *wire.Refused) End {
	r.disp.recordStatus(a.Target.Name, refused.GetStatus())
	refusal := refusalOf(refused)
	if refusal.Code == refuse.CodeDraining {
		r.disp.markDraining(a.Target.Name)
	}
	return Refused{Refusal: refusal, Holder: ident.Incarnation(refused.GetHolder())}
}

// runRequest returns the message that starts the attempt at the side process.
func (r *run) runRequest(a *Attempt) *wire.RunRequest {
	m := &wire.RunRequest{
		RequestId:       r.req.ID,
		AttemptId:       a.ID,
		Organisation:    r.req.Account.Organisation,
		Service:         r.req.Service.Name,
		Budget:          r.req.Account.Budget,
		Priority:        r.req.Account.Class,
		Charges:         wire.NewCharges(r.flow.Reservations[a.Reservation].Charges),
		Keyed:           r.req.Keyed,
		Once:            r.req.Once,
		CatalogueOffset: r.e.Catalogue.Offset(),
		Fingerprint:     r.req.Fingerprint,
		Join:            a.Join,
		Side:            a.Side,
	}
	if r.e.FleetOffset != nil {
		m.FleetOffset = r.e.FleetOffset()
	}
	switch w := r.req.Work.(type) {
	case Chat:
		m.Work = &wire.RunRequest_Model{Model: &wire.ModelWork{
			Body: w.Body, Stream: w.Stream, PromptBound: w.PromptBound, OutputBound: w.OutputBound,
		}}
	case Call:
		m.Work = &wire.RunRequest_Call{Call: &wire.CallWork{
			Method: w.Method, Path: w.Path, Headers: w.Headers, Body: w.Body, Price: r.req.Service.Price,
		}}
	}
	return m
}
