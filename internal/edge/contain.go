package edge

import (
	"fmt"
	"runtime/debug"

	"github.com/beryllanding/beryllanding/pkg/pool"
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
func (x *exchange) containedRoundTrip(conn *pool.Conn, a *attempt) (result attemptResult, reuse bool) {
	defer func() {
		if r := recover(); r != nil {
			x.recordPanic(r)
			x.mayHaveStarted = true
			result, reuse = uncertain{err: fmt.Errorf("%w: %v", ErrInternal, r), forwarded: x.w.started}, false
		}
	}()
	return x.roundTrip(conn, a)
}

// recordPanic logs a panic with its stack.
func (x *exchange) recordPanic(r any) {
	if x.e.Logger != nil {
		x.e.Logger.Error("panic while serving a request; only this request is affected", "request-id", string(x.id), "panic", r, "stack", string(debug.Stack()))
	}
}
