package route

import (
	"errors"
	"time"
)

// ErrResting reports that no target takes the request, and that at least one of them
// asked for a rest that will end. AllRest returns when.
var ErrResting = errors.New("every target that takes work rests")

const (
	// maxRest bounds the rest that a target can ask for, so that a wrong value does not
	// withdraw it for good. After it, a single attempt shows whether the target still
	// rests.
	maxRest = 5 * time.Minute
	// returnFactor is the number of attempts that each response after a rest adds to
	// those allowed at the same time. Arrivals thus treble at most with each round.
	returnFactor = 2
	// returnResponses is the number of responses after which a target that rested
	// counts as returned, without a limit of its own.
	returnResponses = 32
)

// rest is a target's wish to get no attempt for a time, and its gradual return to work
// afterwards. The zero value is a target that never rested.
type rest struct {
	until time.Time
	// responses counts the responses since the rest ended. It is valid while returning
	// is set.
	returning bool
	responses int64
}

// active reports whether the target still rests.
func (r *rest) active(now time.Time) bool { return now.Before(r.until) }

// begin starts a rest, or extends the present one. A rest that was announced earlier and
// ends later stays.
func (r *rest) begin(now time.Time, wish time.Duration) {
	if until := now.Add(min(wish, maxRest)); until.After(r.until) {
		r.until = until
	}
	r.returning, r.responses = true, 0
}

// limit returns the number of attempts that may be open at the target at the same time.
func (r *rest) limit(policy int64) int64 {
	if !r.returning {
		return policy
	}
	return min(policy, 1+returnFactor*r.responses)
}

// responded records that a response began which is not a wish for rest. A response that
// begins while the target rests belongs to an attempt from before the rest.
func (r *rest) responded(now time.Time) {
	if !r.returning || r.active(now) {
		return
	}
	r.responses++
	r.returning = r.responses < returnResponses
}

// Rest records that the target asked to get no attempt for a time. Values that are not
// positive are ignored, and those above maxRest count as maxRest. Rest returns when the
// rest ends, and whether the target did not rest before.
func (p *Picker) Rest(now time.Time, name string, wish time.Duration) (until time.Time, news bool) {
	n := p.noticeOf(now, name)
	if n == nil || wish <= 0 {
		return time.Time{}, false
	}
	news = !n.rest.active(now)
	n.rest.begin(now, wish)
	return n.rest.until, news
}

// AllRest returns when the first of the targets that rest, or are at the limit that they
// named or at the pace of a cold target, takes work again. why is ErrResting, ErrLimited or
// ErrCold for that target. If there is no such target, but the data centre of one is
// evacuated, why is ErrEvacuated and end is now. why is nil if a target takes work now, and
// if there is no target that will.
func (p *Picker) AllRest(now time.Time) (end time.Time, why error) {
	if len(p.notices) == 0 && len(p.evacuated) == 0 {
		return time.Time{}, nil
	}
	evacuated := false
	for _, t := range p.targets {
		if t.takesWork(now) {
			return time.Time{}, nil
		}
		if t.draining(now) || (t.notice != nil && t.notice.leaving) {
			continue
		}
		if t.evacuated {
			evacuated = true
			continue
		}
		free, reason := t.notice.rest.until, ErrResting
		if limit := &t.notice.limit; limit.blocks(now) && limit.freeAt(now).After(free) {
			free, reason = limit.freeAt(now), ErrLimited
		}
		if c := &t.notice.cold; c.blocks(now) && c.freeAt(now).After(free) {
			free, reason = c.freeAt(now), ErrCold
		}
		if why == nil || free.Before(end) {
			end, why = free, reason
		}
	}
	if why == nil && evacuated {
		return now, ErrEvacuated
	}
	return end, why
}
