package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minEnded is the number of runs that must have ended, one after the other and without
	// an answer in between, before a part gets into quarantine.
	minEnded = 3
	// minGap is the time between two ends that count apart. Targets that end together, for
	// example with their rack, say nothing about a prompt.
	minGap = 100 * time.Millisecond
	// answerMemory is how long an answer at least speaks for a part: no suspicion begins.
	answerMemory = 5 * time.Second
	// maxAnswered bounds the parts that are known to be answered, for each answerMemory.
	maxAnswered = 4096
	// maxSuspects bounds the suspected parts. Beyond it, the one that was changed least
	// recently and is not in quarantine is forgotten.
	maxSuspects = 1024
	// maxPartID bounds the id of a part, in bytes. Longer ones are not tracked.
	maxPartID = 64
	// firstTerm is the length of the first quarantine. It doubles with each further one of
	// the same round, up to maxTerm.
	firstTerm = 10 * time.Minute
	maxTerm   = 24 * time.Hour
	// untilStep is the step of the ends of quarantines. Instances that begin one at nearly
	// the same time agree on its end, and need not exchange it.
	untilStep = 10 * time.Second
	// forgetAfter is how long a record without a quarantine is kept after its last change.
	forgetAfter = 10 * time.Minute
)

// Tracker holds the records of all suspected parts. The zero value has none. Its methods
// take the present time, with a monotonic reading. It is not safe for concurrent use.
type Tracker struct {
	suspects map[Part]*suspect
	// answered and answeredBefore are the parts that were answered since rotated, and in
	// the answerMemory before.
	answered, answeredBefore map[Part]struct{}
	rotated                  time.Time
}

// suspect is a part with a record.
type suspect struct {
	Record
	// lastEnd is when the last end that counts became known.
	lastEnd time.Time
	// changed is when the record last changed.
	changed time.Time
	// held is set while the part is known to be in quarantine.
	held bool
}

// Event is what a change means for requests with a part.
type Event int

// The events of changes.
const (
	// None means that requests with the part are served or refused as before.
	None Event = iota
	// Quarantined means that they are refused from now on.
	Quarantined
	// Cleared means that they are served again, since the part was answered.
	Cleared
	// Expired means that they are served again, since the quarantine is over.
	Expired
)

// Change is a changed record.
type Change struct {
	Part   Part
	Record Record
	Event  Event
}

// Ended records that a run of a target ended when it began to answer prompts with these
// parts. It returns the changed records.
func (t *Tracker) Ended(now time.Time, service string, parts []string, run string) []Change {
	t.rotate(now)
	run = run[:min(maxRun, len(run))]
	var changes []Change
	for _, id := range parts {
		p := Part{service, id}
		if id == "" || len(id) > maxPartID || t.wasAnswered(p) {
			continue
		}
		s := t.suspect(p)
		if s == nil || slices.Contains(s.Ended, run) {
			continue
		}
		s.Record = s.Merge(Record{Round: s.Round, Ended: []string{run}})
		event := s.countEnd(now)
		changes = append(changes, Change{p, s.Record, event})
	}
	return changes
}

// countEnd counts an end, unless another one became known less than minGap before.
func (s *suspect) countEnd(now time.Time) Event {
	s.changed = now
	if s.Apart == 0 || now.Sub(s.lastEnd) >= minGap {
		s.Apart++
		s.lastEnd = now
	}
	// After a quarantine, one more end is enough.
	return s.decide(now, s.Terms > 0)
}

// decide begins the first quarantine of the round if enough ends are known, or another one
// if again is set.
func (s *suspect) decide(now time.Time, again bool) Event {
	first := s.Terms == 0 && s.Apart >= minEnded && len(s.Ended) >= minEnded
	if !s.Quarantined(now) && (first || again) {
		term := maxTerm
		if s.Terms < 16 { // Larger shifts could overflow.
			term = min(maxTerm, firstTerm<<s.Terms)
		}
		s.Until = now.Add(term).Truncate(untilStep).Add(untilStep).UnixMilli()
		s.Terms++
	}
	return s.observe(now, Cleared)
}

// observe returns whether a quarantine has begun or ended since the last call. end is the
// event of an end.
func (s *suspect) observe(now time.Time, end Event) Event {
	held := s.held
	s.held = s.Quarantined(now)
	switch {
	case s.held == held:
		return None
	case s.held:
		return Quarantined
	}
	return end
}

// Answered records that a target answered a prompt with these parts beyond its beginning.
// It returns the changed records.
func (t *Tracker) Answered(now time.Time, service string, parts []string) []Change {
	t.rotate(now)
	var changes []Change
	for _, id := range parts {
		if id == "" || len(id) > maxPartID {
			continue
		}
		p := Part{service, id}
		if len(t.answered) < maxAnswered {
			t.answered[p] = struct{}{}
		}
		s := t.suspects[p]
		if s == nil || len(s.Ended) == 0 {
			continue
		}
		s.replace(now, s.Cleared())
		changes = append(changes, Change{p, s.Record, s.observe(now, Cleared)})
	}
	return changes
}

// replace sets a record of another round.
func (s *suspect) replace(now time.Time, r Record) {
	s.Record, s.changed, s.lastEnd = r, now, now
}

// Merge adds the record of another instance. stale is set if the known record says more,
// and is to be shared again.
func (t *Tracker) Merge(now time.Time, p Part, r Record) (c Change, stale bool) {
	r.Until = min(r.Until, now.Add(maxTerm+untilStep).UnixMilli())
	s := t.suspect(p)
	if s == nil {
		return Change{Part: p, Record: r}, false
	}
	known := s.Record
	merged := known.Merge(r)
	c = Change{Part: p}
	switch {
	case merged.Round != known.Round || s.changed.IsZero():
		s.replace(now, merged)
		c.Event = s.decide(now, false)
	case !merged.Equal(known):
		s.Record, s.changed = merged, now
		switch {
		case merged.Apart > known.Apart: // The other instance has counted its end.
			s.lastEnd = now
			c.Event = s.decide(now, false)
		case len(merged.Ended) > len(known.Ended):
			c.Event = s.countEnd(now)
		default:
			c.Event = s.observe(now, Cleared)
		}
	}
	c.Record = s.Record
	return c, !s.Equal(r)
}

// Forget drops the record of a part, which another instance found to be out of date. It
// returns false, and keeps the record, if the part is in quarantine.
func (t *Tracker) Forget(now time.Time, p Part) bool {
	s := t.suspects[p]
	if s == nil {
		return true
	}
	if s.Quarantined(now) {
		return false
	}
	delete(t.suspects, p)
	return true
}

// Expire returns the quarantines that have ended, and forgets records without a quarantine
// that have not changed for forgetAfter. It returns their parts as forgotten.
func (t *Tracker) Expire(now time.Time) (changes []Change, forgotten []Part) {
	for p, s := range t.suspects {
		if e := s.observe(now, Expired); e != None {
			s.changed = now
			changes = append(changes, Change{p, s.Record, e})
		}
		if !s.held && now.Sub(s.changed) > forgetAfter {
			delete(t.suspects, p)
			forgotten = append(forgotten, p)
		}
	}
	return changes, forgotten
}

// Check returns the first of the parts that is in quarantine, and the end of that.
func (t *Tracker) Check(now time.Time, service string, parts []string) (part string, until time.Time, held bool) {
	for _, id := range parts {
		if s := t.suspects[Part{service, id}]; s != nil && s.Quarantined(now) {
			return id, time.UnixMilli(s.Until), true
		}
	}
	return "", time.Time{}, false
}

// Empty reports whether no part has a record.
func (t *Tracker) Empty() bool { return len(t.suspects) == 0 }

// Changes returns all records that say anything, ordered by their parts.
func (t *Tracker) Changes() []Change {
	var all []Change
	for p, s := range t.suspects {
		if s.Round > 0 || len(s.Ended) > 0 {
			all = append(all, Change{Part: p, Record: s.Record})
		}
	}
	slices.SortFunc(all, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Part.Service, b.Part.Service), cmp.Compare(a.Part.ID, b.Part.ID))
	})
	return all
}

// Count returns the number of suspected parts and of those in quarantine, by service.
func (t *Tracker) Count(now time.Time) (suspected, quarantined map[string]int) {
	suspected, quarantined = make(map[string]int), make(map[string]int)
	for p, s := range t.suspects {
		switch {
		case s.Quarantined(now):
			quarantined[p.Service]++
		case len(s.Ended) > 0:
			suspected[p.Service]++
		}
	}
	return suspected, quarantined
}

// suspect returns the suspect of a part, which it creates if needed. It returns nil if all
// places are taken by parts in quarantine.
func (t *Tracker) suspect(p Part) *suspect {
	if s := t.suspects[p]; s != nil {
		return s
	}
	if t.suspects == nil {
		t.suspects = make(map[Part]*suspect)
	}
	if len(t.suspects) >= maxSuspects && !t.evict() {
		return nil
	}
	s := &suspect{}
	t.suspects[p] = s
	return s
}

// evict forgets the part that was changed least recently and is not in quarantine.
func (t *Tracker) evict() bool {
	var oldest *suspect
	var part Part
	for p, s := range t.suspects {
		if !s.held && (oldest == nil || s.changed.Before(oldest.changed)) {
			oldest, part = s, p
		}
	}
	delete(t.suspects, part)
	return oldest != nil
}

// wasAnswered reports whether the part was answered in the last answerMemory.
func (t *Tracker) wasAnswered(p Part) bool {
	_, now := t.answered[p]
	_, before := t.answeredBefore[p]
	return now || before
}

// rotate drops the answers that are older than twice answerMemory.
func (t *Tracker) rotate(now time.Time) {
	switch age := now.Sub(t.rotated); {
	case t.answered == nil || age >= 2*answerMemory:
		t.answered, t.answeredBefore = make(map[Part]struct{}), nil
	case age >= answerMemory:
		t.answered, t.answeredBefore = make(map[Part]struct{}), t.answered
	default:
		return
	}
	t.rotated = now
}
