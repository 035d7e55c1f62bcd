package route

import (
	"math"
	"math/rand/v2"
	"time"
)

// Prompt is the size of a request's prompt in tokens.
type Prompt struct {
	// Own is the number of tokens that no other request shares.
	Own int64
	// Shared is the number of tokens in the prefix, which all requests with the
	// same Request.Prefix share. A target that read the prefix recently has it in its
	// cache and does not read it again.
	Shared int64
}

const (
	// defaultTokensPerMs is the order of magnitude of an engine's prefill speed.
	// target.excessLatency corrects for a target that is slower.
	defaultTokensPerMs = 50
	// defaultRequestMs is the time in ms by which one more request in the batch slows
	// down the prefill of a prompt.
	defaultRequestMs = 1.5
	// defaultRemoteMs is the time of a few round trips between data centres.
	defaultRemoteMs = 15
	// cacheMissWeight is the weight of prefix tokens that a target has to read although
	// another one has them in its cache. Reading them again takes memory and time from
	// all requests at the target, so a longer wait at a target with these tokens in its
	// cache is better overall. A weight of 1 overloads targets with reading the same
	// prefixes. A weight of 4 sends too many requests to the targets that hold a
	// prefix.
	cacheMissWeight = 3
	// easyMissWeight is the weight while first tokens come as early as estimated: a wait at a
	// target with these tokens is short then. slackMs is the mean delay in ms from which
	// cacheMissWeight applies.
	easyMissWeight = 7
	slackMs        = 40
	// waitingCostMs is the cost in ms of each request that already waits at the target.
	// Such a request is served before a new one, and shows that the target is full.
	waitingCostMs = 20
	// faultCostMs is the cost in ms of an attempt that is certain to fail: it stands
	// for the delay until another attempt.
	faultCostMs = 1500
	// excessDecay and faultDecay are the time constants of the exponential decay
	// of past observations. Load changes within seconds. A target that fails some
	// of its requests is tried again after some seconds.
	excessDecay = 3 * time.Second
	faultDecay  = 6 * time.Second
	// slowdownDecay is that of reported slowdowns. A report tells little about a request
	// that is sent a second later.
	slowdownDecay = time.Second
	// maxSlowdown bounds a reported slowdown, so that a wrong value doesn't withdraw the
	// target.
	maxSlowdown = 10
	// observeWeight is the weight of the newest observation in a decayingMean.
	observeWeight = 0.3
	// prefixTTL is how long a prefix is assumed to stay in a target's cache.
	prefixTTL = 20 * time.Second
	// targetsPerPrefix is the maximum number of targets stored for a prefix, and
	// maxPrefixes is the maximum number of prefixes.
	targetsPerPrefix = 4
	maxPrefixes      = 4096
	// compareAllLimit is the number of candidates up to which all are compared.
	// Above it, a few are sampled at random. This keeps instances with the same
	// reports from all picking the same target.
	compareAllLimit = 6
	// sampleSize is the number of random candidates among the local targets, and
	// likewise among the remote ones.
	sampleSize = 2
)

// decayingMean is an exponential moving average that decays to zero over time.
type decayingMean struct {
	value float64
	at    time.Time
}

// valueAt returns the value, decayed with the time constant.
func (d decayingMean) valueAt(now time.Time, constant time.Duration) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp(-max(0, now.Sub(d.at).Seconds())/constant.Seconds())
}

// add adds the observation v.
func (d *decayingMean) add(now time.Time, constant time.Duration, v float64) {
	old := d.valueAt(now, constant)
	*d = decayingMean{value: old + observeWeight*(v-old), at: now}
}

// prefixIndex holds the targets that read each prefix recently.
type prefixIndex struct {
	entries map[uint64]*[targetsPerPrefix]prefixUse
}

type prefixUse struct {
	target *target
	at     time.Time
}

// add records that the target reads the prefix. If targetsPerPrefix targets are stored
// for the prefix, the target replaces the oldest one.
func (m *prefixIndex) add(prefix uint64, t *target, now time.Time) {
	if prefix == 0 {
		return
	}
	if m.entries == nil || len(m.entries) >= maxPrefixes {
		// Clearing the whole index is simple, and rare: once in maxPrefixes
		// prefixes, some prompts are read again.
		m.entries = make(map[uint64]*[targetsPerPrefix]prefixUse)
	}
	uses := m.entries[prefix]
	if uses == nil {
		uses = &[targetsPerPrefix]prefixUse{}
		m.entries[prefix] = uses
	}
	oldest := 0
	for i := range uses {
		if uses[i].target == t {
			uses[i].at = now
			return
		}
		if uses[i].at.Before(uses[oldest].at) {
			oldest = i
		}
	}
	uses[oldest] = prefixUse{target: t, at: now}
}

// has reports whether the target read the prefix within the last prefixTTL.
func (m *prefixIndex) has(prefix uint64, t *target, now time.Time) bool {
	uses := m.entries[prefix]
	if uses == nil {
		return false
	}
	for i := range uses {
		if uses[i].target == t {
			return now.Sub(uses[i].at) < prefixTTL
		}
	}
	return false
}

// cheapest returns the candidate with the lowest estimated time to the first
// token. It compares the home of the request's prefix, which is the target with
// the highest rendezvous weight; the targets that read the prefix recently; cold targets,
// which few instances may send to; and all candidates or, above compareAllLimit, those that
// read no prompt now and a random sample.
func (p *Picker) cheapest(now time.Time, rnd *rand.Rand, req Request) *target {
	var home, best *target
	least := math.Inf(1)
	consider := func(t *target) {
		if c := p.cost(now, t, req, t == home); c < least {
			best, least = t, c
		}
	}
	if req.Prefix != 0 && !p.policy.NoAffinity {
		home = highestWeight(req.Prefix, p.local, p.remote)
		consider(home)
		if uses := p.recent.entries[req.Prefix]; uses != nil {
			for i := range uses {
				if t := uses[i].target; t != nil && p.isCandidate(t) {
					consider(t)
				}
			}
		}
	}
	for _, t := range p.cold {
		consider(t)
	}
	for _, pool := range [][]*target{p.local, p.remote} {
		if len(p.local)+len(p.remote) <= compareAllLimit {
			for _, t := range pool {
				consider(t)
			}
			continue
		}
		if p.usesPace(req) {
			for _, t := range pool {
				if t.pace.isFree(now) {
					consider(t)
				}
			}
		}
		for range min(sampleSize, len(pool)) {
			consider(pool[rnd.IntN(len(pool))])
		}
	}
	return best
}

// missWeight returns the weight of prefix tokens that a target has to read although another one
// has them in its cache. It falls with the delay of first tokens at all targets.
func (p *Picker) missWeight(now time.Time) float64 {
	if p.policy.NoEasyWeight {
		return cacheMissWeight
	}
	easy := max(0, 1-p.excess.valueAt(now, excessDecay)/slackMs)
	return cacheMissWeight + (easyMissWeight-cacheMissWeight)*easy
}

// usesPace reports whether the pace of events matters to the request: only prompts are read.
func (p *Picker) usesPace(req Request) bool { return !p.policy.NoEventPace && req.Prompt.Own > 0 }

// isCandidate reports whether collect found the target.
func (p *Picker) isCandidate(t *target) bool {
	for _, pool := range [][]*target{p.local, p.remote} {
		for _, other := range pool {
			if other == t {
				return true
			}
		}
	}
	return false
}

// cost estimates the time in ms to the first token at the target, with penalties for
// reading a prefix again, for waiting requests, for prompts being read, for past failures and
// for a remote data centre. The home of a prefix is not charged for reading the prefix, because the
// prefix is to be cached there.
func (p *Picker) cost(now time.Time, t *target, req Request, home bool) float64 {
	tokens := t.prefillTokens + float64(req.Prompt.Own)
	if !home && !p.recent.has(req.Prefix, t, now) {
		tokens += p.missWeight(now) * float64(req.Prompt.Shared)
	}
	c := (tokens/p.policy.TokensPerMs + t.load()*p.policy.RequestMs) * (1 + t.slowdown.valueAt(now, slowdownDecay))
	c += t.waiting * waitingCostMs
	c += t.excessLatency.valueAt(now, excessDecay) + faultCostMs*t.faultRate.valueAt(now, faultDecay)
	if t.DataCentre != p.DataCentre {
		c += p.policy.RemoteMs
	}
	if p.usesPace(req) {
		c += t.pace.cost(now)
	}
	return c
}

// Attempt records what an attempt adds to the load of its target, until the first
// token. Begin returns it, and the caller passes it to FirstToken.
type Attempt struct {
	Target        string
	Prefix        uint64
	prefillTokens float64
	// expectedMs is the estimated time to the first token in ms, from the load
	// alone.
	expectedMs float64
	startedAt  time.Time
	// lastEvents is when events of the stream last arrived, or zero.
	lastEvents time.Time
}

// Begin records that an attempt was sent to the target, as AttemptStarted does. It also
// records the tokens that the target has to read for the attempt.
func (p *Picker) Begin(now time.Time, name string, req Request) Attempt {
	p.init()
	p.AttemptStarted(name)
	a := Attempt{Target: name, Prefix: req.Prefix, startedAt: now}
	t := p.byName[name]
	if t == nil {
		return a
	}
	if t.notice != nil {
		t.notice.limit.take(now)
		t.notice.cold.pace.take(now)
	}
	a.prefillTokens = float64(req.Prompt.Own)
	if !p.recent.has(req.Prefix, t, now) {
		a.prefillTokens += float64(req.Prompt.Shared)
	}
	a.expectedMs = (t.prefillTokens+a.prefillTokens)/p.policy.TokensPerMs + t.load()*p.policy.RequestMs + t.waiting*waitingCostMs
	t.prefillTokens += a.prefillTokens
	p.recent.add(req.Prefix, t, now)
	return a
}

// FirstToken records the first token of an attempt, or the attempt's end without a
// first token. ok is set if there was a first token. The time by which the token was
// later than estimated is then added to the cost of the target, and decays. Only the
// first call for an attempt has an effect.
func (p *Picker) FirstToken(now time.Time, a *Attempt, ok bool) {
	t := p.byName[a.Target]
	if t == nil || a.startedAt.IsZero() {
		return
	}
	t.prefillTokens = max(0, t.prefillTokens-a.prefillTokens)
	if ok {
		took := float64(now.Sub(a.startedAt).Microseconds()) / 1000
		late := max(0, took-a.expectedMs)
		t.excessLatency.add(now, excessDecay, late)
		p.excess.add(now, excessDecay, late)
		if t.notice != nil {
			t.notice.rest.responded(now)
		}
	}
	a.startedAt = time.Time{}
}

// RecordResult records whether the target failed a request that it had accepted.
func (p *Picker) RecordResult(now time.Time, name string, failed bool) {
	t := p.byName[name]
	if t == nil {
		return
	}
	v := 0.0
	if failed {
		v = 1
	}
	t.faultRate.add(now, faultDecay, v)
}
