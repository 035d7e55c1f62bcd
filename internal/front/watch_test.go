package front_test

import (
	"bytes"
	"context"
	"expvar"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// TestSpansCountersAndLog serves one chat and checks its spans, log line and counters.
// The log line must contain neither the key nor the body.
func TestSpansCountersAndLog(t *testing.T) {
	var text bytes.Buffer
	recorder := tracetest.NewSpanRecorder()
	tracer := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder)).Tracer("test")
	f := newTestStack(t, &fakeSide{})
	f.front.Tracer, f.engine.Tracer = tracer, tracer
	f.front.Logger = log.New(&text)
	f.do(t, http.MethodPost, chatPath, chatRequest, "Idempotency-Key", "k1")
	f.front.StartDraining()
	if err := f.front.Drain(context.Background()); err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, span := range recorder.Ended() {
		names = append(names, span.Name())
		if span.SpanContext().TraceID() != recorder.Ended()[0].SpanContext().TraceID() {
			t.Errorf("span %s belongs to another trace", span.Name())
		}
	}
	if want := []string{"reserve", "attempt", "request"}; !slices.Equal(names, want) {
		t.Errorf("got spans %v, want %v", names, want)
	}
	for _, want := range []string{"request-id=org/k1", "organisation=org", "service=llm", "target=t1", "tokens=3", "outcome=answered", "attempts=1"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("log line %q lacks %q", text.String(), want)
		}
	}
	if strings.Contains(text.String(), "good") || strings.Contains(text.String(), "content") {
		t.Errorf("log line %q contains the key or the body", text.String())
	}
	m := new(expvar.Map)
	f.engine.Counts.Publish(m)
	f.front.Counts.Publish(m)
	for _, want := range []string{`"answered": 1`, `"tickets-settled": 1`, `"attempts": 1`, `"http-requests": 1`} {
		if !strings.Contains(m.String(), want) {
			t.Errorf("got counters %s, want them to contain %s", m, want)
		}
	}
}
