package edge

import (
	"errors"
	"strings"
	"time"
)

// slowAttempt is the time after which an attempt in progress is logged. If the
// instance is killed, that line is the only record of the request. Most attempts are
// shorter and cost no extra line.
const slowAttempt = 2 * time.Second

// Outcomes of requests, in the log and the metrics.
const (
	outcomeAnswered = "answered"
	outcomeFailed   = "target-failed"
	outcomeDenied   = "denied"
	outcomeCut      = "cut"
	outcomeGone     = "caller-gone"
)

// recordRequest logs and counts the end of the request.
func (x *exchange) recordRequest() {
	took := time.Since(x.arrived)
	if x.outcome == outcomeCut && x.w.started {
		x.cutBy = endedBy(x.lastErr)
		x.e.Meter.Cut(x.cutBy)
	}
	x.e.Meter.Request(x.service, x.outcome, x.status, took)
	if x.firstByte > 0 {
		x.e.Meter.FirstByte(x.service, x.firstByte)
	}
	if x.reserveTime > 0 {
		x.e.Meter.Reserve(x.reserveTime)
	}
	if x.e.Logger == nil {
		return
	}
	fields := make([]any, 0, 32)
	fields = append(fields, "request-id", string(x.id), "outcome", x.outcome, "status", x.status,
		"took-ms", millis(took))
	if x.table != nil {
		fields = append(fields, "table-version", x.table.Version, "table-age-ms", millis(x.tableAge))
	}
	if x.route != nil {
		fields = append(fields, "route", x.route.Name, "service", x.service)
	}
	if x.org != nil {
		fields = append(fields, "organisation", x.org.Name)
	}
	if x.identityHash != "" {
		fields = append(fields, "identity", x.identityHash)
	}
	if len(x.targets) > 0 {
		fields = append(fields, "targets", x.targets, "first-ms", millis(x.firstByte))
	}
	if x.tokens.Prompt > 0 {
		fields = append(fields, "bound", x.tokens.Prompt+x.tokens.Output, "used", x.usedTokens(), "events", x.events)
	}
	if len(x.parts) > 0 {
		fields = append(fields, "parts", x.loggedParts())
	}
	if x.resumes != "" {
		fields = append(fields, "resumes", x.resumes)
	}
	if len(x.versions) > 0 {
		fields = append(fields, "versions", x.versions)
	}
	if x.reserveTime > 0 {
		fields = append(fields, "reserve-ms", millis(x.reserveTime))
	}
	if x.reason != "" {
		fields = append(fields, "reason", x.reason)
	}
	if x.cutBy != "" {
		fields = append(fields, "cut-by", x.cutBy)
	}
	fields = x.e.appendStopTime(fields)
	x.e.Logger.Info("request ended", fields...)
}

// Who ended a response that had begun, in the log and the metrics.
const (
	cutByTarget   = "target"
	cutBySilence  = "silence"
	cutByNoTarget = "no-target"
	cutByDeadline = "deadline"
	cutByStop     = "stop"
	cutByInstance = "instance"
)

// endedBy returns who ended a response, by the error of its last attempt.
func endedBy(err error) string {
	switch {
	case errors.Is(err, ErrInternal), err == nil:
		return cutByInstance
	case errors.Is(err, ErrStopping):
		return cutByStop
	case errors.Is(err, ErrSilent):
		return cutBySilence
	case errors.Is(err, errNotTaken):
		return cutByNoTarget
	case isDeadline(err):
		return cutByDeadline
	}
	return cutByTarget
}

// appendStopTime appends the time since the stop signal to the fields of a log line.
func (e *Engine) appendStopTime(fields []any) []any {
	if plan := e.stop.Load(); plan != nil {
		fields = append(fields, "stopping-ms", millis(time.Since(plan.Began)))
	}
	return fields
}

// logIfSlow logs the attempt if it takes longer than slowAttempt. The caller must call
// the returned function when the attempt ends.
func (x *exchange) logIfSlow(a *attempt) (stop func() bool) {
	if x.e.Logger == nil {
		return func() bool { return true }
	}
	// The timer's function runs in its own goroutine. By then, the exchange's buffers
	// may have been reused.
	logger, id := x.e.Logger, string(x.id)
	return time.AfterFunc(slowAttempt, func() {
		logger.Info("attempt in progress", "request-id", id, "target", a.target.ID, "address", a.target.Address,
			"targets-age-ms", millis(a.listAge), "open-here", a.open, "took-ms", millis(time.Since(a.began)))
	}).Stop
}

// recordAttempt counts an attempt, and logs it unless it got a response.
func (x *exchange) recordAttempt(a *attempt, result attemptResult) {
	var err error
	kind, status := outcomeAnswered, 0
	x.lastErr = attemptError(result)
	switch result := result.(type) {
	case failed:
		kind, status = "failed", result.response.status
	case notRun:
		kind, status, err = "not-run", result.status, result.err
	case uncertain:
		kind, err = "may-have-run", result.err
	}
	x.e.Meter.Attempt(x.service, kind)
	if x.e.Logger == nil || kind == outcomeAnswered {
		return
	}
	fields := []any{
		"request-id", string(x.id), "target", a.target.ID, "version", a.target.Version,
		"address", a.target.Address, "outcome", kind, "status", status,
		"targets-age-ms", millis(a.listAge), "open-here", a.open, "took-ms", millis(time.Since(a.began)),
		"silent-ms", millis(x.e.fleet.silentFor(a.target, a.began)), "events", x.events, "err", err,
	}
	fields = x.e.appendStopTime(fields)
	if kind == "may-have-run" {
		fields = append(fields, "identity", x.identity())
	}
	if len(x.parts) > 0 {
		fields = append(fields, "parts", x.loggedParts())
	}
	x.e.Logger.Info("attempt ended", fields...)
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// loggedParts returns the first parts of the prompt, separated by commas.
func (x *exchange) loggedParts() string {
	return strings.Join(x.parts[:min(maxLoggedParts, len(x.parts))], ",")
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
