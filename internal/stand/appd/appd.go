// Package appd is a stand-in for an application service with non-idempotent calls, for
// tests. It counts every run, which reveals double runs, and has switches for its
// failures.
package appd

import (
	"fmt"
	"maps"
	"sync"

	"github.com/beryllanding/beryllanding/internal/stand/toggle"
)

const (
	// defaultStock is the initial stock of each part.
	defaultStock = 1_000_000
	// firstOwner is the initial owner of each lot.
	firstOwner = "gin"
)

// Switches are the failures of the application. The zero value has none.
type Switches struct {
	// SlowMS is the duration of a run, in milliseconds. The run continues if the caller
	// leaves.
	SlowMS int `json:"slow-ms"`
	// Silent accepts calls, runs nothing and never answers.
	Silent bool `json:"silent"`
	// SilentAfterRun runs calls and never answers them.
	SilentAfterRun bool `json:"silent-after-run"`
	// DieAfterRun runs calls and cuts the connection before the answer.
	DieAfterRun bool `json:"die-after-run"`
	// Fail answers 500 and runs nothing.
	Fail bool `json:"fail"`
	// FailAfterRun runs calls and answers 500.
	FailAfterRun bool `json:"fail-after-run"`
}

// App is the application. The zero value has the initial stock of all parts and no
// failures. It is safe for concurrent use.
type App struct {
	// Switches may be changed at any time.
	Switches toggle.Box[Switches]

	mu sync.Mutex
	// taken is the quantity reserved of each part.
	taken map[string]int
	// owners holds the lots that were transferred.
	owners map[string]string
	counts Counts
}

// New returns an application with the given switches.
func New(s Switches) *App {
	a := &App{}
	a.Switches.Set(s)
	return a
}

// Counts counts the runs of the application.
type Counts struct {
	// Reservations, Transfers and Lookups count the runs of each call.
	Reservations int `json:"reservations"`
	Transfers    int `json:"transfers"`
	Lookups      int `json:"lookups"`
	// Requests counts the non-idempotent runs by request id. Bodies counts them by
	// body.
	Requests map[string]int `json:"requests"`
	Bodies   map[string]int `json:"bodies"`
}

// Counts returns the counts so far.
func (a *App) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.counts
	c.Requests = cloneCounts(c.Requests)
	c.Bodies = cloneCounts(c.Bodies)
	return c
}

// Reservation is a request to reserve a quantity of a part.
type Reservation struct {
	Part string `json:"part"`
	Qty  int    `json:"qty"`
}

// Transfer is a request to give a lot to a new owner.
type Transfer struct {
	Lot string `json:"lot"`
	To  string `json:"to"`
}

// reserve runs a reservation. It returns the number of the reservation and the stock
// left, or ok=false if the stock is too small.
func (a *App) reserve(r Reservation, run runID) (number, left int, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count(run)
	a.counts.Reservations++
	if r.Qty > defaultStock-a.taken[r.Part] {
		return 0, defaultStock - a.taken[r.Part], false
	}
	if a.taken == nil {
		a.taken = make(map[string]int)
	}
	a.taken[r.Part] += r.Qty
	return a.counts.Reservations, defaultStock - a.taken[r.Part], true
}

// transfer runs a transfer. It returns the number of the transfer and the previous
// owner.
func (a *App) transfer(t Transfer, run runID) (number int, from string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count(run)
	a.counts.Transfers++
	from = firstOwner
	if owner, ok := a.owners[t.Lot]; ok {
		from = owner
	}
	if a.owners == nil {
		a.owners = make(map[string]string)
	}
	a.owners[t.Lot] = t.To
	return a.counts.Transfers, from
}

// Stock returns the stock left of a part, and counts a lookup.
func (a *App) Stock(part string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.Lookups++
	return defaultStock - a.taken[part]
}

// runID identifies the call that a run belongs to.
type runID struct {
	request string
	body    string
}

// count counts a non-idempotent run. The caller holds the lock.
func (a *App) count(run runID) {
	if a.counts.Requests == nil {
		a.counts.Requests = make(map[string]int)
		a.counts.Bodies = make(map[string]int)
	}
	a.counts.Requests[run.request]++
	a.counts.Bodies[run.body]++
}

func cloneCounts(m map[string]int) map[string]int {
	if m == nil {
		return map[string]int{}
	}
	return maps.Clone(m)
}

// check returns an error that names the field that is wrong.
func (r Reservation) check() error {
	if r.Part == "" {
		return fmt.Errorf("part is missing")
	}
	if r.Qty < 1 {
		return fmt.Errorf("qty is %d, want at least 1", r.Qty)
	}
	return nil
}

// check returns an error that names the field that is wrong.
func (t Transfer) check() error {
	if t.Lot == "" {
		return fmt.Errorf("lot is missing")
	}
	if t.To == "" {
		return fmt.Errorf("to is missing")
	}
	return nil
}
