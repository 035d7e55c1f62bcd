package edge

import (
	"fmt"
	"runtime/debug"
)

// containedServe serves the request. A panic ends this request only: its caller's
// connection is reset, and the process goes on.
func (x *exchange) containedServe() {
	defer func() {
		if r := recover(); r != nil {
			x.recordPanic(r)
			x.outcome, x.reason = outcomeCut, ErrInternal.Error()
			x.w.err = ErrInternal
		}
	}()
	if x.admit() {
		x.serve()
	}
}

// containedRoundTrip is roundTrip. A panic ends this attempt only: the request may have
// run, and the connection is not used again.
func (x *exchange) containedRoundTrip(l *leg) attemptResult {
	return x.contained(l, x.roundTrip)
}

// containedAnswer is answer, in the same way.
func (x *exchange) containedAnswer(l *leg) attemptResult {
	return x.contained(l, x.answer)
}

func (x *exchange) contained(l *leg, step func(*leg) attemptResult) (result attemptResult) {
	defer func() {
		if r := recover(); r != nil {
			x.recordPanic(r)
			x.mayHaveStarted = true
			l.head = nil // The connection is not used again.
			result = uncertain{err: fmt.Errorf("%w: %v", ErrInternal, r), forwarded: x.w.started}
		}
	}()
	return step(l)
}

// recordPanic logs a panic with its stack.
func (x *exchange) recordPanic(r any) {
	if x.e.Logger != nil {
		x.e.Logger.Error("panic while serving a request; only this request is affected", "request-id", string(x.id), "panic", r, "stack", string(debug.Stack()))
	}
}
