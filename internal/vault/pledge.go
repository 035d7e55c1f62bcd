package vault

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/pause"
	"github.com/beryllanding/beryllanding/pkg/sheet"
)

// pledger writes the pledges of this instance: one record for all budgets, which no
// other instance writes.
type pledger struct {
	worker worker
	place  keyed.Place

	mu sync.Mutex
	// known is set once the record was read that an earlier incarnation left, and
	// before is that record.
	known  bool
	before *sheet.Pledges
	writer keyed.Writer
	// latency is a moving average of the time that a write takes.
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
func (p *pledger) predecessor() *sheet.Pledges {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.before
}

// pledgeTurn writes new pledges where some are due.
func (s *Service) pledgeTurn(ctx context.Context) (did bool, err error) {
	p := &s.pledger
	if !p.isKnown() {
		if err := s.readPledges(ctx); err != nil {
			return false, err
		}
		s.kickParts()
		did = true
	}
	// The earlier incarnation's pledges stay until its accounts are closed by them.
	for _, part := range s.parts {
		if !s.isClosed(part) {
			return did, nil
		}
	}
	if !s.pledgeDue() {
		// Nothing is left to write after a turn that failed: the next need tells
		// whether the store is back.
		return did || p.worker.isFailed(), nil
	}
	pledges := &sheet.Pledges{Holder: s.holder.Own(), Machine: s.machine(), Clock: s.opts.Clock()}
	p.mu.Lock()
	latency := p.latency
	p.mu.Unlock()
	now := time.Now()
	for _, b := range s.all() {
		if line, ok := s.holder.Pledge(b.name, latency, now); ok {
			pledges.Lines = append(pledges.Lines, line)
		}
	}
	err = s.writePledges(ctx, pledges)
	for _, line := range pledges.Lines {
		s.holder.Pledged(line.Budget, err == nil)
	}
	return true, err
}

func (s *Service) pledgeDue() bool {
	now := time.Now()
	for _, b := range s.all() {
		if s.holder.PledgeDue(b.name, now) {
			return true
		}
	}
	return false
}

// readPledges reads what an earlier incarnation pledged. Pledges that cannot be read
// bound nothing: its tokens then count as spent.
func (s *Service) readPledges(ctx context.Context) error {
	p := &s.pledger
	page, err := keyed.Snapshot(ctx, s.opts.Store, p.place)
	if err != nil {
		return err
	}
	var before *sheet.Pledges
	for _, e := range page.Entries {
		if e.Key != s.key || e.Value == nil {
			continue
		}
		if before, err = sheet.DecodePledges(e.Value); err != nil {
			s.logf(log.ErrorLevel, "pledges of an ended incarnation cannot be read; its tokens count as spent",
				"offset", e.Offset, "err", err)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known, p.before = true, before
	return nil
}

// writePledges sends the record until the store says that it has it. Only the first
// attempt may be given up, where it was surely not done.
func (s *Service) writePledges(ctx context.Context, pledges *sheet.Pledges) error {
	value, err := pledges.Encode()
	if err != nil {
		return errors.Join(keyed.ErrUnavailable, err)
	}
	p := &s.pledger
	entry := keyed.Entry{Key: s.key, Value: value}
	began := time.Now()
	for failures := 0; ; {
		err := s.opts.Store.Post(ctx, p.place, p.writer, entry)
		switch {
		case err == nil:
			p.writer.Number++
			p.mu.Lock()
			p.latency += time.Duration(latencyWeight * float64(time.Since(began)-p.latency))
			p.mu.Unlock()
			return nil
		case errors.Is(err, keyed.ErrOrder):
			// The store does not know the number before: a new epoch starts anew, and
			// ends what may be under way under the old one.
			s.logf(log.WarnLevel, "pledges are numbered anew", "epoch", p.writer.Epoch+1, "err", err)
			p.writer.Epoch, p.writer.Number = p.writer.Epoch+1, 0
		case failures == 0 && errors.Is(err, keyed.ErrUnavailable):
			return err
		default:
			s.logf(log.WarnLevel, "write of the pledges has no answer; it is sent again", "number", p.writer.Number, "err", err)
			p.worker.stuck(began, err)
		}
		failures++
		if !pause.For(ctx, retryPause(failures)) {
			return ctx.Err()
		}
	}
}
