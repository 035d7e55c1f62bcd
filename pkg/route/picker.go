package route

import (
	"slices"
	"time"
)

// Picker picks among the targets of one service. The zero value has no targets;
// DataCentre and Policy are set before use. It is not safe for concurrent use.
type Picker struct {
	// DataCentre is the data centre of this instance.
	DataCentre string
	Policy     Policy

	// policy is Policy with its defaults. It is valid once ready is set.
	policy  Policy
	ready   bool
	targets []*target
	byName  map[string]*target
	// recent holds the targets that read each prefix recently.
	recent prefixIndex
	// excess is the average of target.excessLatency over all first tokens.
	excess decayingMean
	// notices holds what targets announced about themselves, including targets that
	// are not listed now.
	notices map[noticeKey]*notice
	// self is the hash of this instance's name, and instances are those of the other
	// instances. They are valid once instancesKnown is set.
	self           uint64
	instances      []uint64
	instancesKnown bool
	// evacuated holds the data centres whose targets take no new attempt.
	evacuated map[string]bool
	// local and remote are scratch space for the candidates during a Pick.
	local, remote []*target
	// cold holds those of the candidates that are cold and for which this instance has a
	// request left in the pace.
	cold []*target
}

// target is the state that the picker keeps for one target.
type target struct {
	Target
	hash uint64
	// otherLoad is the moving average of the load from other instances, in
	// requests.
	otherLoad float64
	// reportedAt is when the last report arrived. askedAt is when StatusDue last
	// returned the target.
	reportedAt time.Time
	askedAt    time.Time
	// drainingUntil is the time until which a report that the target is draining is
	// valid. Such a report arrives before the instance list shows the change.
	drainingUntil time.Time
	// inFlight counts this instance's own requests at the target.
	inFlight int64
	// failures counts the failures since the last success.
	failures int
	// ejections counts the ejections since the last success.
	ejections    int
	ejectedAt    time.Time
	ejectedUntil time.Time
	ejected      bool
	// probing is set while the request that may end the ejection runs.
	probing bool
	// prefillTokens is the number of prompt tokens that the target has yet to read. It
	// counts this instance's own requests that have no first token yet.
	prefillTokens float64
	// waiting is the number of waiting requests in the last report.
	waiting float64
	// slowdown is the moving average of what the target reports above its usual speed, as a
	// multiple of the usual time. It decays, since it changes many times a second.
	slowdown decayingMean
	// excessLatency is the average time in ms by which first tokens came later than
	// estimated; see FirstToken. faultRate is the average of failed requests, from 0
	// for none to 1 for all; see RecordResult. Both decay over time.
	excessLatency decayingMean
	faultRate     decayingMean
	// pace is what the events of streams show.
	pace eventPace
	// evacuated is set while the target's data centre is evacuated.
	evacuated bool
	// notice is what the target announced about itself; nil if it announced nothing.
	notice *notice
}

// load estimates the number of requests at the target. This instance's own requests are
// counted exactly. Only the requests of other instances are taken from reports: an
// out-of-date report may count the own requests twice or not at all.
func (t *target) load() float64 { return float64(t.inFlight) + t.otherLoad }

// takesWork reports whether the target may get a new attempt.
func (t *target) takesWork(now time.Time) bool {
	return !t.evacuated && !t.draining(now) && !t.withdrawn(now)
}

// limit returns the number of this instance's attempts that may be open at the target at
// the same time.
func (t *target) limit(policy int) int64 {
	if t.notice == nil {
		return int64(policy)
	}
	return t.notice.rest.limit(int64(policy))
}

// draining reports whether the target takes no new work. A side process's report that
// its target is draining expires after drainingTTL. If it did not expire, a new target
// under the same name and address would never be used. A target that is still draining
// repeats the report.
func (t *target) draining(now time.Time) bool {
	return t.Draining || now.Before(t.drainingUntil)
}

// Update replaces the list of targets. The state of targets that stay is kept. A target
// with a known name and another address counts as a new one.
func (p *Picker) Update(list []Target) {
	p.init()
	next := make(map[string]*target, len(list))
	p.targets = p.targets[:0]
	for _, t := range list {
		known := p.byName[t.Name]
		if known == nil || known.Address != t.Address {
			known = &target{hash: hashString(t.Name), notice: p.notices[noticeKey{t.Name, t.Address}]}
		}
		known.Target, known.evacuated = t, p.evacuated[t.DataCentre]
		next[t.Name] = known
		p.targets = append(p.targets, known)
	}
	p.byName = next
}

// AttemptStarted records that an attempt was sent to the target. If the target is ejected,
// the attempt is the probe.
func (p *Picker) AttemptStarted(name string) {
	t := p.byName[name]
	if t == nil {
		return
	}
	t.inFlight++
	if t.ejected {
		t.probing = true
	}
}

// AttemptEnded records the end of an attempt that AttemptStarted or Begin recorded.
// Responded ends an ejection.
func (p *Picker) AttemptEnded(name string, result Result) {
	t := p.byName[name]
	if t == nil {
		return
	}
	t.inFlight = max(0, t.inFlight-1)
	switch result {
	case Responded:
		t.failures, t.ejections = 0, 0
		t.ejected, t.probing = false, false
	case Unknown:
		t.probing = false
	}
}

// RecordConnectFailure records that the target responded neither on an open connection
// nor on a new one. EjectAfter failures in a row eject the target.
func (p *Picker) RecordConnectFailure(now time.Time, name string) {
	if t := p.byName[name]; t != nil {
		p.recordFailure(now, t)
	}
}

// Report records a target's own report of its load.
func (p *Picker) Report(now time.Time, name string, status Status) {
	t := p.byName[name]
	if t == nil {
		return
	}
	others := float64(max(0, status.Running+status.Waiting-t.inFlight))
	t.otherLoad += reportWeight * (others - t.otherLoad)
	t.waiting = float64(max(0, status.Waiting))
	if status.Slowdown > 0 {
		t.slowdown.add(now, slowdownDecay, min(status.Slowdown, maxSlowdown)-1)
	}
	t.reportedAt = now
	if status.Draining {
		t.drainingUntil = now.Add(drainingTTL)
	}
}

// recordFailure counts a failure, and ejects the target after EjectAfter
// consecutive ones. The last target that takes work is never ejected.
func (p *Picker) recordFailure(now time.Time, t *target) {
	t.failures++
	if t.failures < p.policy.EjectAfter || (!t.ejected && p.countOthers(now, t) == 0) {
		return
	}
	pause := p.policy.EjectMax
	if t.ejections < 16 { // Larger shifts could overflow.
		pause = min(pause, p.policy.EjectBase<<t.ejections)
	}
	t.ejections++
	t.ejected = true
	t.ejectedAt = now
	t.ejectedUntil = now.Add(pause)
}

// countOthers returns the number of targets other than t that take work.
func (p *Picker) countOthers(now time.Time, t *target) int {
	n := 0
	for _, other := range p.targets {
		if other != t && !other.ejected && other.takesWork(now) {
			n++
		}
	}
	return n
}

func (p *Picker) init() {
	if p.ready {
		return
	}
	p.policy = p.Policy.withDefaults()
	p.ready = true
}

// excluded reports whether the target was already tried for the request.
func (r Request) excluded(t *target) bool { return slices.Contains(r.Exclude, t.Name) }

// accepts reports whether the target has the version that the request needs.
func (r Request) accepts(t *target) bool { return r.Version == "" || r.Version == t.Version }
