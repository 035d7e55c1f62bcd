package front

import (
	"errors"
	"expvar"
	"time"

	"github.com/beryllanding/beryllanding/internal/entry"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// Counts are the server's counters for expvar. The zero value is ready to use.
type Counts struct {
	Requests   expvar.Int
	CallerGone expvar.Int
	// ByCode counts the refusals by code.
	ByCode expvar.Map
}

// Publish adds the counters to a map, under kebab-case names.
func (c *Counts) Publish(m *expvar.Map) {
	m.Set("http-requests", &c.Requests)
	m.Set("http-hung-up", &c.CallerGone)
	m.Set("refusals", &c.ByCode)
}

func (c *Counts) refused(r refuse.Refusal) { c.ByCode.Add(string(r.Code), 1) }

// logRequest logs one line for the request. Keys and bodies are never logged.
func (x *exchange) logRequest(req *entry.Request, result entry.Result, err error) {
	if x.s.Logger == nil {
		return
	}
	fields := []any{
		"request-id", x.id,
		"organisation", x.account.Organisation,
		"outcome", outcomeOf(err),
		"took", time.Since(x.arrived),
	}
	if req != nil {
		fields = append(fields,
			"service", req.Service.Name, "target", result.Target, "attempts", result.Attempts,
			"tokens", result.Billed, "first-byte", result.FirstByte, "queued", result.Queued)
	}
	if err != nil {
		x.s.Logger.Warn("request not answered", append(fields, "error", err)...)
		return
	}
	x.s.Logger.Info("request answered", fields...)
}

// outcomeOf returns the logged outcome of a request.
func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "answered"
	case errors.Is(err, entry.ErrCallerGone):
		return "hung-up"
	}
	return string(refusalOf(err).Outcome)
}
