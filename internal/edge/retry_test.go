package edge

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// withinResponse returns the result as it appears once part of a response was
// forwarded. A target's own failure cannot be forwarded then.
func withinResponse(e attemptResult, passed bool) attemptResult {
	if !passed {
		return e
	}
	switch e := e.(type) {
	case failed:
		return uncertain{err: errors.New("status 500 within a stream"), forwarded: true}
	case uncertain:
		e.forwarded = true
		return e
	}
	return e
}

func randomResult(rnd *rand.Rand) attemptResult {
	switch rnd.IntN(8) {
	case 0:
		return notRun{sent: true, status: 503}
	case 1:
		return notRun{err: errors.New("cannot connect")}
	case 2:
		return failed{response: &response{status: 500}}
	case 3:
		return uncertain{err: errors.New("reset")}
	case 4:
		return uncertain{err: errors.New("reset"), forwarded: true}
	case 5:
		return uncertain{err: ErrCallerGone}
	case 6:
		return uncertain{err: ErrNotRunUnproven}
	}
	return responded{status: 200}
}

// TestRetryState feeds random attempt results to a retryState and checks its
// invariants: a request that must not run twice is not sent again once it may have
// run, the caller is told "not run" only if that is proved, and a partly forwarded
// response is never followed by another one.
func TestRetryState(t *testing.T) {
	for seed := range uint64(20000) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		c := retryState{repeatable: rnd.IntN(2) == 0, maxTargets: 1 + rnd.IntN(3)}
		c.resumable = c.repeatable && rnd.IntN(2) == 0
		left, sent, ran, passed := 5*time.Second, 0, false, false
		trace := fmt.Sprintf("seed %d: %+v", seed, c)
		for {
			e := withinResponse(randomResult(rnd), passed)
			trace += fmt.Sprintf(" %T%+v", e, e)
			switch e := e.(type) {
			case notRun:
				if e.sent {
					sent++
				}
			case uncertain:
				sent++
				ran = true
				passed = passed || e.forwarded
			default:
				sent++
				ran = true
			}
			left -= time.Duration(rnd.Int64N(int64(3 * time.Second)))
			s := c.next(e, left)
			if _, ok := s.(retryAction); ok {
				if ran && !c.repeatable {
					t.Fatalf("%s: a request that must not run twice is sent again", trace)
				}
				if passed && !c.resumable {
					t.Fatalf("%s: a partly forwarded response is restarted", trace)
				}
				if sent >= c.maxTargets {
					t.Fatalf("%s: sent to more than %d targets", trace, c.maxTargets)
				}
				if left <= 0 {
					t.Fatalf("%s: sent again with %v left, want more than 0", trace, left)
				}
				continue
			}
			checkEnd(t, trace, s, ran, passed)
			break
		}
	}
}

func checkEnd(t *testing.T, trace string, s action, ran, passed bool) {
	t.Helper()
	switch s := s.(type) {
	case rejectAction:
		if passed {
			t.Fatalf("%s: got rejectAction after part of a response was forwarded", trace)
		}
		if ran {
			t.Fatalf("%s: the caller is told that a request that may have run did not", trace)
		}
	case failAction:
		if passed {
			t.Fatalf("%s: got failAction with status %d after part of a response was forwarded", trace, s.status)
		}
		if s.status != statusBadGateway && s.status != statusGatewayTimeout {
			t.Fatalf("%s: got status %d, want 502 or 504", trace, s.status)
		}
	case passFailure:
		if passed {
			t.Fatalf("%s: got passFailure after part of a response was forwarded", trace)
		}
	}
}

// TestExpired: the deadline passes before a response, during one, and after a target
// responded with an error status that was not forwarded.
func TestExpired(t *testing.T) {
	c := retryState{}
	if s, ok := c.expired().(failAction); !ok || s.status != statusGatewayTimeout {
		t.Errorf("before a response: got action %+v, want failAction with status 504", c.expired())
	}
	c.forwarded = true
	if _, ok := c.expired().(disconnect); !ok {
		t.Errorf("during a response: got action %+v, want disconnect", c.expired())
	}
	c.forwarded = false
	c.targetFailure = &response{status: 500}
	if s, ok := c.expired().(passFailure); !ok || s.response != c.targetFailure {
		t.Errorf("with a target's error response: got action %+v, want passFailure with that response", c.expired())
	}
}

// silencePolicy is what a request does with its events; see replaySilence.
type silencePolicy interface {
	play(c *retryState, event byte) action
}

// abandons is the policy that leaves a silent target before another one has the request.
type abandons struct{}

// standsBy is the policy of retryState.
type standsBy struct{}

// Events of a request at a target that lives: its target is silent, and then another target
// refuses (r), fails (f), breaks off (b), is silent too (s), can't be chosen (n) or answers (a).
const silenceEvents = "rfbsna"

// resultOf returns the result of an attempt at the other target, or nil if it answers.
func resultOf(event byte) attemptResult {
	switch event {
	case 'r':
		return notRun{sent: true, status: 503}
	case 'f':
		return failed{response: &response{status: 500}}
	case 'b':
		return uncertain{err: errors.New("reset")}
	case 's':
		return uncertain{err: ErrSilent}
	}
	return nil
}

func (abandons) play(c *retryState, event byte) action {
	act := c.next(uncertain{err: ErrSilent}, time.Second)
	if _, ok := act.(retryAction); !ok {
		return act
	}
	switch event {
	case 'a':
		return c.next(responded{status: 200}, time.Second)
	case 'n':
		return c.giveUp("no other target")
	}
	return c.next(withinResponse(resultOf(event), c.forwarded), time.Second)
}

func (standsBy) play(c *retryState, event byte) action {
	if !c.mayFailOver(c.forwarded) || event == 'n' {
		return nil // The current target is waited for.
	}
	c.standbyOpened()
	switch event {
	case 's': // A further standby may be opened beside it.
	case 'a':
		for c.standbys > 1 {
			c.standbyEnded(uncertain{err: ErrSilent})
		}
		c.takeOver()
		return c.next(responded{status: 200}, time.Second)
	default:
		c.standbyEnded(resultOf(event))
	}
	return nil
}

// replaySilence plays a sequence of silences at a target that goes on after the last one. It
// reports whether the caller gets a whole response, and the number of targets that got the request.
func replaySilence(p silencePolicy, c retryState, events string) (served bool, sent int) {
	for i := range len(events) {
		switch p.play(&c, events[i]).(type) {
		case nil, retryAction:
		case finishAction:
			return true, c.sent
		default:
			return false, c.sent
		}
	}
	for c.standbys > 0 {
		c.standbyEnded(uncertain{err: errNotNeeded})
	}
	_, served = c.next(responded{status: 200}, time.Second).(finishAction)
	return served, c.sent + 1
}

// TestSilenceLosesNoRequest guards against a policy that cuts off a request while its target
// lives and no other one has taken it: all sequences of up to five silences.
func TestSilenceLosesNoRequest(t *testing.T) {
	lost, sequences := 0, 0
	var play func(c retryState, events string)
	play = func(c retryState, events string) {
		sequences++
		if served, sent := replaySilence(standsBy{}, c, events); !served || sent > c.maxTargets {
			t.Errorf("%+v, events %q: served %v at %d targets, want true at %d at most", c, events, served, sent, c.maxTargets)
		}
		if served, _ := replaySilence(abandons{}, c, events); !served {
			lost++
		}
		if len(events) < 5 {
			for i := range len(silenceEvents) {
				play(c, events+silenceEvents[i:i+1])
			}
		}
	}
	for maxTargets := 1; maxTargets <= 3; maxTargets++ {
		for _, forwarded := range []bool{false, true} {
			play(retryState{repeatable: true, resumable: true, maxTargets: maxTargets, forwarded: forwarded}, "")
		}
	}
	if lost == 0 {
		t.Error("the policy that abandons silent targets loses no request in any sequence: the test shows nothing")
	}
	t.Logf("%d sequences; the policy that abandons silent targets loses the request in %d", sequences, lost)
}
