// Package drain decides what an instance still accepts during a planned stop.
package drain

import (
	"sync"
	"time"
)

const (
	// DeregisterDelay is how long new connections still arrive after the instance becomes
	// unready: the time for two readiness probes, a second apart, and their responses. If no
	// other instance is ready, connections arrive for longer.
	DeregisterDelay = 2500 * time.Millisecond
	// ReturnTime is the last part of the grace period. It is kept for ending what is in
	// progress, returning tokens and closing connections.
	ReturnTime = 700 * time.Millisecond
)

// Plan is a planned stop.
type Plan struct {
	// Began is when the instance was told to stop.
	Began time.Time
	// Grace is the time from then to the end of the process.
	Grace time.Duration
}

// Request is what a decision needs to know of a request.
type Request struct {
	// Deadline is the latest time at which the request ends by itself.
	Deadline time.Time
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	Stream     bool
	// Usual is how long answered requests of its kind took lately, on average; 0 if that is not
	// known.
	Usual time.Duration
}

// End returns when requests that are still in progress are ended.
func (p Plan) End() time.Time { return p.Began.Add(p.Grace - ReturnTime) }

// Late reports whether the balancer has stopped sending new connections.
func (p Plan) Late(now time.Time) bool { return now.Sub(p.Began) > DeregisterDelay }

// Takes reports whether a request that arrives now is taken on. It is, if it ends by its own
// deadline before End. While new connections still arrive, a request that may be repeated is also
// taken unless its kind usually ends after End: a refusal costs its caller one of few retries, and
// a response that is cut off can be asked for again. New streams are not taken later.
func (p Plan) Takes(now time.Time, r Request) bool {
	end := p.End()
	switch late := p.Late(now); {
	case !now.Before(end), late && r.Stream:
		return false
	case !r.Deadline.After(end):
		return true
	default:
		return !late && r.Repeatable && !now.Add(r.Usual).After(end)
	}
}

// newShare is the share of a new duration in the average.
const newShare = 0.125

// Durations keeps the average duration of late, by kind of request: a moving average. The zero
// value has none. It is safe for concurrent use.
type Durations struct {
	mu       sync.Mutex
	averages map[string]time.Duration
}

// Note records how long a request took that was answered.
func (d *Durations) Note(kind string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.averages == nil {
		d.averages = make(map[string]time.Duration)
	}
	before, known := d.averages[kind]
	if !known {
		before = took
	}
	d.averages[kind] = before + time.Duration(newShare*float64(took-before))
}

// Usual returns the average duration, or 0 if none was noted.
func (d *Durations) Usual(kind string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.averages[kind]
}
