// Package instd is a stand-in for the platform's instance list, for tests. It
// keeps the list in memory and has switches for the service's failures.
package instd

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/toggle"
	"github.com/beryllanding/beryllanding/pkg/insts"
)

const (
	// DefaultTTL is how long an instance stays listed after its last announcement.
	DefaultTTL = 10 * time.Second
	// maxLag bounds the lag, and with it the retained history.
	maxLag = time.Minute
)

// Switches are the failures of the instance list. The zero value has none.
type Switches struct {
	// Outage refuses every call.
	Outage bool `json:"outage"`
	// Silent accepts calls and never answers them. They have no effect.
	Silent bool `json:"silent"`
	// LagMS is the age of the list that is returned, in milliseconds, up to one
	// minute.
	LagMS int `json:"lag-ms"`
	// TTLMS is how long an instance stays listed after its last announcement, in
	// milliseconds; 0 stands for DefaultTTL.
	TTLMS int `json:"ttl-ms"`
}

func (s Switches) lag() time.Duration {
	return min(time.Duration(s.LagMS)*time.Millisecond, maxLag)
}

func (s Switches) ttl() time.Duration {
	if s.TTLMS == 0 {
		return DefaultTTL
	}
	return time.Duration(s.TTLMS) * time.Millisecond
}

// List is the in-memory instance list. The zero value is empty and has no failures. It
// is safe for concurrent use.
type List struct {
	// Switches may be changed at any time.
	Switches toggle.Box[Switches]

	mu sync.Mutex
	// events holds each name's announcements and withdrawals, oldest first.
	events map[string][]event
}

// event is an announcement, or a withdrawal if inst is nil.
type event struct {
	at   time.Time
	inst *insts.Instance
}

// New returns a list with the given switches.
func New(s Switches) *List {
	l := &List{}
	l.Switches.Set(s)
	return l
}

// Announce adds the instance to the list, or extends its time on it. It returns
// insts.ErrUnavailable in an outage.
func (l *List) Announce(inst insts.Instance) error {
	if l.Switches.Get().Outage {
		return insts.ErrUnavailable
	}
	if err := inst.Validate(); err != nil {
		return err
	}
	l.record(inst.Name, &inst)
	return nil
}

// Withdraw removes the named instance from the list. It returns insts.ErrUnavailable in
// an outage.
func (l *List) Withdraw(name string) error {
	if l.Switches.Get().Outage {
		return insts.ErrUnavailable
	}
	l.record(name, nil)
	return nil
}

// Instances returns the list as it was LagMS ago, ordered by name. It returns
// insts.ErrUnavailable in an outage.
func (l *List) Instances() ([]insts.Instance, error) {
	sw := l.Switches.Get()
	if sw.Outage {
		return nil, fmt.Errorf("%w: outage", insts.ErrUnavailable)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	asOf := time.Now().Add(-sw.lag())
	list := []insts.Instance{}
	for _, events := range l.events {
		if inst := listed(events, asOf, sw.ttl()); inst != nil {
			list = append(list, *inst)
		}
	}
	slices.SortFunc(list, func(a, b insts.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return list, nil
}

// listed returns the instance that was listed at the time asOf according to the events
// of its name, or nil if there was none.
func listed(events []event, asOf time.Time, ttl time.Duration) *insts.Instance {
	for _, e := range slices.Backward(events) {
		if e.at.After(asOf) {
			continue
		}
		if asOf.Sub(e.at) >= ttl {
			return nil
		}
		return e.inst
	}
	return nil
}

// record adds an event. It drops the events of the name that are too old to be
// shown even at maxLag.
func (l *List) record(name string, inst *insts.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.events == nil {
		l.events = make(map[string][]event)
	}
	now := time.Now()
	events := append(l.events[name], event{at: now, inst: inst})
	for len(events) > 1 && now.Sub(events[1].at) > maxLag {
		events = events[1:]
	}
	l.events[name] = events
}
