package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/refuse"

	"github.com/beryllanding/beryllanding/internal/stand/check"
)

// rapidSeed makes each test run draw the same histories, unless -rapid.seed is given.
const rapidSeed = "20260"

// rapidChecks is the number of histories, unless -rapid.checks is given.
const rapidChecks = "2000"

func TestMain(m *testing.M) {
	check.Main(m, map[string]string{"rapid.seed": rapidSeed, "rapid.checks": rapidChecks, "rapid.nofailfile": "true"})
}

// plan is a history: the requests, and the faults of the attempts in order.
type plan struct {
	// Known is set if the side processes are queried for their status before the first
	// request.
	Known    bool
	Requests []plannedRequest
	Faults   []fault
}

// plannedRequest is one request of a plan.
type plannedRequest struct {
	ID string
	// Kind is "chat", "get", "post" or "once".
	Kind string
	// Keyed is set if the caller gave the id. Other requests have unique ids.
	Keyed bool
	// HangUp is the number of chunks after which the caller hangs up; 0 means
	// never.
	HangUp int
	Delay  time.Duration
}

func drawPlan(t *rapid.T) plan {
	drawFault := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			Kind:  rapid.SampledFrom(faults).Draw(t, "fault"),
			After: rapid.IntRange(0, 5).Draw(t, "after"),
			Noise: rapid.Bool().Draw(t, "noise"),
		}
	})
	drawRequest := rapid.Custom(func(t *rapid.T) plannedRequest {
		return plannedRequest{
			ID:     rapid.SampledFrom([]string{"org/a", "org/a", "org/b", ""}).Draw(t, "id"),
			Kind:   rapid.SampledFrom([]string{"chat", "get", "post", "once"}).Draw(t, "kind"),
			HangUp: rapid.SampledFrom([]int{0, 0, 0, 1, 3}).Draw(t, "hang-up"),
			Delay:  rapid.SampledFrom([]time.Duration{0, 25 * time.Millisecond, time.Minute}).Draw(t, "delay"),
		}
	})
	p := plan{
		Known:    rapid.Bool().Draw(t, "known"),
		Requests: rapid.SliceOfN(drawRequest, 1, 3).Draw(t, "requests"),
		Faults:   rapid.SliceOfN(drawFault, 0, 8).Draw(t, "faults"),
	}
	for i := range p.Requests {
		r := &p.Requests[i]
		r.Keyed = r.ID != ""
		if !r.Keyed {
			r.ID = fmt.Sprintf("org/~%d", i)
		}
	}
	return p
}

// TestCompleteResponseOrTrueRefusal runs random histories. Each caller must get a complete
// response or a refusal whose outcome is true, and no reservation may be charged less
// than the log bills. The test compares the results with the runs at the fake side
// processes and with the bills on the log.
func TestCompleteResponseOrTrueRefusal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		var faults []string
		synctest.Test(t, func(*testing.T) { faults = runPlan(p) })
		if len(faults) > 0 {
			rt.Fatalf("%s", strings.Join(faults, "\n"))
		}
	})
}

// runPlan runs a plan to its end and returns a message for each violation.
func runPlan(p plan) []string {
	fc := newFakeCluster(p.Faults)
	e := &Engine{DataCentre: "dc", Catalogue: fc, Budgets: fc, Targets: fc, Dialer: fc, Orphans: fc, Seed: 1}
	if p.Known {
		e.dispatcher("s").lockAndRefresh(fc)
		e.watchOnce(context.Background(), 3)
	}
	callers := make([]fakeCaller, len(p.Requests))
	var wg sync.WaitGroup
	for i, r := range p.Requests {
		wg.Go(func() {
			time.Sleep(r.Delay)
			callers[i].hangUp = r.HangUp
			_, callers[i].err = e.Do(context.Background(), r.request(), &callers[i])
			callers[i].ranAtEnd = fc.ran(r.ID)
		})
	}
	wg.Wait()
	_ = e.Drain(context.Background())
	time.Sleep(time.Hour) // remaining runs end and are billed
	fc.mu.Lock()
	defer fc.mu.Unlock()
	var wrong []string
	for i, r := range p.Requests {
		wrong = append(wrong, fc.checkResponse(r, &callers[i], p)...)
	}
	if p.mustSucceed() {
		wrong = append(wrong, fc.checkAllSucceeded(callers)...)
	}
	return append(wrong, fc.checkReservations(p)...)
}

// mustSucceed reports whether every request of the plan must be answered and settled: no
// caller hangs up, no id is used twice, and at most two attempts fail. The failures leave
// the side processes running and able to take work, and do not make a healthy target
// look stuck.
func (p plan) mustSucceed() bool {
	bad, silent := 0, 0
	for _, f := range p.Faults {
		switch f.Kind {
		case "none":
		case "silent":
			silent++
			bad++
		case "cut", "leaving", "busy", "holder-closed":
			bad++
		default:
			return false
		}
	}
	for _, r := range p.Requests {
		if r.HangUp > 0 || !p.usedOnce(r.ID) {
			return false
		}
	}
	return bad <= 2 && silent < maxSilences
}

// checkAllSucceeded returns a message for each request without a response and for each
// deferred reservation.
func (fc *fakeCluster) checkAllSucceeded(callers []fakeCaller) []string {
	var wrong []string
	for i := range callers {
		if callers[i].err != nil {
			wrong = append(wrong, fmt.Sprintf("request %d was refused although it could be answered: %v", i, callers[i].err))
		}
	}
	for id, t := range fc.reservations {
		if slices.Contains(t.ends, "defer") {
			wrong = append(wrong, fmt.Sprintf("reservation %s was deferred although its bill is known", id))
		}
	}
	return wrong
}

func (r plannedRequest) request() *Request {
	req := &Request{
		ID: r.ID, Keyed: r.Keyed,
		Account: Account{Organisation: "org", Budget: "b"},
		Service: Service{Name: "s", Price: 20},
		Once:    r.Kind == "once",
	}
	switch r.Kind {
	case "chat":
		req.Work = Chat{Stream: true, PromptBound: 10, OutputBound: 10}
	default:
		req.Work = Call{Idempotent: r.Kind == "get"}
	}
	return req
}

// fakeCaller is a Sink that records what one caller got.
type fakeCaller struct {
	got    strings.Builder
	chunks int
	hangUp int
	err    error
	// ranAtEnd is set if a run of the id had begun before the request ended.
	ranAtEnd bool
}

func (c *fakeCaller) WriteHead(int, []*wire.Header) error { return nil }

func (c *fakeCaller) WriteChunk(data []byte) error {
	c.got.Write(data)
	if c.chunks++; c.chunks == c.hangUp {
		return errors.New("connection reset")
	}
	return nil
}

// checkResponse compares what one caller got with the runs of the request id. It returns
// a message for each violation.
func (fc *fakeCluster) checkResponse(r plannedRequest, c *fakeCaller, p plan) []string {
	var wrong []string
	got := c.got.String()
	refusal, refused := refuse.As(c.err)
	switch {
	case c.err == nil && !slices.Contains(fc.responses[r.ID], got):
		wrong = append(wrong, fmt.Sprintf("request %+v got %q, which is not a complete response", r, got))
	case got != "" && !slices.ContainsFunc(fc.responses[r.ID], func(a string) bool { return strings.HasPrefix(a, got) }):
		wrong = append(wrong, fmt.Sprintf("request %+v got %q, which is not the beginning of any response", r, got))
	case c.err != nil && !refused && !errors.Is(c.err, ErrCallerGone):
		wrong = append(wrong, fmt.Sprintf("request %+v got error %v, want a refusal or ErrCallerGone", r, c.err))
	case refused && refusal.Outcome == refuse.NotRun && c.ranAtEnd:
		wrong = append(wrong, fmt.Sprintf("request %+v ran but got a refusal with outcome not-run: %v", r, refusal))
	}
	if fc.runs[r.ID] > 1 && p.usedOnce(r.ID) && (r.Kind == "once" || r.Kind == "post") {
		wrong = append(wrong, fmt.Sprintf("request %+v ran %d times, want once", r, fc.runs[r.ID]))
	}
	return wrong
}

// usedOnce reports whether only one request of the plan uses the id. If several
// requests use the id, only the claims on the log prevent a second run, and this
// package does not make claims.
func (p plan) usedOnce(id string) bool {
	n := 0
	for _, r := range p.Requests {
		if r.ID == id {
			n++
		}
	}
	return n == 1
}

// checkReservations compares the settlements with the bills on the log. No reservation
// may be charged less than the log bills to it. checkReservations returns a message for
// each violation.
func (fc *fakeCluster) checkReservations(p plan) []string {
	var wrong []string
	for id, t := range fc.reservations {
		if len(t.ends) != 1 {
			wrong = append(wrong, fmt.Sprintf("reservation %s was ended by the calls %v, want exactly one call", id, t.ends))
			continue
		}
		request, billed := fc.billedTo(t.Charges[0].Holder)
		charged := wire.SumCharges(t.used)
		switch {
		case t.ends[0] == "defer":
		case charged < billed:
			wrong = append(wrong, fmt.Sprintf("reservation %s was charged %d tokens, fewer than the %d billed", id, charged, billed))
		case charged > billed && request != "" && p.usedOnce(request):
			wrong = append(wrong, fmt.Sprintf("reservation %s was charged %d tokens, more than the %d billed", id, charged, billed))
		}
	}
	return wrong
}

// billedTo returns the request and the tokens that the log bills to the reservation of
// the holder.
func (fc *fakeCluster) billedTo(h ident.Incarnation) (string, ledger.Tokens) {
	for request, charges := range fc.usage {
		for _, c := range charges {
			if c.Holder == h {
				return request, wire.SumCharges(charges)
			}
		}
	}
	return "", 0
}
