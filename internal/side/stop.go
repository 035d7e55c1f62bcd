package side

import (
	"context"
	"fmt"
	"time"

	"github.com/beryllanding/beryllanding/pkg/fleet"
	"github.com/beryllanding/beryllanding/pkg/pause"
)

// stopPoll is the interval at which Stop checks whether all runs have ended.
const stopPoll = 10 * time.Millisecond

// Stop refuses new work and waits until all runs have ended and their usage and
// claims are on the log. It then closes the side on the fleet stream and ends the
// server's loops. If the context ends first, Stop cancels the remaining runs, does
// not close the side, and returns an error with the numbers of outstanding runs
// and claims.
//
// The gRPC server must keep serving during Stop, and must be stopped gracefully
// after it, since attempts may still read the last events of runs that have ended.
func (s *Server) Stop(ctx context.Context) error {
	defer s.shutDown()
	s.SetDraining()
	for s.outstanding() > 0 || s.own.len() > 0 {
		if !pause.For(ctx, stopPoll) {
			return fmt.Errorf("side %q stopped with %d runs and %d claims outstanding: %w",
				s.opts.Incarnation, s.outstanding(), s.own.len(), ctx.Err())
		}
	}
	// The writer appends in order, so the SideClose follows the SideOpen even if
	// the SideOpen is not appended yet.
	_, err := s.fleetWriter.ProposeWait(ctx, fleet.Encode(fleet.SideClose{Side: s.opts.Incarnation}))
	if err != nil {
		return fmt.Errorf("could not append the closing of side %q to the fleet stream: %w", s.opts.Incarnation, err)
	}
	return nil
}

// shutDown cancels all loops and runs, and waits for them to end.
func (s *Server) shutDown() {
	s.spawnMu.Lock()
	s.stopped = true
	s.spawnMu.Unlock()
	s.cancel()
	s.loops.Wait()
	s.client.CloseIdleConnections()
}

// outstanding returns the number of runs that have not ended or whose usage the log
// has not confirmed yet.
func (s *Server) outstanding() int {
	n := 0
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		n += sh.table.live
		sh.mu.Unlock()
	}
	return n
}
