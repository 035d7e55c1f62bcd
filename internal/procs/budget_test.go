package procs

import (
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/beryllanding/beryllanding/internal/stand/engd"
	"github.com/beryllanding/beryllanding/pkg/insts"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

const (
	// slowToken is the time per token, in microseconds, of engines that are slow
	// enough for the test to interfere during a response.
	slowToken = 10_000
	// longResponse is the output limit of long streams, in tokens.
	longResponse = 200
)

// TestKilledRouterIsReclaimed guards against double billing and lost tokens after a
// crash. An entry instance is killed with an open stream. The other one must serve the
// retry in full, the request must be billed once, and the tokens of the killed one must
// be returned.
func TestKilledRouterIsReclaimed(t *testing.T) {
	w := newWorld(t, 100_000)
	engine, _ := w.engine("engine-0", engd.Switches{TokenMicros: slowToken, AnswerTokens: longResponse})
	a, b := w.router("router-a"), w.router("router-b")
	w.ready(a, b)
	open, err := a.openStream("k1", "which bogie fits", longResponse)
	if err != nil {
		t.Fatal(err)
	}
	open.next()
	a.kill()
	if open.rest(); open.done {
		t.Fatal("the stream through the killed instance ended without an error, want it cut off")
	}
	retry, err := b.openStream("k1", "which bogie fits", longResponse)
	if err != nil {
		t.Fatal(err)
	}
	text := retry.rest()
	if words := len(strings.Fields(text)); !retry.done || words != longResponse {
		t.Errorf("retry: got %d words, complete %t; want %d words, complete", words, retry.done, longResponse)
	}
	if runs := engine.Counts().Total.Runs; runs != 1 {
		t.Errorf("got %d runs at the engine, want 1: the retry joins the run in progress", runs)
	}
	w.eventually("the holder of the killed instance is reclaimed", func() bool { return w.budget().Holders == 1 })
	b.terminate()
	got := w.budget()
	if want := ledger.Tokens(longResponse + 4); got.Billed != want || got.Granted != got.Billed {
		t.Errorf("got %d tokens billed and %d granted, want both %d", got.Billed, got.Granted, want)
	}
}

// TestFrozenRouterIsFenced guards against overspending by an instance that resumes
// after a pause. An entry instance that holds tokens is frozen. Its holder is closed
// and reclaimed, and all tokens are spent at another instance. When the frozen
// instance resumes, it must not spend any token of its old lease.
func TestFrozenRouterIsFenced(t *testing.T) {
	const paid = 20_000
	w := newWorld(t, paid)
	engine, _ := w.engine("engine-0", engd.Switches{AnswerTokens: 1000})
	a, b := w.router("router-a"), w.router("router-b")
	w.ready(a, b)
	if got := a.chat("", "x", 1000); got.status != http.StatusOK {
		t.Fatalf("first request: got %+v, want status 200", got)
	}
	a.signal(syscall.SIGSTOP)
	w.eventually("the frozen holder is reclaimed", func() bool { return w.budget().Granted == w.budget().Billed })
	spend(b)
	a.signal(syscall.SIGCONT)
	spend(a)
	spend(b)
	if got := tokens(engine); got > paid {
		t.Errorf("got %d tokens read and generated at the engine, want at most the %d paid", got, paid)
	}
	w.eventually("all usage is on the log", func() bool { return w.budget().Billed == tokens(engine) })
	if left := paid - tokens(engine); left > 1200 {
		t.Errorf("got %d paid tokens unspent when all requests were refused, want at most 1200", left)
	}
}

// spend sends requests of about 1000 tokens until three in a row are refused.
func spend(p *proc) {
	for refused := 0; refused < 3; {
		if p.chat("", "x", 1000).status == http.StatusOK {
			refused = 0
			continue
		}
		refused++
	}
}

// tokens returns the number of tokens that the engine has read and generated.
func tokens(e *engd.Engine) ledger.Tokens {
	c := e.Counts().Total
	return ledger.Tokens(c.PromptTokens + c.Tokens)
}

// ready waits until all listed side processes are registered, and until each of the
// given entry instances is ready and sees all of them.
func (w *world) ready(routers ...*proc) {
	w.t.Helper()
	listed, err := w.list.Instances()
	if err != nil {
		w.t.Fatal(err)
	}
	sides := 0
	for _, inst := range listed {
		if inst.Role == insts.Side {
			sides++
		}
	}
	w.eventually("all side processes are registered", func() bool { return len(w.fleet().Sides()) >= sides })
	for _, p := range routers {
		w.eventually(p.name+" is ready", func() bool {
			resp, err := http.Get(p.http + "/readyz")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK && p.targets() >= sides
		})
	}
}

// targets returns the number of targets that an entry instance sees.
func (p *proc) targets() int {
	p.t.Helper()
	resp, err := http.Get(p.debug + "/debug/vars")
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var vars struct{ Beryl struct{ Targets int } }
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		p.t.Fatal(err)
	}
	return vars.Beryl.Targets
}
