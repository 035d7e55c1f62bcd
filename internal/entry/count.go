package entry

import "expvar"

// Counts are the engine's counters for expvar. The zero value is ready to use.
type Counts struct {
	Requests   expvar.Int
	Answered   expvar.Int
	Refused    expvar.Int
	Attempts   expvar.Int
	Retries    expvar.Int
	Resumes    expvar.Int
	Probes     expvar.Int
	Dropped    expvar.Int
	CallerGone expvar.Int
	Settled    expvar.Int
	Cancelled  expvar.Int
	Deferred   expvar.Int
	Orphaned   expvar.Int
	Tokens     expvar.Int
}

// Publish adds the counters to a map, under kebab-case names.
func (c *Counts) Publish(m *expvar.Map) {
	for name, v := range map[string]*expvar.Int{
		"requests":          &c.Requests,
		"answered":          &c.Answered,
		"refused":           &c.Refused,
		"attempts":          &c.Attempts,
		"retries":           &c.Retries,
		"resumes":           &c.Resumes,
		"probes":            &c.Probes,
		"events-dropped":    &c.Dropped,
		"hung-up":           &c.CallerGone,
		"tickets-settled":   &c.Settled,
		"tickets-cancelled": &c.Cancelled,
		"tickets-deferred":  &c.Deferred,
		"orphans-billed":    &c.Orphaned,
		"tokens-passed":     &c.Tokens,
	} {
		m.Set(name, v)
	}
}
