package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/beryllanding/beryllanding/internal/audit"
	"github.com/beryllanding/beryllanding/internal/cmds"
	"github.com/beryllanding/beryllanding/internal/stand/check"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/roster"
	"github.com/beryllanding/beryllanding/pkg/table"
	"github.com/beryllanding/beryllanding/platform"
)

// TestEdgeTables checks the tables that the commands print.
func TestEdgeTables(t *testing.T) {
	var out bytes.Buffer
	w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	writeBudgets(w, []audit.Budget{{
		Name: "desk", Version: 4, Paid: 200_000, Free: 140_000, Withheld: 10_000, Spent: 12_000, Lost: 3000,
		Leases: []audit.Lease{{Holder: "edge-1~ab", Machine: "10.0.0.1", Held: ledger.Tokens(38_000), Pledged: 5000, PerSecond: 900, Unconfirmed: true}},
	}}, true)
	writeTargets(w, []audit.Target{
		{Target: roster.Target{ID: "i-1", Service: "chat", Address: "10.0.0.9:80", DataCentre: "z", Version: "v1.2", Draining: true}, Limit: 1.5},
		{Target: roster.Target{ID: "i-3", Service: "chat", ColdLeft: 2500 * time.Millisecond}},
		{Target: roster.Target{ID: "i-4", Service: "chat", DataCentre: "z"}, Evacuated: true},
		{Target: roster.Target{ID: "i-2"}, Fault: "no service"},
	})
	writeTable(w, &table.Table{
		Version:       7,
		Routes:        []*table.Route{{Name: "r", Host: "h.example", Prefix: "/c/", MaxTargets: 2, Shares: []table.Share{{Service: "chat", Weight: 1}}}},
		Organisations: []*table.Organisation{{Name: "desk", Prepaid: 200_000, Limited: true}, {Name: "yard"}},
	})
	until := time.Date(2026, 1, 2, 3, 4, 0, 0, time.UTC)
	writeParts(w, []audit.Part{
		{Kind: "part", Service: "chat", ID: "5c1e07a2", Ended: []string{"i-1/8", "i-2/9"}, Until: &until, Quarantined: true, Terms: 1},
		{Kind: "caller-part", Service: "chat", Organisation: "desk", ID: "91bd3f06", Inside: true, Ended: []string{"i-1/8"}, Cleared: 3},
	})
	_ = w.Flush() // Writing to a buffer doesn't fail.
	check.Golden(t, "edge.txt", out.String())
}

// beryl runs the program and returns its exit code and output.
func beryl(t *testing.T, args ...string) (cmds.ExitCode, string) {
	t.Helper()
	var out bytes.Buffer
	p := cmds.Program{Out: &out, Err: &out, Extra: extra}
	code := p.Run(t.Context(), args)
	return cmds.ExitCode(code), out.String()
}

func TestEdgeCheck(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.toml")
	if err := os.WriteFile(file, []byte("zone = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, out := beryl(t, "edge", "check", file); code != cmds.ExitCheckFailed {
		t.Errorf("malformed setting: exit code %d, want %d; output: %s", code, cmds.ExitCheckFailed, out)
	}
	if err := os.WriteFile(file, []byte("ip = \"10.0.0.1\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	// All faults at once.
	if code, out := beryl(t, "edge", "check", file); code != cmds.ExitCheckFailed || strings.Count(out, "missing") < 8 {
		t.Errorf("missing settings: exit code %d, want %d and at least 8 faults; output: %s", code, cmds.ExitCheckFailed, out)
	}
}

func TestEdgeNeedsSettings(t *testing.T) {
	t.Setenv(platform.SettingsVariable, "")
	for _, command := range []string{"budgets", "targets", "table", "parts"} {
		if code, out := beryl(t, "edge", command); code == cmds.ExitOK || !strings.Contains(out, "--boot is missing") {
			t.Errorf("%s: exit code %d, want a failure that reports the missing --boot; output: %s", command, code, out)
		}
	}
}
