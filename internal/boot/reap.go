package boot

import (
	"context"
	"time"

	"github.com/beryllanding/beryllanding/internal/reaper"
	"github.com/beryllanding/beryllanding/pkg/fleet"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// reap proposes the closing of holders that are gone and the reclaim of those
// whose closing is final. It also lets this instance go on as a new incarnation
// where its own was closed.
func (r *Router) reap(ctx context.Context) {
	var effects []reaper.Effect
	listed, at := r.listedHolders()
	holders := r.holders()
	r.fleet.View(func(reader *fold.Reader) {
		if reader.Stale() || at.IsZero() {
			return
		}
		effects = r.planner.Plan(reaper.Input{
			Now: time.Now(), ListAt: at, Listed: listed, Holders: holders,
			Closed: r.fleetFold.Closed, Final: r.fleetFold.Final,
		})
	})
	for _, e := range effects {
		r.carryOut(e)
	}
	r.followClosings()
	r.resolveDeferred(ctx)
}

// carryOut proposes one effect.
func (r *Router) carryOut(e reaper.Effect) {
	switch e := e.(type) {
	case reaper.Close:
		r.logger.Warn("closing a holder that is gone", "holder", e.Holder)
		r.fleetLog.Propose(fleet.Encode(fleet.HolderClose{
			Holder: e.Holder, By: string(r.planner.Self), Reason: "not in the instance list",
		}), nil)
	case reaper.Reclaim:
		r.logger.Info("reclaiming the slices of a closed holder", "holder", e.Holder)
		r.budget.Reclaim(e.Holder, e.Fleet)
	}
}

// followClosings drops the lots of closed holders, and takes a new incarnation
// where this instance's own was closed.
func (r *Router) followClosings() {
	var closed []ident.Incarnation
	r.fleet.View(func(*fold.Reader) { closed = r.fleetFold.Closings() })
	for _, h := range closed {
		r.budget.CloseHolder(h)
	}
	r.planner.Self = r.budget.Holder()
	if r.members.renew(r.budget.Holder()) {
		r.logger.Warn("this instance was closed, and goes on as a new incarnation", "holder", r.budget.Holder())
	}
}

// listedHolders returns the incarnations of the listed entry instances.
func (r *Router) listedHolders() ([]ident.Incarnation, time.Time) {
	routers, at := r.members.routers()
	listed := make([]ident.Incarnation, 0, len(routers))
	for _, inst := range routers {
		listed = append(listed, inst.Incarnation)
	}
	return listed, at
}

// holders returns the incarnations that have a slice of some budget.
func (r *Router) holders() []ident.Incarnation {
	seen := make(map[ident.Incarnation]bool)
	var list []ident.Incarnation
	for i := range r.budget.Shards() {
		r.budget.Ledger(i).View(func(reader *fold.Reader) {
			for _, h := range reader.Machine.(*ledger.State).SliceHolders() {
				if !seen[h] {
					seen[h] = true
					list = append(list, h)
				}
			}
		})
	}
	return list
}

// seed fetches, from any peer, the streams that the log does not show: this
// instance may have started in an outage of the log.
func (r *Router) seed(ctx context.Context) {
	every(ctx, r.Settings.Platform.ListEvery, func(ctx context.Context) {
		r.seedStream(ctx, ledger.CatalogueStream, r.catalogue.follower.FreshAt(), r.catalogue.follower.Restore)
		r.seedStream(ctx, ledger.FleetStream, r.fleet.FreshAt(), r.fleet.Restore)
		for i := range r.budget.Shards() {
			stream := ledger.Stream(i)
			r.seedStream(ctx, stream, r.budget.Ledger(i).FreshAt(), func(cp fold.Checkpoint) error {
				return r.budget.Restore(stream, cp)
			})
		}
	})
}

// seedStream restores a stream that was never read from the log.
func (r *Router) seedStream(ctx context.Context, stream string, readAt time.Time, restore func(fold.Checkpoint) error) {
	if !readAt.IsZero() {
		return
	}
	for _, peer := range r.otherRouters() {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		cp, err := fetch(ctx, peer, stream)
		cancel()
		if err == nil && cp.At > logsvc.Offset(0) && restore(cp) == nil {
			r.logger.Info("took a stream's state from a peer", "stream", stream, "offset", cp.At)
			return
		}
	}
}
