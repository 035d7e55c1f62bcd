package poison

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// minEnded is the number of runs that must have ended, one after the other and without
	// an answer in between, before a subject gets into quarantine. minEndedInside is that
	// for ends inside answers, of a Part or a CallerPart.
	minEnded       = 3
	minEndedInside = 6
	// minGap is the time between two ends that count apart, unless the later one came under
	// a request that was sent after the earlier one. Targets that end together, for example
	// with their rack, say nothing about a request.
	minGap = 100 * time.Millisecond
	// minDarkGap is minGap for a part, if the end of the target is known only because it left
	// the list, some heartbeats later. A data centre that is cut off has many such targets.
	minDarkGap = 2 * time.Second
	// answerMemory is how long an answer at least speaks for a part: no suspicion begins.
	answerMemory = 5 * time.Second
	// maxAnswered bounds the parts that are known to be answered, for each answerMemory.
	maxAnswered = 4096
	// maxSuspects bounds the suspects. Beyond it, one that is not in quarantine is
	// forgotten: one with the fewest ends, and among these the one that was changed least
	// recently.
	maxSuspects = 4096
	// maxPartID bounds the id of a part, in bytes. Longer ones are not tracked.
	maxPartID = 64
	// firstTerm is the length of the first quarantine, and firstExactTerm that of an Exact.
	// It grows by termGrowth with each further one of the same round, up to maxTerm.
	firstTerm      = 10 * time.Minute
	firstExactTerm = 30 * time.Second
	termGrowth     = 8
	maxTerm        = 24 * time.Hour
	// untilStep is the step of the ends of quarantines. Instances that begin one at nearly
	// the same time agree on its end, and need not exchange it.
	untilStep = 10 * time.Second
	// forgetAfter is how long a record without a quarantine is kept after its last change.
	// One that had a quarantine is kept for maxTerm.
	forgetAfter = 10 * time.Minute
)

// Tracker holds the records of all suspects. The zero value has none. Its methods take the
// present time, with a monotonic reading. It is not safe for concurrent use.
type Tracker struct {
	// Self is the name of this instance, and Instances are those of all, with or without
	// this one. They take turns after a quarantine.
	Self      string
	Instances []string

	suspects map[Subject]*suspect
	// near counts the suspects of type Exact by the Near of their requests.
	near map[string]int
	// answered and answeredBefore are the parts that were answered since rotated, and in
	// the answerMemory before.
	answered, answeredBefore map[Part]struct{}
	rotated                  time.Time
}

// suspect is a subject with a record.
type suspect struct {
	Record
	// needs is what the subject's quarantine needs, and firstTerm how long the first one is.
	needs     proof
	firstTerm time.Duration
	// lastEnd is when the last end that counts happened, or became known if another
	// instance saw it.
	lastEnd time.Time
	// changed is when the record last changed.
	changed time.Time
	// held is set while the subject is known to be in quarantine.
	held bool
	// probed is the number of the last turn in which a request was let through, from 1; see
	// probe.
	probed int
}

// Event is what a change means for requests with a subject.
type Event int

// The events of changes.
const (
	// None means that such requests are served or refused as before.
	None Event = iota
	// Quarantined means that they are refused from now on.
	Quarantined
	// Cleared means that they are served again, since one was answered.
	Cleared
	// Expired means that they are tried again, since the quarantine is over.
	Expired
)

// Change is a changed record.
type Change struct {
	Subject Subject
	Record  Record
	Event   Event
}

// End is the end of a target under a request.
type End struct {
	// Run names the run of the target.
	Run string
	// Sent is when the request was sent to the target, and At when its answer broke off.
	Sent, At time.Time
	// Inside is set if the answer had begun.
	Inside bool
	// Dark is set if the target's end is known only because it left the list.
	Dark bool
}

// Ended records that a target ended under a request. It returns the changed records.
func (t *Tracker) Ended(now time.Time, end End, r Request) []Change {
	t.rotate(now)
	run := end.Run[:min(maxRun, len(end.Run))]
	var changes []Change
	for _, a := range r.subjects(end.Inside) {
		if t.wasAnswered(a.Subject) {
			continue
		}
		s := t.suspect(a.Subject)
		if s == nil {
			continue
		}
		known := s.Record
		add := Record{Round: s.Round, Ended: []string{run}}
		if a.witness != "" {
			add.Witnesses = []string{a.witness}
		}
		s.Record = s.Merge(add)
		event := None
		switch {
		case !slices.Contains(known.Ended, run):
			event = s.countEnd(now, end)
		case s.Equal(known):
			continue
		default:
			s.changed = now
			event = s.decide(now, false)
		}
		changes = append(changes, Change{a.Subject, s.Record, event})
	}
	return changes
}

// countEnd counts an end, unless it came together with the one before.
func (s *suspect) countEnd(now time.Time, end End) Event {
	s.changed = now
	apart := end.At.Sub(s.lastEnd) >= minGap || end.Sent.After(s.lastEnd)
	at := end.At
	if end.Dark && s.needs.requests > 0 {
		apart, at = now.Sub(s.lastEnd) >= minDarkGap, now
	}
	if s.Apart == 0 || apart {
		s.Apart++
		s.lastEnd = at
	}
	// After a quarantine, one more end is enough.
	return s.decide(now, s.Terms > 0)
}

// decide begins the first quarantine of the round if enough is known, or another one if
// again is set.
func (s *suspect) decide(now time.Time, again bool) Event {
	first := s.Terms == 0 && s.meets(s.needs)
	if !s.Quarantined(now) && (first || again) {
		term := s.firstTerm
		for i := 0; i < s.Terms && term < maxTerm; i++ {
			term *= termGrowth
		}
		s.Until = now.Add(min(term, maxTerm)).Truncate(untilStep).Add(untilStep).UnixMilli()
		s.Terms++
		s.probed = 0
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

// Answered records that a target answered a request: whole, or beyond the beginning of its
// answer. It returns the changed records.
func (t *Tracker) Answered(now time.Time, r Request, whole bool) []Change {
	t.rotate(now)
	var changes []Change
	acquit := func(subject Subject) {
		if s := t.suspects[subject]; s != nil && len(s.Ended) > 0 {
			s.replace(now, s.Cleared())
			changes = append(changes, Change{subject, s.Record, s.observe(now, Cleared)})
		}
	}
	for _, inside := range []bool{false, true} {
		if inside && !whole {
			break
		}
		for _, id := range r.parts(inside) {
			p := Part{r.Service, id, inside}
			if len(t.answered) < maxAnswered {
				t.answered[p] = struct{}{}
			}
			acquit(p)
			acquit(CallerPart{r.Service, r.Caller, id, inside})
		}
	}
	if whole && t.near[r.Near] > 0 {
		acquit(Exact{r.Service, r.Identity()})
	}
	return changes
}

// replace sets a record of another round.
func (s *suspect) replace(now time.Time, r Record) {
	s.Record, s.changed, s.lastEnd = r, now, now
}

// Merge adds the record of another instance. stale is set if the known record says more,
// and is to be shared again.
func (t *Tracker) Merge(now time.Time, subject Subject, r Record) (c Change, stale bool) {
	r.Until = min(r.Until, now.Add(maxTerm+untilStep).UnixMilli())
	s := t.suspect(subject)
	if s == nil {
		return Change{Subject: subject, Record: r}, false
	}
	known := s.Record
	merged := known.Merge(r)
	c = Change{Subject: subject}
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
			c.Event = s.countEnd(now, End{At: now})
		default:
			c.Event = s.decide(now, false)
		}
	}
	c.Record = s.Record
	return c, !s.Equal(r)
}

// Forget drops the record of a subject, which another instance found to be out of date. It
// returns false, and keeps the record, if the subject is in quarantine.
func (t *Tracker) Forget(now time.Time, subject Subject) bool {
	s := t.suspects[subject]
	if s == nil {
		return true
	}
	if s.Quarantined(now) {
		return false
	}
	t.remove(subject)
	return true
}

// Expire returns the quarantines that have ended, and forgets records that have not changed
// for long. It returns their subjects as forgotten.
func (t *Tracker) Expire(now time.Time) (changes []Change, forgotten []Subject) {
	for subject, s := range t.suspects {
		if e := s.observe(now, Expired); e != None {
			s.changed = now
			changes = append(changes, Change{subject, s.Record, e})
		}
		keep := forgetAfter
		if s.Terms > 0 {
			keep = maxTerm
		}
		if !s.held && now.Sub(s.changed) > keep {
			t.remove(subject)
			forgotten = append(forgotten, subject)
		}
	}
	return changes, forgotten
}

// Check returns the first subject of the request that is in quarantine, or on trial after
// one, and the time until the request may be sent. If begin is set and none is, the request
// counts as sent.
func (t *Tracker) Check(now time.Time, r Request, begin bool) (subject Subject, wait time.Duration, held bool) {
	var trials []Subject
	for subject := range t.suspected(r) {
		s := t.suspects[subject]
		if s == nil || s.Terms == 0 || len(s.Ended) == 0 {
			continue
		}
		if s.Quarantined(now) {
			return subject, time.UnixMilli(s.Until).Sub(now), true
		}
		if wait, ok := t.probe(now, subject, s, false); !ok {
			return subject, wait, true
		}
		trials = append(trials, subject)
	}
	if begin {
		for _, subject := range trials {
			t.probe(now, subject, t.suspects[subject], true)
		}
	}
	return nil, 0, false
}

// suspected yields the subjects of a request that may have a record.
func (t *Tracker) suspected(r Request) func(yield func(Subject) bool) {
	return func(yield func(Subject) bool) {
		if len(t.suspects) == 0 {
			return
		}
		if t.near[r.Near] > 0 && !yield(Exact{r.Service, r.Identity()}) {
			return
		}
		for _, inside := range []bool{false, true} {
			for _, id := range r.parts(inside) {
				if !yield(Part{r.Service, id, inside}) || !yield(CallerPart{r.Service, r.Caller, id, inside}) {
					return
				}
			}
		}
	}
}

// Empty reports whether no subject has a record.
func (t *Tracker) Empty() bool { return len(t.suspects) == 0 }

// Changes returns all records that say anything, ordered by their keys.
func (t *Tracker) Changes() []Change {
	var all []Change
	for subject, s := range t.suspects {
		if s.Round > 0 || len(s.Ended) > 0 {
			all = append(all, Change{Subject: subject, Record: s.Record})
		}
	}
	slices.SortFunc(all, func(a, b Change) int { return cmp.Compare(a.Subject.Key(), b.Subject.Key()) })
	return all
}

// Count returns the number of suspects and of those in quarantine, by service.
func (t *Tracker) Count(now time.Time) (suspected, quarantined map[string]int) {
	suspected, quarantined = make(map[string]int), make(map[string]int)
	for subject, s := range t.suspects {
		switch {
		case s.Quarantined(now):
			quarantined[Service(subject)]++
		case len(s.Ended) > 0:
			suspected[Service(subject)]++
		}
	}
	return suspected, quarantined
}

// suspect returns the suspect of a subject, which it creates if needed. It returns nil if
// all places are taken by subjects in quarantine.
func (t *Tracker) suspect(subject Subject) *suspect {
	if s := t.suspects[subject]; s != nil {
		return s
	}
	if t.suspects == nil {
		t.suspects, t.near = make(map[Subject]*suspect), make(map[string]int)
	}
	if len(t.suspects) >= maxSuspects && !t.evict() {
		return nil
	}
	s := &suspect{needs: needs(subject), firstTerm: firstTerm}
	if e, ok := subject.(Exact); ok {
		s.firstTerm = firstExactTerm
		t.near[e.near()]++
	}
	t.suspects[subject] = s
	return s
}

// near returns the Near of the requests that an Exact stands for.
func (e Exact) near() string {
	near, _, _ := strings.Cut(e.ID, "-")
	return near
}

// remove drops a suspect.
func (t *Tracker) remove(subject Subject) {
	delete(t.suspects, subject)
	if e, ok := subject.(Exact); ok {
		if t.near[e.near()]--; t.near[e.near()] <= 0 {
			delete(t.near, e.near())
		}
	}
}

// evict forgets the suspect that says least, and is neither in quarantine nor on trial.
func (t *Tracker) evict() bool {
	var least *suspect
	var subject Subject
	for other, s := range t.suspects {
		if s.Terms > 0 && len(s.Ended) > 0 {
			continue
		}
		if least == nil || cmp.Or(cmp.Compare(s.Apart, least.Apart), s.changed.Compare(least.changed)) < 0 {
			least, subject = s, other
		}
	}
	if least != nil {
		t.remove(subject)
	}
	return least != nil
}

// wasAnswered reports whether a part was answered in the last answerMemory, to any caller.
func (t *Tracker) wasAnswered(subject Subject) bool {
	var p Part
	switch s := subject.(type) {
	case Part:
		p = s
	case CallerPart:
		p = Part{s.Service, s.ID, s.Inside}
	default:
		return false
	}
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
