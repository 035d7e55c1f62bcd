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

// claimPhase is the progress of a claim that this side process proposed.
type claimPhase int

const (
	// claimWaiting: proposed, not yet decided by the fold.
	claimWaiting claimPhase = iota
	// claimWon: the work may start, or has started.
	claimWon
	// claimAbandoned: the work was not run, and never will be under this claim.
	claimAbandoned
	// claimReleasing: its Release was proposed.
	claimReleasing
	// claimDone: its Done was proposed.
	claimDone
)

// claimStep is the next action on a claim.
type claimStep int

const (
	// stepWait: nothing to do yet.
	stepWait claimStep = iota
	// stepRun: the claim won, and its work may run.
	stepRun
	// stepLost: the claim has not won and never will.
	stepLost
	// stepRelease: the claim won after it was abandoned, and must be released.
	stepRelease
)

// ownClaim is a claim that this side process proposed.
type ownClaim struct {
	item  claim.Claim
	phase claimPhase
	// offset is the claim's offset on the log; 0 until the append is confirmed.
	offset logsvc.Offset
}

// step returns the next action, given the fold's verdict on the claim's request.
// folded reports whether the fold has passed the claim's own offset.
//
// A claim has won if the verdict names it, even if its append is not yet
// confirmed. It has lost if it is folded and the verdict does not name it. Until
// it is folded, the attempt that holds the request may still release it.
func (c *ownClaim) step(v claim.Verdict, folded bool) claimStep {
	held, ok := v.(claim.Held)
	holds := ok && held.Side == c.item.Side && held.Attempt == c.item.Attempt
	switch c.phase {
	case claimWaiting:
		if holds {
			return stepRun
		}
	case claimAbandoned:
		if holds {
			return stepRelease
		}
	case claimReleasing, claimDone:
		if holds {
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

// claimSet holds the unsettled claims of this side process. A claim is settled
// once the fold shows it as lost, released or done.
type claimSet struct {
	mu     sync.Mutex
	claims map[string]*ownClaim
	// changed, if not nil, is closed when a claim may have been decided.
	changed chan struct{}
}

// add adds a claim. It is called before the claim is proposed.
func (cs *claimSet) add(item claim.Claim) *ownClaim {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.claims == nil {
		cs.claims = make(map[string]*ownClaim)
	}
	c := &ownClaim{item: item}
	cs.claims[item.Attempt] = c
	return c
}

// set sets a claim's phase.
func (cs *claimSet) set(c *ownClaim, phase claimPhase) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.phase = phase
}

// forget removes a claim.
func (cs *claimSet) forget(c *ownClaim) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.claims, c.item.Attempt)
}

// has reports whether the set holds the claim of the named attempt.
func (cs *claimSet) has(attempt string) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.claims[attempt] != nil
}

// len returns the number of claims in the set.
func (cs *claimSet) len() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.claims)
}

// proposeClaim queues a claim to be appended to the log, and returns at once.
func (s *Server) proposeClaim(item claim.Claim) *ownClaim {
	s.stats.claims.Add(1)
	c := s.own.add(item)
	s.claimsWriter.Propose(claim.Encode(item), func(at fold.Position, ok bool) {
		if !ok {
			return
		}
		s.own.mu.Lock()
		c.offset = at.Offset
		s.own.mu.Unlock()
		s.notifyClaims()
	})
	return c
}

// notifyClaims wakes the runs that wait for a claim, and sweepClaims. It may be
// called with the follower's lock held.
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
func (cs *claimSet) wait() <-chan struct{} {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.changed == nil {
		cs.changed = make(chan struct{})
	}
	return cs.changed
}

// awaitClaim waits until a claim is decided. won reports whether the claim's work may
// run. If won is false, the verdict is the state of the request. If the context ends
// first, the claim is abandoned and the verdict is nil.
func (s *Server) awaitClaim(ctx context.Context, c *ownClaim) (won bool, v claim.Verdict) {
	for {
		changed := s.own.wait()
		step, verdict := s.stepClaim(c)
		switch step {
		case stepRun:
			// A process that was paused may find both that its claim won and that
			// its deadline has passed. The deadline takes precedence: while the
			// process was paused, other side processes may have been asked about
			// the request and have reported that it was not claimed.
			if deadlinePassed(ctx) {
				s.abandonClaim(c)
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
			s.abandonClaim(c)
			return false, nil
		}
	}
}

// abandonClaim ends a claim whose work was not run. From then on the work is never
// run under this claim, even if the fold later decides that the claim won. A
// refusal with outcome "not run" is therefore true even before the claim is
// appended.
func (s *Server) abandonClaim(c *ownClaim) {
	s.own.set(c, claimAbandoned)
	wake(s.sweepWake)
}

// deadlinePassed reports whether the context's deadline has passed, even if its
// timer has not fired yet.
func deadlinePassed(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && !time.Now().Before(deadline)
}

// stepClaim returns the next action on a claim and the fold's verdict on its
// request. If the claim has won, its phase becomes claimWon. While the fold is
// stale, the action is stepWait and the verdict nil.
func (s *Server) stepClaim(c *ownClaim) (claimStep, claim.Verdict) {
	step, verdict := stepWait, claim.Verdict(nil)
	s.claims.View(func(r *fold.Reader) {
		if r.Stale() {
			return
		}
		s.own.mu.Lock()
		defer s.own.mu.Unlock()
		verdict = s.claimsState.Lookup(c.item.Request, c.item.Fingerprint)
		step = c.step(verdict, c.offset != 0 && r.Offset() >= c.offset)
		if step == stepRun {
			c.phase = claimWon
		}
	})
	return step, verdict
}

// lookupClaim returns the fold's verdict on a request. fresh reports whether the
// fold is not stale.
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

// releaseClaim proposes the release of a request that was not run under the claim.
func (s *Server) releaseClaim(c *ownClaim) {
	s.stats.released.Add(1)
	s.own.set(c, claimReleasing)
	s.claimsWriter.Propose(claim.Encode(claim.Release{
		Request: c.item.Request, Side: c.item.Side, Attempt: c.item.Attempt,
	}), nil)
}

// recordResponse proposes the Done item of a claimed request. A response over
// claim.MaxBody bytes, headers included, is recorded as truncated.
func (s *Server) recordResponse(c *ownClaim, h *head, body []byte) {
	done := claim.Done{
		Request: c.item.Request, Side: c.item.Side, Attempt: c.item.Attempt,
		Status: h.status, Headers: h.headers, Body: body,
	}
	if len(body)+headerBytes(h.headers) > claim.MaxBody {
		done.Headers, done.Body, done.Truncated = nil, nil, true
	}
	s.own.set(c, claimDone)
	s.claimsWriter.Propose(claim.Encode(done), nil)
}

// sweepClaims releases the claims that won after they were abandoned, and removes
// settled claims from the set.
func (s *Server) sweepClaims(ctx context.Context) {
	for {
		select {
		case <-s.sweepWake:
		case <-ctx.Done():
			return
		}
		for _, c := range s.own.withoutWaiter() {
			switch step, _ := s.stepClaim(c); step {
			case stepRelease:
				s.releaseClaim(c)
			case stepLost:
				s.own.forget(c)
			}
		}
	}
}

// withoutWaiter returns the claims that no run waits for or works under.
func (cs *claimSet) withoutWaiter() []*ownClaim {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	var out []*ownClaim
	for _, c := range cs.claims {
		if c.phase != claimWaiting && c.phase != claimWon {
			out = append(out, c)
		}
	}
	return out
}

// headerBytes returns the total size of the headers' names and values.
func headerBytes(headers []claim.Header) int {
	n := 0
	for _, h := range headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}
