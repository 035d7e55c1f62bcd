package route

import (
	"errors"
	"math/rand/v2"
	"time"
)

var (
	// ErrCold reports that no target takes the request now, and that at least one of them
	// takes one later, by the pace of a cold target. AllRest returns when.
	ErrCold = errors.New("every target that takes work is cold and has had its share of requests")
	// ErrEvacuated reports that the data centres of all targets that would take the request
	// are evacuated.
	ErrEvacuated = errors.New("the data centre of every target that takes work is evacuated")
)

// ColdLimit bounds the requests at a cold target, in any second, from all instances together.
// The zero value is no bound.
type ColdLimit struct {
	// Rate is the number that the target tolerates for long.
	Rate float64
	// Most is the number that must not be exceeded in any one second. At most Most - 1 are
	// sent in a second on average, whatever Rate is.
	Most float64
}

// pace returns the requests a second that are sent to a cold target, and the number of
// instances that share them. A sharer's requests are evenly spaced, so it sends in any one
// second at most one request more than its part. The sum is therefore at most rate plus
// sharers, which does not exceed Most.
func (l ColdLimit) pace() (rate float64, sharers int) {
	rate = min(l.Rate, l.Most-1)
	if rate <= 0 {
		return 0, 0
	}
	return rate, max(1, int(min(l.Most-rate, maxSharers)))
}

// maxSharers bounds the instances that share a cold target.
const maxSharers = 1 << 20

// cold is a target's cold time and this instance's part of its pace. The zero value is a
// target that is warm.
type cold struct {
	until time.Time
	limit ColdLimit
	pace  rateLimit
}

// blocks reports whether the pace forbids an attempt now.
func (c *cold) blocks(now time.Time) bool { return now.Before(c.until) && c.pace.blocks(now) }

// freeAt returns when an attempt is allowed again, at this instance or at another one.
func (c *cold) freeAt(now time.Time) time.Time {
	if free := c.pace.freeAt(now); free.Before(c.until) {
		return free
	}
	return c.until
}

// Cold records that the target is cold until the given time. A time that is earlier than a
// known one is ignored. It reports whether the target was warm before. A limit that allows
// no request, such as the zero ColdLimit, is no limit.
func (p *Picker) Cold(now time.Time, rnd *rand.Rand, name string, until time.Time, limit ColdLimit) bool {
	rate, _ := limit.pace()
	if rate <= 0 || !now.Before(until) {
		return false
	}
	n := p.noticeOf(now, name)
	if n == nil {
		return false
	}
	news := !now.Before(n.cold.until)
	if until.After(n.cold.until) {
		n.cold.until = until
	}
	if news || n.cold.limit != limit {
		n.cold.limit, n.cold.pace = limit, rateLimit{}
		n.cold.pace.set(now, rnd, rate, p.coldPart(p.byName[name], limit))
	}
	return news
}

// coldPart returns this instance's part of the pace of a cold target, in requests a second.
// It is 0 if the other instances are not known.
func (p *Picker) coldPart(t *target, limit ColdLimit) float64 {
	if !p.instancesKnown {
		return 0
	}
	rate, sharers := limit.pace()
	if sharers = min(sharers, 1+len(p.instances)); p.shares(t, sharers) {
		return rate / float64(sharers)
	}
	return 0
}

// IsCold reports whether the target is known to be cold.
func (p *Picker) IsCold(now time.Time, name string) bool {
	t := p.byName[name]
	return t != nil && t.notice != nil && now.Before(t.notice.cold.until)
}

// Evacuate sets whether the targets of a data centre take new attempts.
func (p *Picker) Evacuate(dataCentre string, evacuated bool) {
	if evacuated {
		if p.evacuated == nil {
			p.evacuated = make(map[string]bool)
		}
		p.evacuated[dataCentre] = true
	} else {
		delete(p.evacuated, dataCentre)
	}
	for _, t := range p.targets {
		if t.DataCentre == dataCentre {
			t.evacuated = evacuated
		}
	}
}

// Accepts reports whether an attempt that was recorded with Begin may still be sent: the
// target is listed and does not drain, leave or rest, and its data centre is not evacuated.
func (p *Picker) Accepts(now time.Time, name string) bool {
	t := p.byName[name]
	if t == nil || t.evacuated || t.draining(now) {
		return false
	}
	return t.notice == nil || (!t.notice.leaving && !t.notice.rest.active(now))
}

// Unavailable counts the listed targets that are cold, and those whose data centre is
// evacuated.
func (p *Picker) Unavailable(now time.Time) (cold, evacuated int) {
	for _, t := range p.targets {
		if t.evacuated {
			evacuated++
		}
		if t.notice != nil && now.Before(t.notice.cold.until) {
			cold++
		}
	}
	return cold, evacuated
}
