package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/beryllanding/beryllanding/internal/board"
	"github.com/beryllanding/beryllanding/internal/meter"
	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/poison"
)

const (
	// urgentDelay, clearDelay, repeatDelay and forgetDelay are ranges of random delays of
	// shared records that several instances may write at the same time. The first
	// one makes the others' needless.
	urgentDelay = 50 * time.Millisecond
	clearDelay  = time.Second
	repeatDelay = 200 * time.Millisecond
	forgetDelay = 10 * time.Second
)

// quarantine refuses requests that crash targets, and those with parts of prompts that do.
// The zero value tracks what this instance sees. It is safe for concurrent use.
type quarantine struct {
	// board shares the records with other instances. It may be nil.
	board  *board.Board
	logger *log.Logger
	meter  *meter.Meter
	// off is set if nothing is refused.
	off bool

	mu      sync.Mutex
	tracker poison.Tracker
	broken  brokenAttempts
	// read is closed once the shared records were read for the first time. It may be nil.
	read     chan struct{}
	readOnce sync.Once
	// suspected is set while the tracker has records, so that most requests take no lock.
	suspected atomic.Bool
}

// check returns why the request must not be sent, and the time until it may be. held is false
// if it may be sent now. If begin is set, it then counts as sent.
func (q *quarantine) check(r poison.Request, begin bool) (reason string, left time.Duration, held bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	subject, left, held := q.tracker.Check(time.Now(), r, begin)
	if !held {
		return "", 0, false
	}
	return poison.Describe(subject) + " is in quarantine: targets ended under such requests", left, true
}

// answered records that a target answered a request: whole, or beyond the beginning of its
// answer.
func (q *quarantine) answered(r poison.Request, whole bool) {
	if len(r.Parts) == 0 && r.Own == "" && !q.suspected.Load() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range q.tracker.Answered(time.Now(), r, whole) {
		delay := rand.N(clearDelay)
		if c.Event != poison.None {
			delay = rand.N(urgentDelay)
		}
		q.publish(c, delay)
	}
}

// setInstances sets the names of this instance and of all.
func (q *quarantine) setInstances(self string, all []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker.Self, q.tracker.Instances = self, all
}

// publish logs a change and shares its record after a delay. q.mu must be held.
func (q *quarantine) publish(c poison.Change, delay time.Duration) {
	q.note(c)
	q.board.Write(c.Subject.Key(), c.Record.Encode(), delay)
}

// note logs and counts a change. q.mu must be held.
func (q *quarantine) note(c poison.Change) {
	q.suspected.Store(true)
	fields := append(subjectFields(c.Subject), "round", c.Record.Round)
	switch c.Event {
	case poison.Quarantined:
		q.logf(quarantinedMessage(c.Subject), append(fields, "ended", c.Record.Ended, "until", time.UnixMilli(c.Record.Until).UTC(), "term", c.Record.Terms)...)
		q.meter.Quarantine(poison.Service(c.Subject), "begun")
	case poison.Cleared:
		q.logf("quarantine ended: a request was answered, or it was released", fields...)
		q.meter.Quarantine(poison.Service(c.Subject), "cleared")
	case poison.Expired:
		q.logf("quarantine expired; requests are tried again, few at first", fields...)
		q.meter.Quarantine(poison.Service(c.Subject), "expired")
	case poison.None:
	}
}

// quarantinedMessage returns the line for the begin of a quarantine.
func quarantinedMessage(s poison.Subject) string {
	switch s.(type) {
	case poison.CallerPart:
		return "part of a caller's prompts is in quarantine; the caller's requests with it are refused"
	case poison.Exact:
		return "request is in quarantine; its repeats are refused"
	}
	return "part of prompts is in quarantine; requests with it are refused"
}

// subjectFields returns the fields that name a subject in a log line.
func subjectFields(s poison.Subject) []any {
	switch s := s.(type) {
	case poison.Part:
		return []any{"service", s.Service, "part", s.ID, "inside", s.Inside}
	case poison.CallerPart:
		return []any{"service", s.Service, "organisation", s.Caller, "part", s.ID, "inside", s.Inside}
	case poison.Exact:
		return []any{"service", s.Service, "identity", s.ID}
	}
	return nil
}

// apply merges the records of other instances.
func (q *quarantine) apply(c keyed.Change) {
	if q.read != nil {
		defer q.readOnce.Do(func() { close(q.read) })
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	shared := make(map[poison.Subject]bool)
	for _, e := range c.Entries {
		if !poison.IsKey(e.Key) {
			continue
		}
		subject, err := poison.ParseKey(e.Key)
		var record poison.Record
		if err == nil && e.Value != nil {
			record, err = poison.Decode(e.Value)
		}
		if err != nil {
			q.logf("shared record is invalid; ignoring it", "key", e.Key, "offset", e.Offset, "err", err)
			continue
		}
		shared[subject] = true
		q.merge(now, subject, record, e)
	}
	if !c.Full {
		return
	}
	// The store has lost the other records, or never had them.
	for _, known := range q.tracker.Changes() {
		if !shared[known.Subject] {
			q.publish(known, rand.N(repeatDelay))
		}
	}
}

// merge merges one record. If the known record says more, it is shared again. q.mu must be
// held.
func (q *quarantine) merge(now time.Time, subject poison.Subject, record poison.Record, e keyed.Entry) {
	if e.Value == nil {
		if q.tracker.Forget(now, subject) {
			q.board.Cancel(e.Key)
			return
		}
	}
	c, stale := q.tracker.Merge(now, subject, record)
	switch {
	case stale:
		q.publish(c, rand.N(repeatDelay))
	default:
		q.note(c)
		q.board.Cancel(e.Key)
	}
}

// expire ends quarantines that are over, and forgets old records.
func (q *quarantine) expire(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.broken.expire(now)
	changes, forgotten := q.tracker.Expire(now)
	for _, c := range changes {
		q.note(c)
	}
	q.suspected.Store(!q.tracker.Empty())
	for _, subject := range forgotten {
		q.board.Write(subject.Key(), nil, rand.N(forgetDelay))
	}
}

// counts returns the number of suspects and of those in quarantine, by service.
func (q *quarantine) counts() (suspected, quarantined map[string]int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.Count(time.Now())
}

func (q *quarantine) logf(msg string, fields ...any) {
	if q.logger != nil {
		q.logger.Warn(msg, fields...)
	}
}

// awaitRead waits until the shared records were read for the first time, or until the
// context ends.
func (q *quarantine) awaitRead(ctx context.Context) {
	if q.read == nil {
		return
	}
	select {
	case <-q.read:
	case <-ctx.Done():
	}
}

// checkQuarantine returns why the request must not be sent to a target, or "", and the time
// until it may be. If begin is set and it may be, the request counts as sent.
func (x *exchange) checkQuarantine(begin bool) (reason string, left time.Duration) {
	if x.e.quarantine.off || !x.e.quarantine.suspected.Load() {
		return "", 0
	}
	reason, left, _ = x.e.quarantine.check(x.suspect(), begin)
	return reason, left
}

// recordBlame tells the quarantine whether the target answered the request, broke off or
// fell silent.
func (x *exchange) recordBlame(a *attempt, result attemptResult) {
	q := &x.e.quarantine
	switch result := result.(type) {
	case responded:
		q.answered(x.suspect(), true)
	case notRun:
		if result.status == statusMisdirected || isRefused(result.err) {
			q.targetEnded(a.target)
		}
	case uncertain:
		switch gone := isCallerGone(result.err); {
		case errors.Is(result.err, errNotNeeded), errors.Is(result.err, ErrStopping):
		case !gone && isConnectionEnd(result.err):
			q.brokeOff(x, a, false)
		case errors.Is(result.err, ErrSilent), (gone || isTimeout(result.err)) && x.e.fleet.silentFor(a.target, a.began) > suspectAfter:
			x.suspectSilent(a)
		}
	}
}

// suspectSilent tells the quarantine that a target fell silent. It takes that back if the
// target sends a byte.
func (x *exchange) suspectSilent(a *attempt) {
	if a.silence == nil {
		a.silence = &silence{}
		x.e.quarantine.brokeOff(x, a, true)
	}
}

// recordAnswered tells the quarantine, once for each attempt, that the target answered the
// prompt beyond its beginning.
func (x *exchange) recordAnswered(a *attempt) {
	if !a.answered {
		a.answered = true
		x.e.quarantine.answered(x.suspect(), false)
	}
}
