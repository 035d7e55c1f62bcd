// Package room decides what an overloaded entry instance does: for how long it holds back
// events of streams, which part of its new requests it refuses, and when it leaves the
// rotation of the platform's balancer. It answers this load: one instance gets far more
// requests than the others of its data centre, which have room. The package does no input or
// output and reads no clock.
package room

import "time"

const (
	// DelayGoal is the longest delay of the instance's own work that callers do not notice.
	// A request waits for it some three times before its first byte, and the shortest goals
	// of routes are some hundred ms.
	DelayGoal = 50 * time.Millisecond
	// holdFrom and holdFull are the delays from which events of streams are held back to be
	// forwarded together, and at which they are held back for the longest time allowed.
	holdFrom = 5 * time.Millisecond
	holdFull = 25 * time.Millisecond
	// maxRefused bounds the refused share. The rest shows when the overload ends.
	maxRefused = 0.95
	// rise and fall are the largest changes of the refused share in a second. A
	// burst is met within a second; the share falls slowly, so that it does not swing.
	rise = 5.0
	fall = 0.5
	// slackBelow is the part of the goal below which the refused share falls.
	slackBelow = 0.8
	// maxStep bounds the time that one sample stands for.
	maxStep = 500 * time.Millisecond
)

// Sample is a measurement of an instance's load.
type Sample struct {
	At time.Time
	// Delay is how long the instance's work waits for the processor.
	Delay time.Duration
}

// pressure returns how far the sample is above the goal: 1 is at the goal.
func (s Sample) pressure() float64 { return float64(s.Delay) / float64(DelayGoal) }

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
	// A single sample above the goal is a burst that passes by itself.
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

// Hold returns how long events of streams are held back after the last ones were forwarded,
// up to most. Few large writes take much less processor time than many small ones.
func (g *Gate) Hold(most time.Duration) time.Duration {
	delay := time.Duration(g.before * float64(DelayGoal))
	part := float64(delay-holdFrom) / float64(holdFull-holdFrom)
	return time.Duration(float64(most) * min(1, max(0, part)))
}

// Refuses reports whether a new request is refused. u is a uniform random number in [0, 1),
// left the caller's remaining time, and back the time that a return takes. A request that has
// no time to return is not refused.
func (g *Gate) Refuses(u float64, left, back time.Duration) bool {
	return u < g.refused && left > back
}
