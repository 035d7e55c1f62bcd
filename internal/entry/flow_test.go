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

// rapidSeed makes each run of the tests draw the same histories, unless
// -rapid.seed is given.
const rapidSeed = "20260"

// rapidChecks is the number of histories, unless -rapid.checks is given.
const rapidChecks = "2000"

func TestMain(m *testing.M) {
	check.Main(m, map[string]string{"rapid.seed": rapidSeed, "rapid.checks": rapidChecks, "rapid.nofailfile": "true"})
}

// plan is a history: the requests, and the faults of the attempts in order.
type plan struct {
	// Known is set where the side processes were asked for their status before.
	Known    bool
	Requests []planned
	Faults   []fault
}

// planned is one request of a plan.
type planned struct {
	ID string
	// Kind is "chat", "get", "post" or "once".
	Kind string
	// Keyed is set where the caller gave the id. Other requests have ids of
	// their own.
	Keyed bool
	// HangUp is the number of chunks after which the caller goes; 0 is never.
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
	drawRequest := rapid.Custom(func(t *rapid.T) planned {
		return planned{
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

// TestWholeAnswerOrTrueRefusal runs random histories and holds their ends
// against what really happened at the side processes and on the log.
func TestWholeAnswerOrTrueRefusal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		var faults []string
		synctest.Test(t, func(*testing.T) { faults = play(p) })
		if len(faults) > 0 {
			rt.Fatalf("%s", strings.Join(faults, "\n"))
		}
	})
}

// play runs a plan to its end and returns what is wrong with the result.
func play(p plan) []string {
	w := newWorld(p.Faults)
	e := &Engine{DataCentre: "dc", Catalogue: w, Budgets: w, Targets: w, Dialer: w, Orphans: w, Seed: 1}
	if p.Known {
		e.dispatcher("s").refreshNow(w)
		e.watchOnce(context.Background(), 3)
	}
	ends := make([]callerEnd, len(p.Requests))
	var wg sync.WaitGroup
	for i, r := range p.Requests {
		wg.Go(func() {
			time.Sleep(r.Delay)
			ends[i].hangUp = r.HangUp
			_, ends[i].err = e.Do(context.Background(), r.request(), &ends[i])
			ends[i].ranAtEnd = w.ran(r.ID)
		})
	}
	wg.Wait()
	_ = e.Drain(context.Background())
	time.Sleep(time.Hour) // the runs that go on end and are billed
	w.mu.Lock()
	defer w.mu.Unlock()
	var wrong []string
	for i, r := range p.Requests {
		wrong = append(wrong, w.checkAnswer(r, &ends[i], p)...)
	}
	if p.curable() {
		wrong = append(wrong, w.checkCured(ends)...)
	}
	return append(wrong, w.checkTickets(p)...)
}

// curable reports whether each request of the plan can be answered and settled:
// no caller hangs up, no id is used twice, and at most two attempts fail, in
// ways that leave the side processes alive and willing and do not make a healthy
// target look stuck.
func (p plan) curable() bool {
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
		if r.HangUp > 0 || !p.alone(r.ID) {
			return false
		}
	}
	return bad <= 2 && silent < maxSilences
}

// checkCured expects answers for all, and tickets settled without the log.
func (w *world) checkCured(ends []callerEnd) []string {
	var wrong []string
	for i := range ends {
		if ends[i].err != nil {
			wrong = append(wrong, fmt.Sprintf("request %d was refused without need: %v", i, ends[i].err))
		}
	}
	for id, t := range w.tickets {
		if slices.Contains(t.ends, "defer") {
			wrong = append(wrong, fmt.Sprintf("ticket %s was deferred without need", id))
		}
	}
	return wrong
}

func (r planned) request() *Request {
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

// callerEnd is what one caller got.
type callerEnd struct {
	got    strings.Builder
	chunks int
	hangUp int
	err    error
	// ranAtEnd is set where a run of the id had begun before the request ended.
	ranAtEnd bool
}

func (c *callerEnd) Head(int, []*wire.Header) error { return nil }

func (c *callerEnd) Chunk(data []byte) error {
	c.got.Write(data)
	if c.chunks++; c.chunks == c.hangUp {
		return errors.New("connection reset")
	}
	return nil
}

// checkAnswer holds one caller's end against the runs.
func (w *world) checkAnswer(r planned, c *callerEnd, p plan) []string {
	var wrong []string
	got := c.got.String()
	refusal, refused := refuse.As(c.err)
	switch {
	case c.err == nil && !slices.Contains(w.answers[r.ID], got):
		wrong = append(wrong, fmt.Sprintf("request %+v got %q, which is no whole answer", r, got))
	case got != "" && !slices.ContainsFunc(w.answers[r.ID], func(a string) bool { return strings.HasPrefix(a, got) }):
		wrong = append(wrong, fmt.Sprintf("request %+v got %q, which is no part of an answer", r, got))
	case c.err != nil && !refused && !errors.Is(c.err, ErrHungUp):
		wrong = append(wrong, fmt.Sprintf("request %+v ended with %v, which is no refusal", r, c.err))
	case refused && refusal.Outcome == refuse.NotRun && c.ranAtEnd:
		wrong = append(wrong, fmt.Sprintf("request %+v ran and was refused as not run: %v", r, refusal))
	}
	if w.runs[r.ID] > 1 && p.alone(r.ID) && (r.Kind == "once" || r.Kind == "post") {
		wrong = append(wrong, fmt.Sprintf("request %+v ran %d times", r, w.runs[r.ID]))
	}
	return wrong
}

// alone reports whether the plan uses the id for one request. Where it is used
// for more, the claims on the log keep the runs apart, which are not part of
// this package.
func (p plan) alone(id string) bool {
	n := 0
	for _, r := range p.Requests {
		if r.ID == id {
			n++
		}
	}
	return n == 1
}

// checkTickets holds the settlements against the bills on the log. No ticket
// may end with fewer tokens charged than the log bills to it.
func (w *world) checkTickets(p plan) []string {
	var wrong []string
	for id, t := range w.tickets {
		if len(t.ends) != 1 {
			wrong = append(wrong, fmt.Sprintf("ticket %s ended %v", id, t.ends))
			continue
		}
		request, billed := w.billedTo(t.Charges[0].Holder)
		charged := wire.SumCharges(t.used)
		switch {
		case t.ends[0] == "defer":
		case charged < billed:
			wrong = append(wrong, fmt.Sprintf("ticket %s was charged %d tokens, billed %d", id, charged, billed))
		case charged > billed && request != "" && p.alone(request):
			wrong = append(wrong, fmt.Sprintf("ticket %s was charged %d tokens, billed only %d", id, charged, billed))
		}
	}
	return wrong
}

// billedTo returns what the log bills to a ticket, by its own holder.
func (w *world) billedTo(h ident.Incarnation) (string, ledger.Tokens) {
	for request, charges := range w.usage {
		for _, c := range charges {
			if c.Holder == h {
				return request, wire.SumCharges(charges)
			}
		}
	}
	return "", 0
}
