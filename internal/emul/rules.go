package emul

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// senders holds the instance that each request in progress was sent to, by request id.
type senders struct {
	mu   sync.Mutex
	byID map[string]*instance
}

func (s *senders) add(id string, to *instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID == nil {
		s.byID = make(map[string]*instance)
	}
	s.byID[id] = to
}

func (s *senders) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, id)
}

// of returns the instance of a request, or nil if its caller has left.
func (s *senders) of(id string) *instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

// Causes of crashes have a bound on the crashes after which their requests must stop within
// Scenario.Settle. crashSlack is the number of requests that may still come later.
const (
	partCrashBound    = 5
	requestCrashBound = 3
	crashSlack        = 3
)

// partCause is the cause of crashes by the part that Kind.Crashes means. deadlyMark begins,
// in the id of a deadly request, the number of the request among those of its kind.
const (
	partCause  = "the crashing part"
	deadlyMark = "#"
)

// cause returns what in a request crashes targets, or "" if nothing does, and after how many
// events.
func (f *fleet) cause(id string) (cause string, events int) {
	kind, rest, _ := strings.Cut(id, "/")
	for i := range f.s.Kinds {
		k := &f.s.Kinds[i]
		switch {
		case k.Name != kind:
		case k.Crashes:
			return partCause, k.CrashEvents
		case k.Deadly > 0:
			_, which, _ := strings.Cut(rest, deadlyMark)
			which, _, _ = strings.Cut(which, ".")
			return fmt.Sprintf("request %s%s%s", kind, deadlyMark, which), k.CrashEvents
		}
	}
	return "", 0
}

// crashes collects the crashes of targets by their cause, and when they got crashing
// requests from instances that reach the store.
type crashes struct {
	mu      sync.Mutex
	byCause map[string]*crashCause
}

// crashCause is what is known of one cause.
type crashCause struct{ ended, sent []time.Time }

// of returns the entry of a cause. c.mu must be held.
func (c *crashes) of(cause string) *crashCause {
	if c.byCause == nil {
		c.byCause = make(map[string]*crashCause)
	}
	if c.byCause[cause] == nil {
		c.byCause[cause] = &crashCause{}
	}
	return c.byCause[cause]
}

func (c *crashes) targetEnded(cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.of(cause)
	e.ended = append(e.ended, time.Now())
}

// reached records that a crashing request of an instance has reached a target.
func (c *crashes) reached(cause string, from *instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if from != nil && from.inTouch() {
		e := c.of(cause)
		e.sent = append(e.sent, time.Now())
	}
}

// late returns the number of targets that crashed, and describes each cause whose requests
// reached targets too often later than settle after the crash that is its bound.
func (c *crashes) late(settle time.Duration) (ended int, broken []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for cause, e := range c.byCause {
		ended += len(e.ended)
		bound := requestCrashBound
		if cause == partCause {
			bound = partCrashBound
		}
		if len(e.ended) < bound {
			continue
		}
		late := 0
		for _, at := range e.sent {
			if at.After(e.ended[bound-1].Add(settle)) {
				late++
			}
		}
		if late > crashSlack {
			broken = append(broken, fmt.Sprintf("%s reached targets %d times later than %v after crash number %d; %d crashed in all", cause, late, settle, bound, len(e.ended)))
		}
	}
	return ended, broken
}

const (
	// limitWindow is the time in which the requests at a limited target are counted.
	limitWindow = 4 * time.Second
	// limitFactor and limitSlack bound the requests in it: this multiple of what the limit
	// allows, and a fixed number.
	limitFactor = 1.5
	limitSlack  = 5
	// toldDelay is the time after its first response with a limit from which the requests
	// of an instance count.
	toldDelay = 500 * time.Millisecond
)

// limits collects the requests at targets that name a limit.
type limits struct {
	mu      sync.Mutex
	targets map[string]*limited
}

// limited is a target that names a limit.
type limited struct {
	since time.Time
	// told is when each instance first sent a request whose response names the limit.
	told     map[*instance]time.Time
	arrivals []arrival
}

// arrival is a request that reached a limited target from an instance that had been told.
type arrival struct {
	at    time.Time
	limit float64
}

// arrived records that a request of an instance has reached a target. The limit is the one
// that the target names then, or 0.
func (l *limits) arrived(target string, from *instance, limit float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit == 0 {
		delete(l.targets, target)
		return
	}
	if from == nil || !from.inTouch() {
		return
	}
	if l.targets == nil {
		l.targets = make(map[string]*limited)
	}
	t, now := l.targets[target], time.Now()
	if t == nil {
		t = &limited{since: now, told: make(map[*instance]time.Time)}
		l.targets[target] = t
	}
	told, known := t.told[from]
	if !known {
		t.told[from] = now
		return
	}
	if now.Sub(told) >= toldDelay {
		t.arrivals = append(t.arrivals, arrival{now, limit})
	}
}

// broken describes each target that got more requests than its limit allows, in some
// limitWindow that ends later than settle after it first named one.
func (l *limits) broken(settle time.Duration) (list []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, t := range l.targets {
		first, most := 0, ""
		excess := 0
		for i, a := range t.arrivals {
			for t.arrivals[first].at.Before(a.at.Add(-limitWindow)) {
				first++
			}
			allowed := int(limitFactor*limitWindow.Seconds()*a.limit) + limitSlack
			if n := i - first + 1; n-allowed > excess && a.at.After(t.since.Add(settle)) {
				excess = n - allowed
				most = fmt.Sprintf("%s named a limit of %v a second and got %d requests in %v from instances that had been told; allowed are %d", name, a.limit, n, limitWindow, allowed)
			}
		}
		if most != "" {
			list = append(list, most)
		}
	}
	return list
}
