package side

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/claim"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// callRun is one call to a service that is not a model.
type callRun struct {
	s        *Server
	sh       *shard
	r        *run
	work     *wire.CallWork
	priority uint32
	// releaseSlot lets the next queued run start. Later calls have no effect.
	releaseSlot func()
	// claim is the claim of the request; nil if the call is idempotent.
	claim *ownClaim
}

// run carries out the call and ends the run.
func (c *callRun) run(ctx context.Context) {
	if _, err := c.url(); err != nil {
		c.refuse(notRun(refuse.CodeBadRequest, 0, err.Error()))
		return
	}
	if c.r.once && !c.acquireClaim(ctx) {
		return
	}
	c.send(ctx)
}

// acquireClaim claims the request and reports whether the request may be run. If it
// returns false, it has ended the run.
func (c *callRun) acquireClaim(ctx context.Context) bool {
	verdict, fresh := c.s.lookupClaim(c.r.request, c.r.fingerprint)
	if _, free := verdict.(claim.Free); fresh && !free {
		c.endByVerdict(verdict)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, c.s.opts.ClaimWait)
	defer cancel()
	own := c.s.proposeClaim(claim.Claim{
		Request: c.r.request, Attempt: c.s.runName(c.r), Side: c.s.opts.Incarnation, Fingerprint: c.r.fingerprint,
	})
	won, verdict := c.s.awaitClaim(ctx, own)
	if won {
		c.claim = own
		return true
	}
	c.endByVerdict(verdict)
	return false
}

// endByVerdict ends a run that did not win the claim. verdict is nil if the claim
// was not decided in time.
func (c *callRun) endByVerdict(verdict claim.Verdict) {
	switch v := verdict.(type) {
	case claim.Finished:
		c.replay(v)
	case claim.Held:
		c.refuse(c.heldRefusal(v))
	case claim.KeyReused:
		c.refuse(notRun(refuse.CodeKeyReused, 0, "the idempotency key was used with another request"))
	case claim.Free:
		c.refuse(notRun(refuse.CodeInProgress, time.Second, "another attempt claimed the request and released it without running it"))
	default:
		c.refuse(notRun(refuse.CodeLogUnavailable, time.Second, "the claim was not decided in time and was abandoned"))
	}
}

// heldRefusal returns the refusal for a request that another attempt has claimed.
// If the attempt belongs to this side process and its claim is no longer tracked,
// the attempt ended without a response.
func (c *callRun) heldRefusal(v claim.Held) *refuse.Refusal {
	running := c.s.sideOpen(v.Side)
	if v.Side == c.s.opts.Incarnation {
		running = c.s.own.has(v.Attempt)
	}
	if running {
		return unknown(refuse.CodeInProgress, time.Second, fmt.Sprintf("the request is in progress at side %q", v.Side))
	}
	return unknown(refuse.CodeInterrupted, 0, fmt.Sprintf("side %q began the request, and its outcome is not known", v.Side))
}

// replay ends the run with the response that is kept on the log. It bills nothing,
// since the attempt that ran the request was billed.
func (c *callRun) replay(v claim.Finished) {
	if v.Truncated {
		c.refuse(unknown(refuse.CodeInterrupted, 0, "the request ran, and its response was not kept"))
		return
	}
	c.deliver(&response{head: *finishedHead(v), parts: split(v.Body)}, end{})
}

// refuse ends the run without a response and without a bill.
func (c *callRun) refuse(refusal *refuse.Refusal) { c.s.refuse(c.sh, c.r, refusal, end{}) }

// send sends the request and ends the run. If a non-idempotent call gets no
// response within Options.CallWait, send refuses it with outcome "unknown" and
// continues to wait, up to Options.LateResponse. A late response is still recorded
// and billed.
func (c *callRun) send(ctx context.Context) {
	wait := c.s.opts.CallWait
	if c.r.once {
		wait = c.s.opts.LateResponse
		timeout := time.AfterFunc(c.s.opts.CallWait, func() {
			c.refuse(unknown(refuse.CodeInProgress, time.Second, "the target has not responded in time"))
			c.releaseSlot() // calls on silent connections must not block all others
		})
		defer timeout.Stop()
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	a, err := c.exchange(ctx)
	if a != nil {
		defer func() { c.s.buffers.Release(a.reserved) }()
	}
	switch {
	case err == nil:
		c.finish(a)
	case errors.Is(err, errNotSent):
		c.endNotSent(err)
	default:
		c.endLost(a, err)
	}
}

// finish ends the run with the target's response, whatever its status.
func (c *callRun) finish(a *response) {
	if c.claim != nil {
		c.s.recordResponse(c.claim, &a.head, a.recorded(claim.MaxBody))
	}
	c.deliver(a, c.bill())
}

// bill returns the end of a call that ran. It bills the price of the call.
func (c *callRun) bill() end {
	billed := min(c.work.GetPrice(), wire.SumCharges(c.r.charges))
	return end{billed: billed, charges: wire.FirstCharges(c.r.charges, billed), finishReason: reasonStop}
}

// deliver adds the response to the run's output and ends the run.
func (c *callRun) deliver(a *response, e end) {
	c.sh.update(c.r, func(t *table) {
		c.r.markSent()
		c.r.head = &a.head
		for _, part := range a.parts {
			c.r.add(chunk{data: part})
		}
		if !c.r.ended() {
			t.keepReserved(c.r, a.reserved)
			a.reserved = 0
		}
	})
	c.s.finish(c.sh, c.r, e)
}

// endNotSent ends a run whose request did not leave this process, and releases
// its claim.
func (c *callRun) endNotSent(err error) {
	if c.claim != nil {
		c.s.releaseClaim(c.claim)
	}
	c.refuse(notRun(refuse.CodeNoTarget, time.Second, err.Error()))
}

// endLost ends a run whose request was sent and whose response was lost, in whole
// or in part.
//
// If the run has a claim and the head of the response arrived, the work is done.
// endLost then bills the run and records the claim as done without the response.
// In all other cases it does not bill the run. The claim, if there is one, is
// never released, since the work may or may not have been done.
func (c *callRun) endLost(a *response, err error) {
	if c.claim != nil && a != nil {
		// A body over claim.MaxBody records the response as truncated.
		c.s.recordResponse(c.claim, &a.head, make([]byte, claim.MaxBody+1))
		code := refuse.CodeInterrupted
		if errors.Is(err, errResponseTooLarge) {
			code = refuse.CodeTooLarge
		}
		c.s.refuse(c.sh, c.r, unknown(code, 0, fmt.Sprintf("the request ran, and its response was lost: %v", err)), c.bill())
		return
	}
	if c.claim != nil {
		c.s.own.forget(c.claim)
	}
	c.s.client.CloseIdleConnections()
	c.refuse(unknown(refuse.CodeInterrupted, time.Second, fmt.Sprintf("the call was interrupted: %v", err)))
}

// url returns the URL of the call.
func (c *callRun) url() (string, error) {
	path := c.work.GetPath()
	if !strings.HasPrefix(path, "/") {
		return "", fmt.Errorf("path %q does not start with a slash", path)
	}
	u, err := url.Parse(c.s.opts.Target + path)
	if err != nil {
		return "", fmt.Errorf("path %q: %w", path, err)
	}
	return u.String(), nil
}

// exchange sends the request once and reads the response. The error wraps
// errNotSent if no connection was obtained. If the head of the response arrived,
// the response is returned even if there is an error.
func (c *callRun) exchange(ctx context.Context) (*response, error) {
	trace := c.s.newTrace()
	req, err := c.request(trace.attach(ctx))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	client := c.s.client
	if c.r.once {
		client = c.s.noReuseClient
	}
	c.sh.update(c.r, func(*table) { c.r.markSent() })
	resp, err := client.Do(req)
	if err != nil && trace.notSent() {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	a := &response{head: head{status: resp.StatusCode, headers: forwardedHeaders(resp.Header)}}
	return a, c.s.readBody(ctx, resp, a)
}

// request returns the HTTP request to the target.
func (c *callRun) request(ctx context.Context) (*http.Request, error) {
	target, err := c.url()
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, c.work.GetMethod(), target, bytes.NewReader(c.work.GetBody()))
	if err != nil {
		return nil, err
	}
	for _, h := range c.work.GetHeaders() {
		if !isHopHeader(h.GetName()) {
			req.Header.Add(h.GetName(), h.GetValue())
		}
	}
	req.Header.Set(headerRequest, c.r.request)
	req.Header.Set(headerPriority, strconv.FormatUint(uint64(c.priority), 10))
	setFence(req.Header, c.s.fence.Load())
	propagate(ctx, req.Header)
	return req, nil
}
