// Package meter records the metrics of an entry instance and serves them in the
// Prometheus text format.
package meter

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// latencyBounds are the upper bounds of the histogram buckets, in seconds. They range
// from the latency that an instance itself adds to the longest time-out of a route.
var latencyBounds = []float64{.001, .002, .004, .008, .015, .03, .06, .125, .25, .5, 1, 2, 4, 8, 16, 32}

// State holds the values that are read whenever the metrics are scraped.
type State struct {
	// Budgets are the tokens of each budget at this instance.
	Budgets []Budget
	// Targets is the number of targets in use, by service. Leaving and Resting are the
	// numbers of those among them that get no requests because they said that they
	// leave, or asked for a rest.
	Targets, Leaving, Resting map[string]int
	// Limited is the number of targets that name a limit of requests a second, by service.
	Limited map[string]int
	// Cold and Evacuated are the numbers of targets that are cold, and of those whose data
	// centre is evacuated, by service.
	Cold, Evacuated map[string]int
	// Suspected and Quarantined are the numbers of prompt parts and requests that are suspected
	// to crash targets, and of those in quarantine, by service.
	Suspected, Quarantined map[string]int
	// TableVersion is the version of the active configuration. TableAge is the time
	// since the store last confirmed that it is the newest.
	TableVersion int64
	TableAge     time.Duration
	// LogEpoch is the number of times that the store was restored, as far as it told.
	LogEpoch int64
	// RunDelay is the delay of the instance's own work, and LinkUse the use of its link as a
	// share of the link's rate. Refused is the share of new requests that it refuses.
	RunDelay         time.Duration
	LinkUse, Refused float64
	// Open is the number of requests in progress.
	Open int
	// LogDropped is the number of log lines dropped so far.
	LogDropped int64
}

// Budget holds the tokens of one budget at this instance.
type Budget struct {
	Name           string
	Free, Reserved int64
}

// Meter records metrics. The zero value discards them and serves 404.
type Meter struct {
	handler http.Handler

	requests, attempts, retries, notices               metric.Int64Counter
	wrongResponses, connections, cuts, standbys        metric.Int64Counter
	ended, quarantines, refusals, limited, told, asked metric.Int64Counter
	coldAttempts, overloadRefusals                     metric.Int64Counter
	requestTime, firstByte, reserveTime                metric.Float64Histogram
}

// New returns a meter. The meter calls read for each scrape.
func New(read func() State) (*Meter, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, fmt.Errorf("set up metrics: %w", err)
	}
	m := &Meter{handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{})}
	if err := m.register(sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("beryl"), read); err != nil {
		return nil, fmt.Errorf("set up metrics: %w", err)
	}
	return m, nil
}

// ServeHTTP serves the metrics in the Prometheus text format.
func (m *Meter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if m.handler == nil {
		http.NotFound(w, r)
		return
	}
	m.handler.ServeHTTP(w, r)
}

func (m *Meter) add(c metric.Int64Counter, labels ...attribute.KeyValue) {
	if c != nil {
		c.Add(context.Background(), 1, metric.WithAttributes(labels...))
	}
}

func (m *Meter) record(h metric.Float64Histogram, d time.Duration, labels ...attribute.KeyValue) {
	if h != nil {
		h.Record(context.Background(), d.Seconds(), metric.WithAttributes(labels...))
	}
}

// Request counts a request that ended. The service is "" if the request matched no
// route, and took is 0 if the request could not be read.
func (m *Meter) Request(service, outcome string, status int, took time.Duration) {
	m.add(m.requests, attribute.String("outcome", outcome), attribute.Int("status", status))
	if took > 0 {
		m.record(m.requestTime, took, attribute.String("service", service))
	}
}

// Cut counts a response that began and was reset, by who ended it.
func (m *Meter) Cut(by string) { m.add(m.cuts, attribute.String("by", by)) }

// FirstByte records the time from a request to the first byte of its response.
func (m *Meter) FirstByte(service string, d time.Duration) {
	m.record(m.firstByte, d, attribute.String("service", service))
}

// Reserve records how long a request waited for its tokens.
func (m *Meter) Reserve(d time.Duration) { m.record(m.reserveTime, d) }

// Attempt counts an ended attempt at a target.
func (m *Meter) Attempt(service, outcome string) {
	m.add(m.attempts, attribute.String("service", service), attribute.String("outcome", outcome))
}

// Retry counts a retry that the retry budget allowed or denied.
func (m *Meter) Retry(service string, allowed bool) {
	m.add(m.retries, attribute.String("service", service), attribute.Bool("allowed", allowed))
}

// Standby counts what became of the look for another target while one was silent.
func (m *Meter) Standby(service, outcome string) {
	m.add(m.standbys, attribute.String("service", service), attribute.String("outcome", outcome))
}

// Notice counts a notice of a target: "leaving", "rest", "limit" for a limit that it named
// or changed, and "no-limit" for the end of one.
func (m *Meter) Notice(service, kind string) {
	m.add(m.notices, attribute.String("service", service), attribute.String("kind", kind))
}

// TargetEnded counts a target that ended under requests.
func (m *Meter) TargetEnded(service string) {
	if m != nil {
		m.add(m.ended, attribute.String("service", service))
	}
}

// Quarantine counts a change of a quarantine: "begun", "cleared" or
// "expired".
func (m *Meter) Quarantine(service, change string) {
	if m != nil {
		m.add(m.quarantines, attribute.String("service", service), attribute.String("change", change))
	}
}

// QuarantineRefusal counts a request that was refused because of a quarantine.
func (m *Meter) QuarantineRefusal(service string) {
	m.add(m.refusals, attribute.String("service", service))
}

// OriginsTold counts streams of which another instance was told where they began, and whether
// it took that.
func (m *Meter) OriginsTold(n int, taken bool) {
	if m != nil && m.told != nil {
		m.told.Add(context.Background(), int64(n), metric.WithAttributes(attribute.Bool("taken", taken)))
	}
}

// OriginAsked counts a stream that a caller took up, and from where its origin was known:
// "here", "peer" or "unknown".
func (m *Meter) OriginAsked(service, from string) {
	if m != nil {
		m.add(m.asked, attribute.String("service", service), attribute.String("origin", from))
	}
}

// LimitedAttempt counts an attempt at a target that names a limit.
func (m *Meter) LimitedAttempt(service string) {
	m.add(m.limited, attribute.String("service", service))
}

// OverloadRefusal counts a request that was refused because the instance is overloaded.
func (m *Meter) OverloadRefusal() { m.add(m.overloadRefusals) }

// ColdAttempt counts an attempt at a cold target.
func (m *Meter) ColdAttempt(service string) {
	m.add(m.coldAttempts, attribute.String("service", service))
}

// WrongResponse counts a response, on a connection to a target, that belongs to no
// request in progress.
func (m *Meter) WrongResponse() { m.add(m.wrongResponses) }

// Connection counts a connection accepted from a caller.
func (m *Meter) Connection() { m.add(m.connections) }
