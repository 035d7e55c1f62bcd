package side

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// TestJoinerIsNotRefusedForTheOwnersHolder guards against passing the owner's
// holder-closed refusal to an attempt that joined its run. An entry instance
// that gets this refusal gives up its own leases.
func TestJoinerIsNotRefusedForTheOwnersHolder(t *testing.T) {
	tb := table{maxLive: 2, maxAttempts: 9}
	owner := attempt{id: "a1", request: "o/1", charges: []ledger.Charge{{Holder: "closed~1", Tokens: 1}}}
	r := tb.begin(owner, time.Time{}).(start).run
	tb.begin(attempt{id: "a2", request: "o/1"}, time.Time{})
	tb.refuse(r, notRun(refuse.CodeHolderClosed, 0, "closed"), end{})
	for c, want := range map[*cursor]refuse.Code{
		{attempt: "a1"}:               refuse.CodeHolderClosed,
		{attempt: "a2", joined: true}: refuse.CodeInterrupted,
	} {
		if code, outcome := refusalOf(c.read(r)); code != want || outcome != refuse.NotRun {
			t.Errorf("attempt %s was refused with code %s and outcome %s, want %s and %s", c.attempt, code, outcome, want, refuse.NotRun)
		}
	}
}

// TestMalformedRequestsAreRefusedAsNotRun guards against starting a run, or
// leaving its outcome open, for a request that fails validation.
func TestMalformedRequestsAreRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{tokens: 1}
		s := newServer(t, &logd.Store{}, "s1", e, func(o *Options) { o.MaxBody = 100 })
		for name, change := range map[string]func(r *wire.RunRequest){
			"no request id":     func(r *wire.RunRequest) { r.RequestId = "" },
			"no attempt id":     func(r *wire.RunRequest) { r.AttemptId = "" },
			"other service":     func(r *wire.RunRequest) { r.Service = "other" },
			"other side":        func(r *wire.RunRequest) { r.Side = "s0" },
			"negative charge":   func(r *wire.RunRequest) { r.Charges[0].Tokens = -1 },
			"overflow":          func(r *wire.RunRequest) { r.Charges[0].Tokens = 1 << 62 },
			"no holder":         func(r *wire.RunRequest) { r.Charges[0].Holder = "" },
			"prompt over bound": func(r *wire.RunRequest) { r.GetModel().PromptBound = 1000 },
			"no output":         func(r *wire.RunRequest) { r.GetModel().OutputBound = 0 },
			"once model":        func(r *wire.RunRequest) { r.Once = true },
			"no work":           func(r *wire.RunRequest) { r.Work = nil },
			"not JSON":          func(r *wire.RunRequest) { r.GetModel().Body = []byte("x") },
			"two choices":       func(r *wire.RunRequest) { r.GetModel().Body = []byte(`{"n":2}`) },
			"too large":         func(r *wire.RunRequest) { r.GetModel().Body = make([]byte, 101) },
			"price over charge": func(r *wire.RunRequest) { r.Work = callRequest("x", "x").Work; r.GetCall().Price = 1000 },
			"bad header": func(r *wire.RunRequest) {
				r.Work = callRequest("x", "x").Work
				r.GetCall().Headers = []*wire.Header{{Name: "A b", Value: "c"}}
			},
			"long fingerprint": func(r *wire.RunRequest) { r.Fingerprint = make([]byte, 65) },
			"relative path":    func(r *wire.RunRequest) { r.Work = callRequest("x", "x").Work; r.GetCall().Path = "@evil/" },
		} {
			req := modelRequest("o/1", "a1", true, 9)
			change(req)
			if _, outcome := refusalOf(runAttempt(t.Context(), s, req)); outcome != "not-run" || e.started() != 0 {
				t.Errorf("%s: outcome %q after %d runs, want not-run after 0", name, outcome, e.started())
			}
		}
		stop(t, s)
	})
}
