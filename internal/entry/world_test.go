package entry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/route"
)

// world is what all side processes and the budgets share.
type world struct {
	mu     sync.Mutex
	sides  map[string]*fakeSide
	faults []fault
	// usage holds the first bill of each request id, as the log's fold would.
	usage map[string][]ledger.Charge
	// runs counts the runs of each request id, and began holds the time of the
	// first.
	runs  map[string]int
	began map[string]time.Time
	// answers holds the whole answers of the runs of each request id.
	answers map[string][]string
	tickets map[string]*ticketState
	lastID  uint64
}

// ticketState is what became of a ticket.
type ticketState struct {
	Ticket
	ends []string
	used []ledger.Charge
}

// nextFault returns the fault of the next attempt.
func (w *world) nextFault() fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.faults) == 0 {
		return fault{Kind: "none"}
	}
	f := w.faults[0]
	w.faults = w.faults[1:]
	return f
}

// bill records a usage; only the first of a request takes effect.
func (w *world) bill(request string, charges []ledger.Charge) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.usage[request]; !ok {
		w.usage[request] = charges
	}
}

func newWorld(faults []fault) *world {
	w := &world{
		sides:   make(map[string]*fakeSide),
		faults:  slices.Clone(faults),
		usage:   make(map[string][]ledger.Charge),
		runs:    make(map[string]int),
		began:   make(map[string]time.Time),
		answers: make(map[string][]string),
		tickets: make(map[string]*ticketState),
	}
	for _, name := range []string{"t1", "t2", "t3"} {
		w.sides[name] = &fakeSide{
			w: w, name: name,
			runs: make(map[string]*fakeRun), byAttempt: make(map[string]*fakeRun),
			joined: make(map[string]bool), fenced: make(map[string]bool),
		}
	}
	return w
}

// ran reports whether a run of the id began before now. One that begins at the
// very time of a refusal may come after it.
func (w *world) ran(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id] > 0 && w.began[id].Before(time.Now())
}

// Targets lists the three targets.
func (w *world) Targets(string) []route.Target {
	return []route.Target{{Name: "t1", DataCentre: "dc"}, {Name: "t2", DataCentre: "dc"}, {Name: "t3", DataCentre: "dc2"}}
}

func (w *world) Authenticate(string) (Account, bool) { return Account{}, false }
func (w *world) Service(string) (Service, bool)      { return Service{}, false }
func (w *world) Offset() uint64                      { return 1 }

// Reserve gives each ticket a holder of its own, so that the bills on the log
// name the ticket.
func (w *world) Reserve(_ context.Context, budget string, tokens ledger.Tokens) (Ticket, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	holder := ident.Incarnation(fmt.Sprintf("h~%d", w.lastID))
	t := Ticket{ID: string(holder), Budget: budget, Charges: []ledger.Charge{{Holder: holder, Tokens: tokens}}}
	w.tickets[t.ID] = &ticketState{Ticket: t}
	return t, nil
}

func (w *world) end(t Ticket, how string, used []ledger.Charge) {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := w.tickets[t.ID]
	state.ends = append(state.ends, how)
	state.used = used
}

func (w *world) Settle(t Ticket, _, _ string, used []ledger.Charge) { w.end(t, "settle", used) }
func (w *world) Cancel(t Ticket)                                    { w.end(t, "cancel", nil) }
func (w *world) Defer(t Ticket, _ string, _ []string)               { w.end(t, "defer", nil) }
func (w *world) CloseHolder(ident.Incarnation)                      {}

func (w *world) BillOrphan(request string, _ Ticket, _ string, charges []ledger.Charge) {
	w.bill(request, charges)
}

// Side returns a connection to the target's side process.
func (w *world) Side(t route.Target) (wire.SideClient, error) {
	return &client{s: w.sides[t.Name]}, nil
}

// Fresh returns a new connection.
func (w *world) Fresh(t route.Target, _ wire.SideClient) (wire.SideClient, error) {
	return w.Side(t)
}
