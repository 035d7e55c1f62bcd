package side

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// tracerName is the instrumentation name of this package's tracer.
const tracerName = "github.com/beryllanding/beryllanding/internal/side"

// traceRun starts the span of a run, as a child of the caller's span. The run
// outlives its caller, so the context is not derived from the caller's.
func (s *Server) traceRun(ctx, caller context.Context, r *run) (context.Context, trace.Span) {
	ctx = trace.ContextWithSpanContext(ctx, trace.SpanContextFromContext(caller))
	return otel.Tracer(tracerName).Start(ctx, "side.run", trace.WithAttributes(
		attribute.String("request-id", r.request),
		attribute.String("attempt-id", r.owner),
		attribute.String("side", string(s.opts.Incarnation)),
		attribute.String("data-centre", s.opts.DataCentre),
	))
}

// propagate adds the trace context to the headers of a request to the target.
func propagate(ctx context.Context, h http.Header) {
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(h))
}

// logEnd logs a run that ended, and adds its outcome to the span.
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
