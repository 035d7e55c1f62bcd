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
	// ErrSilent reports a connection that was open and carried nothing.
	ErrSilent = errors.New("connection went silent")
	// ErrUnsent reports that a request was not sent, since its stream could not
	// be opened.
	ErrUnsent = errors.New("request was not sent")
	// ErrHungUp reports that the caller went away before the answer was
	// complete.
	ErrHungUp = errors.New("caller hung up")
)

// attempt makes one attempt at the target that was acquired. The error is that
// the caller has gone; each other end is returned as an End.
func (r *run) attempt(ctx context.Context) (End, error) {
	a := &Attempt{
		ID: ident.NewRequest(), Target: r.target, Side: r.disp.side(r.target),
		Hold: len(r.flow.Holds) - 1, Join: r.join,
	}
	r.flow.Attempts = append(r.flow.Attempts, a)
	r.e.Counts.Attempts.Add(1)
	r.rewind()
	ctx, span := r.e.Tracer.Start(ctx, "attempt", trace.WithAttributes(
		attribute.String("attempt", a.ID), attribute.String("target", a.Target.Name)))
	defer span.End()
	end, err := r.receive(ctx, a)
	r.disp.done(a.Target.Name, resultOf(end))
	if b, ok := end.(Broken); ok {
		span.RecordError(b.Cause)
	}
	return end, err
}

// resultOf tells the picker what an end says about the target. A broken attempt
// says nothing yet: the probe that follows does.
func resultOf(end End) route.Result {
	switch end.(type) {
	case Finished, Refused:
		return route.Answered
	}
	return route.Abandoned
}

// receive opens the stream and passes its events on until it ends. A timer
// cancels the stream where it carries nothing for too long; grpc offers no
// deadline for a single message. The timer covers the opening as well, which
// waits for the connection.
func (r *run) receive(parent context.Context, a *Attempt) (End, error) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	watch := time.AfterFunc(r.firstEvent(), func() { cancel(ErrSilent) })
	defer watch.Stop()
	stream, err := r.open(ctx, a)
	if err != nil {
		if r.client == nil || errors.Is(err, ErrUnsent) {
			a.Outcome = OutcomeNotRun
		}
		return Broken{Cause: causeOf(ctx, err)}, r.gone(parent)
	}
	for {
		event, err := stream.Recv()
		if err != nil {
			return Broken{Cause: causeOf(ctx, err)}, r.gone(parent)
		}
		if err := a.accept(event); errors.Is(err, errForeign) {
			r.e.Counts.Dropped.Add(1)
			continue
		} else if err != nil {
			return Broken{Cause: err}, nil
		}
		watch.Reset(r.e.Timeouts.Progress)
		if end, err := r.event(a, event); end != nil || err != nil {
			return end, err
		}
	}
}

// firstEvent returns the time until the side process confirms the start.
func (r *run) firstEvent() time.Duration {
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
	return client.Run(ctx, r.message(a))
}

// gone returns ErrHungUp where the caller's context has ended.
func (r *run) gone(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrHungUp, ctx.Err())
}

// causeOf returns why a stream ended: for a cancelled one, the cause given.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// event takes one event of the attempt. A non-nil End ends it.
func (r *run) event(a *Attempt, event *wire.RunEvent) (End, error) {
	switch e := event.GetEvent().(type) {
	case *wire.RunEvent_Started:
		a.Started = true
		a.joined = e.Started.GetJoined()
		r.result.Joined = a.joined
		r.disp.seen(a.Target.Name, e.Started.GetSide())
		r.disp.report(a.Target.Name, e.Started.GetStatus())
		return nil, nil
	case *wire.RunEvent_Head:
		return nil, r.passHead(e.Head)
	case *wire.RunEvent_Chunk:
		return r.passChunk(e.Chunk)
	case *wire.RunEvent_Finish:
		return r.finish(a, e.Finish), nil
	case *wire.RunEvent_Refused:
		return r.refused(a, e.Refused), nil
	}
	return Broken{Cause: fmt.Errorf("event %d has an unknown kind", event.GetIndex())}, nil
}

// passHead gives an application's status and headers to the caller, once.
func (r *run) passHead(h *wire.Head) error {
	if r.head {
		return nil
	}
	r.head = true
	r.firstByte()
	if err := r.sink.Head(int(h.GetStatus()), h.GetHeaders()); err != nil {
		return fmt.Errorf("%w: %w", ErrHungUp, err)
	}
	return nil
}

// passChunk gives the part of the data to the caller that it does not have.
func (r *run) passChunk(c *wire.Chunk) (End, error) {
	data, err := r.fresh(c.GetData())
	if err != nil {
		return Broken{Cause: err}, nil
	}
	if len(data) == 0 {
		return nil, nil
	}
	r.firstByte()
	r.tokens += c.GetTokens()
	r.e.Counts.Tokens.Add(c.GetTokens())
	if err := r.sink.Chunk(data); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrHungUp, err)
	}
	return nil, nil
}

// firstByte notes the time of the first output.
func (r *run) firstByte() {
	if r.flow.Output {
		return
	}
	r.flow.Output = true
	r.result.FirstByte = time.Since(r.arrived)
}

// finish ends the attempt. A joined run that ended before it repeated what the
// caller has is another answer, and one that was cancelled is not whole.
func (r *run) finish(a *Attempt, f *wire.Finish) End {
	r.disp.report(a.Target.Name, f.GetStatus())
	end := Finished{Joined: a.joined, Charges: wire.ChargesOf(f.GetCharges())}
	switch {
	case f.GetFinishReason() == reasonCancelled:
		a.finished(end)
		return Broken{Cause: errCancelled}
	case !r.whole():
		a.finished(end)
		return Broken{Cause: errDiffers}
	}
	return end
}

// refused ends the attempt by the side process's refusal.
func (r *run) refused(a *Attempt, refused *wire.Refused) End {
	r.disp.report(a.Target.Name, refused.GetStatus())
	refusal := refusalOf(refused)
	if refusal.Code == refuse.CodeLeaving {
		r.disp.leavingTarget(a.Target.Name)
	}
	return Refused{Refusal: refusal, Holder: ident.Incarnation(refused.GetHolder())}
}

// message returns the attempt as the side process gets it.
func (r *run) message(a *Attempt) *wire.RunRequest {
	m := &wire.RunRequest{
		RequestId:       r.req.ID,
		AttemptId:       a.ID,
		Organisation:    r.req.Account.Organisation,
		Service:         r.req.Service.Name,
		Budget:          r.req.Account.Budget,
		Priority:        r.req.Account.Class,
		Charges:         wire.NewCharges(r.flow.Holds[a.Hold].Charges),
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
