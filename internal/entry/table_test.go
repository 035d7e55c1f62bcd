package entry

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/refuse"
	"github.com/beryllanding/beryllanding/pkg/route"

	"github.com/beryllanding/beryllanding/internal/stand/check"
)

// notRun returns a side process's refusal with the outcome not-run.
func notRun(code refuse.Code) End {
	return Refused{Refusal: refuse.Refusal{Code: code, Outcome: refuse.NotRun}}
}

// TestSteps compares the step after each end of an attempt with the golden file.
func TestSteps(t *testing.T) {
	ends := []struct {
		name   string
		end    End
		report OutcomeReport
	}{
		{"finished", Finished{}, OutcomeReport{}},
		{"refused leaving", notRun(refuse.CodeDraining), OutcomeReport{}},
		{"refused busy", notRun(refuse.CodeBusy), OutcomeReport{}},
		{"refused holder-closed", notRun(refuse.CodeHolderClosed), OutcomeReport{}},
		{"refused log-unavailable", notRun(refuse.CodeLogUnavailable), OutcomeReport{}},
		{"refused unknown", Refused{Refusal: refuse.Refusal{Code: refuse.CodeInterrupted, Outcome: refuse.Unknown}}, OutcomeReport{}},
		{"other answer", Broken{Cause: errResponseDiffers}, OutcomeReport{}},
		{"cancelled", Broken{Cause: errCancelled}, OutcomeReport{}},
		{"broken, running", Broken{}, OutcomeReport{State: StateRunning, Side: "s~1"}},
		{"broken, finished", Broken{}, OutcomeReport{State: StateFinished, Side: "s~1"}},
		{"broken, not-run", Broken{}, OutcomeReport{State: StateNotRun, Side: "s~1"}},
		{"broken, not-run by successor", Broken{}, OutcomeReport{State: StateNotRun, Side: "s~2"}},
		{"broken, unknown", Broken{}, OutcomeReport{State: StateUnknown, Side: "s~1"}},
		{"broken, unreachable", Broken{}, OutcomeReport{State: StateUnreachable}},
	}
	var b strings.Builder
	for _, e := range ends {
		for _, rerunnable := range []bool{true, false} {
			for _, state := range []string{"sent", "started", "output", "after-open"} {
				f := flowIn(state, rerunnable)
				step := f.AfterAttempt(e.end)
				if _, ok := step.(Probe); ok {
					step = f.AfterProbe(e.report)
				}
				fmt.Fprintf(&b, "%-29s rerunnable=%-5v %-10s %s\n", e.name, rerunnable, state, stepName(step))
			}
		}
	}
	check.Golden(t, "steps.golden", b.String())
}

// flowIn returns a flow whose latest attempt is in the named state.
func flowIn(state string, rerunnable bool) *Flow {
	f := &Flow{Rerunnable: rerunnable, Reservations: make([]Reservation, 1)}
	if state == "after-open" {
		f.Attempts = append(f.Attempts, &Attempt{Target: route.Target{Name: "other"}, Side: "o~1"})
	}
	f.Attempts = append(f.Attempts, &Attempt{Target: route.Target{Name: "s"}, Side: "s~1", Started: state == "started" || state == "output"})
	f.OutputSent = state == "output"
	return f
}

func stepName(step Step) string {
	switch s := step.(type) {
	case Refuse:
		return fmt.Sprintf("refuse %s %s", s.Refusal.Code, s.Refusal.Outcome)
	case Retry:
		if s.Join {
			return "join the run"
		}
		return fmt.Sprintf("retry elsewhere free=%v", s.Free)
	case ReserveAgain:
		return "reserve anew"
	case Done:
		return "done"
	}
	return fmt.Sprintf("%T", step)
}

// TestSettlements compares how reservations are settled with the golden file.
func TestSettlements(t *testing.T) {
	billed := []ledger.Charge{{Holder: "h~1", Tokens: 9}}
	open := &Attempt{}
	not := &Attempt{Outcome: OutcomeNotRun}
	joined := &Attempt{Outcome: OutcomeJoined}
	bill := &Attempt{Outcome: OutcomeBilled, Charges: billed}
	second := &Attempt{Outcome: OutcomeBilled, Charges: billed, Reservation: 1}
	cases := []struct {
		name         string
		attempts     []*Attempt
		reservations int
	}{
		{"no attempt", nil, 1},
		{"not run", []*Attempt{not}, 1},
		{"billed", []*Attempt{not, bill}, 1},
		{"joined another request's run", []*Attempt{joined}, 1},
		{"joined own run", []*Attempt{bill, joined}, 1},
		{"joined own run of unknown bill", []*Attempt{open, joined}, 1},
		{"billed with one open", []*Attempt{open, bill}, 1},
		{"billed twice", []*Attempt{bill, bill}, 1},
		{"holder closed, then billed", []*Attempt{not, second}, 2},
		{"open, then billed to the next reservation", []*Attempt{open, second}, 2},
	}
	var b strings.Builder
	for _, c := range cases {
		f := &Flow{Attempts: c.attempts, Reservations: make([]Reservation, c.reservations)}
		fmt.Fprintf(&b, "%-38s", c.name)
		for _, s := range f.Settlements() {
			fmt.Fprintf(&b, " %s%v", strings.TrimPrefix(fmt.Sprintf("%T", s), "entry."), s)
		}
		b.WriteString("\n")
	}
	check.Golden(t, "settlements.golden", b.String())
}

// TestProgress repeats a response unchanged, in other pieces, changed and shortened.
func TestProgress(t *testing.T) {
	cases := []struct {
		name   string
		pieces []string
		want   string
		whole  bool
		err    error
	}{
		{"same", []string{"ab", "cd", "ef"}, "ef", true, nil},
		{"other pieces", []string{"abc", "def"}, "ef", true, nil},
		{"changed", []string{"ab", "xd", "ef"}, "", true, errResponseDiffers},
		{"shortened", []string{"ab", "c"}, "", false, nil},
	}
	for _, c := range cases {
		var p progress
		_, _ = p.undelivered([]byte("ab"))
		_, _ = p.undelivered([]byte("cd"))
		p.restartComparison()
		got := ""
		var err error
		for _, piece := range c.pieces {
			var data []byte
			if data, err = p.undelivered([]byte(piece)); err != nil {
				break
			}
			got += string(data)
		}
		if got != c.want || p.caughtUp() != c.whole || !errors.Is(err, c.err) {
			t.Errorf("%s: got %q, caught up %v, error %v; want %q, %v, %v", c.name, got, p.caughtUp(), err, c.want, c.whole, c.err)
		}
	}
}

// TestFinishBeforeDelivered ends a joined run before it has repeated what the caller
// has. Such an end must not count as a complete response.
func TestFinishBeforeDelivered(t *testing.T) {
	r := &run{disp: &dispatcher{}}
	_, _ = r.undelivered([]byte("abcd"))
	r.restartComparison()
	_, _ = r.undelivered([]byte("ab"))
	end := r.handleFinish(&Attempt{joined: true}, &wire.Finish{})
	if b, ok := end.(Broken); !ok || !errors.Is(b.Cause, errResponseDiffers) {
		t.Errorf("got %#v, want Broken with errResponseDiffers", end)
	}
}
