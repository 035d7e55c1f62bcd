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
	// wait is the time that each run takes. Where drop is set, no answer comes.
	wait time.Duration
	drop bool
	down bool
	body string
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
	n, wait, drop, body := a.runs[id], a.wait, a.drop, a.body
	a.mu.Unlock()
	time.Sleep(wait)
	if drop {
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

// transport reaches the app, unless it is down.
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
		t.Errorf("got %v, want a refusal %s, %s", last(events), code, outcome)
	}
}

func TestOnceCallRunsOnceAndIsReplayedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, a := &logd.Store{}, &app{}
		s1 := newServer(t, log, "s1", a, nil)
		s2 := newServer(t, log, "s2", a, nil)
		first := try(t.Context(), s1, callRequest("o/1", "a1"))
		time.Sleep(time.Second)
		second := try(t.Context(), s2, callRequest("o/1", "a2"))
		for name, events := range map[string][]*wire.RunEvent{"a1": first, "a2": second} {
			if answerOf(t, name, events) != "reserved o/1" || events[1].GetHead().GetStatus() != 409 {
				t.Errorf("attempt %s got %v", name, events)
			}
		}
		if last(first).GetFinish().GetBilled() != 3 || last(second).GetFinish().GetBilled() != 0 || a.count("o/1") != 1 {
			t.Errorf("billed %v and %v for %d runs", last(first), last(second), a.count("o/1"))
		}
		reused := callRequest("o/1", "a3")
		reused.Fingerprint = []byte("g")
		wantRefusal(t, try(t.Context(), s2, reused), refuse.CodeKeyReused, refuse.NotRun)
		stop(t, s1)
		stop(t, s2)
		if u := usages(t, log); len(u) != 1 || wire.SumCharges(u[0].Charges) != 3 {
			t.Errorf("usages are %v", u)
		}
	})
}

func TestOnceCallHeldElsewhereIsRefusedAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, a := &logd.Store{}, &app{drop: true}
		s1 := newServer(t, log, "s1", a, nil)
		s2 := newServer(t, log, "s2", a, nil)
		go try(t.Context(), s1, callRequest("o/1", "a1"))
		time.Sleep(time.Second)
		wantRefusal(t, try(t.Context(), s2, callRequest("o/1", "a2")), refuse.CodeInProgress, refuse.Unknown)
		s1.shutDown() // s1 dies between the run and the answer
		s2.fleetWriter.Propose(gone("s1"), nil)
		time.Sleep(time.Second)
		wantRefusal(t, try(t.Context(), s2, callRequest("o/1", "a3")), refuse.CodeInterrupted, refuse.Unknown)
		if a.count("o/1") != 1 {
			t.Errorf("target ran %d times", a.count("o/1"))
		}
		stop(t, s2)
	})
}

func TestOnceCallInALogOutageIsNeverRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, a := &logd.Store{}, &app{}
		s1 := newServer(t, log, "s1", a, nil)
		log.Switches.Set(logd.Switches{Outage: true})
		wantRefusal(t, try(t.Context(), s1, callRequest("o/1", "a1")), refuse.CodeLogDown, refuse.NotRun)
		log.Switches.Set(logd.Switches{})
		time.Sleep(10 * time.Second)
		if a.count("o/1") != 0 {
			t.Errorf("target ran %d times after the refusal", a.count("o/1"))
		}
		if got := answerOf(t, "a2", try(t.Context(), s1, callRequest("o/1", "a2"))); got != "reserved o/1" {
			t.Errorf("retry after the outage got %q", got)
		}
		stop(t, s1)
	})
}

func TestOnceCallWithoutAConnectionIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, a := &logd.Store{}, &app{down: true}
		s1 := newServer(t, log, "s1", a, a.transport)
		s2 := newServer(t, log, "s2", a, nil)
		wantRefusal(t, try(t.Context(), s1, callRequest("o/1", "a1")), refuse.CodeNoTarget, refuse.NotRun)
		time.Sleep(time.Second)
		if got := answerOf(t, "a2", try(t.Context(), s2, callRequest("o/1", "a2"))); got != "reserved o/1" || a.count("o/1") != 1 {
			t.Errorf("retry elsewhere got %q after %d runs", got, a.count("o/1"))
		}
		stop(t, s1)
		stop(t, s2)
	})
}

func TestLateAnswerIsRecordedAndBilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, a := &logd.Store{}, &app{wait: 30 * time.Second}
		s1 := newServer(t, log, "s1", a, nil)
		wantRefusal(t, try(t.Context(), s1, callRequest("o/1", "a1")), refuse.CodeInProgress, refuse.Unknown)
		wantRefusal(t, try(t.Context(), s1, callRequest("o/1", "a2")), refuse.CodeInProgress, refuse.Unknown)
		time.Sleep(30 * time.Second)
		if got := answerOf(t, "a3", try(t.Context(), s1, callRequest("o/1", "a3"))); got != "reserved o/1" || a.count("o/1") != 1 {
			t.Errorf("retry got %q after %d runs", got, a.count("o/1"))
		}
		reply, _ := s1.Outcome(t.Context(), &wire.OutcomeRequest{RequestId: "o/1", AttemptId: "a1"})
		if reply.GetState() != "finished" || reply.GetBilled() != 3 {
			t.Errorf("outcome is %v", reply)
		}
		stop(t, s1)
		if u := usages(t, log); len(u) != 1 {
			t.Errorf("usages are %v", u)
		}
	})
}

func TestAnswerTooLargeToKeepRanOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, a := &logd.Store{}, &app{body: string(make([]byte, 20<<10))}
		s1 := newServer(t, log, "s1", a, nil)
		s2 := newServer(t, log, "s2", a, nil)
		if n := len(answerOf(t, "a1", try(t.Context(), s1, callRequest("o/1", "a1")))); n < 20<<10 {
			t.Errorf("answer has %d bytes", n)
		}
		time.Sleep(time.Second)
		wantRefusal(t, try(t.Context(), s2, callRequest("o/1", "a2")), refuse.CodeInterrupted, refuse.Unknown)
		if a.count("o/1") != 1 {
			t.Errorf("target ran %d times", a.count("o/1"))
		}
		stop(t, s1)
		stop(t, s2)
	})
}

func TestOutcomeOfAnAttemptThatNeverArrived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &app{}
		s := newServer(t, &logd.Store{}, "s1", a, nil)
		ask := func(attempt, side string) string {
			reply, _ := s.Outcome(t.Context(), &wire.OutcomeRequest{RequestId: "o/1", AttemptId: attempt, Side: side})
			return reply.GetState()
		}
		if got := ask("a1", ""); got != "unknown" {
			t.Errorf("outcome at an unnamed side is %q", got)
		}
		if got := ask("a1", "s0"); got != "unknown" {
			t.Errorf("outcome at another side is %q", got)
		}
		if got := ask("a1", "s1"); got != "not-run" {
			t.Errorf("outcome is %q", got)
		}
		wantRefusal(t, try(t.Context(), s, callRequest("o/1", "a1")), refuse.CodeInterrupted, refuse.NotRun)
		if a.count("o/1") != 0 {
			t.Errorf("attempt ran %d times after it was answered as not run", a.count("o/1"))
		}
		stop(t, s)
	})
}

func TestLateAnswerHoldsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &app{drop: true}
		s := newServer(t, &logd.Store{}, "s1", a, func(o *Options) { o.MaxRunning, o.MaxQueue = 1, 1 })
		wantRefusal(t, try(t.Context(), s, callRequest("o/1", "a1")), refuse.CodeInProgress, refuse.Unknown)
		a.set(func() { a.drop = false })
		if got := answerOf(t, "a2", try(t.Context(), s, callRequest("o/2", "a2"))); got != "reserved o/2" {
			t.Errorf("call behind a silent one got %q", got)
		}
		stop(t, s)
	})
}

func TestQueueIsBoundedAndGoesByPriority(t *testing.T) {
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
				events := try(t.Context(), s, req)
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
			t.Errorf("calls ended in the order %v, want %s", order, want)
		}
		stop(t, s)
	})
}

// TestEngineSideReadsNoClaims refuses a call at an engine's side process, which
// does not read the claims stream.
func TestEngineSideReadsNoClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, a := &logd.Store{}, &app{}
		s := newServer(t, log, "s1", a, func(o *Options) { o.ModelsOnly = true })
		wantRefusal(t, try(t.Context(), s, callRequest("o/1", "a1")), refuse.CodeBadRequest, refuse.NotRun)
		time.Sleep(time.Minute) // longer than a read of a quiet stream takes
		if !s.claims.FreshAt().IsZero() {
			t.Error("the claims stream was read")
		}
		stop(t, s)
	})
}
