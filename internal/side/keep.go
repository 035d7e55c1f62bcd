package side

import (
	"context"
	"slices"
	"time"

	"github.com/beryllanding/beryllanding/pkg/fleet"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

const (
	// keepEvery is the number of records after which a stream gets a new
	// checkpoint.
	keepEvery = 2000
	// keepPeriod is the time after which it gets one in any case, since records
	// and checkpoints alike expire by age.
	keepPeriod = time.Hour
	// keepLook is how often a side looks whether one is due.
	keepLook = time.Minute
	// keepShare divides the period between two sides of adjacent rank.
	keepShare = 8
)

// keeper decides when a side appends a checkpoint of one stream. Racing
// checkpoints do no harm but cost appends, so the sides are staggered by rank:
// each waits a share longer than the one before it, and sees its checkpoint
// first, unless that side is paused or dead.
type keeper struct {
	// seen is the newest checkpoint in the stream, and since when it was known.
	seen  logsvc.Offset
	since time.Time
}

// due reports whether the side of the given rank, counted from 0, appends a
// checkpoint now. The stream's fold is at offset at, and its newest checkpoint
// stands for offset last.
func (k *keeper) due(at, last logsvc.Offset, rank int, now time.Time) bool {
	if k.since.IsZero() || last > k.seen {
		k.seen = last
		k.since = now
	}
	if at <= last {
		return false
	}
	records := logsvc.Offset(keepEvery + rank*keepEvery/keepShare)
	period := keepPeriod + time.Duration(rank)*keepPeriod/keepShare
	return at-last >= records || now.Sub(k.since) >= period
}

// keepStreams appends checkpoints of the fleet and claims streams when due.
func (s *Server) keepStreams(ctx context.Context) {
	var fleetKeeper, claimsKeeper keeper
	for sleep(ctx, keepLook) {
		rank, ok := s.rank()
		if !ok {
			continue
		}
		s.keep(&fleetKeeper, &s.fleet, &s.fleetWriter, rank)
		s.keep(&claimsKeeper, &s.claims, &s.claimsWriter, rank)
	}
}

// rank returns the side's position among the open sides, in order of name.
func (s *Server) rank() (int, bool) {
	rank := -1
	s.fleet.View(func(r *fold.Reader) {
		if r.Stale() {
			return
		}
		rank = slices.IndexFunc(s.fleetState.Sides(), func(v fleet.Side) bool { return v.Side == s.opts.Incarnation })
	})
	return rank, rank >= 0
}

// keep proposes a checkpoint of one stream where one is due.
func (s *Server) keep(k *keeper, f *fold.Follower, w *fold.Writer, rank int) {
	var items []fold.Item
	f.View(func(r *fold.Reader) {
		if r.Stale() || !k.due(r.Offset(), r.LastCheckpoint(), rank, time.Now()) {
			return
		}
		cp, err := r.Checkpoint()
		if err != nil {
			return
		}
		items, _ = cp.Chunks() // a checkpoint of this process always encodes
	})
	for _, item := range items {
		w.Propose(item, nil)
	}
}
