package edge

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/beryllanding/beryllanding/pkg/http1"
)

// errNotNeeded reports a standby whose request's current target went on.
var errNotNeeded = errors.New("the silent target went on, the standby is not needed")

// What became of standbys, in the metrics.
const (
	standbyTookOver  = "took-over"
	standbyNotNeeded = "not-needed"
	standbyNotTaken  = "not-taken"
	standbyFailed    = "failed"
	standbyBroken    = "broken"
	standbySilent    = "silent"
	standbyNone      = "none"
	standbyUnpaid    = "no-retries"
)

// standBy asks another target to take over from one that is silent. The current leg stays open
// meanwhile; if the other target is silent too, a further one may be asked in the same way. Once
// one has begun to answer, its leg is set as x.standby, and standBy returns ErrSilent, or the
// error with which the current connection ended. If it returns nil, the current target has gone
// on, or has to be waited for.
func (x *exchange) standBy(current *leg) error {
	defer func() { current.asked = time.Now() }()
	x.suspectSilent(current.attempt)
	a, outcome, why := x.chooseStandby()
	if a == nil {
		x.e.Meter.Standby(x.service, outcome)
		x.logWaiting(current, why)
		return nil
	}
	ctx, cancel := context.WithCancel(current.ctx)
	defer cancel()
	heard, err := current.listen(x.deadline, cancel)
	if err != nil {
		x.e.fleet.done(x.service, a, notRun{err: ErrWithdrawn})
		return err
	}
	x.retry.standbyOpened()
	stopLog := x.logIfSlow(a)
	next, result := x.connect(ctx, a)
	if next != nil {
		result = x.containedAnswer(next)
	}
	went := heard()
	stopLog()
	if result == nil && !went && next.unwatch() {
		next.watch(x.ctx)
		x.standby = next
		x.e.Meter.Standby(x.service, standbyTookOver)
		return errors.Join(ErrSilent, current.err)
	}
	if next != nil {
		x.release(next, result)
	}
	if went || result == nil {
		result = standbyResult(result)
	}
	x.retry.standbyEnded(result)
	x.e.Meter.Standby(x.service, standbyOutcome(result))
	x.endAttempt(a, result)
	if x.standby != nil { // A further target has taken over from both.
		return errors.Join(ErrSilent, current.err)
	}
	return current.err
}

// standbyResult is the result of a standby that is closed because the current target went on.
// What its target had said before stands.
func standbyResult(result attemptResult) attemptResult {
	if r, ok := result.(notRun); ok {
		if !r.sent {
			r.err = ErrWithdrawn
		}
		return r
	}
	return uncertain{err: errNotNeeded}
}

func standbyOutcome(result attemptResult) string {
	switch result := result.(type) {
	case notRun:
		return standbyNotTaken
	case uncertain:
		switch {
		case errors.Is(result.err, errNotNeeded):
			return standbyNotNeeded
		case errors.Is(result.err, ErrSilent):
			return standbySilent
		}
		return standbyBroken
	}
	return standbyFailed
}

// chooseStandby chooses another target and pays the retry. If there is none, it returns the
// outcome and the reason.
func (x *exchange) chooseStandby() (a *attempt, outcome, reason string) {
	if reason, _ := x.checkQuarantine(true); reason != "" {
		return nil, standbyNone, reason
	}
	a, err := x.e.fleet.pick(x.service, x.pickRequest)
	if err != nil {
		return nil, standbyNone, err.Error()
	}
	if slices.Contains(x.pickRequest.Exclude, a.target.name) {
		x.e.fleet.done(x.service, a, notRun{err: ErrWithdrawn})
		return nil, standbyNone, "all targets were tried"
	}
	allowed := x.e.fleet.takeRetry(x.service)
	x.e.Meter.Retry(x.service, allowed)
	if !allowed {
		x.e.fleet.done(x.service, a, notRun{err: ErrWithdrawn})
		return nil, standbyUnpaid, "budget of retries is used up"
	}
	x.noteAttempt(a)
	return a, "", ""
}

// listen waits in the background for a byte of the silent connection, up to a moment, and calls
// wake when one arrives, or when the connection's end completes the response. The returned
// function ends the wait, and reports whether wake was called. If the connection ends otherwise,
// its error is kept in l.err, and is not io.EOF.
func (l *leg) listen(until time.Time, wake func()) (heard func() bool, err error) {
	if err := l.setReadDeadline(until); err != nil {
		return nil, err
	}
	arrived := make(chan bool, 1)
	go func() {
		_, err := l.conn.Reader.Peek(1)
		closed := errors.Is(err, io.EOF)
		spoke := err == nil || (closed && l.head != nil && l.head.Framing == http1.FramingClose)
		switch {
		case spoke:
			wake()
		case closed:
			l.err = http1.ErrTruncated
		case !isDeadline(err):
			l.err = err
		}
		arrived <- spoke
	}()
	return func() bool {
		_ = l.conn.SetReadDeadline(expiredDeadline) // It fails on a closed connection only.
		return <-arrived
	}, nil
}

// answer waits until the standby's target has begun to answer: with the first byte of a
// stream, or with a whole response. It returns nil then, and else the attempt's result.
func (x *exchange) answer(l *leg) attemptResult {
	if result := x.begin(l); result != nil {
		return result
	}
	if x.isStream(l) {
		if l.body.Complete() {
			return nil
		}
		if err := x.awaitData(l); err != nil {
			return uncertain{err: err, forwarded: x.w.started}
		}
		return nil
	}
	if err := x.readWhole(l); err != nil {
		return uncertain{err: err, forwarded: x.w.started}
	}
	if l.whole.status/100 != 2 {
		return failed{response: l.whole}
	}
	return nil
}

// logWaiting logs that a silent target is waited for because no other one takes over.
func (x *exchange) logWaiting(l *leg, reason string) {
	if x.e.Logger != nil {
		x.e.Logger.Info("target is silent and no other one takes over; waiting for it", "request-id", string(x.id),
			"target", l.target.ID, "silent-ms", millis(x.e.fleet.silentFor(l.target, l.began)), "reason", reason)
	}
}
