package route

import (
	"errors"
	"math/rand/v2"
	"time"
)

// ErrLimited reports that no target takes the request now, and that at least one of them
// takes one later, by the limit of requests a second that it named. AllRest returns when.
var ErrLimited = errors.New("every target that takes work is at the limit that it named")

const (
	// extraSharers is the number of instances that share a limit of less than one request
	// a second, and that are added for each further request a second. Each sharer may have
	// one request more in some time than its part of the limit, so few instances share a
	// low limit.
	extraSharers = 2
	// probeShare is the part of a limit that the other instances may use together, so
	// that the limit's end is seen even if the instances that share it are gone.
	probeShare = 0.1
	// assumedInstances is the number of instances before the list of them was read.
	assumedInstances = 32
	// maxInterval bounds the time between two attempts of an instance at a limited target.
	maxInterval = 24 * time.Hour
)

// rateLimit is a limit that a target named for all instances together, and this instance's
// part of it. The zero value is no limit.
type rateLimit struct {
	// rate is in requests a second; 0 is no limit.
	rate float64
	// interval is the least time between two attempts of this instance.
	interval time.Duration
	// next is when this instance may make its next attempt.
	next time.Time
}

// blocks reports whether the limit forbids an attempt now.
func (l *rateLimit) blocks(now time.Time) bool { return l.rate > 0 && now.Before(l.next) }

// take records an attempt.
func (l *rateLimit) take(now time.Time) {
	if l.rate > 0 {
		l.next = now.Add(l.interval)
	}
}

// set sets the limit and this instance's part of it, both in requests a second. The first
// attempt comes after a random part of the interval, so that the instances don't make
// theirs together.
func (l *rateLimit) set(now time.Time, rnd *rand.Rand, rate, part float64) {
	interval := maxInterval
	if seconds := 1 / part; part > 0 && seconds < maxInterval.Seconds() {
		interval = time.Duration(seconds * float64(time.Second))
	}
	first := now.Add(time.Duration(rnd.Float64() * float64(interval)))
	switch {
	case l.rate == 0:
		l.next = first
	case interval <= l.interval:
		l.next = now.Add(min(l.next.Sub(now), interval))
	case first.After(l.next):
		l.next = first
	}
	l.rate, l.interval = rate, interval
}

// freeAt returns when an attempt is allowed again: at this instance, or after the mean time
// between two attempts of all instances, if that is earlier.
func (l *rateLimit) freeAt(now time.Time) time.Time {
	mean := now.Add(time.Duration(min(maxInterval.Seconds(), 1/l.rate) * float64(time.Second)))
	if l.next.Before(mean) {
		return l.next
	}
	return mean
}

// Limit records that the target named a limit of requests a second for all instances
// together; 0 ends it.
func (p *Picker) Limit(now time.Time, rnd *rand.Rand, name string, rate float64) {
	n := p.noticeOf(now, name)
	switch {
	case n == nil:
	case rate <= 0:
		n.limit = rateLimit{}
	case rate != n.limit.rate:
		n.limit.set(now, rnd, rate, p.part(p.byName[name], rate))
	}
}

// Instances sets the names of this instance and of all instances, by which limits are
// shared. Before the first call, this instance makes few attempts at limited targets.
func (p *Picker) Instances(now time.Time, rnd *rand.Rand, self string, all []string) {
	p.self, p.instances = hashString(self), p.instances[:0]
	for _, name := range all {
		if name != self {
			p.instances = append(p.instances, hashString(name))
		}
	}
	p.instancesKnown = true
	for _, t := range p.targets {
		if t.notice == nil {
			continue
		}
		if l := &t.notice.limit; l.rate > 0 {
			l.set(now, rnd, l.rate, p.part(t, l.rate))
		}
		if c := &t.notice.cold; now.Before(c.until) {
			c.pace.set(now, rnd, c.pace.rate, p.coldPart(t, c.limit))
		}
	}
}

// part returns this instance's part of a target's limit, in requests a second.
func (p *Picker) part(t *target, rate float64) float64 {
	if !p.instancesKnown {
		return probeShare * rate / assumedInstances
	}
	all := 1 + len(p.instances)
	sharers := min(all, extraSharers+int(min(rate, float64(all))))
	if p.shares(t, sharers) {
		return rate / float64(sharers)
	}
	return probeShare * rate / float64(all)
}

// shares reports whether this instance is one of the given number that share a target. They
// are those with the highest rendezvous-hashing weights for the target, which every instance
// computes alike.
func (p *Picker) shares(t *target, sharers int) bool {
	own, rank := mix(p.self^t.hash), 0
	for _, other := range p.instances {
		if mix(other^t.hash) > own {
			rank++
		}
	}
	return rank < sharers
}

// Limited returns the number of listed targets that name a limit.
func (p *Picker) Limited() (n int) {
	for _, t := range p.targets {
		if t.notice != nil && t.notice.limit.rate > 0 {
			n++
		}
	}
	return n
}
