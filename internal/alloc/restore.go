package alloc

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"github.com/beryllanding/beryllanding/pkg/acct"
	"github.com/beryllanding/beryllanding/pkg/keyed"
)

// errRestored reports that the store was restored, so that the accounts have to be read
// from the start.
var errRestored = errors.New("store was restored from an older copy")

// observe records the epoch of a response. It returns errRestored after a restore: the
// offsets and the result of a pending write are then forgotten, since the store may have
// lost them. It returns keyed.ErrUnavailable for a response from before a restore.
func (s *Service) observe(p *partition, epoch keyed.LogEpoch) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	change := p.epochs.Observe(epoch)
	switch change {
	case keyed.EpochOld:
		return errors.Join(keyed.ErrUnavailable, fmt.Errorf("response is from epoch %d of the log, but epoch %d has been read", epoch, p.epochs.Current))
	case keyed.EpochRestored:
		if w := p.pending; w != nil {
			p.pending = nil
			s.rejectGrants(w.changes)
		}
		p.end, p.restored = 0, time.Now()
		s.logf(log.WarnLevel, "store of budget accounts was restored from an older copy; writing the account again",
			"part", p.id.Index, "epoch", p.epochs.Current, "accounts", len(p.state.Keys()))
	case keyed.EpochSame:
	}
	p.state.SetEpoch(int64(p.epochs.Current))
	if change == keyed.EpochRestored {
		return errRestored
	}
	return nil
}

// StoreRestored tells the service that the store was restored from an older copy. The
// service finds out by itself when it next reads the accounts, but until then its own
// account may be missing in the store.
func (s *Service) StoreRestored() {
	for _, p := range s.partitions {
		p.requestRead()
	}
	s.kickPartitions()
}

// LogEpoch returns the lowest epoch of the log that the accounts were read from.
func (s *Service) LogEpoch() keyed.LogEpoch {
	lowest := s.partitions[0].logEpoch()
	for _, p := range s.partitions[1:] {
		lowest = min(lowest, p.logEpoch())
	}
	return lowest
}

// unconfirmed reports whether the store was restored since this instance wrote its
// account. The caller holds p.mu.
func (p *partition) unconfirmed() bool { return p.own != nil && !p.state.Current(p.own) }

// logEpoch returns the epoch of the log that was read last.
func (p *partition) logEpoch() keyed.LogEpoch {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epochs.Current
}

// isUnconfirmed is unconfirmed for callers that do not hold p.mu.
func (p *partition) isUnconfirmed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unconfirmed()
}

// sinceRestore returns the time since the last restore of the store was seen.
func (p *partition) sinceRestore() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.restored)
}

// asks reports whether this incarnation asks the others what the store lacks, or has to. It is
// granted nothing until they have answered.
func (s *Service) asks(p *partition) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.own == nil {
		return p.state.Asks()
	}
	return p.own.Asks
}

// mustAsk reports whether an account that asks, or the one after the answers, has to be
// written.
func (s *Service) mustAsk(p *partition) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.own == nil {
		return p.state.Asks()
	}
	return p.own.Asks && !p.state.Asks()
}

// mustAnswer reports whether another instance expects an answer of this one.
func (s *Service) mustAnswer(p *partition) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known && p.state.MustAnswer(s.key, p.own)
}

// endAsking stops asking once no more answers are expected.
func (s *Service) endAsking(p *partition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.own == nil || !p.own.Asks || !p.state.Current(p.own) || !p.state.Asks() {
		return
	}
	asked := time.Since(p.asked)
	unanswered, done := p.state.Unanswered(s.key, s.holder.ID(), asked)
	if !done {
		return
	}
	p.state.EndAsking()
	level := log.InfoLevel
	if len(unanswered) > 0 {
		level = log.WarnLevel
	}
	s.logf(level, "asked the other instances what the restored store lacks", "part", p.id.Index, "took", asked, "without-answer", unanswered)
}

// noteWritten records and logs that this incarnation wrote next, after its account base and
// the account before of an earlier incarnation. Both may be nil.
func (s *Service) noteWritten(p *partition, base, before, next *acct.Account) {
	if next.Asks {
		p.mu.Lock()
		p.asked = time.Now()
		p.mu.Unlock()
		s.logf(log.InfoLevel, "asking the other instances what the restored store lacks", "part", p.id.Index, "epoch", next.LogEpoch)
		return
	}
	if len(next.Answers) > 0 && (base == nil || !slices.Equal(next.Answers, base.Answers)) {
		s.logf(log.InfoLevel, "answered what the restored store lacks", "part", p.id.Index, "asked-by", next.Answers, "accounts", len(next.Known))
	}
	if base != nil && base.Assumed {
		s.logClosing(base, next)
	} else if base == nil && before != nil {
		s.logClosing(before, next)
	}
}
