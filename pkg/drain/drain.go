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
	// Usual is how long answered requests of its kind took lately, at the most; 0 if that is
	// not known.
	Usual time.Duration
}

// End returns when requests that are still in progress are ended.
func (p Plan) End() time.Time { return p.Began.Add(p.Grace - ReturnTime) }

// Late reports whether the balancer has stopped sending new connections.
func (p Plan) Late(now time.Time) bool { return now.Sub(p.Began) > DeregisterDelay }

// Takes reports whether a request that arrives now is taken on. It is, if it ends by its own
// deadline before End. While new connections still arrive, a request that may be repeated is also
// taken if its kind usually ends before End: a refusal costs its caller one of few retries, and
// a response that is cut off in spite of that can be asked for again. New streams are not taken
// later.
func (p Plan) Takes(now time.Time, r Request) bool {
	end := p.End()
	switch late := p.Late(now); {
	case !now.Before(end), late && r.Stream:
		return false
	case !r.Deadline.After(end):
		return true
	default:
		return !late && r.Repeatable && r.Usual > 0 && !now.Add(r.Usual).After(end)
	}
}

// durationWindow is the time for which a duration is kept at least. It is kept for twice that at
// most.
const durationWindow = 30 * time.Second

// Durations keeps the longest durations of late, by kind of request. The zero value has none. It
// is safe for concurrent use.
type Durations struct {
	mu           sync.Mutex
	last, before map[string]time.Duration
	began        time.Time
}

// Note records how long a request took that was answered.
func (d *Durations) Note(now time.Time, kind string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(now)
	d.last[kind] = max(d.last[kind], took)
}

// Longest returns the longest duration of late, or 0 if there is none.
func (d *Durations) Longest(now time.Time, kind string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(now)
	return max(d.last[kind], d.before[kind])
}

// rotate drops what is too old. d.mu must be held.
func (d *Durations) rotate(now time.Time) {
	switch age := now.Sub(d.began); {
	case age > 2*durationWindow || d.last == nil:
		d.before, d.last, d.began = nil, make(map[string]time.Duration), now
	case age > durationWindow:
		d.before, d.last, d.began = d.last, make(map[string]time.Duration), now
	}
}
