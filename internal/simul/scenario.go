package simul

import (
	"time"

	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// Load is the request load of one organisation on its budget.
type Load struct {
	Budget string
	// Paid is the number of tokens in the budget at the start.
	Paid ledger.Tokens
	// Rate is the mean number of requests per second over all nodes.
	Rate float64
	// Node0Share is the share of the requests that is sent to node 0 directly. The
	// rest is spread evenly over all nodes, node 0 included.
	Node0Share float64
}

// Span is an interval in time since the start of the scenario. From is included,
// To is not.
type Span struct{ From, To time.Duration }

// Contains reports whether the span covers t.
func (s Span) Contains(t time.Duration) bool { return t >= s.From && t < s.To }

// Scenario is a load and the failures injected into it. A zero span never occurs.
type Scenario struct {
	Name   string
	Length time.Duration
	Nodes  int
	Loads  []Load
	// TopUp is paid at TopUpAt, divided equally among the budgets. There is no
	// top-up if TopUpAt is 0.
	TopUp   ledger.Tokens
	TopUpAt time.Duration
	// Partition is a network partition: the nodes with an index of PartitionFrom or more
	// reach neither the other nodes nor the log service.
	Partition     Span
	PartitionFrom int
	// LogDown is an outage of the log service.
	LogDown Span
	// Kill stops node 1 at From and starts a new incarnation of it at To.
	Kill Span
	// Freeze pauses node 2 at From. It resumes at To without noticing the pause.
	Freeze Span
}

// detectAfter is the time from the failure of a node until its holder is closed.
const detectAfter = 20 * time.Second

// skewed returns the loads of ten organisations that share paid tokens and rate
// requests per second unequally: 30% for the largest, 2% for the smallest.
func skewed(paid ledger.Tokens, rate float64) []Load {
	weights := []float64{30, 22, 15, 9, 7, 5, 4, 3, 3, 2}
	var loads []Load
	for i, w := range weights {
		loads = append(loads, Load{
			Budget:     string(rune('a' + i)),
			Paid:       ledger.Tokens(float64(paid) * w / 100),
			Rate:       rate * w / 100,
			Node0Share: 0.3 * float64(i%3) / 2,
		})
	}
	return loads
}

// hot returns a single budget that is drawn on at all nodes.
func hot(paid ledger.Tokens, rate float64) []Load {
	return []Load{{Budget: "hot", Paid: paid, Rate: rate}}
}

// Scenarios returns the scenarios of the report.
func Scenarios() []Scenario {
	const minute = time.Minute
	return []Scenario{
		{Name: "1 steady, skewed", Length: 60 * minute, Nodes: 4, Loads: skewed(90e6, 6)},
		{Name: "2 one hot budget", Length: 60 * minute, Nodes: 4, Loads: hot(60e6, 6)},
		{Name: "3 last 5%", Length: 20 * minute, Nodes: 4, Loads: skewed(6e6, 6)},
		{
			Name: "4 partition, top-up", Length: 80 * minute, Nodes: 4, Loads: skewed(30e6, 6),
			Partition: Span{From: 10 * minute, To: 70 * minute}, PartitionFrom: 2, TopUp: 6e6, TopUpAt: 30 * minute,
		},
		{
			Name: "5 killed, frozen", Length: 30 * minute, Nodes: 4, Loads: skewed(15e6, 6),
			Kill:   Span{From: 8 * minute, To: 8*minute + 30*time.Second},
			Freeze: Span{From: 15 * minute, To: 20 * minute},
		},
		{
			Name: "6 log down", Length: 80 * minute, Nodes: 4, Loads: skewed(40e6, 6),
			LogDown: Span{From: 10 * minute, To: 70 * minute},
		},
		{
			Name: "7 log down, killed", Length: 80 * minute, Nodes: 4, Loads: skewed(40e6, 6),
			LogDown: Span{From: 10 * minute, To: 70 * minute},
			Kill:    Span{From: 30 * minute, To: 30*minute + 30*time.Second},
		},
	}
}
