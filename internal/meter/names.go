package meter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Kinds of metrics.
const (
	counter   = "counter"
	histogram = "histogram"
	gauge     = "gauge"
)

// seconds is the unit of the histograms and ages.
const seconds = "s"

// definition describes one metric.
type definition struct {
	// Name is the name of the instrument. The metric is served under the name that
	// prometheusName returns: with underscores, the unit and, for counters, "_total".
	Name, Kind, Unit string
	Labels           string
	// Text is the help text: what is measured and, if useful, what an unusual value
	// means.
	Text string
}

var (
	requestsMetric       = definition{"beryl.requests", counter, "", "outcome, status", "Requests that ended. `cut` rises: targets die with streams open. `denied` with 402 or 503: budgets; with 502: targets; with 504: slow targets"}
	requestTimeMetric    = definition{"beryl.request.time", histogram, seconds, "service", "Time from a request to its end"}
	cutsMetric           = definition{"beryl.cuts", counter, "", "by", "Responses that began and were reset, by who ended them: `target`, `silence` (the instance gave up a target that sent nothing), `no-target` (no other target took the rest), `deadline`, `stop`, `instance`. Above 0 for `silence` or `no-target`: see the lines `attempt ended` of the same request"}
	firstByteMetric      = definition{"beryl.first.byte", histogram, seconds, "service", "Time from a request to the first byte of its answer"}
	reserveTimeMetric    = definition{"beryl.reserve", histogram, seconds, "", "Time that a request waited for its tokens. It rises: the store is slow"}
	attemptsMetric       = definition{"beryl.attempts", counter, "", "service, outcome", "Attempts at targets: `answered`, `failed` (by the target's own status), `not-run` (proved), `may-have-run`"}
	retriesMetric        = definition{"beryl.repeats", counter, "", "service, allowed", "Attempts after the first. `allowed` is `false`: the budget of repeats is used up"}
	standbysMetric       = definition{"beryl.standbys", counter, "", "service, outcome", "Times that another target was looked for because one was silent: it `took-over`; it was `not-needed`, as the silent one went on; `not-taken`, `failed`, `broken` or `silent` at the other target; `none` was left; `no-retries`. In all but the first case the silent one is waited for"}
	noticesMetric        = definition{"beryl.target.notices", counter, "", "service, kind", "Notices of targets about themselves: `leaving`, `rest`, `limit` (a limit of requests a second was named or changed), `no-limit` (it ended)"}
	endedMetric          = definition{"beryl.targets.ended", counter, "", "service", "Targets that ended under requests of this instance. It rises by many: a request or a part of prompts may crash them; see the lines of the layer `quarantine`"}
	quarantinesMetric    = definition{"beryl.quarantine.changes", counter, "", "service, change", "Quarantines of prompt parts and requests that have `begun`, were `cleared` by an answer, another instance or an operator, or `expired`. `cleared`: a sound one was held for a while"}
	refusalsMetric       = definition{"beryl.quarantine.refusals", counter, "", "service", "Requests refused with 503 because they, or a part of their prompt, are in quarantine"}
	limitedMetric        = definition{"beryl.limited.attempts", counter, "", "service", "Attempts at targets that name a limit of requests a second. Its rate, summed over all instances, is to stay below the sum of the limits"}
	toldMetric           = definition{"beryl.streams.told", counter, "", "taken", "Streams of which another instance was told at which version they began. None while each service has one version. `taken` is `false`: it did not answer, and a further one is told"}
	askedMetric          = definition{"beryl.streams.taken.up", counter, "", "service, origin", "Streams that callers took up: the version that began them was known `here`, at a `peer`, or `unknown`. `unknown` rises: such requests get 503; instances that knew it are gone or out of reach"}
	suspectedMetric      = definition{"beryl.parts.suspected", gauge, "", "service", "Prompt parts and requests that targets ended on, not in quarantine. They are served"}
	quarantinedMetric    = definition{"beryl.parts.quarantined", gauge, "", "service", "Prompt parts and requests in quarantine. They are refused; `beryl edge parts` names them"}
	wrongResponsesMetric = definition{"beryl.foreign.answers", counter, "", "", "Answers that belong to no request: some target sends too many"}
	connectionsMetric    = definition{"beryl.connections", counter, "", "", "Connections accepted from callers"}
	openMetric           = definition{"beryl.open.requests", gauge, "", "", "Requests in progress"}
	targetsMetric        = definition{"beryl.targets", gauge, "", "service", "Targets in use"}
	leavingMetric        = definition{"beryl.targets.leaving", gauge, "", "service", "Targets in the list that get no new requests because they said that they leave. As many as `beryl_targets`: callers get 503"}
	restingMetric        = definition{"beryl.targets.resting", gauge, "", "service", "Targets in the list that get no requests because they asked for a rest. As many as `beryl_targets`: callers get 503 with the time of the first return"}
	targetsLimitedMetric = definition{"beryl.targets.limited", gauge, "", "service", "Targets in the list that name a limit of requests a second for all instances together. As many as `beryl_targets`: callers get 503 beyond the limits"}
	targetsColdMetric    = definition{"beryl.targets.cold", gauge, "", "service", "Targets in the list that are cold: they get few requests a second from all instances together"}
	evacuatedMetric      = definition{"beryl.targets.evacuated", gauge, "", "service", "Targets in the list that get no new requests because operators evacuated their data centre. As many as `beryl_targets`: callers get 503"}
	coldAttemptsMetric   = definition{"beryl.cold.attempts", counter, "", "service", "Attempts at cold targets. Its rate, summed over all instances, is to stay below what the cold targets tolerate"}
	overloadMetric       = definition{"beryl.overload.refusals", counter, "", "", "Requests refused with 503 because the instance is overloaded. Their callers' retries reach other instances"}
	overloadShareMetric  = definition{"beryl.overload.share", gauge, "", "", "Share of new requests that the overloaded instance refuses now, from 0 to 1"}
	runDelayMetric       = definition{"beryl.run.delay", gauge, seconds, "", "Time that the instance's own work waits for the processor: the longest tenth. Above 0.05: the instance is overloaded"}
	linkUseMetric        = definition{"beryl.link.use", gauge, "", "", "Use of the machine's link in the busier direction, as a share of the rate in the settings. Near 1: requests wait for the link, unread"}
	freeMetric           = definition{"beryl.budget.free", gauge, "", "budget", "Tokens that this instance may use. 0 for long: the budget is spent or the store away"}
	reservedMetric       = definition{"beryl.budget.reserved", gauge, "", "budget", "Tokens of requests in progress, at their most"}
	versionMetric        = definition{"beryl.table.version", gauge, "", "", "Version of the configuration in force"}
	epochMetric          = definition{"beryl.log.epoch", gauge, "", "", "Epoch of the store's log, by which the budgets' accounts were last read. It rises: the store came back from an older copy"}
	ageMetric            = definition{"beryl.table.age", gauge, seconds, "", "Time since the store last showed that the configuration is the newest. Over 4: the store is out of reach"}
	logDroppedMetric     = definition{"beryl.log.dropped", counter, "", "", "Log lines that the output did not take in time"}

	definitions = []definition{
		requestsMetric, cutsMetric, requestTimeMetric, firstByteMetric, reserveTimeMetric, attemptsMetric, retriesMetric, standbysMetric, noticesMetric, wrongResponsesMetric, connectionsMetric, openMetric,
		endedMetric, quarantinesMetric, refusalsMetric, limitedMetric, coldAttemptsMetric, overloadMetric, overloadShareMetric, runDelayMetric, linkUseMetric, toldMetric, askedMetric, suspectedMetric, quarantinedMetric,
		targetsMetric, leavingMetric, restingMetric, targetsLimitedMetric, targetsColdMetric, evacuatedMetric, freeMetric, reservedMetric, versionMetric, ageMetric, epochMetric, logDroppedMetric,
	}
)

// register creates the instruments. The callback reads the state on each scrape.
func (m *Meter) register(meter metric.Meter, read func() State) error {
	var errs []error
	newCounter := func(d definition) metric.Int64Counter {
		c, err := meter.Int64Counter(d.Name, metric.WithDescription(d.Text))
		errs = append(errs, err)
		return c
	}
	newHistogram := func(d definition) metric.Float64Histogram {
		h, err := meter.Float64Histogram(d.Name, metric.WithDescription(d.Text), metric.WithUnit(d.Unit),
			metric.WithExplicitBucketBoundaries(latencyBounds...))
		errs = append(errs, err)
		return h
	}
	newGauge := func(d definition) metric.Float64ObservableGauge {
		g, err := meter.Float64ObservableGauge(d.Name, metric.WithDescription(d.Text), metric.WithUnit(d.Unit))
		errs = append(errs, err)
		return g
	}
	m.requests, m.attempts, m.retries = newCounter(requestsMetric), newCounter(attemptsMetric), newCounter(retriesMetric)
	m.wrongResponses, m.connections = newCounter(wrongResponsesMetric), newCounter(connectionsMetric)
	m.notices, m.cuts, m.standbys = newCounter(noticesMetric), newCounter(cutsMetric), newCounter(standbysMetric)
	m.ended, m.quarantines, m.refusals = newCounter(endedMetric), newCounter(quarantinesMetric), newCounter(refusalsMetric)
	m.limited, m.told, m.asked = newCounter(limitedMetric), newCounter(toldMetric), newCounter(askedMetric)
	m.coldAttempts, m.overloadRefusals = newCounter(coldAttemptsMetric), newCounter(overloadMetric)
	share, delay, link := newGauge(overloadShareMetric), newGauge(runDelayMetric), newGauge(linkUseMetric)
	m.requestTime, m.firstByte, m.reserveTime = newHistogram(requestTimeMetric), newHistogram(firstByteMetric), newHistogram(reserveTimeMetric)
	open, targets, free, reserved := newGauge(openMetric), newGauge(targetsMetric), newGauge(freeMetric), newGauge(reservedMetric)
	leaving, resting, limited := newGauge(leavingMetric), newGauge(restingMetric), newGauge(targetsLimitedMetric)
	cold, evacuated := newGauge(targetsColdMetric), newGauge(evacuatedMetric)
	suspected, quarantined := newGauge(suspectedMetric), newGauge(quarantinedMetric)
	version, age, epoch := newGauge(versionMetric), newGauge(ageMetric), newGauge(epochMetric)
	dropped, err := meter.Int64ObservableCounter(logDroppedMetric.Name, metric.WithDescription(logDroppedMetric.Text))
	errs = append(errs, err)
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s := read()
		for _, b := range s.Budgets {
			label := metric.WithAttributes(attribute.String("budget", b.Name))
			o.ObserveFloat64(free, float64(b.Free), label)
			o.ObserveFloat64(reserved, float64(b.Reserved), label)
		}
		for gauge, byService := range map[metric.Float64Observable]map[string]int{
			targets: s.Targets, leaving: s.Leaving, resting: s.Resting, limited: s.Limited, cold: s.Cold, evacuated: s.Evacuated, suspected: s.Suspected, quarantined: s.Quarantined,
		} {
			for service, n := range byService {
				o.ObserveFloat64(gauge, float64(n), metric.WithAttributes(attribute.String("service", service)))
			}
		}
		o.ObserveFloat64(open, float64(s.Open))
		o.ObserveFloat64(share, s.Refused)
		o.ObserveFloat64(delay, s.RunDelay.Seconds())
		o.ObserveFloat64(link, s.LinkUse)
		o.ObserveFloat64(version, float64(s.TableVersion))
		o.ObserveFloat64(age, s.TableAge.Seconds())
		o.ObserveFloat64(epoch, float64(s.LogEpoch))
		o.ObserveInt64(dropped, s.LogDropped)
		return nil
	}, open, share, delay, link, targets, leaving, resting, limited, cold, evacuated, suspected, quarantined, free, reserved, version, age, epoch, dropped)
	return errors.Join(append(errs, err)...)
}

// prometheusName returns the name under which the metric is served.
func (d definition) prometheusName() string {
	s := strings.ReplaceAll(d.Name, ".", "_")
	if d.Unit == seconds {
		s += "_seconds"
	}
	if d.Kind == counter {
		s += "_total"
	}
	return s
}

// referenceHead is the start of docs/METRICS.md.
const referenceHead = `# Metrics of ` + "`beryl-edge`" + `

Served at the metrics address in the text format of Prometheus. Histograms are in
seconds, with buckets from a millisecond to 32 s. [OPERATIONS.md](OPERATIONS.md)
leads from them and from the logs to causes.

This page is generated from internal/meter by ` + "`beryl docs`" + `.

| metric | kind | labels | says |
|---|---|---|---|
`

// WriteReference writes the content of docs/METRICS.md.
func WriteReference(w io.Writer) error {
	var b strings.Builder
	b.WriteString(referenceHead)
	for _, d := range definitions {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", d.prometheusName(), d.Kind, d.Labels, d.Text)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
