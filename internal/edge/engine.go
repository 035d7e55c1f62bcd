package edge

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/beryllanding/beryllanding/internal/alloc"
	"github.com/beryllanding/beryllanding/internal/meter"
	"github.com/beryllanding/beryllanding/pkg/buffer"
	"github.com/beryllanding/beryllanding/pkg/drain"
	"github.com/beryllanding/beryllanding/pkg/http1"
	"github.com/beryllanding/beryllanding/pkg/origin"
	"github.com/beryllanding/beryllanding/pkg/refuse"
	"github.com/beryllanding/beryllanding/pkg/route"
	"github.com/beryllanding/beryllanding/pkg/table"
)

const (
	// defaultTimeout applies if neither the caller nor the route sets a time-out.
	defaultTimeout = 30 * time.Second
	// maxDeadline caps the time that a caller may ask for.
	maxDeadline = time.Hour
	// staleAfter is the age above which the configuration counts as stale if the settings
	// name no bound: entries may have been added since it was read. staleShare is the part
	// of the settings' bound for which it does. A read waits up to tablesWait.
	staleAfter = 4 * time.Second
	staleShare = 0.75
	// startWait is how long a request waits for the first reading of the configuration, of
	// the targets and of the shared records by an instance that has just started. The
	// reading takes a few calls to the store.
	startWait = 400 * time.Millisecond
	// startRetry is the Retry-After of an instance that has no configuration or no
	// targets yet. Other instances in the data centre have them.
	startRetry = 300 * time.Millisecond
	// busyRetry is the least Retry-After of a request that was rejected because no
	// target accepted it.
	busyRetry = 250 * time.Millisecond
	// retryJitter is the range of random delay on top of the least Retry-After, as a
	// multiple of it. It keeps callers that were rejected together from returning together.
	retryJitter = 3
	// retryTimeDivisor limits Retry-After to this fraction (1/n) of the caller's
	// remaining time.
	retryTimeDivisor = 3
)

// Engine serves requests. Its exported fields must be set before use.
type Engine struct {
	Dialect Dialect
	// Budgets reserves tokens.
	Budgets *alloc.Service
	Logger  *log.Logger
	Meter   *meter.Meter

	// staleAfter replaces the constant if it is not 0.
	staleAfter time.Duration
	fleet      *fleet
	room       ownRoom
	quarantine quarantine
	origins    origins
	buffers    buffer.Pool
	// bodies counts the memory for large bodies of requests.
	bodies buffer.Pool
	// loaded is closed once the configuration and the targets were read for the first
	// time.
	loaded chan struct{}
	// view is the active configuration, or nil before the first.
	view atomic.Pointer[table.Table]
	// confirmed is when the store last confirmed that view is the newest, in ns since
	// started by the monotonic clock.
	confirmed atomic.Int64
	started   time.Time
	// stop is the planned stop in progress, or nil. closed is set once all new requests are
	// refused.
	stop   atomic.Pointer[drain.Plan]
	closed atomic.Bool
	// durations are those of answered requests, by route.
	durations drain.Durations
	// lastRequest is when the last request arrived, in ns since started by the
	// monotonic clock.
	lastRequest atomic.Int64
}

// exchange is one request in progress.
type exchange struct {
	e *Engine
	// ctx is cancelled when the caller disconnects.
	ctx     context.Context
	head    *http1.Head
	body    []byte
	w       *responseWriter
	arrived time.Time
	// deadline is the earlier of the caller's deadline and the route's.
	deadline time.Time

	id    []byte
	table *table.Table
	// tableAge is the time since the store last confirmed that table is the newest.
	tableAge time.Duration
	route    *table.Route
	service  string
	org      *table.Organisation
	tokens   Tokens
	// parts are the ids of the prompt's shared parts.
	parts []string
	// ownPart is the id of the last part, which belongs to the request or its session.
	ownPart string
	// nearHash and identityHash are the results of near and identity, or "" before their
	// first call.
	nearHash, identityHash string
	pickRequest            route.Request

	retry retryState
	// standby is the leg that took over from a silent target, until it goes on.
	standby *leg
	// resumes is the id of the try that brought the first event of the stream that the
	// request takes up, or "" if it takes up none.
	resumes string
	// streamID is the id of the try that brought the stream's first event, origin where the
	// stream began, and originNoted when that was last noted.
	streamID    string
	origin      origin.Origin
	originNoted time.Time
	// kind is the kind of the stream's first response, once it was forwarded.
	kind streamKind
	// versions are the versions of targets, in the order of their events in the response.
	versions []string
	// events is the number of stream events forwarded. lastEvent is the id of the last
	// one, or -1 if there is none.
	events    int64
	lastEvent int64
	// mayHaveStarted is set once a target may have started to execute the request.
	mayHaveStarted bool
	// reserved is the memory for large buffers that the request has reserved, in bytes.
	reserved    int64
	targets     []string
	firstByte   time.Duration
	reserveTime time.Duration
	status      int
	outcome     string
	reason      string
	// lastErr is the error of the last attempt, or nil. cutBy is who ended a response that
	// had begun, or "" if it was not reset.
	lastErr error
	cutBy   string
}

// Serve processes one request and writes the response to w. The context must be
// cancelled when the caller disconnects.
func (e *Engine) Serve(ctx context.Context, head *http1.Head, body []byte, w *responseWriter, arrived time.Time) {
	x := &exchange{e: e, ctx: ctx, head: head, body: body, w: w, arrived: arrived, lastEvent: -1}
	e.lastRequest.Store(int64(time.Since(e.started)))
	x.id = head.Get(e.Dialect.RequestID)
	x.containedServe()
	x.releaseBuffers()
	x.recordRequest()
}

// admit determines the route, the organisation and the bounds of the request. If the
// request is invalid it responds and returns false.
func (x *exchange) admit() bool {
	e := x.e
	if len(x.id) == 0 || x.head.Count(e.Dialect.RequestID) != 1 {
		return x.deny(statusBadRequest, 0, "a request carries one id")
	}
	if e.room.refuses(x.statedTime()) {
		e.Meter.OverloadRefusal()
		x.respondError(statusUnavailable, returnLeast+rand.N(returnSpread), "instance is overloaded; others may have room")
		return false
	}
	e.awaitLoaded(x.ctx)
	x.table, x.tableAge = e.view.Load(), e.age()
	if x.table == nil {
		return x.deny(statusUnavailable, startRetry, "no configuration is known yet")
	}
	x.route = x.table.Match(x.head.Get("Host"), x.head.Path)
	if x.route == nil {
		return x.denyMissing(statusNotFound, "no route matches")
	}
	if !x.identify() {
		return false
	}
	if !x.setDeadline() {
		return false
	}
	if !x.fitsStop() {
		return x.deny(statusUnavailable, startRetry, "instance is draining")
	}
	x.service = x.route.Choose(rand.Float64())
	if !x.parseFields() || !x.bindVersion() {
		return false
	}
	e.fleet.countRequest(x.service)
	return true
}

// statedTime returns the time that the caller is left with by its own field, or maxDeadline if
// there is none. Whether the field is valid is checked later.
func (x *exchange) statedTime() time.Duration {
	ms, err := strconv.ParseInt(string(x.head.Get(x.e.Dialect.Deadline)), 10, 64)
	if err != nil {
		return maxDeadline
	}
	return min(maxDeadline, time.Duration(ms)*time.Millisecond) - time.Since(x.arrived)
}

// awaitLoaded waits until the configuration, the targets and the shared records were read for
// the first time, up to startWait. Later than startWait after the start, it doesn't wait for
// the shared records.
func (e *Engine) awaitLoaded(ctx context.Context) {
	select {
	case <-e.loaded:
		if time.Since(e.started) > startWait {
			return
		}
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	select {
	case <-e.loaded:
	case <-ctx.Done():
	}
	e.quarantine.awaitRead(ctx)
}

// identify looks up the organisation of the request's key.
func (x *exchange) identify() bool {
	if x.route.Public || !x.table.NeedsKey {
		return true
	}
	key := x.head.Get(x.e.Dialect.Key)
	if x.head.Count(x.e.Dialect.Key) == 1 {
		x.org = x.table.Keys[string(key)]
	}
	if x.org == nil {
		return x.denyMissing(statusUnauthorized, "key is unknown")
	}
	return true
}

// denyMissing denies a request for something that the configuration lacks. If the
// configuration is stale, the entry may exist by now, so the caller is told to retry.
func (x *exchange) denyMissing(status int, reason string) bool {
	if x.e.stale() {
		return x.deny(statusUnavailable, startRetry, reason+"; the configuration may have changed since it was read")
	}
	return x.deny(status, 0, reason)
}

// setDeadline sets the deadline from the caller's field and the route's time-out.
func (x *exchange) setDeadline() bool {
	left := defaultTimeout
	if field := x.head.Get(x.e.Dialect.Deadline); field != nil {
		ms, err := strconv.ParseInt(string(field), 10, 64)
		if err != nil || ms < 0 {
			return x.deny(statusBadRequest, 0, "deadline is not a number of milliseconds")
		}
		left = min(maxDeadline, time.Duration(ms)*time.Millisecond)
	}
	if x.route.Timeout > 0 {
		left = min(left, x.route.Timeout)
	}
	x.deadline = x.arrived.Add(left)
	if time.Until(x.deadline) <= 0 {
		return x.deny(statusGatewayTimeout, 0, "time is over")
	}
	return true
}

// fitsStop reports whether the instance takes the request on: it isn't stopping, or the request
// fits into what is left.
func (x *exchange) fitsStop() bool {
	plan := x.e.stop.Load()
	if plan == nil {
		return true
	}
	now := time.Now()
	return !x.e.closed.Load() && plan.Takes(now, drain.Request{
		Deadline: x.deadline, Repeatable: x.route.MayRepeat(), Stream: x.route.Stream,
		Usual: x.e.durations.Usual(x.route.Name),
	})
}

// parseFields parses the header fields with token bounds, prefix and last event.
func (x *exchange) parseFields() bool {
	d := &x.e.Dialect
	if field := x.head.Get(d.Tokens); field != nil {
		tokens, err := d.ParseTokens(field)
		if err != nil {
			return x.deny(statusBadRequest, 0, "token bounds cannot be read")
		}
		x.tokens = tokens
	}
	if field := x.head.Get(d.Prefix); field != nil {
		prefix := d.ParsePrefix(field)
		x.parts, x.ownPart = prefix.Parts, prefix.Own
		if x.tokens.Prompt > 0 {
			shared := min(prefix.Shared, x.tokens.Prompt)
			x.pickRequest.Prefix = prefix.Key
			x.pickRequest.Prompt = route.Prompt{Own: x.tokens.Prompt - shared, Shared: shared}
		}
	}
	if field := x.head.Get(d.LastEvent); field != nil {
		if n, err := strconv.ParseInt(string(field), 10, 64); err == nil {
			x.lastEvent = n
		}
	}
	x.resumes = string(x.head.Get(d.Resumes))
	x.retry = retryState{
		repeatable: x.route.MayRepeat(),
		resumable:  x.route.Stream && x.route.Resumable,
		maxTargets: max(1, x.route.MaxTargets),
	}
	return true
}

// serve reserves tokens, makes the attempts and settles the reservation.
func (x *exchange) serve() {
	if reason, _ := x.checkQuarantine(false); reason != "" {
		x.reject(reason)
		return
	}
	if _, why := x.e.fleet.firstReturn(x.service); why != nil {
		x.reject(why.Error())
		return
	}
	var reservation alloc.Reservation
	bound := x.tokens.Prompt + x.tokens.Output
	if x.org != nil && x.org.Limited && bound > 0 {
		var err error
		began := time.Now()
		// Within one organisation, whose own rank goes first elsewhere, the routes' ranks decide.
		reservation, err = x.e.Budgets.ReserveRank(x.ctx, x.org.Name, bound, x.route.Priority)
		x.reserveTime = time.Since(began)
		if err != nil {
			x.denyReservation(err)
			return
		}
	}
	// Also after a panic, which containedServe handles.
	defer func() { x.e.Budgets.Settle(reservation, x.usedTokens()) }()
	x.runAttempts()
}

// usedTokens returns the tokens charged to the organisation: the prompt once, and the
// output that was forwarded to the caller.
func (x *exchange) usedTokens() int64 {
	if !x.mayHaveStarted {
		return 0
	}
	per := max(1, x.table.Services[x.service].EventTokens)
	return x.tokens.Prompt + min(x.tokens.Output, x.events*per)
}

// denyReservation denies a request whose tokens could not be reserved.
func (x *exchange) denyReservation(err error) {
	r, ok := refuse.As(err)
	switch {
	case !ok && errors.Is(endCause(x.ctx), ErrStopping):
		x.reject(ErrStopping.Error())
	case !ok:
		x.outcome, x.reason = outcomeGone, err.Error()
	case r.Code == refuse.CodeBudgetSpent:
		x.deny(statusPaymentRequired, 0, r.Message)
	case r.Code == refuse.CodeTooLarge:
		x.deny(statusBadRequest, 0, r.Message)
	default:
		x.deny(statusUnavailable, r.RetryAfter, r.Message)
	}
}

// runAttempts makes attempts until an action ends the request.
func (x *exchange) runAttempts() {
	var next action = retryAction{}
	for {
		switch act := next.(type) {
		case retryAction:
			next = x.makeAttempt(act)
			continue
		case takeOverAction:
			next = x.continueStandby()
			continue
		case finishAction:
			x.outcome = outcomeAnswered
			x.e.durations.Note(x.route.Name, time.Since(x.arrived))
		case passFailure:
			x.outcome, x.status, x.reason = outcomeFailed, act.response.status, "target responded with an error status"
			x.recordCallerGone(x.w.writeResponse(act.response, !x.isHead()))
		case rejectAction:
			x.reject(act.reason)
		case failAction:
			x.deny(act.status, 0, act.reason)
		case disconnect:
			x.outcome, x.reason = outcomeCut, act.reason
			if isCallerGone(endCause(x.ctx)) {
				x.outcome = outcomeGone
			}
			x.w.err = ErrCallerGone
		}
		return
	}
}

// makeAttempt makes one attempt and returns the action that follows.
func (x *exchange) makeAttempt(act retryAction) action {
	if errors.Is(endCause(x.ctx), ErrStopping) {
		return x.retry.giveUp(ErrStopping.Error())
	}
	if reason, _ := x.checkQuarantine(true); reason != "" {
		return x.retry.giveUp(reason)
	}
	if act.spendBudget && !x.e.fleet.takeRetry(x.service) {
		x.e.Meter.Retry(x.service, false)
		return x.retry.giveUp("budget of retries is used up")
	}
	a, err := x.e.fleet.pick(x.service, x.pickRequest)
	if err != nil {
		return x.retry.giveUp(err.Error())
	}
	if act.spendBudget {
		x.e.Meter.Retry(x.service, true)
	}
	x.noteAttempt(a)
	stopLog := x.logIfSlow(a)
	result := x.attempt(a)
	stopLog()
	return x.afterAttempt(a, result)
}

// continueStandby goes on with the standby that took over.
func (x *exchange) continueStandby() action {
	l := x.standby
	x.standby = nil
	stopLog := x.logIfSlow(l.attempt)
	result := x.finish(l, x.containedRoundTrip(l))
	stopLog()
	return x.afterAttempt(l.attempt, result)
}

// noteAttempt records the choice of a target.
func (x *exchange) noteAttempt(a *attempt) {
	x.targets = append(x.targets, a.target.ID)
	x.pickRequest.Exclude = append(x.pickRequest.Exclude, a.target.name)
	if a.limited {
		x.e.Meter.LimitedAttempt(x.service)
	}
	if a.cold {
		x.e.Meter.ColdAttempt(x.service)
	}
	a.events, a.after, a.lastID = x.events, x.lastEvent, -1
}

// endAttempt records the end of an attempt.
func (x *exchange) endAttempt(a *attempt, result attemptResult) {
	x.recordBlame(a, result)
	x.renoteOrigin()
	x.e.fleet.done(x.service, a, result)
	x.recordAttempt(a, result)
}

// afterAttempt records the end of the current attempt and returns the action that follows.
func (x *exchange) afterAttempt(a *attempt, result attemptResult) action {
	x.endAttempt(a, result)
	x.retry.forwarded = x.w.started
	if x.standby != nil {
		return x.retry.takeOver()
	}
	left := time.Until(x.deadline)
	if lacksResponse(result) && left <= 0 {
		x.retry.mayHaveRun = x.retry.mayHaveRun || x.mayHaveStarted
		return x.retry.expired()
	}
	return x.retry.next(result, left)
}

// lacksResponse reports whether the attempt ended without a complete response.
func lacksResponse(result attemptResult) bool {
	switch result.(type) {
	case responded, failed:
		return false
	}
	return true
}

// reject tells the caller that no target took the request, and when to return: not before
// a target takes work again, if all of them rest, and not before the end of the quarantine,
// if the request is in one.
func (x *exchange) reject(reason string) {
	if _, left := x.checkQuarantine(false); left > 0 {
		x.e.Meter.QuarantineRefusal(x.service)
		// The caller's remaining time does not matter: an earlier return is in vain.
		x.respondError(statusUnavailable, left, reason)
		return
	}
	least := busyRetry
	if wait, why := x.e.fleet.firstReturn(x.service); why != nil {
		least = max(least, wait)
	}
	x.respondError(statusUnavailable, x.jitter(least, retryJitter*busyRetry), reason)
}

// deny sends an error response of the instance itself. It returns false.
func (x *exchange) deny(status int, retryAfter time.Duration, reason string) bool {
	if retryAfter > 0 {
		retryAfter = x.jitter(retryAfter, retryJitter*retryAfter)
	}
	x.respondError(status, retryAfter, reason)
	return false
}

// respondError writes an error response of the instance itself. If retryAfter is 0, the
// response has no Retry-After field.
func (x *exchange) respondError(status int, retryAfter time.Duration, reason string) {
	x.outcome, x.status, x.reason = outcomeDenied, status, reason
	x.recordCallerGone(x.w.writeError(status, x.id, x.e.Dialect.RequestID, retryAfter, reason))
}

// jitter returns a random Retry-After from least to least+spread. If the caller has a
// deadline, the result is cut to 1/retryTimeDivisor of the remaining time, even if that is
// below least. It is never below 1 ms.
func (x *exchange) jitter(least, spread time.Duration) time.Duration {
	d := least + rand.N(spread)
	if !x.deadline.IsZero() {
		d = min(d, time.Until(x.deadline)/retryTimeDivisor)
	}
	return max(d, time.Millisecond)
}

// recordCallerGone records the outcome "caller-gone" if err is not nil.
func (x *exchange) recordCallerGone(err error) {
	if err != nil && x.outcome != outcomeGone {
		x.outcome, x.reason = outcomeGone, err.Error()
	}
}

func (x *exchange) isHead() bool { return string(x.head.Method) == "HEAD" }

// stale reports whether a newer configuration may exist.
func (e *Engine) stale() bool { return e.age() > cmp.Or(e.staleAfter, staleAfter) }

// age returns the time since the store last confirmed that the active configuration
// is the newest.
func (e *Engine) age() time.Duration {
	return time.Since(e.started) - time.Duration(e.confirmed.Load())
}

// idleFor returns the time since the last request arrived.
func (e *Engine) idleFor() time.Duration {
	return time.Since(e.started) - time.Duration(e.lastRequest.Load())
}

// confirm records that the configuration was the newest at the given time.
func (e *Engine) confirm(at time.Time) { e.confirmed.Store(int64(at.Sub(e.started))) }

func isCallerGone(err error) bool { return errors.Is(err, ErrCallerGone) }

// endCause returns why the context of a request ended, ErrCallerGone or ErrStopping, or nil if
// it has not.
func endCause(ctx context.Context) error {
	switch {
	case ctx.Err() == nil:
		return nil
	case errors.Is(context.Cause(ctx), ErrStopping):
		return ErrStopping
	}
	return ErrCallerGone
}
