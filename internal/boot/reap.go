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

// reap proposes to close holders that are gone, and to reclaim the leases of
// holders whose closing is final. If this instance's own holder was closed, it
// continues as a new incarnation.
func (r *Router) reap(ctx context.Context) {
	var effects []reaper.Effect
	listed, at := r.listedHolders()
	holders := r.holders()
	r.fleet.View(func(reader *fold.Reader) {
		if reader.Stale() || at.IsZero() {
			return
		}
		effects = r.planner.Plan(reaper.Input{
			Now: time.Now(), ListReadAt: at, Listed: listed, Holders: holders,
			Closed: r.fleetState.Closed, Final: r.fleetState.Final,
		})
	})
	for _, e := range effects {
		r.proposeEffect(e)
	}
	r.followClosings()
	r.resolveDeferred(ctx)
}

// proposeEffect proposes the closing or the reclaim that the planner decided.
func (r *Router) proposeEffect(e reaper.Effect) {
	switch e := e.(type) {
	case reaper.Close:
		r.logger.Warn("closing a holder that is missing from the instance list", "holder", e.Holder)
		r.fleetLog.Propose(fleet.Encode(fleet.HolderClose{
			Holder: e.Holder, By: string(r.planner.Self), Reason: "not in the instance list",
		}), nil)
	case reaper.Reclaim:
		r.logger.Info("reclaiming the leases of a closed holder", "holder", e.Holder)
		r.budget.Reclaim(e.Holder, e.Fleet)
	}
}

// followClosings drops the lots of closed holders. If this instance's own holder
// was closed, it announces the new incarnation.
func (r *Router) followClosings() {
	var closed []ident.Incarnation
	r.fleet.View(func(*fold.Reader) { closed = r.fleetState.Closings() })
	for _, h := range closed {
		r.budget.CloseHolder(h)
	}
	r.planner.Self = r.budget.Holder()
	if r.members.setIncarnation(r.budget.Holder()) {
		r.logger.Warn("the holder of this instance was closed; continuing as a new incarnation", "holder", r.budget.Holder())
	}
}

// listedHolders returns the incarnations of the listed entry instances, and the
// time of the last successful read of the list.
func (r *Router) listedHolders() ([]ident.Incarnation, time.Time) {
	routers, at := r.members.routers()
	listed := make([]ident.Incarnation, 0, len(routers))
	for _, inst := range routers {
		listed = append(listed, inst.Incarnation)
	}
	return listed, at
}

// holders returns the incarnations that have a lease of some budget.
func (r *Router) holders() []ident.Incarnation {
	seen := make(map[ident.Incarnation]bool)
	var list []ident.Incarnation
	for i := range r.budget.Shards() {
		r.budget.Ledger(i).View(func(reader *fold.Reader) {
			for _, h := range reader.Machine.(*ledger.State).LeaseHolders() {
				if !seen[h] {
					seen[h] = true
					list = append(list, h)
				}
			}
		})
	}
	return list
}

// restoreFromPeers restores, from the state of any peer, the streams that this
// instance has never read from the log. It repeats this until the context ends.
// Such streams exist if the instance started during an outage of the log.
func (r *Router) restoreFromPeers(ctx context.Context) {
	every(ctx, r.Settings.Platform.ListEvery, func(ctx context.Context) {
		r.restoreStream(ctx, ledger.CatalogueStream, r.catalogue.follower.FreshAt(), r.catalogue.follower.Restore)
		r.restoreStream(ctx, ledger.FleetStream, r.fleet.FreshAt(), r.fleet.Restore)
		for i := range r.budget.Shards() {
			stream := ledger.Stream(i)
			r.restoreStream(ctx, stream, r.budget.Ledger(i).FreshAt(), func(cp fold.Checkpoint) error {
				return r.budget.Restore(stream, cp)
			})
		}
	})
}

// restoreStream restores a stream from the first peer that has its state. readAt
// is the time at which the stream was last read from the log. If it is set,
// nothing is restored.
func (r *Router) restoreStream(ctx context.Context, stream string, readAt time.Time, restore func(fold.Checkpoint) error) {
	if !readAt.IsZero() {
		return
	}
	for _, peer := range r.otherRouters() {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		cp, err := fetchSnapshot(ctx, peer, stream)
		cancel()
		if err == nil && cp.At > logsvc.Offset(0) && restore(cp) == nil {
			r.logger.Info("restored the state of a stream from a peer", "stream", stream, "offset", cp.At)
			return
		}
	}
}
