package side

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/internal/stand/memnet"
	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/pause"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// event is one step of a random history.
type event struct {
	kind    int
	side    int
	request int
	pause   time.Duration
}

// Kinds of events.
const (
	eventAttempt = iota
	eventAttempt2
	eventAttempt3
	eventLogDown
	eventLogUp
	eventLoseReplies
	eventTargetDown
	eventTargetUp
	eventSlowTarget
	eventSilentTarget
	eventFastTarget
	eventKill
	eventKillAndGone
	eventKinds
)

// sharedTarget is the target of all sides. It counts its runs by request and by
// attempt.
type sharedTarget struct {
	mu        sync.Mutex
	runs      map[string]int
	byAttempt map[string]int
	wait      time.Duration
	silent    bool
	down      bool
}

func (st *sharedTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/status" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	st.mu.Lock()
	id := r.Header.Get(headerRequest)
	st.runs[id]++
	st.byAttempt[r.Header.Get("X-Attempt")]++
	wait, silent, response := st.wait, st.silent, fmt.Sprintf("%s run %d", id, st.runs[id])
	st.mu.Unlock()
	if silent || !pause.For(r.Context(), wait) {
		<-r.Context().Done()
		return
	}
	_, _ = io.WriteString(w, response)
}

func (st *sharedTarget) isDown() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.down
}

func (st *sharedTarget) set(fn func()) {
	st.mu.Lock()
	defer st.mu.Unlock()
	fn()
}

// history runs events against three sides.
type history struct {
	t        *testing.T
	log      *logd.Store
	target   *sharedTarget
	sides    [3]*Server
	n        int
	attempts sync.WaitGroup

	mu sync.Mutex
	// outcomes holds the last event of each attempt, responses its output, and
	// requests its request.
	outcomes  map[string]*wire.RunEvent
	responses map[string]string
	requests  map[string]string
}

func newHistory(t *testing.T) *history {
	h := &history{
		t: t, log: &logd.Store{}, target: &sharedTarget{runs: map[string]int{}, byAttempt: map[string]int{}},
		outcomes: map[string]*wire.RunEvent{}, responses: map[string]string{}, requests: map[string]string{},
	}
	for i := range h.sides {
		h.open(i)
	}
	time.Sleep(time.Second)
	return h
}

// open starts a new incarnation of side i.
func (h *history) open(i int) {
	h.n++
	opts := Options{
		Incarnation: incarnationOf(i, h.n), Slot: fmt.Sprint("slot-", i), Service: "svc", Target: "http://target",
		Log: h.log, Transport: memnet.Transport{Handler: h.target, Refused: h.target.isDown},
		CallWait: 2 * time.Second, LateResponse: 3 * time.Second,
	}
	h.sides[i] = New(opts)
	h.sides[i].Start()
}

// do runs one event.
func (h *history) do(ev event) {
	switch ev.kind {
	case eventAttempt, eventAttempt2, eventAttempt3:
		h.attempt(h.sides[ev.side], fmt.Sprint("o/", ev.request))
	case eventLogDown:
		h.log.Switches.Update(func(sw *logd.Switches) { sw.Outage = true })
	case eventLogUp:
		h.log.Switches.Set(logd.Switches{})
	case eventLoseReplies:
		h.log.Switches.Update(func(sw *logd.Switches) { sw.LoseEvery = 1 })
	case eventTargetDown:
		h.target.set(func() { h.target.down = true })
	case eventTargetUp:
		h.target.set(func() { h.target.down = false })
	case eventSlowTarget:
		h.target.set(func() { h.target.wait, h.target.silent = 2500*time.Millisecond, false })
	case eventSilentTarget:
		h.target.set(func() { h.target.silent = true })
	case eventFastTarget:
		h.target.set(func() { h.target.wait, h.target.silent = 0, false })
	case eventKill, eventKillAndGone:
		old := h.sides[ev.side]
		old.shutDown()
		h.open(ev.side)
		if ev.kind == eventKillAndGone {
			h.sides[ev.side].fleetWriter.Propose(sideGoneItem(old.Incarnation()), nil)
		}
	}
	time.Sleep(ev.pause)
}

// attempt sends one attempt in the background.
func (h *history) attempt(s *Server, request string) {
	h.mu.Lock()
	id := fmt.Sprint("try-", len(h.requests))
	h.requests[id] = request
	h.mu.Unlock()
	req := callRequest(request, id)
	req.GetCall().Headers = []*wire.Header{{Name: "X-Attempt", Value: id}}
	h.attempts.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		events := runAttempt(ctx, s, req)
		response := responseOf(h.t, id, events)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.outcomes[id] = last(events)
		h.responses[id] = response
	})
}

// settle ends all failures, waits for all attempts and stops the sides.
func (h *history) settle() {
	h.do(event{kind: eventLogUp})
	h.do(event{kind: eventTargetUp})
	h.do(event{kind: eventFastTarget, pause: time.Minute})
	h.attempts.Wait()
	for _, s := range h.sides {
		stop(h.t, s)
	}
}

// violation returns a description of a guarantee that the history broke. It is
// empty if all of them hold: a request runs at most once, a finished attempt gets
// the response of that run, a request refused as not run did not run, and each bill
// has exactly one run.
func (h *history) violation() string {
	for request, n := range h.target.runs {
		if n > 1 {
			return fmt.Sprintf("request %s ran %d times, want at most once", request, n)
		}
	}
	for id, ev := range h.outcomes {
		request := h.requests[id]
		if ev.GetFinish() != nil && h.responses[id] != request+" run 1" {
			return fmt.Sprintf("attempt %s at %s got the response %q, want that of the first run", id, request, h.responses[id])
		}
		notRun := ev.GetRefused().GetOutcome() == string(refuse.NotRun)
		if notRun && h.target.byAttempt[id] > 0 {
			return fmt.Sprintf("attempt %s at %s ran, but was refused with %v", id, request, ev)
		}
	}
	bills := make(map[string]int)
	for _, u := range usages(h.t, h.log) {
		bills[u.Request]++
		if bills[u.Request] > 1 || h.target.runs[u.Request] != 1 || wire.SumCharges(u.Charges) != 3 {
			return fmt.Sprintf("%d runs of request %s have the bill %v, want one bill of 3 tokens for one run", h.target.runs[u.Request], u.Request, u)
		}
	}
	return ""
}

func drawHistory(t *rapid.T) []event {
	pauses := []time.Duration{0, 0, 10 * time.Millisecond, 100 * time.Millisecond, time.Second, 5 * time.Second}
	out := make([]event, rapid.IntRange(2, 25).Draw(t, "events"))
	for i := range out {
		out[i] = event{
			kind:    rapid.IntRange(0, eventKinds-1).Draw(t, "kind"),
			side:    rapid.IntRange(0, 2).Draw(t, "side"),
			request: rapid.IntRange(1, 2).Draw(t, "request"),
			pause:   rapid.SampledFrom(pauses).Draw(t, "pause"),
		}
	}
	return out
}

// TestNonIdempotentCallsRunOnceInRandomHistories guards against a second run, a
// false refusal or a wrong bill of a non-idempotent call when the log, the target
// and the side processes fail and recover at random times.
func TestNonIdempotentCallsRunOnceInRandomHistories(t *testing.T) {
	ran, finished, refused := 0, 0, map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		events := drawHistory(rt)
		violation := ""
		synctest.Test(t, func(t *testing.T) {
			h := newHistory(t)
			for _, ev := range events {
				h.do(ev)
			}
			h.settle()
			violation = h.violation()
			for _, n := range h.target.runs {
				ran += n
			}
			for _, ev := range h.outcomes {
				if ev.GetFinish() != nil {
					finished++
				} else {
					refused[ev.GetRefused().GetCode()+" "+ev.GetRefused().GetOutcome()]++
				}
			}
		})
		if violation != "" {
			rt.Fatal(violation)
		}
	})
	t.Logf("%d runs, %d responses, refusals %v", ran, finished, refused)
}
