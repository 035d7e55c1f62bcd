package simul

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/lease"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

const (
	worldNodes = 3
	worldSides = 2
)

var worldBudgets = []string{"maint", "stock"}

// reservation is a reservation at a node, and the request that the node sends to a side
// process for it.
type reservation struct {
	id, budget, request string
	node                *Node
	// life is the incarnation that the node was started as.
	life          ident.Incarnation
	charges       []ledger.Charge
	sent, started bool
}

// run is the execution of a request at a side process.
type run struct {
	*reservation
	side  int
	ended bool
	used  []ledger.Charge
	// answered is set once the node has the answer or has given up on it.
	answered bool
}

// move is the answer to a transfer, in transit.
type move struct {
	id, budget string
	taker      *Node
	charges    []ledger.Charge
}

// side is a side process.
type side struct {
	fenced map[ident.Incarnation]bool
	writer Writer
	// unbilled holds the runs whose usage is not on the log.
	unbilled []*run
}

// world is the simulated system and the reference ledger that it is compared with.
type world struct {
	t            *rapid.T
	now          time.Time
	log          *Log
	nodes        []*Node
	sides        []*side
	reservations []*reservation
	runs         []*run
	moves        []move
	// lateBatches holds batches of crashed incarnations that may still reach the log.
	lateBatches [][]byte
	// closing are the holders that side processes may fence.
	closing   []ident.Incarnation
	reclaimed map[ident.Incarnation]bool
	// all reads the whole log, including expired records, into ledger.
	all    *fold.Reader
	ledger *ledger.State
	// The reference ledger: tokens paid and billed by budget, top-ups and billed
	// requests by id.
	paid   map[string]ledger.Tokens
	topUps map[string]bool
	billed map[string]bool
	bills  map[string]ledger.Tokens
	count  int
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1, 0), log: &Log{},
		reclaimed: map[ident.Incarnation]bool{},
		paid:      map[string]ledger.Tokens{}, topUps: map[string]bool{},
		billed: map[string]bool{}, bills: map[string]ledger.Tokens{},
	}
	w.ledger = &ledger.State{OnDecision: w.recordBill}
	w.all = &fold.Reader{Machine: w.ledger}
	for i := range worldNodes {
		w.nodes = append(w.nodes, NewNode(fmt.Sprintf("n%d", i), w.log, worldPolicy))
	}
	for i := range worldSides {
		w.sides = append(w.sides, &side{fenced: map[ident.Incarnation]bool{}, writer: Writer{Name: fmt.Sprintf("side%d", i)}})
	}
	return w
}

var worldPolicy = lease.Policy{Floor: 200, Horizon: time.Minute, IdleReturn: time.Minute}

// recordBill adds the usage on the log to the reference ledger. It bills a request
// only once, by its own record of the billed requests.
func (w *world) recordBill(d ledger.Decision) {
	if u, ok := d.Item.(ledger.Usage); ok && !w.billed[u.Request] {
		w.billed[u.Request] = true
		for _, c := range u.Charges {
			w.bills[u.Budget] += c.Tokens
		}
	}
}

func (w *world) next(prefix string) string {
	w.count++
	return fmt.Sprintf("%s%d", prefix, w.count)
}

// pick draws one of the candidates. It skips the step if there is none.
func pick[T any](t *rapid.T, label string, all []T) T {
	if len(all) == 0 {
		t.Skip("no " + label)
	}
	return all[rapid.IntRange(0, len(all)-1).Draw(t, label)]
}

func filter[T any](all []T, keep func(T) bool) []T {
	var kept []T
	for _, v := range all {
		if keep(v) {
			kept = append(kept, v)
		}
	}
	return kept
}

func (w *world) node(t *rapid.T) *Node {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
	return pick(t, "node", w.nodes)
}

func (w *world) append(data []byte) { w.log.Append(data) }
