package alloc

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/beryllanding/beryllanding/pkg/acct"
	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/pause"
)

// pledger writes the pledges of this instance: one record for all budgets, which no
// other instance writes.
type pledger struct {
	worker worker
	id     keyed.Partition

	mu sync.Mutex
	// known is set once the record of an earlier incarnation was looked up. previous is
	// that record, or nil if there is none.
	known    bool
	previous *acct.Pledges
	writer   keyed.Writer
	// epoch is the epoch of the log in which the last pledges were written.
	epoch keyed.LogEpoch
	// latency is a moving average of the duration of a write.
	latency time.Duration
}

// latencyWeight is the weight of the newest write in the average.
const latencyWeight = 0.3

func (p *pledger) isKnown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known
}

// predecessor returns the pledges of an earlier incarnation, or nil.
func (p *pledger) predecessor() *acct.Pledges {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.previous
}

// pledgeTurn writes new pledges if any are due.
func (s *Service) pledgeTurn(ctx context.Context) (did bool, err error) {
	p := &s.pledger
	if !p.isKnown() {
		if err := s.readPledges(ctx); err != nil {
			return false, err
		}
		s.kickPartitions()
		did = true
	}
	// The earlier incarnation's pledges must stay until its accounts are closed: they
	// bound what it may have used.
	for _, part := range s.partitions {
		if !s.isPredecessorClosed(part) {
			return did, nil
		}
	}
	if !s.pledgeDue() {
		// If the last turn failed, this one counts as a success, because nothing is
		// left to write. The next write shows whether the store is reachable again.
		return did || p.worker.isFailed(), nil
	}
	epoch := s.LogEpoch()
	pledges := &acct.Pledges{Holder: s.holder.ID(), BootID: s.bootID(), Clock: s.opts.Clock(), LogEpoch: int64(epoch)}
	p.mu.Lock()
	latency := p.latency
	p.mu.Unlock()
	now := time.Now()
	for _, b := range s.allBudgets() {
		if line, ok := s.holder.Pledge(b.name, latency, now); ok {
			pledges.Lines = append(pledges.Lines, line)
		}
	}
	if err = s.writePledges(ctx, pledges); err == nil {
		p.mu.Lock()
		p.epoch = epoch
		p.mu.Unlock()
	}
	for _, line := range pledges.Lines {
		s.holder.Pledged(line.Budget, err == nil)
	}
	return true, err
}

// pledgeDue reports whether new pledges have to be written. After a restore of the store
// they have to, since the store may have older ones.
func (s *Service) pledgeDue() bool {
	now := time.Now()
	lost := s.pledger.lastEpoch() != s.LogEpoch()
	for _, b := range s.allBudgets() {
		if s.holder.PledgeDue(b.name, now) || (lost && s.holder.Pledges(b.name)) {
			return true
		}
	}
	return false
}

// lastEpoch returns the epoch of the log in which the last pledges were written.
func (p *pledger) lastEpoch() keyed.LogEpoch {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch
}

// readPledges reads the pledges of an earlier incarnation. Pledges that cannot be
// decoded give no bound, so all tokens of that incarnation count as spent.
func (s *Service) readPledges(ctx context.Context) error {
	p := &s.pledger
	page, err := keyed.Snapshot(ctx, s.opts.Store, p.id)
	if err != nil {
		return err
	}
	var before *acct.Pledges
	for _, e := range page.Entries {
		if e.Key != s.key || e.Value == nil {
			continue
		}
		if before, err = acct.DecodePledges(e.Value); err != nil {
			s.logf(log.ErrorLevel, "pledges of an earlier incarnation cannot be decoded; its tokens count as spent",
				"offset", e.Offset, "err", err)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known, p.previous = true, before
	return nil
}

// writePledges writes the record. It gives up only if the first attempt certainly had
// no effect. Any other failure is retried until the context ends.
func (s *Service) writePledges(ctx context.Context, pledges *acct.Pledges) error {
	value, err := pledges.Encode()
	if err != nil {
		return errors.Join(keyed.ErrUnavailable, err)
	}
	p := &s.pledger
	entry := keyed.Entry{Key: s.key, Value: value}
	began := time.Now()
	for failures := 0; ; {
		err := s.opts.Store.Write(ctx, p.id, p.writer, entry)
		switch {
		case err == nil:
			p.writer.Number++
			p.mu.Lock()
			p.latency += time.Duration(latencyWeight * float64(time.Since(began)-p.latency))
			p.mu.Unlock()
			return nil
		case errors.Is(err, keyed.ErrOutOfOrder):
			// The store does not know the previous number. A new epoch restarts the
			// numbers, and invalidates writes of the old one that are still in
			// progress.
			s.logf(log.WarnLevel, "store rejected the number of the pledges; retrying under a new epoch", "epoch", p.writer.Epoch+1, "err", err)
			p.writer.Epoch, p.writer.Number = p.writer.Epoch+1, 0
		case failures == 0 && errors.Is(err, keyed.ErrUnavailable):
			return err
		default:
			s.logf(log.WarnLevel, "no answer to the write of the pledges; retrying", "number", p.writer.Number, "err", err)
			p.worker.noteUnanswered(began, err)
		}
		failures++
		if !pause.For(ctx, retryPause(failures)) {
			return ctx.Err()
		}
	}
}
