// Package appd is a stand-in for an application service with non-idempotent
// calls, for tests. It counts each run of its work, so that a double run is
// seen, and has switches for its failures.
package appd

import (
	"fmt"
	"maps"
	"sync"

	"github.com/beryllanding/beryllanding/internal/stand/toggle"
)

const (
	// defaultStock is the stock of each part at first.
	defaultStock = 1_000_000
	// firstOwner holds each lot at first.
	firstOwner = "gin"
)

// Switches are the failures of the application. The zero value has none.
type Switches struct {
	// SlowMS is how long the work takes, in milliseconds. A caller that goes
	// away meanwhile doesn't stop it.
	SlowMS int `json:"slow-ms"`
	// Silent accepts calls, runs nothing and never answers.
	Silent bool `json:"silent"`
	// SilentAfterRun runs the work and never answers.
	SilentAfterRun bool `json:"silent-after-run"`
	// DieAfterRun runs the work and cuts the connection before the answer.
	DieAfterRun bool `json:"die-after-run"`
	// Fail answers 500 and runs nothing.
	Fail bool `json:"fail"`
	// FailAfterRun runs the work and answers 500.
	FailAfterRun bool `json:"fail-after-run"`
}

// App is the application. The zero value has all parts in stock and no
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

// Counts is what the application ran so far.
type Counts struct {
	// Reservations, Transfers and Lookups count the runs of each call.
	Reservations int `json:"reservations"`
	Transfers    int `json:"transfers"`
	Lookups      int `json:"lookups"`
	// Requests counts the non-idempotent runs of each request id, and Bodies
	// those of each body.
	Requests map[string]int `json:"requests"`
	Bodies   map[string]int `json:"bodies"`
}

// Counts returns what the application ran so far.
func (a *App) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.counts
	c.Requests = cloneCounts(c.Requests)
	c.Bodies = cloneCounts(c.Bodies)
	return c
}

// Reservation asks for a quantity of a part.
type Reservation struct {
	Part string `json:"part"`
	Qty  int    `json:"qty"`
}

// Transfer hands a lot over to a new owner.
type Transfer struct {
	Lot string `json:"lot"`
	To  string `json:"to"`
}

// reserve runs a reservation. It returns its number and what is left, and false
// where the stock does not cover it.
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

// transfer runs a transfer. It returns its number and the owner before it.
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

// Stock returns what is left of a part.
func (a *App) Stock(part string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.Lookups++
	return defaultStock - a.taken[part]
}

// runID says which call a run belongs to.
type runID struct {
	request string
	body    string
}

// count notes a non-idempotent run. The caller holds the lock.
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
