package emul_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/internal/emul"
	"github.com/beryllanding/beryllanding/internal/stand/check"
	"github.com/beryllanding/beryllanding/internal/stand/keyd"
	"github.com/beryllanding/beryllanding/internal/stand/modeld"
)

func small(t *testing.T) emul.Scenario {
	t.Helper()
	data, err := os.ReadFile("testdata/small.ini")
	if err != nil {
		t.Fatal(err)
	}
	s, err := emul.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// run runs the scenario and checks the invariants: each request has exactly one
// outcome, and no rule is broken.
func run(t *testing.T, s emul.Scenario) emul.Report {
	t.Helper()
	r, _ := runCountingRests(t, s)
	return r
}

// runCountingRests is run. It also returns the number of responses in which targets asked
// for a rest.
func runCountingRests(t *testing.T, s emul.Scenario) (emul.Report, int) {
	t.Helper()
	r, asked, err := emul.RunCountingRests(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	r.WriteText(&text)
	t.Log("\n" + text.String())
	a := r.All
	if a.Asked == 0 || a.Asked != a.InAim+a.Late+a.Refused+a.Failed || r.Attempts != a.Asked+r.Returned {
		t.Errorf("counts do not add up: got %+v, %d attempts, %d returned; want asked = in aim + late + refused + failed, and attempts = asked + returned", a, r.Attempts, r.Returned)
	}
	for _, b := range r.Violations {
		t.Error("broken rule: " + b)
	}
	return r, asked
}

// TestQuiet guards against requests that are refused or fail although nothing is
// scarce and nothing is broken.
func TestQuiet(t *testing.T) {
	if r := run(t, small(t)); r.All.Refused+r.All.Failed > 0 {
		t.Errorf("got %+v, want none refused or failed", r.All)
	}
}

// TestFaults guards against broken invariants and mass failure under faults: within
// two seconds, targets break streams, fall silent, reject and respond as another target,
// and the store goes down. At least half of the requests must be served.
func TestFaults(t *testing.T) {
	s := small(t)
	s.Faults = []emul.Fault{
		{At: 200 * time.Millisecond, For: 300 * time.Millisecond, Target: &modeld.Switches{Break: 2}, Count: 1},
		{At: 500 * time.Millisecond, For: 300 * time.Millisecond, Target: &modeld.Switches{Reject: true}, Count: 2},
		{At: 800 * time.Millisecond, For: 300 * time.Millisecond, Target: &modeld.Switches{Foreign: true}, Count: 1},
		{At: 1100 * time.Millisecond, For: 300 * time.Millisecond, Target: &modeld.Switches{Fault: true}, Count: 1},
		{At: 1400 * time.Millisecond, For: 300 * time.Millisecond, Target: &modeld.Switches{Silent: true}, Count: 1},
		{At: 600 * time.Millisecond, For: 600 * time.Millisecond, Store: &keyd.Switches{Down: true}},
	}
	if r := run(t, s); 2*(r.All.InAim+r.All.Late) < r.All.Asked {
		t.Errorf("got %+v, want at least half of the requests served", r.All)
	}
}

// allowTime gives all requests a minute, for tests that are not about time. On a busy
// machine, responses are slow, and a target may seem silent.
func allowTime(s *emul.Scenario) {
	for i := range s.Kinds {
		s.Kinds[i].Goal, s.Kinds[i].Deadline = time.Minute, time.Minute
	}
}

// TestNotices guards against requests to targets that withdrew by their own notice: one
// of six targets says that it leaves, and two ask for a rest. Each instance may send a
// resting target what was on its way when it asked, and nothing more. The other targets
// have the capacity for all requests.
func TestNotices(t *testing.T) {
	s := small(t)
	s.Targets = 6
	allowTime(&s)
	s.Faults = []emul.Fault{
		{At: 200 * time.Millisecond, For: s.Length, Target: &modeld.Switches{Rest: time.Minute}, Count: 2},
		{At: 800 * time.Millisecond, For: s.Length, Target: &modeld.Switches{Leaving: true}, Count: 1},
	}
	r, asked := runCountingRests(t, s)
	if r.All.Failed > 0 || 20*r.All.Refused > r.All.Asked {
		t.Errorf("got %+v, want none failed and at most one in twenty refused", r.All)
	}
	// Requests of one instance that were sent to one target before its first refusal.
	const onTheWay = 8
	if asked == 0 || asked > 2*s.Instances*onTheWay {
		t.Errorf("resting targets refused %d requests, want 1 to %d", asked, 2*s.Instances*onTheWay)
	}
}

// TestStoreRestored guards against overspending, and against refusals that last, when the
// store comes back twice from copies that lack the newest grants.
func TestStoreRestored(t *testing.T) {
	s := small(t)
	allowTime(&s)
	s.Organisations[0].Tokens = 12_000
	s.Faults = []emul.Fault{
		{At: 500 * time.Millisecond, For: 100 * time.Millisecond, Store: &keyd.Switches{Down: true}, Copy: 400 * time.Millisecond},
		{At: 1200 * time.Millisecond, For: 100 * time.Millisecond, Store: &keyd.Switches{Down: true}, Copy: 600 * time.Millisecond},
	}
	r := run(t, s)
	if y := r.Organisations["yard"]; 5*(y.InAim+y.Late) < 4*y.Asked {
		t.Errorf("yard: got %+v, want at least four in five served: it has tokens to spare", y)
	}
	if d := r.Organisations["desk"]; d.Refused == 0 || d.InAim+d.Late == 0 {
		t.Errorf("desk: got %+v, want some served and some refused, so that its budget ends", d)
	}
}

// TestBudgetsEnd guards against a spent budget that affects other organisations: only
// the organisation whose budget is spent may be refused.
func TestBudgetsEnd(t *testing.T) {
	s := small(t)
	s.Organisations[0].Tokens = 8000
	for i := range s.Kinds {
		s.Kinds[i].Retries = 0
	}
	r := run(t, s)
	if r.Organisations["desk"].Refused == 0 || r.Used["desk"] == 0 {
		t.Errorf("desk: got %+v, %d tokens used; want some tokens used and some requests refused", r.Organisations["desk"], r.Used["desk"])
	}
	if y := r.Organisations["yard"]; y.Refused+y.Failed > 0 {
		t.Errorf("yard: got %+v, want none refused or failed", y)
	}
}

// TestAuditSeesOverspending guards against an audit that misses overspending. The
// prepaid tokens are lowered after the fleet has read them, so the report must name an
// organisation that used more than it paid for.
func TestAuditSeesOverspending(t *testing.T) {
	s := small(t)
	s.Length = 500 * time.Millisecond
	r, err := emul.RunLowered(t.Context(), s, 10)
	if err != nil || len(r.Violations) == 0 || !strings.Contains(strings.Join(r.Violations, "\n"), "of 10 tokens") {
		t.Errorf("got error %v and broken rules %q, want no error and a rule with \"of 10 tokens\"", err, r.Violations)
	}
}

func TestParse(t *testing.T) {
	_, err := emul.Parse([]byte("[fleet]\nlength = long\ninstances = 999\ncolour = red\n[kind a]\nrate = x\n[trouble 1]\nwhat = rain\n[other]\n"))
	if !errors.Is(err, emul.ErrScenario) {
		t.Fatal(err)
	}
	check.Golden(t, "faults.txt", err.Error()+"\n")
}

// TestScenariosOfTheTree guards against scenario files in deploy/emul that no longer
// parse.
func TestScenariosOfTheTree(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "..", "deploy", "emul", "*.ini"))
	if err != nil || len(files) < 2 {
		t.Fatalf("got files %v and error %v, want at least 2 files", files, err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := emul.Parse(data); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}

// TestInstanceOnTakenAddress guards against a fleet that does not start since another process
// has taken a port between its choice and its use.
func TestInstanceOnTakenAddress(t *testing.T) {
	if moved, err := emul.StartOnTakenAddress(t.Context(), small(t)); err != nil || !moved {
		t.Errorf("moved to another address: %v, error %v; want the instance ready at another one", moved, err)
	}
}
