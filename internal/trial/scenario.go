package trial

import (
	"time"

	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// Load is what one organisation asks of its budget.
type Load struct {
	Budget string
	// Paid is what the budget has at the start.
	Paid ledger.Tokens
	// Rate is the mean number of requests a second over all nodes.
	Rate float64
	// Favour is the share of the requests that go to node 0 on top of its equal
	// share.
	Favour float64
}

// Span is a time from the start of a scenario to another.
type Span struct{ From, To time.Duration }

// Has reports whether the span covers t.
func (s Span) Has(t time.Duration) bool { return t >= s.From && t < s.To }

// Scenario is a load and the failures that go with it. Zero spans are empty.
type Scenario struct {
	Name   string
	Length time.Duration
	Nodes  int
	Loads  []Load
	// TopUp is paid to each budget at TopUpAt, if that is not 0.
	TopUp   ledger.Tokens
	TopUpAt time.Duration
	// Cut separates the nodes from Side on from the others, and from the log.
	Cut  Span
	Side int
	// LogDown is an outage of the log service.
	LogDown Span
	// Kill ends node 1 at From; a new one takes its place at To.
	Kill Span
	// Freeze pauses node 2; it resumes at To and does not know.
	Freeze Span
}

// detectAfter is the time from a failure of a node to the proposal to close it.
const detectAfter = 20 * time.Second

// skewed returns ten organisations, a few of them large.
func skewed(paid ledger.Tokens, rate float64) []Load {
	weights := []float64{30, 22, 15, 9, 7, 5, 4, 3, 3, 2}
	var loads []Load
	for i, w := range weights {
		loads = append(loads, Load{
			Budget: string(rune('a' + i)),
			Paid:   ledger.Tokens(float64(paid) * w / 100),
			Rate:   rate * w / 100,
			Favour: 0.3 * float64(i%3) / 2,
		})
	}
	return loads
}

// hot returns one budget that is drawn from everywhere.
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
			Cut: Span{From: 10 * minute, To: 70 * minute}, Side: 2, TopUp: 6e6, TopUpAt: 30 * minute,
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
