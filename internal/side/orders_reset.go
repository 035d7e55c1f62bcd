package side

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/loads"
)

const (
	// resetAfter is how long the state of the loads stream may be stale before
	// its queue is reset. It is longer than a search for a checkpoint takes.
	resetAfter = 2 * time.Minute
	// resetSpread is the range of the extra delay of each slot. Since the delays
	// differ, usually one side process resets the queue before the others try.
	resetSpread = time.Minute
	// zeroDigest is the digest of the reset checkpoint. It matches no real history.
	zeroDigest = "0000000000000000000000000000000000000000000000000000000000000000"
)

// resetStaleQueue resets the queue if its state has been stale for too long. The
// state becomes stale if no side process runs for longer than the log's retention
// and the last checkpoint expires. Without the reset, no target would ever load
// weights again. Streams that guarantees depend on are never reset in this way.
func (s *Server) resetStaleQueue(ctx context.Context, stale bool, now time.Time) {
	rc := s.reconciler
	if !stale {
		rc.staleSince = time.Time{}
		return
	}
	if rc.staleSince.IsZero() {
		rc.staleSince = now
	}
	if now.Sub(rc.staleSince) < resetAfter+resetDelay(s.opts.Slot) {
		return
	}
	rc.staleSince = now
	s.opts.Logger.Warn("the queue of loads is incomplete: log records expired and no checkpoint was found; resetting it to an empty queue")
	s.resetQueue(ctx)
}

// resetQueue appends a checkpoint of an empty queue. The checkpoint needs an
// offset, so an item that has no effect is appended first.
func (s *Server) resetQueue(ctx context.Context) {
	own := s.opts.Incarnation
	mark := loads.Skip{Side: own, By: own, Reason: "the queue starts anew"}
	at, err := s.reconciler.writer.ProposeWait(ctx, loads.Encode(mark))
	if err != nil {
		return // the reset is tried again after another resetAfter
	}
	state, err := new(loads.State).Snapshot()
	if err != nil {
		return
	}
	chunks, err := fold.Checkpoint{At: at.Offset, Digest: zeroDigest, State: state}.Chunks()
	if err != nil {
		return
	}
	for _, c := range chunks {
		s.reconciler.writer.Propose(c, nil)
	}
}

// resetDelay returns the extra delay of a slot, below resetSpread.
func resetDelay(slot string) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(slot))
	return time.Duration(h.Sum64() % uint64(resetSpread))
}
