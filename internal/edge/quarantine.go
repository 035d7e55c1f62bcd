package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"github.com/beryllanding/beryllanding/internal/board"
	"github.com/beryllanding/beryllanding/internal/meter"
	"github.com/beryllanding/beryllanding/pkg/http1"
	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/poison"
)

const (
	// beginEvents is the number of events up to which a stream that breaks off counts as
	// broken at its beginning, and beyond which a prompt counts as answered.
	beginEvents = 1
	// endCheckDelay is the time after a broken beginning at which the target is checked.
	// In it, the other connections to a target that ends break too.
	endCheckDelay = 20 * time.Millisecond
	// endCheckTimeout bounds the check.
	endCheckTimeout = 400 * time.Millisecond
	// urgentDelay, clearDelay, repeatDelay and forgetDelay are ranges of random delays of
	// shared records that several instances may write at the same time. The first
	// one makes the others' needless.
	urgentDelay = 50 * time.Millisecond
	clearDelay  = time.Second
	repeatDelay = 200 * time.Millisecond
	forgetDelay = 10 * time.Second
)

// quarantine refuses requests with parts of prompts that crash targets. The zero value
// tracks what this instance sees. It is safe for concurrent use.
type quarantine struct {
	// board shares the records with other instances. It may be nil.
	board  *board.Board
	logger *log.Logger
	meter  *meter.Meter

	mu      sync.Mutex
	tracker poison.Tracker
	// checks holds, by target, the parts of the prompts whose responses broke off at their
	// beginning, until the target is checked.
	checks map[*target]map[string]bool
	// read is closed once the shared records were read for the first time. It may be nil.
	read     chan struct{}
	readOnce sync.Once
	// suspected is set while the tracker has records, so that most requests take no lock.
	suspected atomic.Bool
}

// check returns the first of the parts that is in quarantine and the time until its end.
func (q *quarantine) check(service string, parts []string) (part string, left time.Duration, held bool) {
	if len(parts) == 0 || !q.suspected.Load() {
		return "", 0, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	part, until, held := q.tracker.Check(now, service, parts)
	return part, until.Sub(now), held
}

// answered records that a target answered a prompt with these parts.
func (q *quarantine) answered(service string, parts []string) {
	if len(parts) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range q.tracker.Answered(time.Now(), service, parts) {
		delay := rand.N(clearDelay)
		if c.Event != poison.None {
			delay = rand.N(urgentDelay)
		}
		q.publish(c, delay)
	}
}

// brokeOff records that the response to a prompt with these parts broke off at its
// beginning, and checks whether the target has ended.
func (q *quarantine) brokeOff(service string, parts []string, t *target) {
	if len(parts) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	pending := q.checks[t]
	if pending == nil {
		pending = make(map[string]bool)
		if q.checks == nil {
			q.checks = make(map[*target]map[string]bool)
		}
		q.checks[t] = pending
		go q.checkEnd(service, t)
	}
	for _, id := range parts {
		pending[id] = true
	}
}

// checkEnd finds out whether a target has ended, and records it against the parts of the
// prompts that the target began to answer.
func (q *quarantine) checkEnd(service string, t *target) {
	time.Sleep(endCheckDelay)
	ended := t.refusesConnections()
	q.mu.Lock()
	defer q.mu.Unlock()
	var parts []string
	for id := range q.checks[t] {
		parts = append(parts, id)
	}
	delete(q.checks, t)
	if !ended {
		return
	}
	q.meter.TargetEnded(service)
	changes := q.tracker.Ended(time.Now(), service, parts, t.name)
	q.logf("target ended when it began to answer", "service", service, "target", t.ID, "address", t.Address, "parts", parts, "suspected", len(changes))
	for _, c := range changes {
		q.publish(c, 0)
	}
}

// refusesConnections reports whether nothing listens at the target's address any more.
func (t *target) refusesConnections() bool {
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	conn, err := t.pool.Dial(ctx)
	if err == nil {
		t.pool.Put(conn)
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED) || isTimeout(err)
}

// isConnectionEnd reports whether an attempt failed because the target's connection ended.
func isConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, http1.ErrTruncated) ||
		errors.Is(err, ErrPartialEvent) || errors.Is(err, ErrEmptyStream) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// publish logs a change and shares its record after a delay. q.mu must be held.
func (q *quarantine) publish(c poison.Change, delay time.Duration) {
	q.note(c)
	q.board.Write(c.Part.Key(), c.Record.Encode(), delay)
}

// note logs and counts a change. q.mu must be held.
func (q *quarantine) note(c poison.Change) {
	q.suspected.Store(true)
	fields := []any{"service", c.Part.Service, "part", c.Part.ID, "round", c.Record.Round}
	switch c.Event {
	case poison.Quarantined:
		q.logf("part of prompts is in quarantine; requests with it are refused", append(fields, "ended", c.Record.Ended, "until", time.UnixMilli(c.Record.Until).UTC(), "term", c.Record.Terms)...)
		q.meter.Quarantine(c.Part.Service, "begun")
	case poison.Cleared:
		q.logf("quarantine of a part of prompts ended: it was answered or released", fields...)
		q.meter.Quarantine(c.Part.Service, "cleared")
	case poison.Expired:
		q.logf("quarantine of a part of prompts expired", fields...)
		q.meter.Quarantine(c.Part.Service, "expired")
	case poison.None:
	}
}

// apply merges the records of other instances.
func (q *quarantine) apply(c keyed.Change) {
	if q.read != nil {
		defer q.readOnce.Do(func() { close(q.read) })
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	shared := make(map[poison.Part]bool)
	for _, e := range c.Entries {
		if !poison.IsKey(e.Key) {
			continue
		}
		part, err := poison.ParseKey(e.Key)
		var record poison.Record
		if err == nil && e.Value != nil {
			record, err = poison.Decode(e.Value)
		}
		if err != nil {
			q.logf("shared record is invalid; ignoring it", "key", e.Key, "offset", e.Offset, "err", err)
			continue
		}
		shared[part] = true
		q.merge(now, part, record, e)
	}
	if !c.Full {
		return
	}
	// The store has lost the other records, or never had them.
	for _, known := range q.tracker.Changes() {
		if !shared[known.Part] {
			q.publish(known, rand.N(repeatDelay))
		}
	}
}

// merge merges one record. If the known record says more, it is shared again. q.mu must be
// held.
func (q *quarantine) merge(now time.Time, part poison.Part, record poison.Record, e keyed.Entry) {
	if e.Value == nil {
		if q.tracker.Forget(now, part) {
			q.board.Cancel(e.Key)
			return
		}
	}
	c, stale := q.tracker.Merge(now, part, record)
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
	changes, forgotten := q.tracker.Expire(now)
	for _, c := range changes {
		q.note(c)
	}
	q.suspected.Store(!q.tracker.Empty())
	for _, p := range forgotten {
		q.board.Write(p.Key(), nil, rand.N(forgetDelay))
	}
}

// counts returns the number of suspected parts and of those in quarantine, by service.
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

// checkParts returns why the request is refused, or "" if no part of its prompt is in
// quarantine.
func (x *exchange) checkParts() (reason string, left time.Duration) {
	part, left, held := x.e.quarantine.check(x.service, x.parts)
	if !held {
		return "", 0
	}
	return fmt.Sprintf("part %q of the prompt is in quarantine: targets ended when they began to answer prompts with it", part), left
}

// recordBeginning tells the quarantine whether the target answered the prompt, or broke
// off when it began to.
func (x *exchange) recordBeginning(a *attempt, result attemptResult) {
	switch result := result.(type) {
	case responded:
		x.recordAnswered(a)
	case uncertain:
		if x.events-a.events <= beginEvents && isConnectionEnd(result.err) && !isCallerGone(result.err) {
			x.e.quarantine.brokeOff(x.service, x.parts, a.target)
		}
	}
}

// recordAnswered tells the quarantine, once for each attempt, that the target answered the
// prompt.
func (x *exchange) recordAnswered(a *attempt) {
	if !a.answered {
		a.answered = true
		x.e.quarantine.answered(x.service, x.parts)
	}
}
