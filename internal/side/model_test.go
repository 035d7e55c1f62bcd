package side

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/internal/stand/memnet"
	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/fleet"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// TestModelRunIsStreamedAndBilledOnce guards against lost tokens, and against a
// bill that is wrong or split wrongly between the charges.
func TestModelRunIsStreamedAndBilledOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &logd.Store{}
		s := newServer(t, log, "s1", &engine{tokens: 5, pause: time.Millisecond}, nil)
		events := runAttempt(t.Context(), s, modelRequest("o/1", "a1", true, 20))
		if got := strings.Count(responseOf(t, "a1", events), "content"); got != 5 {
			t.Errorf("response has %d tokens, want 5", got)
		}
		f := last(events).GetFinish()
		if f.GetBilled() != 12 || len(f.GetCharges()) != 2 || f.GetCharges()[0].GetTokens() != 6 || f.GetCharges()[1].GetTokens() != 6 {
			t.Errorf("finish is %v, want 12 billed as 6 and 6", f)
		}
		stop(t, s)
		if u := usages(t, log); len(u) != 1 || u[0].Request != "o/1" || wire.SumCharges(u[0].Charges) != 12 {
			t.Errorf("usages on the log are %v, want one of 12 for o/1", u)
		}
	})
}

// TestUnstreamedResponseIsAssembledFromTheStream guards against a wrong JSON
// response for a caller that did not ask for a stream: the engine always streams.
func TestUnstreamedResponseIsAssembledFromTheStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, &logd.Store{}, "s1", &engine{tokens: 3}, nil)
		defer stop(t, s)
		var out struct {
			Choices []struct {
				Message      struct{ Content string }
				FinishReason string `json:"finish_reason"`
			}
			Usage usage
		}
		body := responseOf(t, "a1", runAttempt(t.Context(), s, modelRequest("o/1", "a1", false, 20)))
		if err := json.Unmarshal([]byte(body), &out); err != nil {
			t.Fatal(err)
		}
		if out.Choices[0].Message.Content != "t0 t1 t2 " || out.Choices[0].FinishReason != "stop" || out.Usage != (usage{7, 3, 10}) {
			t.Errorf("response is %s, want \"t0 t1 t2 \", reason stop and usage 7, 3, 10", body)
		}
	})
}

// TestOutputIsCutAtTheReservation guards against passing on or billing more output
// than was reserved, when an engine ignores max_tokens.
func TestOutputIsCutAtTheReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &logd.Store{}
		e := &engine{tokens: 50, ignoreMax: true}
		s := newServer(t, log, "s1", e, nil)
		events := runAttempt(t.Context(), s, modelRequest("o/1", "a1", true, 8))
		f := last(events).GetFinish()
		if f.GetFinishReason() != reasonLength || f.GetBilled() != 18 {
			t.Errorf("finish is %v, want 18 tokens billed and the reason %q", f, reasonLength)
		}
		if n := strings.Count(responseOf(t, "a1", events), "content"); n != 8 || e.cancels() != 1 {
			t.Errorf("%d tokens passed on, %d cancellations, want 8 and 1", n, e.cancels())
		}
		stop(t, s)
	})
}

// TestUnkeyedRunIsCancelledWhenItsCallerLeaves guards against an engine that keeps
// working for a caller that has disconnected. A caller without an idempotency key
// cannot join its run again.
func TestUnkeyedRunIsCancelledWhenItsCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &logd.Store{}
		e := &engine{tokens: 100, pause: time.Second}
		s := newServer(t, log, "s1", e, nil)
		ctx, cancel := context.WithTimeout(t.Context(), 4500*time.Millisecond)
		defer cancel()
		runAttempt(ctx, s, modelRequest("o/1", "a1", true, 200))
		synctest.Wait()
		if e.cancels() != 1 {
			t.Errorf("engine received %d cancellations, want 1", e.cancels())
		}
		stop(t, s)
		if u := usages(t, log); len(u) != 1 || wire.SumCharges(u[0].Charges) != 14 {
			t.Errorf("usages are %v, want one of 14: prompt bound 10 and 4 output tokens", u)
		}
	})
}

// TestRetryJoinsAKeyedRunWithinTheGrace guards against a second run, or a second
// bill, when a caller reconnects with its idempotency key.
func TestRetryJoinsAKeyedRunWithinTheGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &logd.Store{}
		e := &engine{tokens: 20, pause: time.Second}
		s := newServer(t, log, "s1", e, nil)
		req := modelRequest("o/1", "a1", true, 100)
		req.Keyed = true
		ctx, cancel := context.WithTimeout(t.Context(), 4500*time.Millisecond)
		defer cancel()
		runAttempt(ctx, s, req)
		time.Sleep(5 * time.Second)
		req2 := modelRequest("o/1", "a2", true, 100)
		req2.Keyed = true
		events := runAttempt(t.Context(), s, req2)
		if n := strings.Count(responseOf(t, "a2", events), "content"); n != 20 || e.started() != 1 {
			t.Errorf("joiner got %d tokens after %d runs, want 20 tokens after 1 run", n, e.started())
		}
		if !events[0].GetStarted().GetJoined() || last(events).GetFinish().GetBilled() != 0 {
			t.Errorf("joiner's first event is %v and its last is %v, want joined set and 0 billed", events[0], last(events))
		}
		replay := runAttempt(t.Context(), s, &wire.RunRequest{RequestId: "o/1", AttemptId: "a3", Service: "svc", Fingerprint: []byte("f"), Charges: req.Charges, Work: req.Work})
		if responseOf(t, "a3", replay) != responseOf(t, "a2", events) || e.started() != 1 {
			t.Errorf("finished response was not replayed: got %v after %d runs, want the first response after 1", replay, e.started())
		}
		reused := modelRequest("o/1", "a4", true, 100)
		reused.Fingerprint = []byte("other")
		if r := last(runAttempt(t.Context(), s, reused)).GetRefused(); r.GetCode() != "idempotency-key-reused" || r.GetOutcome() != "not-run" {
			t.Errorf("attempt with a reused key was refused with %v, want idempotency-key-reused, not-run", r)
		}
		stop(t, s)
		if u := usages(t, log); len(u) != 1 || wire.SumCharges(u[0].Charges) != 27 {
			t.Errorf("usages are %v, want one of 27 tokens", u)
		}
	})
}

// TestKeyedRunIsCancelledAfterTheGrace guards against cancelling a keyed run while
// its caller may still come back, and against never cancelling it.
func TestKeyedRunIsCancelledAfterTheGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{tokens: 100, pause: time.Second}
		s := newServer(t, &logd.Store{}, "s1", e, nil)
		req := modelRequest("o/1", "a1", true, 200)
		req.Keyed = true
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		runAttempt(ctx, s, req)
		time.Sleep(defaultGrace - time.Second)
		if e.cancels() != 0 {
			t.Errorf("run was cancelled within the grace period, want it to continue")
		}
		time.Sleep(2 * time.Second)
		if e.cancels() != 1 {
			t.Errorf("run was not cancelled exactly once after the grace period")
		}
		stop(t, s)
	})
}

// TestStalledEngineIsCancelledAndRefused guards against a run that waits for ever
// for a stalled engine, and against a refusal with outcome "not run" although
// tokens were produced.
func TestStalledEngineIsCancelledAndRefused(t *testing.T) {
	for _, c := range []struct {
		name    string
		after   int
		outcome string
		billed  int64
	}{
		{"before the first token", 0, "not-run", 0},
		{"between tokens", 3, "unknown", 13},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := &logd.Store{}
				e := &engine{tokens: 10, stallAfter: c.after}
				if c.after == 0 {
					e.pause = 24 * time.Hour
				}
				s := newServer(t, log, "s1", e, nil)
				r := last(runAttempt(t.Context(), s, modelRequest("o/1", "a1", true, 100))).GetRefused()
				if r.GetOutcome() != c.outcome || r.GetCode() != "interrupted" || e.cancels() != 1 {
					t.Errorf("refusal is %v with %d cancellations, want interrupted, %s with 1 cancellation", r, e.cancels(), c.outcome)
				}
				reply, _ := s.Outcome(t.Context(), &wire.OutcomeRequest{RequestId: "o/1", AttemptId: "a1"})
				if reply.GetState() != c.outcome || reply.GetBilled() != c.billed {
					t.Errorf("outcome is %v, want %s with %d billed", reply, c.outcome, c.billed)
				}
				stop(t, s)
			})
		})
	}
}

// TestClosingIsAcknowledgedAfterTheRunIsBilled guards against a holder's closing
// that becomes final while a run charged to it is in progress or its usage is not
// on the log.
func TestClosingIsAcknowledgedAfterTheRunIsBilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &logd.Store{}
		s := newServer(t, log, "s1", &engine{tokens: 20, pause: time.Second}, nil)
		done := make(chan []*wire.RunEvent)
		go func() { done <- runAttempt(t.Context(), s, modelRequest("o/1", "a1", true, 100)) }()
		time.Sleep(5 * time.Second)
		operator := newServer(t, log, "op", &engine{}, nil)
		operator.fleetWriter.Propose(fleet.Encode(fleet.HolderClose{Holder: "r2~1"}), nil)
		time.Sleep(5 * time.Second)
		if acks := acksOf(t, log, "s1"); len(acks) != 0 {
			t.Errorf("acknowledged closings are %v while a run was charged to the holder, want none", acks)
		}
		refused := last(runAttempt(t.Context(), s, modelRequest("o/2", "b1", true, 100))).GetRefused()
		if refused.GetCode() != "holder-closed" || refused.GetOutcome() != "not-run" {
			t.Errorf("work charged to the closed holder got %v, want holder-closed, not-run", refused)
		}
		if f := last(<-done).GetFinish(); f.GetBilled() != 27 {
			t.Errorf("run in progress finished with %v, want 27 billed", f)
		}
		log.Switches.Set(logd.Switches{Outage: true})
		time.Sleep(time.Minute)
		log.Switches.Set(logd.Switches{})
		time.Sleep(5 * time.Second)
		if acks := acksOf(t, log, "s1"); len(acks) != 1 || len(usages(t, log)) != 1 {
			t.Errorf("acknowledgements are %v and usages %v, want one of each", acks, usages(t, log))
		}
		stop(t, operator)
		stop(t, s)
	})
}

// acksOf returns the holders whose closings the side acknowledged.
func acksOf(t *testing.T, log *logd.Store, side string) []string {
	t.Helper()
	var out []string
	for _, item := range itemsOf(t, log, ledger.FleetStream) {
		if it, _ := fleet.Decode(item); it != nil {
			if a, ok := it.(fleet.Ack); ok && string(a.Side) == side {
				out = append(out, string(a.Holder))
			}
		}
	}
	return out
}

// TestDrainingRefusesAndStopEndsRunsAndCloses guards against a Stop that takes new
// work, drops a run in progress, or closes the side before its usage is on the log.
func TestDrainingRefusesAndStopEndsRunsAndCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &logd.Store{}
		s := newServer(t, log, "s1", &engine{tokens: 20, pause: time.Second}, nil)
		done := make(chan []*wire.RunEvent)
		go func() { done <- runAttempt(t.Context(), s, modelRequest("o/1", "a1", true, 100)) }()
		time.Sleep(5 * time.Second)
		if n := s.Vars().Get("runs-outstanding").String(); n != "1" {
			t.Errorf("%s runs are outstanding, want 1", n)
		}
		go stop(t, s)
		synctest.Wait()
		r := last(runAttempt(t.Context(), s, modelRequest("o/2", "b1", true, 100))).GetRefused()
		if r.GetCode() != "leaving" || r.GetOutcome() != "not-run" || !r.GetStatus().GetLeaving() {
			t.Errorf("new work was refused with %v, want leaving, not-run, and leaving set in the status", r)
		}
		if f := last(<-done).GetFinish(); f.GetBilled() != 27 {
			t.Errorf("run in progress ended with %v, want 27 billed", f)
		}
		time.Sleep(time.Second)
		items := itemsOf(t, log, ledger.FleetStream)
		if it, _ := fleet.Decode(items[len(items)-1]); it != (fleet.SideClose{Side: "s1"}) || len(usages(t, log)) != 1 {
			t.Errorf("last fleet item is %#v and usages are %v, want the SideClose of s1 and one usage", it, usages(t, log))
		}
	})
}

// TestResponseWithoutOutputIsBilledForItsPrompt guards against a free prompt: a
// complete response is billed even if it has no output.
func TestResponseWithoutOutputIsBilledForItsPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, &logd.Store{}, "s1", &engine{tokens: 0}, nil)
		if f := last(runAttempt(t.Context(), s, modelRequest("o/1", "a1", true, 9))).GetFinish(); f.GetBilled() != 7 {
			t.Errorf("finish is %v, want 7 billed", f)
		}
		stop(t, s)
	})
}

// TestFencedOffSideStartsNoRun guards against a run at a side process that the
// engine has fenced off: a later side process has taken over the target.
func TestFencedOffSideStartsNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{tokens: 1, fencedOff: true}
		s := New(Options{
			Incarnation: "s1", Service: "svc", Target: "http://target", Log: &logd.Store{},
			Transport: memnet.Transport{Handler: e}, TargetChecksFence: true,
		})
		s.Start()
		time.Sleep(time.Minute)
		wantRefusal(t, runAttempt(t.Context(), s, modelRequest("o/1", "a1", true, 9)), refuse.CodeDraining, refuse.NotRun)
		if len(e.fences) != 1 || s.Registered() {
			t.Errorf("engine received %d orders and the side is registered: %v, want 1 order and false", len(e.fences), s.Registered())
		}
		stop(t, s)
	})
}

// TestEngineIsFencedBeforeWorkStarts guards against a side process that registers
// before the engine has its fencing number, when an earlier one may still run work.
func TestEngineIsFencedBeforeWorkStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{tokens: 1}
		s := newServer(t, &logd.Store{}, "s1", e, func(o *Options) { o.TargetChecksFence = true })
		if len(e.fences) != 1 || e.fences[0] != `1 {"action":"fence","fence":1}` {
			t.Errorf("orders are %q, want the fence order with number 1", e.fences)
		}
		stop(t, s)
	})
}

// blockedCaller is a caller that never reads its events.
type blockedCaller struct {
	caller
}

func (c *blockedCaller) Send(*wire.RunEvent) error {
	<-c.ctx.Done()
	return c.ctx.Err()
}

// TestCallerThatDoesNotReadBlocksNoRun guards against a run that cannot end, and
// so keeps its slot, while its caller does not read.
func TestCallerThatDoesNotReadBlocksNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &logd.Store{}
		s := newServer(t, log, "s1", &engine{tokens: 20, pause: time.Second}, func(o *Options) { o.MaxRunning = 1 })
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = s.Run(modelRequest("o/1", "a1", true, 100), &blockedCaller{caller{ctx: ctx}}) }()
		time.Sleep(time.Minute)
		if u := usages(t, log); len(u) != 1 || wire.SumCharges(u[0].Charges) != 27 {
			t.Errorf("usages are %v, want one of 27 tokens", u)
		}
		if f := last(runAttempt(t.Context(), s, modelRequest("o/2", "b1", true, 100))).GetFinish(); f.GetBilled() != 27 {
			t.Errorf("next request finished with %v, want 27 billed", f)
		}
		stop(t, s)
	})
}
