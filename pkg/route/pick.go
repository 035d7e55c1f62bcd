package route

import (
	"math/rand/v2"
	"time"
)

// Pick returns the target for the request. The errors are ErrNoTarget, ErrSaturated,
// ErrVersion, ErrResting, ErrLimited, ErrCold and ErrEvacuated. The caller records the attempt with AttemptStarted or Begin.
func (p *Picker) Pick(now time.Time, rnd *rand.Rand, req Request) (Target, error) {
	p.init()
	if t := p.probe(now, req); t != nil {
		return t.Target, nil
	}
	available := p.collect(now, req)
	if len(p.local)+len(p.remote) == 0 {
		if available > 0 {
			return Target{}, ErrSaturated
		}
		if req.Version != "" {
			return Target{}, ErrVersion
		}
		if _, why := p.AllRest(now); why != nil {
			return Target{}, why
		}
		return Target{}, ErrNoTarget
	}
	if p.policy.Cost {
		return p.cheapest(now, rnd, req).Target, nil
	}
	if t := p.preferred(req); t != nil {
		return t.Target, nil
	}
	return p.twoChoices(rnd).Target, nil
}

// probe returns an ejected target that is due for a probe, or nil. A target is due if
// its ejection time is over and it has reported its load since it was ejected: without
// that report, the request could go to a target that is still silent. Only one request
// at a time probes a target. The result of that request ends or extends the ejection. A
// request with failed attempts is never used as a probe.
func (p *Picker) probe(now time.Time, req Request) *target {
	if len(req.Exclude) > 0 {
		return nil
	}
	for _, t := range p.targets {
		if req.accepts(t) && t.ejected && !t.probing && t.takesWork(now) && !now.Before(t.ejectedUntil) && t.reportedAt.After(t.ejectedAt) {
			return t
		}
	}
	return nil
}

// collect splits the candidates into local and remote, and returns the number of
// targets that take work, including those at their limit. If every target is ejected or
// excluded, ejected ones become candidates, and if there are none, excluded ones too: a
// doubtful target is better than none.
func (p *Picker) collect(now time.Time, req Request) int {
	available := p.collectIf(now, func(t *target) bool { return req.accepts(t) && !t.ejected && !req.excluded(t) })
	if available > 0 {
		return available
	}
	available = p.collectIf(now, func(t *target) bool { return req.accepts(t) && !req.excluded(t) })
	if available > 0 {
		return available
	}
	return p.collectIf(now, req.accepts)
}

// collectIf sets the candidates to the targets that ok accepts, and returns the number
// of those that take work.
func (p *Picker) collectIf(now time.Time, ok func(*target) bool) int {
	p.local, p.remote, p.cold = p.local[:0], p.remote[:0], p.cold[:0]
	available := 0
	for _, t := range p.targets {
		if !t.takesWork(now) || !ok(t) {
			continue
		}
		available++
		if t.inFlight >= t.limit(p.policy.MaxInFlight) {
			continue
		}
		if t.notice != nil && now.Before(t.notice.cold.until) {
			p.cold = append(p.cold, t)
		}
		if t.DataCentre == p.DataCentre {
			p.local = append(p.local, t)
		} else {
			p.remote = append(p.remote, t)
		}
	}
	return available
}

// preferred returns the target that ranks first for the request's key or prefix, or nil
// if its load exceeds the bound. For a key, the targets of all data centres are ranked,
// so that a retry through any instance finds the same target. For a prefix, only the
// local targets are ranked if there are any, so that affinity adds no latency.
func (p *Picker) preferred(req Request) *target {
	switch {
	case req.Key != "":
		first := highestWeight(hashString(req.Key), p.local, p.remote)
		return p.withinBound(first, p.policy.KeyFactor, p.local, p.remote)
	case req.Prefix != 0 && !p.policy.NoAffinity:
		pool := p.local
		if len(pool) == 0 {
			pool = p.remote
		}
		first := highestWeight(req.Prefix, pool)
		return p.withinBound(first, p.policy.AffinityFactor, pool)
	}
	return nil
}

// withinBound returns t if its load is at most factor times the mean load in the pools
// plus AffinitySlack. If the load is higher, it returns nil.
func (p *Picker) withinBound(t *target, factor float64, pools ...[]*target) *target {
	sum, n := 0.0, 0
	for _, pool := range pools {
		n += len(pool)
		for _, other := range pool {
			sum += other.load()
		}
	}
	if t.load() > factor*sum/float64(n)+p.policy.AffinitySlack {
		return nil
	}
	return t
}

// twoChoices returns the least loaded of two random local targets and two random
// remote ones. RemotePenalty is added to the load of the remote ones.
func (p *Picker) twoChoices(rnd *rand.Rand) *target {
	local, localCost := lessLoaded(rnd, p.local)
	remote, remoteCost := lessLoaded(rnd, p.remote)
	if local == nil || (remote != nil && remoteCost+p.policy.RemotePenalty < localCost) {
		return remote
	}
	return local
}

// lessLoaded returns the less loaded of two distinct random targets of the pool,
// and its load.
func lessLoaded(rnd *rand.Rand, pool []*target) (*target, float64) {
	if len(pool) == 0 {
		return nil, 0
	}
	i := rnd.IntN(len(pool))
	a := pool[i]
	if len(pool) == 1 {
		return a, a.load()
	}
	j := rnd.IntN(len(pool) - 1)
	if j >= i {
		j++
	}
	if b := pool[j]; b.load() < a.load() {
		return b, b.load()
	}
	return a, a.load()
}

// highestWeight returns the target with the highest rendezvous-hashing weight for
// the key. A target that is added or removed moves only its own keys.
func highestWeight(key uint64, pools ...[]*target) *target {
	var first *target
	var highest uint64
	for _, pool := range pools {
		for _, t := range pool {
			if w := mix(key ^ t.hash); first == nil || w > highest {
				first, highest = t, w
			}
		}
	}
	return first
}
