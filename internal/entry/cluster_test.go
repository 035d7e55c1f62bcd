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

// fakeCluster is the state shared by the fake side processes, the log and the budgets.
// It implements all of the engine's interfaces.
type fakeCluster struct {
	mu     sync.Mutex
	sides  map[string]*fakeSide
	faults []fault
	// usage contains the first bill of each request id. Later bills of the same id have
	// no effect, as in the log's fold.
	usage map[string][]ledger.Charge
	// runs counts the runs of each request id. began contains the start time of the
	// first run of each request id.
	runs  map[string]int
	began map[string]time.Time
	// responses contains the complete responses of the runs of each request id.
	responses    map[string][]string
	reservations map[string]*reservationState
	lastID       uint64
}

// reservationState is a reservation with the calls that ended it and the charges used.
type reservationState struct {
	Reservation
	ends []string
	used []ledger.Charge
}

// nextFault returns the fault of the next attempt.
func (fc *fakeCluster) nextFault() fault {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	if len(fc.faults) == 0 {
		return fault{Kind: "none"}
	}
	f := fc.faults[0]
	fc.faults = fc.faults[1:]
	return f
}

// bill records a usage. Only the first one of a request takes effect.
func (fc *fakeCluster) bill(request string, charges []ledger.Charge) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	if _, ok := fc.usage[request]; !ok {
		fc.usage[request] = charges
	}
}

func newFakeCluster(faults []fault) *fakeCluster {
	fc := &fakeCluster{
		sides:        make(map[string]*fakeSide),
		faults:       slices.Clone(faults),
		usage:        make(map[string][]ledger.Charge),
		runs:         make(map[string]int),
		began:        make(map[string]time.Time),
		responses:    make(map[string][]string),
		reservations: make(map[string]*reservationState),
	}
	for _, name := range []string{"t1", "t2", "t3"} {
		fc.sides[name] = &fakeSide{
			fc: fc, name: name,
			runs: make(map[string]*fakeRun), byAttempt: make(map[string]*fakeRun),
			joined: make(map[string]bool), fenced: make(map[string]bool),
		}
	}
	return fc
}

// ran reports whether a run of the id began before now. A run that begins at the exact
// time of a refusal may come after the refusal.
func (fc *fakeCluster) ran(id string) bool {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	return fc.runs[id] > 0 && fc.began[id].Before(time.Now())
}

// Targets lists all three targets.
func (fc *fakeCluster) Targets(string) []route.Target {
	return []route.Target{{Name: "t1", DataCentre: "dc"}, {Name: "t2", DataCentre: "dc"}, {Name: "t3", DataCentre: "dc2"}}
}

func (fc *fakeCluster) Authenticate(string) (Account, bool) { return Account{}, false }
func (fc *fakeCluster) Service(string) (Service, bool)      { return Service{}, false }
func (fc *fakeCluster) Offset() uint64                      { return 1 }

// Reserve gives each reservation its own holder, so that bills on the log identify the
// reservation.
func (fc *fakeCluster) Reserve(_ context.Context, budget string, tokens ledger.Tokens) (Reservation, error) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	fc.lastID++
	holder := ident.Incarnation(fmt.Sprintf("h~%d", fc.lastID))
	t := Reservation{ID: string(holder), Budget: budget, Charges: []ledger.Charge{{Holder: holder, Tokens: tokens}}}
	fc.reservations[t.ID] = &reservationState{Reservation: t}
	return t, nil
}

func (fc *fakeCluster) endReservation(t Reservation, how string, used []ledger.Charge) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	state := fc.reservations[t.ID]
	state.ends = append(state.ends, how)
	state.used = used
}

func (fc *fakeCluster) Settle(t Reservation, _, _ string, used []ledger.Charge) {
	fc.endReservation(t, "settle", used)
}

func (fc *fakeCluster) Cancel(t Reservation) { fc.endReservation(t, "cancel", nil) }

func (fc *fakeCluster) Defer(t Reservation, _ string, _ []string) { fc.endReservation(t, "defer", nil) }
func (fc *fakeCluster) ReportClosedHolder(ident.Incarnation)      {}

func (fc *fakeCluster) BillOrphan(request string, _ Reservation, _ string, charges []ledger.Charge) {
	fc.bill(request, charges)
}

// Side returns a connection to the target's side process.
func (fc *fakeCluster) Side(t route.Target) (wire.SideClient, error) {
	return &client{s: fc.sides[t.Name]}, nil
}

// Reconnect returns a new connection.
func (fc *fakeCluster) Reconnect(t route.Target, _ wire.SideClient) (wire.SideClient, error) {
	return fc.Side(t)
}
