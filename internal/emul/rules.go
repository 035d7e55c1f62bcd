package emul

import (
	"fmt"
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

// crashBound is the number of crashes after which crashing requests must stop within
// Scenario.Settle, and crashSlack the number of those that may still come later.
const (
	crashBound = 5
	crashSlack = 3
)

// crashes collects the crashes of targets, and when they got crashing requests from
// instances that reach the store.
type crashes struct {
	mu    sync.Mutex
	ended []time.Time
	sent  []time.Time
}

func (c *crashes) targetEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = append(c.ended, time.Now())
}

// reached records that a crashing request of an instance has reached a target.
func (c *crashes) reached(from *instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if from != nil && from.inTouch() {
		c.sent = append(c.sent, time.Now())
	}
}

// late returns the number of targets that crashed, and of the crashing requests that
// reached a target later than settle after the crash number crashBound.
func (c *crashes) late(settle time.Duration) (ended, late int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ended) < crashBound {
		return len(c.ended), 0
	}
	for _, at := range c.sent {
		if at.After(c.ended[crashBound-1].Add(settle)) {
			late++
		}
	}
	return len(c.ended), late
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
