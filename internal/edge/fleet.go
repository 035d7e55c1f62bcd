package edge

import (
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/beryllanding/beryllanding/internal/trial"
	"github.com/beryllanding/beryllanding/pkg/origin"
	"github.com/beryllanding/beryllanding/pkg/pool"
	"github.com/beryllanding/beryllanding/pkg/roster"
	"github.com/beryllanding/beryllanding/pkg/route"
)

// target is one target in use.
type target struct {
	roster.Target
	name string
	pool pool.Pool
	// lastHeard is when a byte was last received from the target, in ns since
	// fleet.start.
	lastHeard atomic.Int64
	// leaving is set once the target said that it leaves. gone is set once it left the list
	// without having said so.
	leaving, gone atomic.Bool
	// open is the number of this instance's requests at the target. busySince is when
	// open last rose from 0. Both are guarded by fleet.mu.
	busySince time.Time
	open      int
}

// suspectAfter is how long a target with open requests may send nothing on any connection.
// After that, new requests avoid the target until it sends a byte, if the service has
// another one. A single long prompt may take longer; its request is not interrupted.
const suspectAfter = 400 * time.Millisecond

// group holds the targets of one service.
type group struct {
	name    string
	picker  route.Picker
	retries route.RetryWindow
	byName  map[string]*target
}

// Retries bounds the retries of all instances together.
type Retries struct {
	Window time.Duration
	Share  float64
	// Burst is the number of retries allowed in a window without requests, for all
	// instances together.
	Burst float64
}

const (
	// minBurstInstances is the least number of instances among which Retries.Burst is
	// divided. It applies until the instances are known, and leaves room for those that
	// restart in small fleets.
	minBurstInstances = 32
	// burstMargin is the factor by which the known number of instances is exceeded, for
	// those that have just started and those that restart within a window.
	burstMargin = 1.25
)

// burst returns this instance's part of Retries.Burst. f.mu must be held.
func (f *fleet) burst() float64 {
	return f.retries.Burst / max(minBurstInstances, burstMargin*float64(f.limits.members.Len()))
}

// fleet holds the targets of all services. It is safe for concurrent use.
type fleet struct {
	dataCentre string
	retries    Retries
	// off are mechanisms that are switched off.
	off trial.Off
	// wrap, if it is not nil, wraps the connections to targets.
	wrap func(net.Conn) net.Conn

	mu    sync.Mutex
	start time.Time
	// listConfirmed is when the store last confirmed that the target list is the
	// newest.
	listConfirmed time.Time
	groups        map[string]*group
	rnd           *rand.Rand
	limits        limits
	cold          coldState
}

func newFleet(dataCentre string, retries Retries, off trial.Off) *fleet {
	return &fleet{
		dataCentre: dataCentre,
		retries:    retries,
		off:        off,
		start:      time.Now(),
		groups:     make(map[string]*group),
		rnd:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// group returns the group of a service, which it creates if needed. f.mu must be held.
func (f *fleet) group(service string) *group {
	g := f.groups[service]
	if g == nil {
		g = &group{
			name:    service,
			picker:  route.Picker{DataCentre: f.dataCentre, Policy: f.routePolicy()},
			retries: route.RetryWindow{Length: f.retries.Window, Share: f.retries.Share, Burst: f.burst()},
			byName:  make(map[string]*target),
		}
		if f.limits.read {
			g.picker.Instances(time.Now(), f.rnd, f.limits.self, f.limits.members.Names())
		}
		for dataCentre := range f.cold.evacuated {
			g.picker.Evacuate(dataCentre, true)
		}
		f.groups[service] = g
	}
	return g
}

// routePolicy returns the policy of the choice of targets, without what is switched off.
func (f *fleet) routePolicy() route.Policy {
	return route.Policy{
		Cost: true, NoAffinity: f.off[trial.Affinity],
		NoEasyWeight: f.off[trial.ReadWeight], NoEventPace: f.off[trial.EventPace],
	}
}

// confirm records that the target list was the newest at the given time.
func (f *fleet) confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listConfirmed = at
}

// update replaces the targets. It returns how many were added, were removed and began
// to drain, and which left the list without having said that they leave.
func (f *fleet) update(list []roster.Target) (added, removed, draining int, gone []*target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	byService := make(map[string][]roster.Target)
	for _, t := range list {
		byService[t.Service] = append(byService[t.Service], t)
	}
	for service := range byService {
		f.group(service)
	}
	for service, g := range f.groups {
		a, r, d := g.update(byService[service], f.wrap)
		f.applyLimits(g)
		added, removed, draining = added+a, removed+len(r), draining+d
		for _, t := range r {
			if !t.Draining && !t.leaving.Load() {
				t.gone.Store(true)
				gone = append(gone, t)
			}
		}
	}
	f.noteCold(time.Now())
	return added, removed, draining, gone
}

// update replaces the targets of the group. It returns how many were added and began to
// drain, and those that were removed.
func (g *group) update(list []roster.Target, wrap func(net.Conn) net.Conn) (added int, removed []*target, draining int) {
	next := make(map[string]*target, len(list))
	entries := make([]route.Target, 0, len(list))
	for _, t := range list {
		name := t.Run()
		old := g.byName[name]
		if old == nil || !old.Same(t) {
			old = &target{Target: t, name: name, pool: pool.Pool{Addr: t.Address, Wrap: wrap}}
			added++
		}
		if t.Draining && !old.Draining {
			draining++
		}
		old.Draining, old.ColdUntil = t.Draining, t.ColdUntil
		next[name] = old
		entries = append(entries, route.Target{
			Name: name, DataCentre: t.DataCentre, Version: t.Version, Address: t.Address, Draining: t.Draining,
		})
	}
	for name, old := range g.byName {
		if next[name] != old {
			old.pool.Close()
			removed = append(removed, old)
		}
	}
	g.byName = next
	g.picker.Update(entries)
	return added, removed, draining
}

// versions returns the services and versions of the targets in use.
func (f *fleet) versions() (list []origin.Origin) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for service, g := range f.groups {
		for _, t := range g.byName {
			if o := (origin.Origin{Service: service, Version: t.Version}); !slices.Contains(list, o) {
				list = append(list, o)
			}
		}
	}
	return list
}

// countRequest adds a caller's request to the retry budget of the service.
func (f *fleet) countRequest(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.group(service).retries.Request(time.Now())
}

// takeRetry takes one retry from the service's retry budget. It returns false if none
// is left.
func (f *fleet) takeRetry(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.off[trial.Retries] && f.group(service).retries.Allow(time.Now())
}

// attempt is one attempt in progress.
type attempt struct {
	target *target
	routed route.Attempt
	began  time.Time
	// listAge is the age of the target list at the start of the attempt. open is the
	// number of this instance's requests at the target, including this one.
	listAge time.Duration
	open    int
	// limited is set if the target named a limit before the attempt.
	limited bool
	// cold is set if the target was cold at the start of the attempt.
	cold bool
	// events is the number of events that the caller had when the attempt began.
	events int64
	// after is the id of the last event that the caller had when the attempt began, or -1.
	// lastID is the highest id of the attempt's events, or -1.
	after, lastID int64
	// answered is set once the target has answered the prompt beyond its beginning.
	answered bool
	// silence is the target's silence for which the request is suspected, or nil.
	silence *silence
}

// silence is a time without a byte from a target. over is set once the target has sent one.
type silence struct{ over atomic.Bool }

// spoke records a byte of the attempt's target.
func (a *attempt) spoke() {
	if a.silence != nil {
		a.silence.over.Store(true)
		a.silence = nil
	}
}

// pick chooses a target and records the start of an attempt at it.
func (f *fleet) pick(service string, req route.Request) (*attempt, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(service)
	now := time.Now()
	tried := req.Exclude
	req.Exclude = f.suspects(g, tried)
	t, err := g.picker.Pick(now, f.rnd, req)
	if err == nil && slices.Contains(req.Exclude, t.Name) {
		// Every target is suspect or was tried: choose among the suspects too.
		req.Exclude = tried
		t, err = g.picker.Pick(now, f.rnd, req)
	}
	if err != nil {
		return nil, err
	}
	target := g.byName[t.Name]
	if target.open == 0 {
		target.busySince = now
	}
	target.open++
	return &attempt{
		target: target, routed: g.picker.Begin(now, t.Name, req), began: now,
		listAge: now.Sub(f.listConfirmed), open: target.open, limited: f.limits.known[t.Name].Rate > 0,
		cold: g.picker.IsCold(now, t.Name),
	}, nil
}

// suspects returns tried plus the targets that are silent although they have open
// requests. f.mu must be held.
func (f *fleet) suspects(g *group, tried []string) []string {
	excluded := tried[:len(tried):len(tried)]
	for _, t := range g.byName {
		if t.open > 0 && f.silentFor(t, t.busySince) > suspectAfter {
			excluded = append(excluded, t.name)
		}
	}
	return excluded
}

// firstByte records that a response started.
func (f *fleet) firstByte(service string, a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.group(service).picker.FirstToken(time.Now(), &a.routed, true)
}

// events records that events of the attempt's stream arrived. held is set if the instance holds
// events back.
func (f *fleet) events(service string, a *attempt, held bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.group(service).picker.Events(time.Now(), &a.routed, held)
}

// reportLoad records the load that a target reports.
func (f *fleet) reportLoad(service string, a *attempt, status route.Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.group(service).picker.Report(time.Now(), a.target.name, status)
}

// done records the end of an attempt.
func (f *fleet) done(service string, a *attempt, result attemptResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(service)
	now := time.Now()
	a.target.open--
	g.picker.FirstToken(now, &a.routed, false)
	g.picker.EventsEnded(&a.routed)
	name := a.target.name
	switch result := result.(type) {
	case responded:
		g.picker.AttemptEnded(name, route.Responded)
		g.picker.RecordResult(now, name, false)
	case failed:
		g.picker.AttemptEnded(name, route.Responded)
		g.picker.RecordResult(now, name, true)
	case notRun:
		switch {
		case errors.Is(result.err, ErrWithdrawn):
			g.picker.AttemptEnded(name, route.Unknown)
			return
		case result.sent:
			g.picker.AttemptEnded(name, route.Responded)
		default:
			g.picker.AttemptEnded(name, route.Unknown)
			g.picker.RecordConnectFailure(now, name)
			f.mayHaveRestarted(now, g, name)
		}
		g.picker.RecordResult(now, name, true)
	case uncertain:
		g.picker.AttemptEnded(name, route.Unknown)
		if !isCallerGone(result.err) && !errors.Is(result.err, errNotNeeded) && !errors.Is(result.err, ErrStopping) {
			g.picker.RecordConnectFailure(now, name)
			g.picker.RecordResult(now, name, true)
			f.mayHaveRestarted(now, g, name)
		}
	}
}

// dropIdle closes all idle connections, which may be broken without having reported an
// error.
func (f *fleet) dropIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range f.groups {
		for _, t := range g.byName {
			t.pool.CloseIdle()
		}
	}
}

// targetCounts returns the number of targets by service.
func (f *fleet) targetCounts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := make(map[string]int, len(f.groups))
	for service, g := range f.groups {
		n[service] = len(g.byName)
	}
	return n
}

// targetCount returns the number of targets of all services.
func (f *fleet) targetCount() (sum int) {
	for _, n := range f.targetCounts() {
		sum += n
	}
	return sum
}

// markHeard records that a byte was received from the target.
func (f *fleet) markHeard(t *target) { t.lastHeard.Store(int64(time.Since(f.start))) }

// silentFor returns the time since the last byte from the target, or the time since
// the given instant if that is shorter.
func (f *fleet) silentFor(t *target, since time.Time) time.Duration {
	heard := f.start.Add(time.Duration(t.lastHeard.Load()))
	if heard.Before(since) {
		heard = since
	}
	return time.Since(heard)
}
