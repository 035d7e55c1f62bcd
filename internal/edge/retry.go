package edge

import (
	"errors"
	"time"
)

// Errors of attempts. Test for them with errors.Is.
var (
	// ErrUnsigned reports a successful response without the target's signature.
	ErrUnsigned = errors.New("response is not signed by the target")
	// ErrEncoded reports a successful response with a content encoding, which must
	// have been applied in transit.
	ErrEncoded = errors.New("response has a content encoding")
	// ErrWrongResponse reports that only responses to other requests were received.
	ErrWrongResponse = errors.New("response belongs to another request")
	// ErrNotRunUnproven reports a status that implies that the request did not run,
	// without the target's own guarantee.
	ErrNotRunUnproven = errors.New("response status implies that the request did not run, without proof")
	// ErrPartialEvent reports a stream that ended inside an event.
	ErrPartialEvent = errors.New("stream ended inside an event")
	// ErrEmptyStream reports a stream without events whose end is not framed.
	ErrEmptyStream = errors.New("stream ended with its connection, without an event")
	// ErrCallerGone reports that the caller disconnected.
	ErrCallerGone = errors.New("caller has disconnected")
	// ErrStopping reports that the instance ended the request at the end of its grace period.
	ErrStopping = errors.New("instance is stopping")
	// ErrInternal reports a panic in the code of the instance.
	ErrInternal = errors.New("internal error")
	// ErrWithdrawn reports a target that was withdrawn between its choice and the sending
	// of the request, which was not sent.
	ErrWithdrawn = errors.New("target was withdrawn before the request was sent")
	// errNotTaken reports a request that the target did not take.
	errNotTaken = errors.New("target did not take the request")
	// ErrSilent reports a target that sent nothing for too long.
	ErrSilent = errors.New("target sent nothing for too long")
)

// attemptResult is the result of an attempt: notRun, responded, failed or uncertain.
type attemptResult interface{ attemptResult() }

// notRun means that the target did not execute the request and never will.
type notRun struct {
	// sent is set if the request reached a target, which then refused it.
	sent bool
	// status is the target's status, or 0 if it could not be reached.
	status int
	err    error
}

// responded means that the complete response was forwarded to the caller.
type responded struct{ status int }

// failed means that the target executed the request and responded with an error
// status. The response has not been forwarded.
type failed struct{ response *response }

// uncertain means that there is no valid, complete response and that the request may
// have run.
type uncertain struct {
	err error
	// forwarded is set if part of the response was forwarded to the caller.
	forwarded bool
}

func (notRun) attemptResult()    {}
func (responded) attemptResult() {}
func (failed) attemptResult()    {}
func (uncertain) attemptResult() {}

// attemptError returns the error of an attempt without a response, or nil.
func attemptError(result attemptResult) error {
	switch result := result.(type) {
	case notRun:
		return errors.Join(errNotTaken, result.err)
	case uncertain:
		return result.err
	}
	return nil
}

// action is what to do after an attempt: retryAction, takeOverAction, finishAction, passFailure,
// rejectAction, failAction or disconnect.
type action interface{ action() }

// retryAction sends the request to another target. If spendBudget is set, the retry
// budget must allow it.
type retryAction struct{ spendBudget bool }

// takeOverAction goes on with the standby that took over from a silent target.
type takeOverAction struct{}

// finishAction ends a request whose response the caller has.
type finishAction struct{}

// passFailure forwards the target's error response.
type passFailure struct{ response *response }

// rejectAction tells the caller that the request did not run.
type rejectAction struct{ reason string }

// failAction tells the caller that there is no response. It does not state whether the
// request ran.
type failAction struct {
	status int
	reason string
}

// disconnect resets the caller's connection in the middle of the response.
type disconnect struct{ reason string }

func (retryAction) action()    {}
func (takeOverAction) action() {}
func (finishAction) action()   {}
func (passFailure) action()    {}
func (rejectAction) action()   {}
func (failAction) action()     {}
func (disconnect) action()     {}

// retryState decides the next action of a request.
type retryState struct {
	// repeatable means that the request may run more than once.
	repeatable bool
	// resumable means that another target may continue the response after a complete
	// event.
	resumable bool
	// maxTargets bounds the targets that the request is sent to. It is at least 1.
	maxTargets int
	// sent is the number of attempts that reached a target. attempts is the number of
	// all attempts.
	sent     int
	attempts int
	// standbys is the number of standbys in progress, which sent and attempts don't count yet.
	standbys int
	// mayHaveRun is set once an attempt ended without proof that the request did not
	// run.
	mayHaveRun bool
	// forwarded is set once part of a response was forwarded to the caller. From then
	// on, only the rest of the same response may be forwarded.
	forwarded bool
	// targetFailure is the latest error response of a target.
	targetFailure *response
}

const (
	// maxAttempts bounds the attempts of a request, including those that reached no
	// target.
	maxAttempts = 4
	// minTimeLeft is the remaining time below which no further attempt is made. It
	// covers a new connection and a short response.
	minTimeLeft = 20 * time.Millisecond
)

// next returns the action that follows an attempt, given its result and the remaining
// time.
//
// A request that must not run twice is retried only while every earlier attempt is
// proved not to have run. Only under the same condition does the caller get a status
// that implies that the request did not run.
func (c *retryState) next(result attemptResult, left time.Duration) action {
	c.attempts++
	switch result := result.(type) {
	case responded:
		return finishAction{}
	case notRun:
		if result.sent {
			c.sent++
		}
		if c.canRetry(left) {
			return retryAction{spendBudget: c.sent > 0}
		}
		return c.giveUp("no target took the request")
	case failed:
		c.sent++
		c.mayHaveRun = true
		c.targetFailure = result.response
		if c.repeatable && c.canRetry(left) {
			return retryAction{spendBudget: true}
		}
		return passFailure{response: result.response}
	case uncertain:
		c.sent++
		c.mayHaveRun = true
		c.forwarded = c.forwarded || result.forwarded
		return c.afterUncertain(result, left)
	}
	return failAction{status: statusBadGateway, reason: "attempt ended in an unknown way"}
}

// afterUncertain returns the action that follows an uncertain attempt.
func (c *retryState) afterUncertain(result uncertain, left time.Duration) action {
	switch {
	case errors.Is(result.err, ErrCallerGone):
		return disconnect{reason: "caller has disconnected"}
	case errors.Is(result.err, ErrStopping):
		return c.giveUp(ErrStopping.Error())
	case c.forwarded && c.resumable && c.canRetry(left):
		return retryAction{spendBudget: true}
	case c.forwarded:
		return disconnect{reason: "target aborted the response"}
	case c.repeatable && c.canRetry(left):
		return retryAction{spendBudget: true}
	}
	return c.giveUp("target broke off")
}

// canRetry reports whether the limits on targets, attempts and time allow another
// attempt.
func (c *retryState) canRetry(left time.Duration) bool {
	return c.sent < c.maxTargets && c.attempts < maxAttempts && left > minTimeLeft
}

// mayFailOver reports whether the request could continue at another target if the
// current attempt were abandoned. forwarded is set if part of its response was
// forwarded to the caller.
func (c *retryState) mayFailOver(forwarded bool) bool {
	if forwarded && !c.resumable {
		return false
	}
	open := 1 + c.standbys
	return c.repeatable && c.sent+open < c.maxTargets && c.attempts+open < maxAttempts
}

// standbyOpened records the begin of a standby.
func (c *retryState) standbyOpened() { c.standbys++ }

// standbyEnded records a standby that did not take over. The current attempt goes on.
func (c *retryState) standbyEnded(result attemptResult) {
	c.standbys--
	c.attempts++
	switch result := result.(type) {
	case notRun:
		if result.sent {
			c.sent++
		}
		return
	case failed:
		c.targetFailure = result.response
	}
	c.sent++
	c.mayHaveRun = true
}

// takeOver returns the action that follows when a standby takes over from the current attempt.
func (c *retryState) takeOver() action {
	c.standbys--
	c.attempts++
	c.sent++
	c.mayHaveRun = true
	return takeOverAction{}
}

// giveUp returns the action that ends a request without a further attempt, for example
// because no target is left or the retry budget is exhausted.
func (c *retryState) giveUp(reason string) action {
	switch {
	case c.forwarded:
		return disconnect{reason: reason}
	case c.targetFailure != nil:
		return passFailure{response: c.targetFailure}
	case c.mayHaveRun:
		return failAction{status: statusBadGateway, reason: reason}
	}
	return rejectAction{reason: reason}
}

// expired returns the action that ends a request whose deadline has passed.
func (c *retryState) expired() action {
	switch {
	case c.forwarded:
		return disconnect{reason: "time is over"}
	case c.targetFailure != nil:
		return passFailure{response: c.targetFailure}
	}
	return failAction{status: statusGatewayTimeout, reason: "time is over"}
}
