package edge

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/beryllanding/beryllanding/pkg/http1"
	"github.com/beryllanding/beryllanding/pkg/poison"
)

const (
	// beginEvents is the number of events up to which a stream that breaks off counts as
	// broken at its beginning, and beyond which a prompt counts as answered.
	beginEvents = 1
	// endCheckDelay is the time after an answer broke off at which the target is checked.
	// In it, the other connections to a target that ends break too.
	endCheckDelay = 20 * time.Millisecond
	// endCheckTimeout bounds the check.
	endCheckTimeout = 400 * time.Millisecond
	// restartMemory is how long after an answer broke off another run at the target's
	// address, or its leaving the list, shows that the target had ended. darkMemory is that
	// for a target that fell silent, whose entry expires after some heartbeats.
	restartMemory = 5 * time.Second
	darkMemory    = 10 * time.Second
	// maxBroken bounds the attempts that wait for a sign that their target has ended.
	maxBroken = 2048
)

// brokenAttempt is an attempt whose answer broke off, or stopped, and may be what ended its
// target.
type brokenAttempt struct {
	request poison.Request
	end     poison.End
	// silence is the target's silence, or nil if the answer broke off.
	silence *silence
}

// brokenAttempts holds attempts by target until it is known whether the target has ended. It
// is guarded by quarantine.mu.
type brokenAttempts struct {
	byTarget map[*target][]brokenAttempt
	// count is the number of attempts.
	count int
	// checking are the targets that are about to be checked.
	checking map[*target]bool
}

// add adds an attempt, unless they are too many.
func (b *brokenAttempts) add(t *target, broken brokenAttempt) {
	if b.count >= maxBroken {
		return
	}
	if b.byTarget == nil {
		b.byTarget, b.checking = make(map[*target][]brokenAttempt), make(map[*target]bool)
	}
	b.byTarget[t] = append(b.byTarget[t], broken)
	b.count++
}

// take removes the attempts at a target, and returns those that are not too old.
func (b *brokenAttempts) take(now time.Time, t *target) (recent []brokenAttempt) {
	for _, broken := range b.byTarget[t] {
		b.count--
		if !broken.expired(now) {
			recent = append(recent, broken)
		}
	}
	delete(b.byTarget, t)
	return recent
}

// expired reports whether a sign that the target has ended comes too late to count, or the
// target has gone on.
func (b brokenAttempt) expired(now time.Time) bool {
	if b.silence != nil && b.silence.over.Load() {
		return true
	}
	memory := restartMemory
	if b.end.Dark {
		memory = darkMemory
	}
	return now.Sub(b.end.At) > memory
}

// expire drops the attempts that are too old.
func (b *brokenAttempts) expire(now time.Time) {
	for t := range b.byTarget {
		if recent := b.take(now, t); len(recent) > 0 {
			b.byTarget[t] = recent
			b.count += len(recent)
		}
	}
}

// suspect returns the request as far as it may be blamed. It is valid while the exchange
// lasts.
func (x *exchange) suspect() poison.Request {
	caller := ""
	if x.org != nil {
		caller = x.org.Name
	}
	return poison.Request{Service: x.service, Caller: caller, Parts: x.parts, Own: x.ownPart, Near: x.near(), Identity: x.identity}
}

// brokeOff records that an answer broke off or, if dark is set, stopped. It finds out
// whether the target has ended.
func (q *quarantine) brokeOff(x *exchange, a *attempt, dark bool) {
	request, id := x.suspect(), x.identity()
	request.Identity = func() string { return id }
	broken := brokenAttempt{request: request, end: poison.End{
		Run: a.target.name, Sent: a.began, At: time.Now(), Inside: x.events-a.events > beginEvents, Dark: dark,
	}}
	if dark {
		broken.silence = a.silence
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if a.target.gone.Load() {
		q.recordEnd(a.target, []brokenAttempt{broken})
		return
	}
	q.broken.add(a.target, broken)
	if !dark && !q.broken.checking[a.target] {
		q.broken.checking[a.target] = true
		time.AfterFunc(endCheckDelay, func() { q.checkEnd(a.target) })
	}
}

// checkEnd finds out whether a target has ended. If nothing listens at its address, it has;
// else its next run, which may have begun already, will show it.
func (q *quarantine) checkEnd(t *target) {
	ended := t.refusesConnections()
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.broken.checking, t)
	if ended {
		q.recordEnd(t, q.broken.take(time.Now(), t))
	}
}

// targetEnded records that a target has ended: another run is at its address, or nothing
// listens there.
func (q *quarantine) targetEnded(t *target) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recordEnd(t, q.broken.take(time.Now(), t))
}

// recordEnd blames the end of a target on the requests that broke off. q.mu must be held.
func (q *quarantine) recordEnd(t *target, broken []brokenAttempt) {
	if len(broken) == 0 {
		return
	}
	q.meter.TargetEnded(t.Service)
	suspected := 0
	identities := make([]string, 0, maxLoggedParts)
	for _, b := range broken {
		if id := b.request.Identity(); len(identities) < maxLoggedParts {
			identities = append(identities, id)
		}
		for _, c := range q.tracker.Ended(time.Now(), b.end, b.request) {
			suspected++
			q.publish(c, 0)
		}
	}
	q.logf("target ended under requests", "service", t.Service, "target", t.ID, "address", t.Address,
		"identities", identities, "requests", len(broken), "suspected", suspected)
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
	return isRefused(err) || isTimeout(err)
}

// isRefused reports whether a connection failed because nothing listens at the address.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// isConnectionEnd reports whether an attempt failed because the target's connection ended.
func isConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, http1.ErrTruncated) ||
		errors.Is(err, ErrPartialEvent) || errors.Is(err, ErrEmptyStream) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
