package procs

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/beryllanding/beryllanding/internal/stand/appd"
	"github.com/beryllanding/beryllanding/internal/stand/logd"
)

// slowWork is the duration of a run, in milliseconds, that leaves time for concurrent
// requests.
const slowWork = 400

// TestReservationRacesItself guards against concurrent retries that run twice. The same
// reservation is sent 12 times at once through two entry instances to three targets. It
// must run once, and all callers that are answered must get the same response.
func TestReservationRacesItself(t *testing.T) {
	w := newWorld(t, 100_000)
	var apps []*appd.App
	for i := range 3 {
		a, _ := w.application(fmt.Sprintf("app-%d", i), appd.Switches{SlowMS: slowWork})
		apps = append(apps, a)
	}
	a, b := w.router("router-a"), w.router("router-b")
	w.ready(a, b)
	var wg sync.WaitGroup
	responses := make([]response, 12)
	for i := range responses {
		wg.Go(func() { responses[i] = []*proc{a, b}[i%2].reserve("order-1") })
	}
	wg.Wait()
	final := a.reserve("order-1")
	if final.status != http.StatusCreated {
		t.Fatalf("retry afterwards: got %+v, want status 201", final)
	}
	for _, got := range responses {
		checkOnceResponse(t, got, final.body)
	}
	if runs := runsOf(apps, "kowhai/order-1"); runs != 1 {
		t.Errorf("got %d runs of the reservation, want 1", runs)
	}
	w.eventually("the reservation is billed once", func() bool { return w.budget().Billed == callPrice })
}

// checkOnceResponse checks that a response is the expected one, or a refusal with an
// unknown outcome: a request that ran must not be reported as not run.
func checkOnceResponse(t *testing.T, got response, want string) {
	t.Helper()
	switch {
	case got.err != nil:
		t.Errorf("got no response: %v", got.err)
	case got.status == http.StatusCreated && got.body != want:
		t.Errorf("got the response %q, want %q", got.body, want)
	case got.status != http.StatusCreated && got.outcome != "unknown":
		t.Errorf("got a refusal with outcome %q, want \"unknown\": %s", got.outcome, got.body)
	}
}

// TestSideDiesInReservation guards against a reservation that runs twice after a crash.
// The side process is killed while its target runs the reservation. Retries must not run
// it again, and must not report it as not run.
func TestSideDiesInReservation(t *testing.T) {
	w := newWorld(t, 100_000)
	first, side := w.application("app-0", appd.Switches{SilentAfterRun: true})
	r := w.router("router-a")
	w.ready(r)
	done := make(chan response)
	go func() { done <- r.reserve("order-1") }()
	w.eventually("the target runs the reservation", func() bool { return first.Counts().Requests["kowhai/order-1"] == 1 })
	side.kill()
	if got := <-done; got.status < http.StatusBadRequest || got.outcome != "unknown" {
		t.Errorf("caller of the reservation: got %+v, want a refusal with an unknown outcome", got)
	}
	if got := r.reserve("order-0"); got.status < http.StatusBadRequest {
		t.Errorf("reservation without a target: got %+v, want a refusal", got)
	}
	second, _ := w.application("app-1", appd.Switches{})
	w.ready(r)
	for range 5 {
		if got := r.reserve("order-1"); got.status < http.StatusBadRequest || got.outcome != "unknown" {
			t.Errorf("retry: got %+v, want a refusal with an unknown outcome", got)
		}
	}
	w.eventually("the reservation that could not be sent runs at the other target", func() bool {
		return r.reserve("order-0").status == http.StatusCreated
	})
	if runs := runsOf([]*appd.App{first, second}, "kowhai/order-0"); runs != 1 {
		t.Errorf("reservation order-0: got %d runs, want 1", runs)
	}
	if runs := runsOf([]*appd.App{first, second}, "kowhai/order-1"); runs != 1 {
		t.Errorf("reservation order-1: got %d runs, want 1", runs)
	}
}

// TestFrozenSideResumesReservation guards against an outcome that turns out wrong later.
// The side process is frozen while its claim is being appended to the log, and resumed
// after the caller has its response. The response must still be true afterwards.
func TestFrozenSideResumesReservation(t *testing.T) {
	w := newWorld(t, 100_000)
	target, side := w.application("app-0", appd.Switches{})
	r := w.router("router-a", "[limits]\nfirst-event-timeout = 1s\nevent-timeout = 1s")
	w.ready(r)
	w.log.Switches.Set(logd.Switches{SlowMS: 150})
	done := make(chan response)
	go func() { done <- r.reserve("order-1") }()
	w.eventually("the claim is on the log", func() bool { return w.claims() > 0 })
	side.signal(syscall.SIGSTOP)
	w.log.Switches.Set(logd.Switches{})
	got := <-done
	side.signal(syscall.SIGCONT)
	var final response
	w.eventually("a retry is answered", func() bool {
		final = r.reserve("order-1")
		return final.status == http.StatusCreated
	})
	if got.status >= http.StatusBadRequest && got.outcome == "not-run" {
		t.Errorf("got a refusal as not run although the claim was on the log: %+v", got)
	}
	if runs := runsOf([]*appd.App{target}, "kowhai/order-1"); runs != 1 {
		t.Errorf("the reservation ran %d times, want once", runs)
	}
}

// TestReservationInOutage guards against reservations that run without a claim on the
// log. While the log service is down, a reservation must not run. Its outcome is unknown,
// as nothing can prove that no earlier attempt with the key ran. A retry after the
// outage must run it once.
func TestReservationInOutage(t *testing.T) {
	w := newWorld(t, 100_000)
	target, _ := w.application("app-0", appd.Switches{})
	r := w.router("router-a")
	w.ready(r)
	if got := r.reserve("order-0"); got.status != http.StatusCreated {
		t.Fatalf("before the outage: got %+v, want status 201", got)
	}
	w.log.Switches.Set(logd.Switches{Outage: true})
	if got := r.reserve("order-1"); got.status < http.StatusBadRequest || got.outcome != "unknown" {
		t.Errorf("in the outage: got %+v, want a refusal with an unknown outcome", got)
	}
	w.log.Switches.Set(logd.Switches{})
	if runs := target.Counts().Requests["kowhai/order-1"]; runs != 0 {
		t.Errorf("got %d runs in the outage, want 0", runs)
	}
	w.eventually("the retry runs", func() bool { return r.reserve("order-1").status == http.StatusCreated })
	if runs := target.Counts().Requests["kowhai/order-1"]; runs != 1 {
		t.Errorf("the reservation ran %d times, want once", runs)
	}
}

// TestRetryAtAnotherInstanceIsNotMisled guards against a refusal as not run by an entry
// instance that does not know of an earlier attempt. A reservation runs through one
// instance, and its retry is refused as too large by another.
func TestRetryAtAnotherInstanceIsNotMisled(t *testing.T) {
	w := newWorld(t, 100_000)
	w.application("app-0", appd.Switches{})
	a, b := w.router("router-a"), w.router("router-b", "[limits]\nbody-bytes = 1KiB")
	w.ready(a, b)
	if got := a.reserve("order-1"); got.status != http.StatusCreated {
		t.Fatalf("first attempt: got %+v, want status 201", got)
	}
	large := `{"part": "` + strings.Repeat("x", 2000) + `", "qty": 1}`
	for key, want := range map[string]string{"order-1": "unknown", "order-2": "not-run"} {
		got := b.post("/apps/"+app+"/reservations", key, large)
		if got.status != http.StatusRequestEntityTooLarge || got.outcome != want {
			t.Errorf("%s: got %+v, want 413 with outcome %q", key, got, want)
		}
	}
}

// runsOf returns the number of runs of a request at all targets.
func runsOf(apps []*appd.App, request string) int {
	n := 0
	for _, a := range apps {
		n += a.Counts().Requests[request]
	}
	return n
}
