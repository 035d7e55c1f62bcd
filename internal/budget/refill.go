package budget

import (
	"context"
	"sync"

	"github.com/beryllanding/beryllanding/internal/peers"
	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/lease"
)

// refill obtains tokens of one budget for all requests that found too few.
type refill struct {
	// arrived is closed and replaced when tokens arrive.
	arrived chan struct{}
	// running is set while grants and transfers are in progress. done is closed when
	// the results of all of them are known.
	running bool
	done    chan struct{}
}

// waitChannels are the two channels that a waiting request watches.
type waitChannels struct {
	arrived <-chan struct{}
	// done is nil if no refill was requested before the attempt.
	done <-chan struct{}
}

// watch returns the channels to wait on. It must be called before an attempt to reserve
// or a check of the holdings: tokens that arrive after the call close the channels.
func (s *Service) watch(budget string) waitChannels {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.refills[budget]
	if r == nil {
		r = &refill{arrived: make(chan struct{})}
		s.refills[budget] = r
	}
	return waitChannels{arrived: r.arrived, done: r.done}
}

// wake wakes the requests that wait for tokens of the budget.
func (s *Service) wake(budget string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.refills[budget]; r != nil {
		close(r.arrived)
		r.arrived = make(chan struct{})
	}
}

// awaitTokens starts a refill if none is running, and waits until tokens arrive. It
// returns false if the refill ends without tokens or the context ends.
func (s *Service) awaitTokens(ctx context.Context, budget string, w waitChannels) bool {
	done := s.startRefill(budget)
	select {
	case <-w.arrived:
		return true
	case <-done:
		select {
		case <-w.arrived:
			return true
		default:
			return false
		}
	case <-ctx.Done():
		return false
	}
}

// startRefill starts a refill and returns the channel that is closed at the end of the
// refill. If one is running already, the channel belongs to the one after it, because
// the running refill may not include the tokens that this request lacks.
func (s *Service) startRefill(budget string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.refills[budget]
	if r.done == nil {
		r.done = make(chan struct{})
	}
	done := r.done
	if s.ended {
		close(done)
		r.done = nil
		return done
	}
	if !r.running {
		r.running = true
		s.refillers.Go(func() { s.runRefills(budget, r) })
	}
	return done
}

// runRefills runs refills until no request waits for one.
func (s *Service) runRefills(budget string, r *refill) {
	for {
		s.mu.Lock()
		done := r.done
		r.done = nil
		if done == nil {
			r.running = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		s.refillOnce(budget)
		close(done)
	}
}

// refillOnce plans for one budget, carries out the plan and waits until the results are
// known.
func (s *Service) refillOnce(budget string) {
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.MaxWait)
	defer cancel()
	s.sync(budget)
	var wg sync.WaitGroup
	for _, e := range s.holder.PlanBudget(budget, s.now()) {
		if ask, ok := e.(lease.RequestTransfer); ok {
			wg.Go(func() { s.requestTransfers(ctx, ask) })
			continue
		}
		s.execute(e)
	}
	wg.Wait()
	s.awaitGrants(ctx, budget)
}

// awaitGrants waits until no grant is pending. If a decision takes longer than
// grantWait, as when the log is unavailable, it wakes the waiting requests. Their next
// refill requests tokens from the peers.
func (s *Service) awaitGrants(ctx context.Context, budget string) {
	ctx, cancel := context.WithTimeout(ctx, grantWait)
	defer cancel()
	for {
		w := s.watch(budget)
		if s.holder.Holding(budget).Pending == 0 {
			return
		}
		select {
		case <-w.arrived:
		case <-ctx.Done():
			s.wake(budget)
			return
		}
	}
}

// requestTransfers requests tokens from all peers at the same time and takes the tokens that
// they transfer.
func (s *Service) requestTransfers(ctx context.Context, ask lease.RequestTransfer) {
	if s.opts.Peers == nil {
		return
	}
	var wg sync.WaitGroup
	for _, p := range s.opts.Peers() {
		wg.Go(func() { s.requestTransfer(ctx, p, ask) })
	}
	wg.Wait()
}

// requestTransfer requests tokens from one peer and takes the tokens that it transfers.
func (s *Service) requestTransfer(ctx context.Context, p wire.PeerClient, ask lease.RequestTransfer) {
	// The error is ignored: the next refill asks the peer again.
	if n, _ := peers.RequestTransfer(ctx, p, s.holder, ask.Budget, ask.Tokens); n > 0 {
		s.wake(ask.Budget)
	}
}

// Transfer serves a peer's request for tokens. A retry with the same id gets the same
// reply.
func (s *Service) Transfer(ctx context.Context, req *wire.TransferRequest) (*wire.TransferReply, error) {
	return peers.ServeTransfer(ctx, s.holder, req), nil
}
