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
	// checkpointEvery is the number of records after which a stream gets a new
	// checkpoint.
	checkpointEvery = 2000
	// checkpointPeriod is the time after which it gets one in any case, since records
	// and checkpoints alike expire by age.
	checkpointPeriod = time.Hour
	// checkpointLook is how often a side looks whether one is due.
	checkpointLook = time.Minute
	// checkpointShare divides the period between two sides of adjacent rank.
	checkpointShare = 8
)

// checkpointer decides when a side appends a checkpoint of one stream. Racing
// checkpoints do no harm but cost appends, so the sides are staggered by rank:
// each waits a share longer than the one before it, and sees its checkpoint
// first, unless that side is paused or dead.
type checkpointer struct {
	// seen is the newest checkpoint in the stream, and since when it was known.
	seen  logsvc.Offset
	since time.Time
}

// due reports whether the side of the given rank, counted from 0, appends a
// checkpoint now. The stream's fold is at offset at, and its newest checkpoint
// stands for offset last.
func (k *checkpointer) due(at, last logsvc.Offset, rank int, now time.Time) bool {
	if k.since.IsZero() || last > k.seen {
		k.seen = last
		k.since = now
	}
	if at <= last {
		return false
	}
	records := logsvc.Offset(checkpointEvery + rank*checkpointEvery/checkpointShare)
	period := checkpointPeriod + time.Duration(rank)*checkpointPeriod/checkpointShare
	return at-last >= records || now.Sub(k.since) >= period
}

// checkpointStreams appends checkpoints of the fleet and claims streams when due.
func (s *Server) checkpointStreams(ctx context.Context) {
	var fleetDue, claimsDue checkpointer
	for sleep(ctx, checkpointLook) {
		rank, ok := s.rank()
		if !ok {
			continue
		}
		s.checkpoint(&fleetDue, &s.fleet, &s.fleetWriter, rank)
		s.checkpoint(&claimsDue, &s.claims, &s.claimsWriter, rank)
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

// checkpoint proposes a checkpoint of one stream where one is due.
func (s *Server) checkpoint(k *checkpointer, f *fold.Follower, w *fold.Writer, rank int) {
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
