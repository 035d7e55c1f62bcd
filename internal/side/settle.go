package side

import (
	"context"
	"time"

	"github.com/beryllanding/beryllanding/pkg/fleet"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// settle bills a run that has ended. The run counts as charged to its holders
// until its usage is known to be on the log.
func (s *Server) settle(sh *shard, r *run) {
	sh.mu.Lock()
	e := r.end
	sh.mu.Unlock()
	if e.billed == 0 {
		s.settled(sh, r)
		return
	}
	s.stats.billed.Add(e.billed)
	usage := ledger.Usage{
		Budget: r.budget, Request: r.request, Charges: e.charges,
		Service: s.opts.Service, At: time.Now().Unix(),
	}
	s.usageWriter(r.budget).Propose(ledger.Encode(usage), func(_ fold.Position, ok bool) {
		if ok {
			s.settled(sh, r)
		}
	})
}

// settled notes that nothing of the run is outstanding.
func (s *Server) settled(sh *shard, r *run) {
	sh.update(r, func(t *table) { t.settled(r) })
	wake(s.ackWake)
}

// acknowledge acknowledges the closings of holders for which nothing runs here
// and nothing is left to bill.
func (s *Server) acknowledge(ctx context.Context) {
	proposed := make(map[ident.Incarnation]bool)
	for {
		select {
		case <-s.ackWake:
		case <-ctx.Done():
			return
		}
		for _, holder := range s.unacked() {
			if proposed[holder] || s.charged(holder) {
				continue
			}
			proposed[holder] = true
			s.fleetWriter.Propose(fleet.Encode(fleet.Ack{Side: s.opts.Incarnation, Holder: holder}), nil)
		}
	}
}

// unacked returns the holders whose closing this side must acknowledge.
func (s *Server) unacked() []ident.Incarnation {
	var holders []ident.Incarnation
	s.fleet.View(func(r *fold.Reader) {
		if !r.Stale() {
			holders = s.fleetState.Unacked(s.opts.Incarnation)
		}
	})
	return holders
}

// charged reports whether any run charged to the holder is outstanding. It must
// be asked after the closing of the holder was seen; see launch.
func (s *Server) charged(holder ident.Incarnation) bool {
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
