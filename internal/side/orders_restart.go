package side

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/loads"
)

const (
	// restartAfter is how long the loads stream may stay behind a gap before its
	// queue is started anew. It is longer than a search for a checkpoint takes.
	restartAfter = 2 * time.Minute
	// restartSpread is the range over which side processes are late with it, by
	// their slot, so that one does it and not all.
	restartSpread = time.Minute
	// noDigest stands for a history that nobody has.
	noDigest = "0000000000000000000000000000000000000000000000000000000000000000"
)

// mendQueue starts the queue anew where its stream has been behind a gap for too
// long: no side process ran for longer than the log keeps records, and the last
// checkpoint expired. Without it no target would load for ever. The streams that
// promises rest on have no such way out.
func (s *Server) mendQueue(ctx context.Context, stale bool, now time.Time) {
	o := s.orders
	if !stale {
		o.staleSince = time.Time{}
		return
	}
	if o.staleSince.IsZero() {
		o.staleSince = now
	}
	if now.Sub(o.staleSince) < restartAfter+lateness(s.opts.Slot) {
		return
	}
	o.staleSince = now
	s.opts.Logger.Warn("the queue of loads has a gap and no checkpoint, starting it anew")
	s.restartQueue(ctx)
}

// restartQueue appends an empty checkpoint, at an item that has no effect.
func (s *Server) restartQueue(ctx context.Context) {
	own := s.opts.Incarnation
	mark := loads.Skip{Side: own, By: own, Reason: "the queue starts anew"}
	at, err := s.orders.writer.ProposeWait(ctx, loads.Encode(mark))
	if err != nil {
		return // tried again after the next wait
	}
	state, err := new(loads.State).Snapshot()
	if err != nil {
		return
	}
	chunks, err := fold.Checkpoint{At: at.Offset, Digest: noDigest, State: state}.Chunks()
	if err != nil {
		return
	}
	for _, c := range chunks {
		s.orders.writer.Propose(c, nil)
	}
}

// lateness returns a slot's share of restartSpread.
func lateness(slot string) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(slot))
	return time.Duration(h.Sum64() % uint64(restartSpread))
}
