// Package trace sets up OpenTelemetry from the settings: a span for each hop,
// with W3C trace context between them.
package trace

import (
	"context"
	"fmt"
	"io"
	"os"

	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"google.golang.org/grpc"

	"github.com/beryllanding/beryllanding/internal/config"
)

// Attributes that spans share.
const (
	// KeyRequest is the id of the request.
	KeyRequest = attribute.Key("beryl.request-id")
	// KeyAttempt is the id of the attempt.
	KeyAttempt = attribute.Key("beryl.attempt-id")
	// KeyBudget is the budget that pays.
	KeyBudget = attribute.Key("beryl.budget")
	// KeyTarget is the slot of the target.
	KeyTarget = attribute.Key("beryl.target")
)

// Tracing records spans and propagates their context between processes. The zero
// value records nothing, but still propagates the context.
type Tracing struct {
	provider *sdktrace.TracerProvider
}

// New returns a tracing for the settings. Spans carry the name of the program, and
// the name, data centre and region of the instance. Shutdown must be called at the
// end.
func New(program string, instance config.Instance, settings config.Trace) (*Tracing, error) {
	switch settings.Exporter {
	case "", "none":
		return &Tracing{}, nil
	case "stdout":
		return NewTo(os.Stdout, program, instance, settings.Sampled)
	case "stderr":
		return NewTo(os.Stderr, program, instance, settings.Sampled)
	}
	return nil, fmt.Errorf("trace exporter is %q, expected none, stdout or stderr", settings.Exporter)
}

// NewTo returns a tracing that writes finished spans to w as lines of JSON.
// sampled is the share of the traces begun here that are recorded.
func NewTo(w io.Writer, program string, instance config.Instance, sampled config.Share) (*Tracing, error) {
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, fmt.Errorf("trace exporter: %w", err)
	}
	return &Tracing{provider: sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(float64(sampled)))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", program),
			attribute.String("service.instance.id", instance.Name),
			attribute.String("cloud.availability_zone", instance.DataCentre),
			attribute.String("cloud.region", instance.Region),
		)),
	)}, nil
}

// Provider returns the provider of tracers, which is a no-op for the zero value.
func (t *Tracing) Provider() trace.TracerProvider {
	if t.provider == nil {
		return noop.NewTracerProvider()
	}
	return t.provider
}

// Tracer returns the tracer of a package.
func (t *Tracing) Tracer(name string) trace.Tracer { return t.Provider().Tracer(name) }

// Propagator reads and writes the W3C traceparent, tracestate and baggage
// headers.
func (t *Tracing) Propagator() propagation.TextMapPropagator {
	return propagation.NewCompositeTextMapPropagator(propagation.TraceContext{}, propagation.Baggage{})
}

// ServerOptions returns options with which a gRPC server records a span for each
// call.
func (t *Tracing) ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.StatsHandler(otelgrpc.NewServerHandler(t.options()...))}
}

// DialOptions returns options with which a gRPC client records a span for each
// call, and sends the span's context to the server.
func (t *Tracing) DialOptions() []grpc.DialOption {
	return []grpc.DialOption{grpc.WithStatsHandler(otelgrpc.NewClientHandler(t.options()...))}
}

func (t *Tracing) options() []otelgrpc.Option {
	return []otelgrpc.Option{
		otelgrpc.WithTracerProvider(t.Provider()),
		otelgrpc.WithPropagators(t.Propagator()),
	}
}

// Shutdown writes the spans that are not written yet, and stops the export.
func (t *Tracing) Shutdown(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}
