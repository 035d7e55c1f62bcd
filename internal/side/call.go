package side

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/claim"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// callRun is one call to a plain service.
type callRun struct {
	s        *Server
	sh       *shard
	r        *run
	work     *wire.CallWork
	priority uint32
	// release gives the run's turn to the next one. It may be called again.
	release func()
	// claim is set for a non-idempotent call.
	claim *ownClaim
}

// answer is a target's whole answer to a call.
type answer struct {
	head head
	body []byte
}

// run runs a call until its end.
func (c *callRun) run(ctx context.Context) {
	if _, err := c.url(); err != nil {
		c.refuse(notRun(refuse.CodeBadRequest, 0, err.Error()))
		return
	}
	if c.r.once && !c.acquire(ctx) {
		return
	}
	c.call(ctx)
}

// acquire claims the request, and is false where it may not be run; the run has
// ended then.
func (c *callRun) acquire(ctx context.Context) bool {
	verdict, fresh := c.s.lookupClaim(c.r.request, c.r.fingerprint)
	if _, free := verdict.(claim.Free); fresh && !free {
		c.resolve(verdict)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, c.s.opts.ClaimWait)
	defer cancel()
	own := c.s.proposeClaim(claim.Claim{
		Request: c.r.request, Attempt: c.s.attemptName(c.r), Side: c.s.opts.Incarnation, Fingerprint: c.r.fingerprint,
	})
	won, verdict := c.s.awaitClaim(ctx, own)
	if won {
		c.claim = own
		return true
	}
	c.resolve(verdict)
	return false
}

// resolve ends a run whose request another attempt has.
func (c *callRun) resolve(verdict claim.Verdict) {
	switch v := verdict.(type) {
	case claim.Finished:
		c.replay(v)
	case claim.Held:
		c.refuse(c.heldRefusal(v))
	case claim.KeyReused:
		c.refuse(notRun(refuse.CodeKeyReused, 0, "the idempotency key was used with another request"))
	case claim.Free:
		c.refuse(notRun(refuse.CodeInProgress, time.Second, "another attempt had the request and gave it up"))
	default:
		c.refuse(notRun(refuse.CodeLogDown, time.Second, "the claim was not decided in time, and was given up"))
	}
}

// heldRefusal explains a request that another attempt holds. Its own attempt
// that is no longer followed ended without an answer.
func (c *callRun) heldRefusal(v claim.Held) *refuse.Refusal {
	running := c.s.sideOpen(v.Side)
	if v.Side == c.s.opts.Incarnation {
		running = c.s.own.has(v.Attempt)
	}
	if running {
		return unknown(refuse.CodeInProgress, time.Second, fmt.Sprintf("the request is in progress at side %q", v.Side))
	}
	return unknown(refuse.CodeInterrupted, 0, fmt.Sprintf("side %q began the request and its outcome is lost", v.Side))
}

// replay ends the run with an answer kept on the log. It is billed already.
func (c *callRun) replay(v claim.Finished) {
	if v.Truncated {
		c.refuse(unknown(refuse.CodeInterrupted, 0, "the request ran, and its answer was not kept"))
		return
	}
	c.deliver(&answer{head: *finishedHead(v), body: v.Body}, end{})
}

// refuse ends the run without an answer.
func (c *callRun) refuse(refusal *refuse.Refusal) { c.s.refuse(c.sh, c.r, refusal, end{}) }

// call sends the request and ends the run. A non-idempotent one is awaited on
// after its callers were told that the outcome is unknown, so that a late answer
// is still recorded and billed.
func (c *callRun) call(ctx context.Context) {
	wait := c.s.opts.CallWait
	if c.r.once {
		wait = c.s.opts.LateAnswer
		late := time.AfterFunc(c.s.opts.CallWait, func() {
			c.refuse(unknown(refuse.CodeInProgress, time.Second, "the target has not answered in time"))
			c.release() // else calls on silent connections would stop all others
		})
		defer late.Stop()
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	a, err := c.exchange(ctx)
	switch {
	case err == nil:
		c.finish(a)
	case errors.Is(err, errNotSent):
		c.notSent(err)
	default:
		c.lost(a, err)
	}
}

// finish ends the run with the target's answer, whatever its status.
func (c *callRun) finish(a *answer) {
	if c.claim != nil {
		c.s.answerClaim(c.claim, &a.head, a.body)
	}
	c.deliver(a, c.bill())
}

// bill returns the price of a call that ran.
func (c *callRun) bill() end {
	billed := min(c.work.GetPrice(), wire.SumCharges(c.r.charges))
	return end{billed: billed, charges: wire.TakeCharges(c.r.charges, billed), reason: reasonStop}
}

// deliver puts an answer into the run's output, and ends the run.
func (c *callRun) deliver(a *answer, e end) {
	c.sh.update(c.r, func(*table) {
		c.r.begin()
		c.r.head = &a.head
		for _, part := range split(a.body) {
			c.r.add(chunk{data: part})
		}
	})
	c.s.finish(c.sh, c.r, e)
}

// notSent ends a run whose request did not leave this process.
func (c *callRun) notSent(err error) {
	if c.claim != nil {
		c.s.releaseClaim(c.claim)
	}
	c.refuse(notRun(refuse.CodeNoTarget, time.Second, err.Error()))
}

// lost ends a run whose request was sent and whose answer was lost. A claim
// stays held for good: nobody can know whether the work was done.
func (c *callRun) lost(a *answer, err error) {
	if c.claim != nil && a != nil {
		// The head of the answer came, so the work is done.
		c.s.answerClaim(c.claim, &a.head, make([]byte, claim.MaxBody+1))
		code := refuse.CodeInterrupted
		if errors.Is(err, errAnswerTooLarge) {
			code = refuse.CodeTooLarge
		}
		c.s.refuse(c.sh, c.r, unknown(code, 0, fmt.Sprintf("the request ran, and its answer was lost: %v", err)), c.bill())
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

// exchange sends the request once and reads the answer. The error is errNotSent
// where no connection was had. The answer is returned beside an error where its
// head came.
func (c *callRun) exchange(ctx context.Context) (*answer, error) {
	trace := c.s.newTrace()
	req, err := c.request(trace.attach(ctx))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	client := c.s.client
	if c.r.once {
		client = c.s.onceClient
	}
	c.sh.update(c.r, func(*table) { c.r.begin() })
	resp, err := client.Do(req)
	if err != nil && trace.notSent() {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	a := &answer{head: head{status: resp.StatusCode, headers: keptHeaders(resp.Header)}}
	a.body, err = io.ReadAll(io.LimitReader(resp.Body, int64(c.s.opts.MaxAnswer)+1))
	if err == nil && len(a.body) > c.s.opts.MaxAnswer {
		err = errAnswerTooLarge
	}
	return a, err
}

// request returns the request as the target gets it.
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
		if !hopHeader(h.GetName()) {
			req.Header.Add(h.GetName(), h.GetValue())
		}
	}
	req.Header.Set(headerRequest, c.r.request)
	req.Header.Set(headerPriority, strconv.FormatUint(uint64(c.priority), 10))
	setFence(req.Header, c.s.fence.Load())
	propagate(ctx, req.Header)
	return req, nil
}
