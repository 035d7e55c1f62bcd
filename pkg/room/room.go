// Package room decides which part of its new requests an entry instance refuses because it
// cannot serve all of them in time. It answers this load: one instance gets far more
// requests than the others of its data centre, which have room, and a caller's retry
// reaches one of those. The package does no input or output and reads no clock.
package room

import "time"

const (
	// DelayGoal is the longest delay of the instance's own work that callers do not notice.
	// A request waits for it some three times before its first byte, and the shortest goals
	// of routes are some hundred ms.
	DelayGoal = 50 * time.Millisecond
	// LinkGoal is the use of the link, as a share of its rate, above which packets begin to
	// queue in bursts.
	LinkGoal = 0.8
	// maxRefused bounds the refused share. The rest shows when the overload ends.
	maxRefused = 0.95
	// rise and fall are the largest changes of the refused share in a second. A
	// burst is met within a second; the share falls slowly, so that it does not swing.
	rise = 5.0
	fall = 0.5
	// slackBelow is the part of the goals below which the refused share falls.
	slackBelow = 0.8
	// maxStep bounds the time that one sample stands for.
	maxStep = 500 * time.Millisecond
)

// Sample is a measurement of an instance's load.
type Sample struct {
	At time.Time
	// Delay is how long the instance's work waits for the processor.
	Delay time.Duration
	// Link is the use of the link as a share of its rate; 0 if the rate is not known.
	Link float64
}

// pressure returns how far the sample is above the goals: 1 is at the goal that is nearer.
func (s Sample) pressure() float64 {
	return max(float64(s.Delay)/float64(DelayGoal), s.Link/LinkGoal)
}

// Gate holds the share of requests that are refused. The zero value refuses none. It is not
// safe for concurrent use.
type Gate struct {
	refused float64
	last    time.Time
	// before is the pressure of the sample before.
	before float64
}

// Refused returns the share of new requests that are refused, from 0 to 1.
func (g *Gate) Refused() float64 { return g.refused }

// Observe adapts the refused share to a sample. It reports whether the gate has begun or
// ceased to refuse.
func (g *Gate) Observe(s Sample) (changed bool) {
	step := min(s.At.Sub(g.last), maxStep).Seconds()
	if g.last.IsZero() || step < 0 {
		step = 0
	}
	g.last = s.At
	before, p := g.refused, s.pressure()
	// A single sample above the goals is a burst that passes by itself.
	lasting := min(p, g.before)
	g.before = p
	switch {
	case lasting > 1:
		g.refused = min(maxRefused, g.refused+rise*step*min(1, lasting-1)*(1-g.refused))
	case p < slackBelow:
		g.refused = max(0, g.refused-fall*step*(1-p/slackBelow))
	}
	return (before == 0) != (g.refused == 0)
}

// Refuses reports whether a new request is refused. u is a uniform random number in [0, 1),
// left the caller's remaining time, and back the time that a return takes. A request that has
// no time to return is not refused.
func (g *Gate) Refuses(u float64, left, back time.Duration) bool {
	return u < g.refused && left > back
}
