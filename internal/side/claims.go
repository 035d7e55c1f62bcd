package side

import (
	"context"
	"sync"
	"time"

	"github.com/beryllanding/beryllanding/pkg/claim"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// claimPhase is how far a claim of this side is.
type claimPhase int

const (
	// claimWaiting: proposed, and the fold has not decided.
	claimWaiting claimPhase = iota
	// claimWon: the work may run, and may have run.
	claimWon
	// claimGivenUp: the work was not run and never will be under this claim.
	claimGivenUp
	// claimReleasing: a release of it was proposed.
	claimReleasing
	// claimAnswered: its answer was proposed.
	claimAnswered
)

// claimStep is what to do about a claim.
type claimStep int

const (
	// stepWait: nothing yet.
	stepWait claimStep = iota
	// stepRun: the claim won, and its work may run.
	stepRun
	// stepLost: the claim has not won and never will.
	stepLost
	// stepRelease: the claim that was given up won, and must be released.
	stepRelease
)

// ownClaim is a claim that this side proposed.
type ownClaim struct {
	item  claim.Claim
	phase claimPhase
	// at is the claim's offset; 0 while the append's answer is not known.
	at logsvc.Offset
}

// step decides by the fold's verdict on the claim's request. folded says that
// the fold has passed the claim's own offset.
//
// A claim wins while the verdict names it, whether or not the append's answer
// came. It has lost only once it is folded: until then, the request's present
// holder may release it before the claim's turn.
func (c *ownClaim) step(v claim.Verdict, folded bool) claimStep {
	held, ok := v.(claim.Held)
	mine := ok && held.Side == c.item.Side && held.Attempt == c.item.Attempt
	switch c.phase {
	case claimWaiting:
		if mine {
			return stepRun
		}
	case claimGivenUp:
		if mine {
			return stepRelease
		}
	case claimReleasing, claimAnswered:
		if mine {
			return stepWait
		}
	case claimWon:
		return stepWait
	}
	if folded {
		return stepLost
	}
	return stepWait
}

// ownClaims are the claims of this side that are not yet dealt with.
type ownClaims struct {
	mu     sync.Mutex
	claims map[string]*ownClaim
	// changed, where set, is closed when a claim may be decided.
	changed chan struct{}
}

// add notes a claim before it is proposed.
func (o *ownClaims) add(item claim.Claim) *ownClaim {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.claims == nil {
		o.claims = make(map[string]*ownClaim)
	}
	c := &ownClaim{item: item}
	o.claims[item.Attempt] = c
	return c
}

// set changes a claim's phase.
func (o *ownClaims) set(c *ownClaim, phase claimPhase) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c.phase = phase
}

// forget drops a claim that is dealt with.
func (o *ownClaims) forget(c *ownClaim) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.claims, c.item.Attempt)
}

// has reports whether the named claim is not yet dealt with.
func (o *ownClaims) has(attempt string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.claims[attempt] != nil
}

// len returns the number of claims not yet dealt with.
func (o *ownClaims) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.claims)
}

// proposeClaim puts a claim on the log in the background.
func (s *Server) proposeClaim(item claim.Claim) *ownClaim {
	s.stats.claims.Add(1)
	c := s.own.add(item)
	s.claimsWriter.Propose(claim.Encode(item), func(at fold.Position, ok bool) {
		if !ok {
			return
		}
		s.own.mu.Lock()
		c.at = at.Offset
		s.own.mu.Unlock()
		s.notifyClaims()
	})
	return c
}

// notifyClaims makes those that wait for a decision look again. It may be called
// under the follower's lock.
func (s *Server) notifyClaims() {
	s.own.mu.Lock()
	defer s.own.mu.Unlock()
	if s.own.changed != nil {
		close(s.own.changed)
		s.own.changed = nil
	}
	wake(s.sweepWake)
}

// wait returns a channel that is closed at the next notification.
func (o *ownClaims) wait() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.changed == nil {
		o.changed = make(chan struct{})
	}
	return o.changed
}

// awaitClaim waits for the decision on a claim. won says that its work may run;
// otherwise the verdict says who has the request. Where the context ends first
// the claim is given up, and the verdict is nil.
func (s *Server) awaitClaim(ctx context.Context, c *ownClaim) (won bool, v claim.Verdict) {
	for {
		changed := s.own.wait()
		step, verdict := s.stepClaim(c)
		switch step {
		case stepRun:
			// A process that was stopped for a while finds its claim won and its
			// time over at once. The time goes first: others were asked about the
			// request meanwhile, and told that it was not claimed.
			if overdue(ctx) {
				s.giveUp(c)
				return false, nil
			}
			return true, verdict
		case stepLost:
			s.own.forget(c)
			return false, verdict
		}
		select {
		case <-changed:
		case <-ctx.Done():
			s.giveUp(c)
			return false, nil
		}
	}
}

// giveUp ends a claim whose work was not run. From here on the work is never run
// under it, whatever the fold says of it later. So the refusal that follows is
// true although the claim may still be on its way to the log.
func (s *Server) giveUp(c *ownClaim) {
	s.own.set(c, claimGivenUp)
	wake(s.sweepWake)
}

// overdue reports whether the context's deadline has passed, also where its
// timer has not run yet.
func overdue(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && !time.Now().Before(deadline)
}

// stepClaim asks the fold about a claim. A claim that won is noted as such.
func (s *Server) stepClaim(c *ownClaim) (claimStep, claim.Verdict) {
	step, verdict := stepWait, claim.Verdict(nil)
	s.claims.View(func(r *fold.Reader) {
		if r.Stale() {
			return
		}
		s.own.mu.Lock()
		defer s.own.mu.Unlock()
		verdict = s.claimsState.Lookup(c.item.Request, c.item.Fingerprint)
		step = c.step(verdict, c.at != 0 && r.Offset() >= c.at)
		if step == stepRun {
			c.phase = claimWon
		}
	})
	return step, verdict
}

// lookupClaim returns the fold's verdict on a request, and whether the fold is
// not behind a gap.
func (s *Server) lookupClaim(request string, fingerprint []byte) (v claim.Verdict, fresh bool) {
	s.claims.View(func(r *fold.Reader) {
		fresh = !r.Stale()
		v = s.claimsState.Lookup(request, fingerprint)
	})
	return v, fresh
}

// sideOpen reports whether a side is registered and has not ended.
func (s *Server) sideOpen(side ident.Incarnation) bool {
	open := false
	s.fleet.View(func(*fold.Reader) { open = s.fleetState.Open(side) })
	return open
}

// releaseClaim frees a request that was not run under the claim.
func (s *Server) releaseClaim(c *ownClaim) {
	s.stats.released.Add(1)
	s.own.set(c, claimReleasing)
	s.claimsWriter.Propose(claim.Encode(claim.Release{
		Request: c.item.Request, Side: c.item.Side, Attempt: c.item.Attempt,
	}), nil)
}

// answerClaim records the answer to a request.
func (s *Server) answerClaim(c *ownClaim, h *head, body []byte) {
	done := claim.Done{
		Request: c.item.Request, Side: c.item.Side, Attempt: c.item.Attempt,
		Status: h.status, Headers: h.headers, Body: body,
	}
	if len(body)+headerBytes(h.headers) > claim.MaxBody {
		done.Headers, done.Body, done.Truncated = nil, nil, true
	}
	s.own.set(c, claimAnswered)
	s.claimsWriter.Propose(claim.Encode(done), nil)
}

// sweepClaims releases the claims that were given up and won later, and forgets
// those that are dealt with.
func (s *Server) sweepClaims(ctx context.Context) {
	for {
		select {
		case <-s.sweepWake:
		case <-ctx.Done():
			return
		}
		for _, c := range s.own.unattended() {
			switch step, _ := s.stepClaim(c); step {
			case stepRelease:
				s.releaseClaim(c)
			case stepLost:
				s.own.forget(c)
			}
		}
	}
}

// unattended returns the claims that no run waits on.
func (o *ownClaims) unattended() []*ownClaim {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []*ownClaim
	for _, c := range o.claims {
		if c.phase != claimWaiting && c.phase != claimWon {
			out = append(out, c)
		}
	}
	return out
}

// headerBytes returns the size of the headers.
func headerBytes(headers []claim.Header) int {
	n := 0
	for _, h := range headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}
