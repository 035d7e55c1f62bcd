package boot

import (
	"context"
	"slices"
	"sync"

	"github.com/beryllanding/beryllanding/internal/budget"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// maxDeferrals limits the number of deferrals that are tracked. The tokens of
// further requests stay reserved until the bill of the request is on the log.
const maxDeferrals = 100_000

// deferral is a request of unknown outcome whose tokens stay reserved.
type deferral struct {
	budget  string
	request string
	// sides are the side processes that may still bill the request.
	sides []string
}

// deferrals are the requests of unknown outcome. The zero value has none. It is
// safe for concurrent use.
type deferrals struct {
	mu   sync.Mutex
	list []deferral
}

func (d *deferrals) add(f deferral) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.list) < maxDeferrals {
		d.list = append(d.list, f)
	}
}

// take removes and returns the deferrals for which ended returns true.
func (d *deferrals) take(ended func(deferral) bool) []deferral {
	d.mu.Lock()
	defer d.mu.Unlock()
	var taken []deferral
	d.list = slices.DeleteFunc(d.list, func(f deferral) bool {
		if !ended(f) {
			return false
		}
		taken = append(taken, f)
		return true
	})
	return taken
}

// resolveDeferred settles the reservations of requests that can't be billed any more.
// All side processes that such a request was sent to have ended, so any usage is on
// the log. The budget stream is read to its end before a request is settled.
func (r *Router) resolveDeferred(ctx context.Context) {
	var resolvable []deferral
	r.fleet.View(func(reader *fold.Reader) {
		if reader.Stale() {
			return
		}
		resolvable = r.deferred.take(func(f deferral) bool { return r.allEnded(f.sides) })
	})
	for _, f := range resolvable {
		if !r.resolve(ctx, f) {
			r.deferred.add(f)
		}
	}
}

// allEnded reports whether the fleet stream shows all sides as ended. The caller
// must hold the fleet follower's lock.
func (r *Router) allEnded(sides []string) bool {
	for _, side := range sides {
		if !r.fleetState.Ended(ident.Incarnation(side)) {
			return false
		}
	}
	return true
}

// resolve settles the request's reservation by its bill, or frees the reservation if
// there is no bill. It returns false if the budget stream could not be read to its end.
func (r *Router) resolve(ctx context.Context, f deferral) bool {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	follower := r.budget.Ledger(budget.ShardOf(f.budget, r.budget.Shards()))
	if follower.CatchUp(ctx) != nil {
		return false
	}
	var bill ledger.Bill
	r.budget.Query(f.budget, func(state *ledger.State) { bill, _ = state.Billed(f.request) })
	r.budget.Resolve(f.budget, f.request, bill.Charges)
	return true
}
