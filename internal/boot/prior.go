package boot

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/catal"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/route"
)

// priorTimeout bounds the check whether a request ran before. A refusal waits
// for this check. The timeout is shorter than the time for which the instance
// list shows a side process that stopped answering.
const priorTimeout = 300 * time.Millisecond

// mayHaveRun reports whether a request with the id may have run before. This is
// so if the request was billed or, for a call, if some side process cannot rule
// out an earlier run.
//
// A caller may lose the answer to its first try and retry at another instance. If
// that instance refuses the retry, it must not report the work as not done merely
// because it has no record of the first try. All listed side processes of
// applications are asked, since each may have a claim that is not on the log yet.
func (r *Router) mayHaveRun(id string, call bool) bool {
	return r.wasBilled(id) || (call && !r.neverClaimed(id))
}

// wasBilled reports whether the log has the request's bill, as far as this
// instance has read it.
func (r *Router) wasBilled(id string) bool {
	for i := range r.budget.Shards() {
		billed := false
		r.budget.Ledger(i).View(func(reader *fold.Reader) {
			_, billed = reader.Machine.(*ledger.State).Billed(id)
		})
		if billed {
			return true
		}
	}
	return false
}

// neverClaimed reports whether all listed side processes of applications answer
// within priorTimeout that nobody claimed the request. It returns false if none
// is listed.
func (r *Router) neverClaimed(id string) bool {
	ctx, cancel := context.WithTimeout(r.base, priorTimeout)
	defer cancel()
	targets := r.applications()
	var denied atomic.Int64
	var wg sync.WaitGroup
	for _, t := range targets {
		wg.Go(func() {
			if r.deniesClaim(ctx, t, id) {
				denied.Add(1)
			}
		})
	}
	wg.Wait()
	return len(targets) > 0 && denied.Load() == int64(len(targets))
}

// deniesClaim reports whether the side process of a target answers that nobody
// claimed the request.
func (r *Router) deniesClaim(ctx context.Context, t route.Target, id string) bool {
	client, err := r.conns.Side(t)
	if err != nil {
		return false
	}
	reply, err := client.Outcome(ctx, &wire.OutcomeRequest{RequestId: id})
	return err == nil && reply.GetState() == "not-run"
}

// applications returns the listed targets of all application services.
func (r *Router) applications() []route.Target {
	var targets []route.Target
	for _, name := range r.members.services() {
		if s, ok := r.catalogue.state.ServiceEntry(name); ok && s.Kind == catal.App {
			targets = append(targets, r.members.Targets(name)...)
		}
	}
	return targets
}
