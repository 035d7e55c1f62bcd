package side

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// tracerName names the tracer of this package.
const tracerName = "github.com/beryllanding/beryllanding/internal/side"

// traceRun starts the span of a run. The run outlives its caller, so only the
// caller's span is taken over from its context, not its end.
func (s *Server) traceRun(ctx, caller context.Context, r *run) (context.Context, trace.Span) {
	ctx = trace.ContextWithSpanContext(ctx, trace.SpanContextFromContext(caller))
	return otel.Tracer(tracerName).Start(ctx, "side.run", trace.WithAttributes(
		attribute.String("request-id", r.request),
		attribute.String("attempt-id", r.owner),
		attribute.String("side", string(s.opts.Incarnation)),
		attribute.String("data-centre", s.opts.DataCentre),
	))
}

// propagate adds the span to a request to the target.
func propagate(ctx context.Context, h http.Header) {
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(h))
}

// logEnd writes the line of a run that ended.
func (s *Server) logEnd(sh *shard, r *run, span trace.Span) {
	sh.mu.Lock()
	state, billed, refusal := stateOf(r), r.end.billed, r.refusal
	sh.mu.Unlock()
	span.SetAttributes(attribute.String("state", state), attribute.Int64("billed", billed))
	fields := []any{"request-id", r.request, "attempt-id", r.owner, "state", state, "billed", billed}
	if refusal != nil {
		fields = append(fields, "refused", refusal.Error())
	}
	s.opts.Logger.Info("run ended", fields...)
}
