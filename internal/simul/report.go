package simul

import (
	"fmt"
	"strings"
	"time"

	"github.com/beryllanding/beryllanding/pkg/lease"
)

// Policy is one way to distribute tokens over the nodes. The report compares several.
type Policy struct {
	Name string
	// Lease sets the sizes of the leases. It is not used if central is set.
	Lease lease.Policy
	// fixed grants each node an equal share of the paid tokens and nothing more.
	fixed bool
	// central asks one central ledger, over the log service, for each request.
	central bool
}

// Policies returns the policies of the report: the chosen one, two alternatives,
// and variants of the chosen one with one parameter changed in each.
func Policies() []Policy {
	return []Policy{
		{Name: "chosen"},
		{Name: "fixed shares", fixed: true, Lease: lease.Policy{NoTransfer: true}},
		{Name: "central", central: true},
		{Name: "no transfer", Lease: lease.Policy{NoTransfer: true}},
		{Name: "share bound", Lease: lease.Policy{Share: 0.5}},
		{Name: "idle return", Lease: lease.Policy{IdleReturn: 5 * time.Minute}},
		{Name: "horizon 1 min", Lease: lease.Policy{Horizon: time.Minute}},
		{Name: "low water 0.5", Lease: lease.Policy{LowWater: 0.5}},
		{Name: "weight 1", Lease: lease.Policy{Weight: 1}},
	}
}

// Format returns the results as a table.
func Format(results []Result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-20s %-15s %9s %9s %9s %7s %8s %9s %10s\n",
		"scenario", "policy", "requests", "overspend", "refused-%", "false-%", "expl.-%", "appends/s", "B/node/s")
	last := ""
	for _, r := range results {
		if last != "" && r.Scenario != last {
			b.WriteString("\n")
		}
		last = r.Scenario
		fmt.Fprintf(&b, "%-20s %-15s %9d %9d %9.3f %7.3f %8s %9.2f %10.0f\n",
			r.Scenario, r.Policy, r.Requests, r.Overspend, percent(r.Refused, r.Requests), r.FalsePercent(),
			r.explained(), float64(r.Appends)/r.Length.Seconds(),
			float64(r.Bytes)/float64(r.Nodes)/r.Length.Seconds())
	}
	return b.String()
}

// FalsePercent returns the false refusals in per cent of the requests.
func (r Result) FalsePercent() float64 { return percent(r.FalseRefusals, r.Requests) }

// explained returns the explained false refusals in per cent of all false
// refusals, or a dash if there are none.
func (r Result) explained() string {
	if r.FalseRefusals == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", percent(r.Explained, r.FalseRefusals))
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}
