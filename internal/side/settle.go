package side

import (
	"context"
	"time"

	"github.com/beryllanding/beryllanding/pkg/fleet"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// billRun proposes the usage of a run that has ended. The run stays charged to its
// holders until the log has confirmed the usage.
func (s *Server) billRun(sh *shard, r *run) {
	sh.mu.Lock()
	e := r.end
	sh.mu.Unlock()
	if e.billed == 0 {
		s.markSettled(sh, r)
		return
	}
	s.stats.billed.Add(e.billed)
	usage := ledger.Usage{
		Budget: r.budget, Request: r.request, Charges: e.charges,
		Service: s.opts.Service, At: time.Now().Unix(),
	}
	s.usageWriter(r.budget).Propose(ledger.Encode(usage), func(_ fold.Position, ok bool) {
		if ok {
			s.markSettled(sh, r)
		}
	})
}

// markSettled records that the run has ended and is billed.
func (s *Server) markSettled(sh *shard, r *run) {
	sh.update(r, func(t *table) { t.settled(r) })
	wake(s.ackWake)
}

// acknowledgeClosings acknowledges the closing of each holder to which no
// outstanding run is charged.
func (s *Server) acknowledgeClosings(ctx context.Context) {
	proposed := make(map[ident.Incarnation]bool)
	for {
		select {
		case <-s.ackWake:
		case <-ctx.Done():
			return
		}
		for _, holder := range s.unacknowledged() {
			if proposed[holder] || s.hasCharges(holder) {
				continue
			}
			proposed[holder] = true
			s.fleetWriter.Propose(fleet.Encode(fleet.Ack{Side: s.opts.Incarnation, Holder: holder}), nil)
		}
	}
}

// unacknowledged returns the holders whose closing this side must acknowledge.
func (s *Server) unacknowledged() []ident.Incarnation {
	var holders []ident.Incarnation
	s.fleet.View(func(r *fold.Reader) {
		if !r.Stale() {
			holders = s.fleetState.Unacked(s.opts.Incarnation)
		}
	})
	return holders
}

// hasCharges reports whether any outstanding run is charged to the holder. The
// caller must have seen the holder's closing before it calls hasCharges; see
// launch.
func (s *Server) hasCharges(holder ident.Incarnation) bool {
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		n := sh.table.charged[holder]
		sh.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}
