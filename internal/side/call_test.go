package side

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/internal/stand/memnet"
	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// app is an application that counts the runs of each request.
type app struct {
	mu   sync.Mutex
	runs map[string]int
	// wait is the time that each run takes. If silent is set, the app never
	// responds.
	wait   time.Duration
	silent bool
	down   bool
	body   string
}

func (a *app) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/status" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	a.mu.Lock()
	if a.runs == nil {
		a.runs = make(map[string]int)
	}
	id := r.Header.Get(headerRequest)
	a.runs[id]++
	n, wait, silent, body := a.runs[id], a.wait, a.silent, a.body
	a.mu.Unlock()
	time.Sleep(wait)
	if silent {
		<-r.Context().Done()
		return
	}
	w.Header().Set("X-Run", fmt.Sprint(n))
	w.WriteHeader(http.StatusConflict)
	_, _ = io.WriteString(w, "reserved "+id+body)
}

func (a *app) count(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runs[id]
}

// transport sets a transport that reaches the app, and refuses connections while
// it is down.
func (a *app) transport(o *Options) {
	o.Transport = memnet.Transport{Handler: a, Refused: func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.down
	}}
}

func (a *app) set(fn func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	fn()
}

func callRequest(id, attempt string) *wire.RunRequest {
	return &wire.RunRequest{
		RequestId: id, AttemptId: attempt, Service: "svc", Budget: "b", Fingerprint: []byte("f"), Once: true, Keyed: true,
		Charges: []*wire.Charge{{Holder: "r1~1", Tokens: 5}},
		Work:    &wire.RunRequest_Call{Call: &wire.CallWork{Method: "POST", Path: "/reserve?part=7", Body: []byte("{}"), Price: 3}},
	}
}

// refusalOf returns the refusal that ended a stream.
func refusalOf(events []*wire.RunEvent) (refuse.Code, refuse.Outcome) {
	r := last(events).GetRefused()
	return refuse.Code(r.GetCode()), refuse.Outcome(r.GetOutcome())
}

func wantRefusal(t *testing.T, events []*wire.RunEvent, code refuse.Code, outcome refuse.Outcome) {
	t.Helper()
	if c, o := refusalOf(events); c != code || o != outcome {
		t.Errorf("last event is %v, want a refusal with code %s and outcome %s", last(events), code, outcome)
	}
}

// TestOnceCallRunsOnceAndIsReplayedElsewhere guards against a second run, or a
// second bill, when a non-idempotent call is retried at another side process.
func TestOnceCallRunsOnceAndIsReplayedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, a := &logd.Store{}, &app{}
		s1 := newServer(t, log, "s1", a, nil)
		s2 := newServer(t, log, "s2", a, nil)
		first := runAttempt(t.Context(), s1, callRequest("o/1", "a1"))
		time.Sleep(time.Second)
		second := runAttempt(t.Context(), s2, callRequest("o/1", "a2"))
		for name, events := range map[string][]*wire.RunEvent{"a1": first, "a2": second} {
			if responseOf(t, name, events) != "reserved o/1" || events[1].GetHead().GetStatus() != 409 {
				t.Errorf("attempt %s got events %v, want status 409 and body \"reserved o/1\"", name, events)
			}
		}
		if last(first).GetFinish().GetBilled() != 3 || last(second).GetFinish().GetBilled() != 0 || a.count("o/1") != 1 {
			t.Errorf("last events are %v and %v after %d runs, want 3 and 0 billed after 1 run", last(first), last(second), a.count("o/1"))
		}
		reused := callRequest("o/1", "a3")
		reused.Fingerprint = []byte("g")
		wantRefusal(t, runAttempt(t.Context(), s2, reused), refuse.CodeKeyReused, refuse.NotRun)
		stop(t, s1)
		stop(t, s2)
		if u := usages(t, log); len(u) != 1 || wire.SumCharges(u[0].Charges) != 3 {
			t.Errorf("usages are %v, want one of 3 tokens", u)
		}
	})
}

// TestOnceCallHeldElsewhereIsRefusedAsUnknown guards against a run at a second
// side process while the first one holds the claim, or after the first one died
// while it held the claim.
func TestOnceCallHeldElsewhereIsRefusedAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, a := &logd.Store{}, &app{silent: true}
		s1 := newServer(t, log, "s1", a, nil)
		s2 := newServer(t, log, "s2", a, nil)
		go runAttempt(t.Context(), s1, callRequest("o/1", "a1"))
		time.Sleep(time.Second)
		wantRefusal(t, runAttempt(t.Context(), s2, callRequest("o/1", "a2")), refuse.CodeInProgress, refuse.Unknown)
		s1.shutDown() // s1 dies between the run and the response
		s2.fleetWriter.Propose(sideGoneItem("s1"), nil)
		time.Sleep(time.Second)
		wantRefusal(t, runAttempt(t.Context(), s2, callRequest("o/1", "a3")), refuse.CodeInterrupted, refuse.Unknown)
		if a.count("o/1") != 1 {
			t.Errorf("target ran %d times, want 1", a.count("o/1"))
		}
		stop(t, s2)
	})
}

// TestOnceCallInALogOutageIsNeverRun guards against a run of a call that was
// refused as not run. The claim of the call may reach the log after the refusal, and
// the work must not start in this case.
func TestOnceCallInALogOutageIsNeverRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, a := &logd.Store{}, &app{}
		s1 := newServer(t, log, "s1", a, nil)
		log.Switches.Set(logd.Switches{Outage: true})
		wantRefusal(t, runAttempt(t.Context(), s1, callRequest("o/1", "a1")), refuse.CodeLogUnavailable, refuse.NotRun)
		log.Switches.Set(logd.Switches{})
		time.Sleep(10 * time.Second)
		if a.count("o/1") != 0 {
			t.Errorf("target ran %d times after the refusal, want 0", a.count("o/1"))
		}
		if got := responseOf(t, "a2", runAttempt(t.Context(), s1, callRequest("o/1", "a2"))); got != "reserved o/1" {
			t.Errorf("retry after the outage got %q, want \"reserved o/1\"", got)
		}
		stop(t, s1)
	})
}

// TestOnceCallWithoutAConnectionIsReleased guards against a claim that stays held
// although its request was never sent, which would block every retry.
func TestOnceCallWithoutAConnectionIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, a := &logd.Store{}, &app{down: true}
		s1 := newServer(t, log, "s1", a, a.transport)
		s2 := newServer(t, log, "s2", a, nil)
		wantRefusal(t, runAttempt(t.Context(), s1, callRequest("o/1", "a1")), refuse.CodeNoTarget, refuse.NotRun)
		time.Sleep(time.Second)
		if got := responseOf(t, "a2", runAttempt(t.Context(), s2, callRequest("o/1", "a2"))); got != "reserved o/1" || a.count("o/1") != 1 {
			t.Errorf("retry elsewhere got %q after %d runs, want \"reserved o/1\" after 1", got, a.count("o/1"))
		}
		stop(t, s1)
		stop(t, s2)
	})
}

// TestLateResponseIsRecordedAndBilled guards against losing the response and the
// bill of a non-idempotent call whose callers were already refused.
func TestLateResponseIsRecordedAndBilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, a := &logd.Store{}, &app{wait: 30 * time.Second}
		s1 := newServer(t, log, "s1", a, nil)
		wantRefusal(t, runAttempt(t.Context(), s1, callRequest("o/1", "a1")), refuse.CodeInProgress, refuse.Unknown)
		wantRefusal(t, runAttempt(t.Context(), s1, callRequest("o/1", "a2")), refuse.CodeInProgress, refuse.Unknown)
		time.Sleep(30 * time.Second)
		if got := responseOf(t, "a3", runAttempt(t.Context(), s1, callRequest("o/1", "a3"))); got != "reserved o/1" || a.count("o/1") != 1 {
			t.Errorf("retry got %q after %d runs, want \"reserved o/1\" after 1", got, a.count("o/1"))
		}
		reply, _ := s1.Outcome(t.Context(), &wire.OutcomeRequest{RequestId: "o/1", AttemptId: "a1"})
		if reply.GetState() != "finished" || reply.GetBilled() != 3 {
			t.Errorf("outcome is %v, want finished with 3 billed", reply)
		}
		stop(t, s1)
		if u := usages(t, log); len(u) != 1 {
			t.Errorf("usages are %v, want one", u)
		}
	})
}

// TestResponseTooLargeToKeepIsNotRunAgain guards against a second run of a request
// whose response exceeds claim.MaxBody and therefore cannot be replayed.
func TestResponseTooLargeToKeepIsNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, a := &logd.Store{}, &app{body: string(make([]byte, 20<<10))}
		s1 := newServer(t, log, "s1", a, nil)
		s2 := newServer(t, log, "s2", a, nil)
		if n := len(responseOf(t, "a1", runAttempt(t.Context(), s1, callRequest("o/1", "a1")))); n < 20<<10 {
			t.Errorf("response has %d bytes, want at least %d", n, 20<<10)
		}
		time.Sleep(time.Second)
		wantRefusal(t, runAttempt(t.Context(), s2, callRequest("o/1", "a2")), refuse.CodeInterrupted, refuse.Unknown)
		if a.count("o/1") != 1 {
			t.Errorf("target ran %d times, want 1", a.count("o/1"))
		}
		stop(t, s1)
		stop(t, s2)
	})
}

// TestOutcomeOfAnAttemptThatNeverArrived guards against an attempt that is
// reported as not run, arrives later and runs. Only the side process that the
// attempt was sent to may report it as not run.
func TestOutcomeOfAnAttemptThatNeverArrived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &app{}
		s := newServer(t, &logd.Store{}, "s1", a, nil)
		ask := func(attempt, side string) string {
			reply, _ := s.Outcome(t.Context(), &wire.OutcomeRequest{RequestId: "o/1", AttemptId: attempt, Side: side})
			return reply.GetState()
		}
		if got := ask("a1", ""); got != "unknown" {
			t.Errorf("outcome of an attempt with no side named is %q, want unknown", got)
		}
		if got := ask("a1", "s0"); got != "unknown" {
			t.Errorf("outcome of an attempt at another side is %q, want unknown", got)
		}
		if got := ask("a1", "s1"); got != "not-run" {
			t.Errorf("outcome is %q, want not-run", got)
		}
		wantRefusal(t, runAttempt(t.Context(), s, callRequest("o/1", "a1")), refuse.CodeInterrupted, refuse.NotRun)
		if a.count("o/1") != 0 {
			t.Errorf("attempt ran %d times after it was reported as not run, want 0", a.count("o/1"))
		}
		stop(t, s)
	})
}

// TestLateResponseHoldsNoSlot guards against calls on silent connections that keep
// their slots while a late response is awaited, and so block all other calls.
func TestLateResponseHoldsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &app{silent: true}
		s := newServer(t, &logd.Store{}, "s1", a, func(o *Options) { o.MaxRunning, o.MaxQueue = 1, 1 })
		wantRefusal(t, runAttempt(t.Context(), s, callRequest("o/1", "a1")), refuse.CodeInProgress, refuse.Unknown)
		a.set(func() { a.silent = false })
		if got := responseOf(t, "a2", runAttempt(t.Context(), s, callRequest("o/2", "a2"))); got != "reserved o/2" {
			t.Errorf("call after a silent one got %q, want \"reserved o/2\"", got)
		}
		stop(t, s)
	})
}

// TestQueueIsBoundedAndOrderedByPriority guards against an unbounded queue, and
// against calls of equal priority that overtake each other.
func TestQueueIsBoundedAndOrderedByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &app{wait: time.Second}
		s := newServer(t, &logd.Store{}, "s1", a, func(o *Options) { o.MaxRunning, o.MaxQueue = 1, 2 })
		var mu sync.Mutex
		var order []string
		var tries sync.WaitGroup
		for i, priority := range []uint32{5, 5, 1, 3} {
			req := callRequest(fmt.Sprint("o/", i), fmt.Sprint("a", i))
			req.Once, req.Priority = false, priority
			tries.Go(func() {
				events := runAttempt(t.Context(), s, req)
				mu.Lock()
				defer mu.Unlock()
				if code, outcome := refusalOf(events); code != "" {
					order = append(order, fmt.Sprint(i, " ", code, " ", outcome))
					return
				}
				order = append(order, fmt.Sprint(i))
			})
			time.Sleep(time.Millisecond)
		}
		tries.Wait()
		if want := "[3 busy not-run 0 2 1]"; fmt.Sprint(order) != want {
			t.Errorf("calls, by number or refusal, ended in the order %v, want %s", order, want)
		}
		stop(t, s)
	})
}

// TestEngineSideReadsNoClaims guards against a call that runs at an engine's side
// process. This side process does not read the claims stream, so it cannot find
// out whether a non-idempotent call has run.
func TestEngineSideReadsNoClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, a := &logd.Store{}, &app{}
		s := newServer(t, log, "s1", a, func(o *Options) { o.ModelsOnly = true })
		wantRefusal(t, runAttempt(t.Context(), s, callRequest("o/1", "a1")), refuse.CodeBadRequest, refuse.NotRun)
		time.Sleep(time.Minute) // longer than a read of a quiet stream takes
		if !s.claims.FreshAt().IsZero() {
			t.Error("side process of an engine read the claims stream, want no read")
		}
		stop(t, s)
	})
}
