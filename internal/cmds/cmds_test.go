package cmds

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/beryllanding/beryllanding/pkg/catal"
	"github.com/beryllanding/beryllanding/pkg/fleet"
	"github.com/beryllanding/beryllanding/pkg/insts"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/logsvc"

	"github.com/beryllanding/beryllanding/internal/stand/check"
	"github.com/beryllanding/beryllanding/internal/stand/logd"
)

// script runs commands against one platform, and records their output for the
// golden file.
type script struct {
	*platform
	t   *testing.T
	out strings.Builder
}

// newScript returns a script for a new platform. It unsets the environment
// variables that the commands read.
func newScript(t *testing.T) *script {
	for _, name := range []string{"SETTINGS", "LOG_SERVICE", "INSTANCE_LIST", "SHARDS", "OPERATOR"} {
		t.Setenv("BERYL_"+name, "")
		if err := os.Unsetenv("BERYL_" + name); err != nil {
			t.Fatal(err)
		}
	}
	return &script{platform: new(platform), t: t}
}

// run runs a command line, whose arguments are separated by blanks.
func (s *script) run(want ExitCode, line string) { s.input(want, line, "") }

// input runs a command line with the text in on standard input.
func (s *script) input(want ExitCode, line, in string) {
	s.t.Helper()
	var out, errOut bytes.Buffer
	p := Program{In: strings.NewReader(in), Out: &out, Err: &errOut, Connect: s.connect}
	code := p.Run(context.Background(), strings.Fields(line))
	if code != want.Int() {
		s.t.Errorf("%q: exit code %d, want %d; output:\n%s%s", line, code, want, &out, &errOut)
	}
	fmt.Fprintf(&s.out, "$ beryl %s\n", line)
	if in != "" {
		fmt.Fprintf(&s.out, "< %s\n", in)
	}
	s.out.Write(out.Bytes())
	for l := range strings.Lines(errOut.String()) {
		s.out.WriteString("! " + l)
	}
	fmt.Fprintf(&s.out, "= %d\n\n", code)
}

// note puts a heading into the golden file.
func (s *script) note(format string, args ...any) {
	fmt.Fprintf(&s.out, "# "+format+"\n\n", args...)
}

const (
	service = `{"service": {"name": "assist-llm", "owner": "ops", "class": "interactive", "kind": "model", ` +
		`"prompt-bytes-per-token": 2, "max-output": 1024, "default-output": 256}}`
	budgetOne = `{"budget": {"name": "b/one", "owner": "kowhai", "class": "standard", "limits": {"max-tokens": 500}, ` +
		`"key-hashes": ["8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a"]}}`
	budgetSameKey = `{"budget": {"name": "b/two", "owner": "other", "class": "batch", ` +
		`"key-hashes": ["8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a"]}}`
)

// concurrentChange is a change of another operator.
func concurrentChange(id string, base logsvc.Offset) catal.Change {
	entry := &catal.Budget{Name: "b/one", Owner: "kowhai", Class: catal.Batch}
	return catal.Change{ID: id, Base: base, Operator: "bo", Entry: entry}
}

func TestCatalogue(t *testing.T) {
	s := newScript(t)
	synctest.Test(t, func(t *testing.T) {
		s.t = t
		s.note("entries come and go")
		s.run(ExitOK, "catalogue list")
		s.input(ExitOK, "catalogue put - --operator ada", service)
		s.input(ExitOK, "catalogue put - --operator ada --id mine", budgetOne)
		s.input(ExitOK, "catalogue put - --operator ada --id mine", budgetOne)
		s.run(ExitOK, "cat ls")
		s.run(ExitOK, "catalogue list -o json")
		s.run(ExitOK, "catalogue show b/one")
		s.run(ExitNotFound, "catalogue show b/none")
		s.run(ExitNotFound, "catalogue delete b/none")

		s.note("bad input changes nothing")
		s.input(ExitUsage, "catalogue put -", budgetSameKey)
		s.input(ExitUsage, "catalogue put -", `{"budget": {"name": "B", "class": "x", "limits": {"max-tokens": -1}}}`)
		s.input(ExitUsage, "catalogue put -", `{"budget": {"name": "b", "colour": "red"}}`)
		s.input(ExitUsage, "catalogue put -", `{"name": "b/two", "budget": {"name": "b/one"}}`)
		s.input(ExitUsage, "catalogue put -", `{} {}`)
		s.run(ExitUsage, "catalogue put missing.json")
		s.run(ExitUsage, "catalogue delete b/one --id "+strings.Repeat("i", 129))
		s.run(ExitUsage, "catalogue put")
		s.run(ExitUsage, "catalogue list more")

		s.note("another operator is faster")
		s.beforeAppend = func() { s.write(ledger.CatalogueStream, catal.Encode(concurrentChange("theirs", 2))) }
		s.input(ExitConflict, "catalogue put -", budgetOne)
		s.input(ExitConflict, "catalogue put - -o json --base 2", budgetOne)
		s.run(ExitConflict, "catalogue delete b/one --base 1")

		s.note("the answer is lost, the append was made")
		s.lostReplies = 1
		s.input(ExitOK, "catalogue put - --base 4", budgetOne)

		s.note("no answer until the end")
		s.lostAppends = 1000
		s.run(ExitUnknown, "catalogue delete b/one --id gone --timeout 3s")
		s.lostAppends = 0
		s.run(ExitOK, "catalogue delete b/one --id gone -o json")
		s.run(ExitOK, "catalogue delete b/one --id gone")

		s.note("the log service has an outage")
		s.down = true
		s.input(ExitUnknown, "catalogue put -", service)
		s.input(ExitUnknown, "catalogue put - -o json", service)
		s.Switches.Set(logd.Switches{Outage: true})
		s.run(ExitUnknown, "catalogue list")
		s.down = false
		s.Switches.Set(logd.Switches{})

		s.note("records expired and no checkpoint covers them")
		s.Expire(ledger.CatalogueStream, len(s.Records(ledger.CatalogueStream))-1)
		s.run(ExitUnknown, "catalogue list")
	})
	check.Golden(t, "catalogue.golden", s.out.String())
}

func TestBudget(t *testing.T) {
	s := newScript(t)
	synctest.Test(t, func(t *testing.T) {
		s.t = t
		s.note("top-ups")
		s.run(ExitNotFound, "budget top-up b/one 100")
		s.input(ExitOK, "catalogue put -", budgetOne)
		s.run(ExitOK, "budget show")
		s.run(ExitNotFound, "budget show b/one")
		s.run(ExitOK, "budget top-up b/one 1000 --id invoice-1")
		s.run(ExitOK, "budget top-up b/one 1000 --id invoice-1")
		s.run(ExitConflict, "budget top-up b/one 2000 --id invoice-1")
		s.run(ExitOK, "budget top-up -o json -- b/one -100")
		s.run(ExitUsage, "budget top-up --id fix -- b/one -901")
		s.run(ExitOK, "budget top-up b/one 10")
		s.run(ExitOK, "budget top-up --id fix -- b/one -901")
		s.run(ExitOK, "budget top-up b/one 891")
		s.run(ExitUsage, "budget top-up b/one 0")
		s.run(ExitUsage, "budget top-up b/one many")
		s.run(ExitUsage, "budget top-up b/one 5 --id "+strings.Repeat("i", 129))
		s.run(ExitOK, "budget top-up b/new 5 --unlisted")
		s.lostReplies = 2
		s.run(ExitOK, "budget top-up b/one 10")
		s.lostAppends = 1000
		s.run(ExitUnknown, "budget top-up b/one 10 --id invoice-2")
		s.lostAppends = 0
		s.run(ExitOK, "budget top-up b/one 10 --id invoice-2")
		s.down = true
		s.run(ExitUnknown, "budget top-up b/one 10 --id invoice-3")
		s.down = false

		s.note("leases and bills")
		bill := ledger.Usage{
			Budget: "b/one", Request: "kowhai/1", Service: "assist-llm", At: 1796336901,
			Charges: []ledger.Charge{{Holder: "r1~aa", Tokens: 30}},
		}
		s.write(ledger.Stream(0), ledger.Encode(ledger.Grant{Budget: "b/one", Holder: "r1~aa", Tokens: 400}))
		s.write(ledger.Stream(0), ledger.Encode(bill), ledger.Encode(bill))
		s.run(ExitOK, "budget show")
		s.run(ExitOK, "budget show b/one")
		s.run(ExitOK, "budget show b/one -o json")
		s.run(ExitOK, "usage")
		s.run(ExitOK, "usage --budget b/one -o json")
		s.run(ExitOK, "usage --budget b/none")
		s.run(ExitOK, "usage --request kowhai/1")
		s.run(ExitNotFound, "usage --request kowhai/2")
		s.run(ExitUsage, "usage --request kowhai/2 --budget b/one")

		s.note("records expired and a checkpoint replaces them")
		s.checkpoint(ledger.Stream(0), new(ledger.State))
		s.run(ExitOK, "budget show")
		s.run(ExitOK, "budget top-up b/one 1000 --id invoice-1")
		s.run(ExitOK, "usage")
		s.run(ExitOK, "usage --request kowhai/1")
	})
	check.Golden(t, "budget.golden", s.out.String())
}

func TestFleet(t *testing.T) {
	s := newScript(t)
	s.instances = []insts.Instance{
		{Name: "s2", Role: insts.Side, Service: "stores-app", DataCentre: "chc-b", Addr: "10.0.0.4:1", Incarnation: "s2~b", State: insts.Draining},
		{Name: "r1", Role: insts.Router, DataCentre: "chc-a", Addr: "10.0.0.1:1", Incarnation: "r1~aa", State: insts.Live},
		{Name: "r2", Role: insts.Router, DataCentre: "chc-b", Addr: "10.0.0.2:1", Incarnation: "r2~bb", State: insts.Live},
		{Name: "s1", Role: insts.Side, Service: "assist-llm", DataCentre: "chc-a", Addr: "10.0.0.3:1", Incarnation: "s1~c", State: insts.Live},
	}
	synctest.Test(t, func(t *testing.T) {
		s.t = t
		s.run(ExitOK, "instances")
		s.run(ExitOK, "targets --service assist-llm -o json")
		s.run(ExitOK, "targets")
		s.run(ExitUnknown, "holdings")
		s.run(ExitUnknown, "holdings --budget b/one -o json")

		s.run(ExitUnknown, "catalogue in-force 2")
		s.run(ExitCheckFailed, "catalogue in-force 3")
		all := s.instances
		s.instances = all[:2]
		s.run(ExitOK, "catalogue in-force 2 -o json")
		s.input(ExitOK, "catalogue put -", service)
		s.run(ExitOK, "catalogue in-force")
		s.run(ExitUsage, "catalogue in-force soon")
		s.instances = all

		s.write(ledger.FleetStream,
			fleet.Encode(fleet.SideOpen{Side: "s1~c", Slot: "slot-1", Service: "assist-llm"}),
			fleet.Encode(fleet.SideOpen{Side: "s3~x", Slot: "slot-3", Service: "stores-app"}),
			fleet.Encode(fleet.SideOpen{Side: "s4~x", Slot: "slot-4", Service: "stores-app"}),
			fleet.Encode(fleet.SideOpen{Side: "s4~y", Slot: "slot-4b", Service: "stores-app"}),
			fleet.Encode(fleet.HolderClose{Holder: "r9~z", By: "r1~aa", Reason: "missing"}),
			fleet.Encode(fleet.Ack{Side: "s1~c", Holder: "r9~z"}),
		)
		s.run(ExitOK, "fleet show")
		s.run(ExitCheckFailed, "fleet gone s1 --reason lost")
		s.run(ExitUsage, "fleet gone s3")
		s.run(ExitUsage, "fleet gone s4 --reason lost")
		s.run(ExitNotFound, "fleet gone s5 --reason lost")
		s.listDown = true
		s.run(ExitUnknown, "instances")
		s.run(ExitCheckFailed, "fleet gone s3 --reason lost")
		s.run(ExitOK, "fleet gone s3 --reason lost --force")
		s.listDown = false
		s.lostAppends = 1000
		s.run(ExitUnknown, "fleet gone s4~x --reason lost")
		s.lostAppends = 0
		s.lostReplies = 1
		s.run(ExitOK, "fleet gone s4~x --reason lost")
		s.run(ExitOK, "fleet gone s4 --reason lost -o json")
		s.run(ExitOK, "fleet show")
		s.run(ExitOK, "fleet show --all -o json")
	})
	check.Golden(t, "fleet.golden", s.out.String())
}

func TestTools(t *testing.T) {
	s := newScript(t)
	s.run(ExitOK, "--help")
	s.run(ExitOK, "catalogue put --help")
	s.run(ExitUsage, "catalogue")
	s.run(ExitUsage, "catalouge list")
	s.run(ExitUsage, "catalogue list --colour")
	s.run(ExitUsage, "instances -o yaml")
	s.run(ExitUsage, "instances --timeout 0s")
	s.run(ExitUsage, "catalogue list --settings missing.ini")
	s.run(ExitUsage, "catalogue list --settings testdata/bad.ini")
	s.run(ExitUsage, "catalogue list --shards -1")
	s.input(ExitOK, "key hash", "k\n")
	s.input(ExitOK, "key hash -o json", "k")
	s.input(ExitUsage, "key hash", "two keys")
	s.run(ExitUsage, "key hash")
	s.run(ExitCheckFailed, "settings check testdata/bad.ini --for side")
	s.run(ExitCheckFailed, "settings check testdata/bad.ini --for operator -o json")
	s.run(ExitOK, "settings check testdata/good.ini --for operator")
	s.run(ExitUsage, "settings check testdata/good.ini --for engine")
	s.run(ExitUsage, "settings check missing.ini --for operator")
	s.run(ExitOK, "settings show-defaults --for operator")
	check.Golden(t, "tools.golden", s.out.String())
}

// TestKeyNew checks that every key is different, and is printed with its hash.
func TestKeyNew(t *testing.T) {
	seen := make(map[string]bool)
	for range 3 {
		var out bytes.Buffer
		p := Program{Out: &out, Err: &out}
		if code := p.Run(t.Context(), []string{"key", "new"}); code != 0 {
			t.Fatalf("key new: exit code %d, want 0; output: %s", code, &out)
		}
		fields := strings.Fields(out.String())
		if len(fields) != 4 || catal.HashKey(fields[1]).String() != fields[3] || seen[fields[1]] {
			t.Errorf("key new printed %q, want a new key and its hash", out.String())
		}
		seen[fields[1]] = true
	}
}

func FuzzParseEntry(f *testing.F) {
	for _, seed := range []string{service, budgetOne, `{"at": 3, "budget": {}}`, `{"service": {}, "budget": {}}`, `{} {}`, `null`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		ask, err := parseEntry(data)
		if err == nil && (ask.Entry == nil || ask.Delete != "" || ask.ID != "") {
			t.Fatalf("%q was parsed as %+v, want an entry, no name to delete and no id", data, ask)
		}
	})
}
