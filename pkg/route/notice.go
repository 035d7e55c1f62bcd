package route

import "time"

// noticeKey identifies one run of a target at one address. Another run under the same
// name, and another target at the same address, have keys of their own.
type noticeKey struct{ name, address string }

// notice is what a target has announced about itself in its responses. It outlives the
// target's entry in the list, since an entry may expire during an outage of the store
// and come back while the target still runs.
type notice struct {
	// leaving is set once the target said that it leaves.
	leaving bool
	rest    rest
	limit   rateLimit
	cold    cold
	at      time.Time
}

// noticeTTL is how long the notice of a target that is not listed is kept. It exceeds
// maxRest.
const noticeTTL = 10 * time.Minute

// noticeOf returns the notice of a listed target, which it creates if needed, or nil if
// the target is not listed.
func (p *Picker) noticeOf(now time.Time, name string) *notice {
	t := p.byName[name]
	if t == nil {
		return nil
	}
	if t.notice == nil {
		t.notice = &notice{}
		if p.notices == nil {
			p.notices = make(map[noticeKey]*notice)
		}
		p.notices[noticeKey{t.Name, t.Address}] = t.notice
		p.dropNotices(now)
	}
	t.notice.at = now
	return t.notice
}

// dropNotices drops the notices of targets that have not been listed for noticeTTL.
func (p *Picker) dropNotices(now time.Time) {
	for key, n := range p.notices {
		t := p.byName[key.name]
		if listed := t != nil && t.notice == n; !listed && now.Sub(n.at) > noticeTTL {
			delete(p.notices, key)
		}
	}
}

// Leave records that the target said in a response that it leaves. It gets no new
// attempt, whatever its entry in the list says; only a target under another name, such
// as a new run, takes work again. Leave reports whether this is news.
func (p *Picker) Leave(now time.Time, name string) bool {
	n := p.noticeOf(now, name)
	if n == nil || n.leaving {
		return false
	}
	n.leaving = true
	return true
}

// withdrawn reports whether the target's own notice forbids a new attempt now: it leaves,
// rests, or is at the limit that it named or at the pace of a cold target.
func (t *target) withdrawn(now time.Time) bool {
	return t.notice != nil && (t.notice.leaving || t.notice.rest.active(now) || t.notice.limit.blocks(now) || t.notice.cold.blocks(now))
}

// Withdrawn counts the listed targets that leave and those that rest, by their own
// notice.
func (p *Picker) Withdrawn(now time.Time) (leaving, resting int) {
	for _, t := range p.targets {
		switch {
		case t.notice == nil:
		case t.notice.leaving:
			leaving++
		case t.notice.rest.active(now):
			resting++
		}
	}
	return leaving, resting
}
