package trace

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc"

	"github.com/beryllanding/beryllanding/internal/config"
	"github.com/beryllanding/beryllanding/internal/stand/memnet"
	"github.com/beryllanding/beryllanding/internal/wire"
)

var instance = config.Instance{Name: "r1", DataCentre: "chc-a", Region: "nz-south"}

func newTracing(t *testing.T, out *bytes.Buffer, sampled config.Share) *Tracing {
	tracing, err := NewTo(out, "beryl-router", instance, sampled)
	if err != nil {
		t.Fatal(err)
	}
	return tracing
}

// peer records the span context of the last call.
type peer struct {
	wire.UnimplementedPeerServer
	seen trace.SpanContext
}

func (p *peer) Holdings(ctx context.Context, _ *wire.HoldingsRequest) (*wire.HoldingsReply, error) {
	p.seen = trace.SpanContextFromContext(ctx)
	return &wire.HoldingsReply{}, nil
}

// call makes a gRPC call within a span, and returns the span's context.
func call(t *testing.T, p *peer, client, server *Tracing) trace.SpanContext {
	s := grpc.NewServer(server.ServerOptions()...)
	wire.RegisterPeerServer(s, p)
	defer s.GracefulStop() // The span of the call ends with its handler, after the response.
	options := append(client.DialOptions(), memnet.ServeGRPC(s, nil)...)
	conn, err := grpc.NewClient("passthrough:///buf", options...)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	ctx, span := client.Tracer("test").Start(t.Context(), "request")
	defer span.End()
	if _, err := wire.NewPeerClient(conn).Holdings(ctx, &wire.HoldingsRequest{}); err != nil {
		t.Fatal(err)
	}
	return span.SpanContext()
}

func TestSpansAcrossCalls(t *testing.T) {
	var clientOut, serverOut bytes.Buffer
	client, server := newTracing(t, &clientOut, 1), newTracing(t, &serverOut, 0)
	var p peer
	span := call(t, &p, client, server)
	if p.seen.TraceID() != span.TraceID() || !p.seen.IsSampled() {
		t.Errorf("server: got trace %v, want the client's trace %v, sampled", p.seen.TraceID(), span.TraceID())
	}
	for _, tracing := range []*Tracing{client, server} {
		if err := tracing.Shutdown(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	for name, out := range map[string]string{"client": clientOut.String(), "server": serverOut.String()} {
		if !strings.Contains(out, span.TraceID().String()) || !strings.Contains(out, "chc-a") {
			t.Errorf("%s: got output %q, want a span of the trace", name, out)
		}
	}
}

func TestNotSampled(t *testing.T) {
	var out bytes.Buffer
	tracing := newTracing(t, &out, 0)
	_, span := tracing.Tracer("test").Start(t.Context(), "request")
	span.End()
	if err := tracing.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	if out.Len() > 0 {
		t.Errorf("got a span at a share of 0, want none: %s", &out)
	}
}

// TestZero checks that the zero value makes no span of its own: a caller's trace
// is propagated unchanged.
func TestZero(t *testing.T) {
	var tracing Tracing
	parent := "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	ctx := tracing.Propagator().Extract(t.Context(), propagation.MapCarrier{"traceparent": parent})
	ctx, span := tracing.Tracer("test").Start(ctx, "request")
	defer span.End()
	out := propagation.MapCarrier{}
	tracing.Propagator().Inject(ctx, out)
	if out["traceparent"] != parent {
		t.Errorf("got propagated trace %q, want %q", out["traceparent"], parent)
	}
	if err := tracing.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
}

func TestExporters(t *testing.T) {
	for _, name := range []string{"", "none", "stdout", "stderr"} {
		tracing, err := New("beryl-side", instance, config.Trace{Exporter: name})
		if err != nil {
			t.Errorf("exporter %q: %v", name, err)
			continue
		}
		if err := tracing.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
	}
	if _, err := New("beryl-side", instance, config.Trace{Exporter: "jaeger"}); err == nil {
		t.Error("an unknown exporter was accepted, want an error")
	}
}
