package edge

import (
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"

	"github.com/beryllanding/beryllanding/internal/board"
	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/limit"
)

const (
	// namedDelay is the range of the delay after which an instance shares a limit that it
	// was told, or its end. changedDelay is the delay of later changes, so that a target
	// that names another limit each time causes few records.
	namedDelay   = 200 * time.Millisecond
	changedDelay = time.Second
	// maxLimits bounds the limits that are known, of targets in the list or not.
	maxLimits = 4096
	// limitTTL is how long the limit of a target that isn't in the list is kept.
	limitTTL = 10 * time.Minute
)

// limits holds the limits that targets name, and the instances that share them. It is
// guarded by fleet.mu.
type limits struct {
	// board shares the limits and the instances. It may be nil.
	board  *board.Board
	logger *log.Logger
	// self is the name of this instance.
	self    string
	known   map[string]knownLimit
	members limit.Members
	// address is that at which other instances can ask this one. It may be empty.
	address string
	// read is set once the other instances were read. Before, this instance can't know its
	// part of a limit.
	read bool
}

// knownLimit is the limit of a run of a target.
type knownLimit struct {
	limit.Record
	// since is when the limit became known here, or changed.
	since time.Time
}

// limit records the limit that the target of an attempt names in its response; 0 stands for
// none. It reports whether this is news. A response to a request that was sent before the
// present limit was known doesn't end or raise it.
func (f *fleet) limit(a *attempt, rate float64) (news bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	name, now := a.target.name, time.Now()
	known := f.limits.known[name]
	if rate == known.Rate || (known.Rate > 0 && (rate == 0 || rate > known.Rate) && !a.began.After(known.since)) {
		return false
	}
	record := limit.Record{Seq: known.Seq + 1, Rate: rate}
	if !f.setLimit(now, name, record) {
		return false
	}
	delay := rand.N(namedDelay)
	if rate > 0 && known.Rate > 0 {
		delay = changedDelay
	}
	f.limits.board.Write(limit.Key(name), record.Encode(), delay)
	return true
}

// setLimit sets the limit of a run of a target. It returns false if there is no room for
// it. f.mu must be held.
func (f *fleet) setLimit(now time.Time, name string, r limit.Record) bool {
	if _, ok := f.limits.known[name]; !ok && len(f.limits.known) >= maxLimits {
		return false
	}
	if f.limits.known == nil {
		f.limits.known = make(map[string]knownLimit)
	}
	f.limits.known[name] = knownLimit{r, now}
	for _, g := range f.groups {
		if g.byName[name] != nil {
			g.picker.Limit(now, f.rnd, name, r.Rate)
		}
	}
	return true
}

// applyLimits sets the known limits of the targets of a group. f.mu must be held.
func (f *fleet) applyLimits(g *group) {
	for name, known := range f.limits.known {
		if known.Rate > 0 && g.byName[name] != nil {
			g.picker.Limit(time.Now(), f.rnd, name, known.Rate)
		}
	}
}

// applyShared applies the limits and the instances that other instances have shared.
func (f *fleet) applyShared(c keyed.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	shared := make(map[string]bool, len(c.Entries))
	changed := false
	for _, e := range c.Entries {
		shared[e.Key] = e.Value != nil
		if name, ok := limit.ParseKey(e.Key); ok {
			f.mergeLimit(now, name, e)
			continue
		}
		instance, ok := limit.ParseMemberKey(e.Key)
		switch {
		case !ok || instance == f.limits.self:
		case e.Value == nil:
			changed = f.limits.members.Gone(instance) || changed
		default:
			changed = f.limits.members.See(now, instance, limit.ParseMember(e.Value)) || changed
		}
	}
	if c.Full {
		changed = f.retain(shared) || changed || !f.limits.read
		f.limits.read = true
	}
	if changed {
		f.shareLimits(now)
	}
}

// retain forgets the instances that the store doesn't list, and shares again what it lacks.
// It reports whether an instance was forgotten. f.mu must be held.
func (f *fleet) retain(shared map[string]bool) (changed bool) {
	for _, instance := range f.limits.members.Names() {
		switch key := limit.MemberKey(instance); {
		case shared[key]:
		case instance == f.limits.self:
			f.limits.board.Write(key, limit.MemberValue(f.limits.address), 0)
		default:
			changed = f.limits.members.Gone(instance) || changed
		}
	}
	for name, known := range f.limits.known {
		if key := limit.Key(name); !shared[key] {
			f.limits.board.Write(key, known.Encode(), rand.N(repeatDelay))
		}
	}
	return changed
}

// mergeLimit merges the limit that another instance has shared. f.mu must be held.
func (f *fleet) mergeLimit(now time.Time, name string, e keyed.Entry) {
	if e.Value == nil {
		delete(f.limits.known, name)
		return
	}
	r, err := limit.Decode(e.Value)
	if err != nil {
		if f.limits.logger != nil {
			f.limits.logger.Warn("shared record is invalid; ignoring it", "key", e.Key, "offset", e.Offset, "err", err)
		}
		return
	}
	known := f.limits.known[name]
	switch merged := known.Merge(r); {
	case merged != r:
		f.limits.board.Write(e.Key, merged.Encode(), rand.N(repeatDelay))
	case merged == known.Record:
		f.limits.board.Cancel(e.Key)
	default:
		f.limits.board.Cancel(e.Key)
		if f.setLimit(now, name, merged) && f.limits.logger != nil {
			f.limits.logger.Info("limit of a target is known from another instance", "target", name, "limit", merged.Rate, "seq", merged.Seq)
		}
	}
}

// shareLimits divides the limits, and the retries that are allowed to all instances together,
// among the known instances. f.mu must be held.
func (f *fleet) shareLimits(now time.Time) {
	if !f.limits.read {
		return
	}
	names := f.limits.members.Names()
	for _, g := range f.groups {
		g.picker.Instances(now, f.rnd, f.limits.self, names)
		g.retries.Burst = f.burst()
	}
}

// peerAddresses returns the addresses of the other instances by their names.
func (f *fleet) peerAddresses() map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limits.members.Addresses()
}

// join makes this instance known to the others. It is called at the start and then at each
// limit.RefreshInterval.
func (f *fleet) join() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.limits.members.See(now, f.limits.self, "") {
		f.shareLimits(now)
	}
	f.limits.board.Write(limit.MemberKey(f.limits.self), limit.MemberValue(f.limits.address), 0)
}

// depart makes it known that this instance ends.
func (f *fleet) depart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits.board.Write(limit.MemberKey(f.limits.self), nil, 0)
}

// expireLimits forgets instances that have been silent for long, and the limits of targets
// that are gone.
func (f *fleet) expireLimits(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	gone := f.limits.members.Expire(now)
	for _, instance := range gone {
		if instance != f.limits.self {
			f.limits.board.Write(limit.MemberKey(instance), nil, rand.N(forgetDelay))
		}
	}
	if len(gone) > 0 {
		f.shareLimits(now)
	}
	for name, known := range f.limits.known {
		if now.Sub(known.since) > limitTTL && !f.listed(name) {
			delete(f.limits.known, name)
			f.limits.board.Write(limit.Key(name), nil, rand.N(forgetDelay))
		}
	}
}

// listed reports whether a run of a target is in the list. f.mu must be held.
func (f *fleet) listed(name string) bool {
	for _, g := range f.groups {
		if g.byName[name] != nil {
			return true
		}
	}
	return false
}

// instances returns the names of the known instances, with this one.
func (f *fleet) instances() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limits.members.Names()
}
