package alloc

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/beryllanding/beryllanding/pkg/acct"
	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/lease"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/pause"
)

// minWriteInterval is the least time between two writes of the account that no request
// waits for. Leases last for seconds, and one write renews all of them.
const minWriteInterval = 500 * time.Millisecond

// partition is one partition of the accounts. Only its worker changes the accounts.
type partition struct {
	worker worker
	id     keyed.Partition

	mu      sync.Mutex
	budgets []*budgetState
	// state holds the accounts as the store has them, read up to end. known is set
	// after the first read.
	state acct.State
	end   keyed.Offset
	known bool
	// epochs tracks the restores of the store. restored is when the last one was seen, or
	// zero.
	epochs   keyed.EpochTracker
	restored time.Time
	// read is when the call that returned state was sent.
	read time.Time
	// refresh is set if the next turn has to read.
	refresh bool
	// own is the account of this incarnation as the store has it; nil before its first
	// write.
	own *acct.Account
	// pending is the sent write whose result has not been read yet, or nil.
	pending *pendingWrite
	// epoch is the lowest epoch that the next account may have.
	epoch int64
	// asked is when this incarnation last wrote an account that asks the others for what
	// the store lacks.
	asked time.Time
	// written is when this instance's account was last written.
	written time.Time
}

// pendingWrite is an account that was written, with its changes since base.
type pendingWrite struct {
	account *acct.Account
	base    *acct.Account
	changes []acct.Change
	// seen is set once the write was read back and its pending grants were settled.
	seen bool
}

// view returns the view of a budget and when it was read. ok is false before the first
// read.
func (p *partition) view(b *budgetState) (view acct.Budget, read time.Time, ok bool) {
	total, _ := b.knownTotal()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Budget(b.name, total), p.read, p.known
}

// requestRead requests a turn that reads the accounts.
func (p *partition) requestRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh = true
}

// requestReadIfPending requests a turn that reads the accounts if there is a pending
// write. The read settles its pending grants.
func (p *partition) requestReadIfPending() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh = p.refresh || p.pending != nil
}

func (p *partition) isKnown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known
}

func (p *partition) add(b *budgetState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budgets = append(p.budgets, b)
	slices.SortFunc(p.budgets, func(x, y *budgetState) int { return strings.Compare(x.name, y.name) })
}

// list returns the budgets in the order of their names.
func (p *partition) list() []*budgetState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.budgets)
}

// isPredecessorClosed reports whether the accounts were read and the store has no open
// account of an earlier incarnation of this instance.
func (s *Service) isPredecessorClosed(p *partition) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known && (p.own != nil || p.state.Account(s.key) == nil)
}

// turn reads the accounts if that is requested, and writes what is due. It reads before
// it writes, because pending grants are sized by what is left and by the demand at
// other instances. It reads again after the write to settle the pending grants. If the
// store became unreachable before that read, the tokens of these grants could not be
// used during the outage.
func (s *Service) turn(ctx context.Context, p *partition) (did bool, err error) {
	p.mu.Lock()
	// After a failed turn, a read shows whether the store is reachable again.
	refresh := p.refresh || !p.known || p.worker.isFailed()
	p.mu.Unlock()
	if !refresh && !s.due(p) {
		return false, nil
	}
	if err := s.read(ctx, p); err != nil {
		return false, err
	}
	if !s.due(p) {
		return true, nil
	}
	if err := s.write(ctx, p); err != nil {
		return true, err
	}
	return true, s.read(ctx, p)
}

// isScarce reports whether a budget with requests here has less than scarceShare of its
// total free.
func (s *Service) isScarce(b *budgetState, view acct.Budget) bool {
	return float64(view.Free) < scarceShare*float64(view.Total.Tokens) && s.holder.InUse(b.name, time.Now())
}

// due reports whether anything has to be written.
func (s *Service) due(p *partition) bool {
	if s.fenced.Load() {
		return false
	}
	if !s.isPredecessorClosed(p) {
		return s.pledger.isKnown()
	}
	if p.isUnconfirmed() || s.mustAsk(p) || s.mustAnswer(p) {
		return true
	}
	if s.asks(p) {
		return false // Until the others have answered, there is nothing to write.
	}
	if s.isStopped() {
		s.returnFree() // Requests that ended since have freed tokens.
		return slices.ContainsFunc(p.list(), func(b *budgetState) bool { return b.pendingReturn() > 0 })
	}
	now := time.Now()
	p.mu.Lock()
	rewriteAllowed := now.Sub(p.written) >= minWriteInterval
	p.mu.Unlock()
	return slices.ContainsFunc(p.list(), func(b *budgetState) bool {
		urgency := s.holder.Urgency(b.name, now)
		return urgency == lease.UrgencyNow || (rewriteAllowed && (urgency == lease.UrgencySoon || b.pendingReturn() > 0))
	})
}

// plan returns the changes to write. Once any change is due, those that are not urgent
// are included, because they cost no further call. An account that is not confirmed, or that
// asks, is written as it is: what is free is known only once the other holders have written
// theirs.
func (s *Service) plan(p *partition) []acct.Change {
	now := time.Now()
	stopped := s.isStopped()
	confirming := p.isUnconfirmed() || s.asks(p)
	var changes []acct.Change
	for _, b := range p.list() {
		total, known := b.knownTotal()
		if !known {
			continue
		}
		c := acct.Change{Budget: b.name, Total: total, PerSecond: s.holder.PerSecond(b.name, now)}
		if confirming {
			changes = append(changes, c)
			continue
		}
		if !stopped {
			for _, e := range s.holder.TopUp(b.name, now) {
				switch e := e.(type) {
				case lease.ProposeGrant:
					c.Grant += e.Tokens
				case lease.ProposeReturn:
					b.addReturn(e.Tokens)
				case lease.RequestTransfer:
					// Ignored: waiting requests ask peers themselves once the store has
					// no tokens.
				}
			}
		}
		c.Return = b.pendingReturn()
		changes = append(changes, c)
	}
	return changes
}

// read applies the records that were written since the last read.
func (s *Service) read(ctx context.Context, p *partition) error {
	at := time.Now()
	p.mu.Lock()
	known, end := p.known, p.end
	p.mu.Unlock()
	var page keyed.Page
	var err error
	if known {
		if page, err = readFrom(ctx, s.opts.Store, p.id, end); err == nil {
			err = s.observe(p, page.LogEpoch)
		}
	}
	full := !known || errors.Is(err, keyed.ErrTrimmed) || errors.Is(err, errRestored)
	if full {
		if page, err = keyed.Snapshot(ctx, s.opts.Store, p.id); err == nil {
			err = s.observe(p, page.LogEpoch)
		}
		if errors.Is(err, errRestored) {
			err = nil
		}
	}
	if err != nil {
		return err
	}
	p.mu.Lock()
	end = p.end
	p.mu.Unlock()
	if page.End < end {
		// A lagging replica of the store would show grants that were made as missing.
		return errors.Join(keyed.ErrUnavailable, errors.New("accounts end before an offset that was read earlier"))
	}
	accounts, err := decode(page)
	if err != nil {
		return errors.Join(keyed.ErrUnavailable, err)
	}
	p.mu.Lock()
	if full {
		p.state.Reset()
	}
	s.apply(p, accounts, full)
	if !p.known {
		p.state.Join(s.key)
	}
	p.end, p.known, p.read, p.refresh = page.End, true, at, false
	own, newest := p.own, p.state.Account(s.key)
	// An account of an earlier epoch may be one from before this incarnation started.
	takenOver := own != nil && (newest == nil || newest.Holder != own.Holder)
	if takenOver && p.unconfirmed() && (newest == nil || !p.state.Current(newest)) {
		takenOver = false
	}
	p.mu.Unlock()
	if takenOver {
		s.fence(newest)
	}
	s.endAsking(p)
	s.sync(p)
	return s.settle(p)
}

// settle passes the result of the pending write to the holder and the budgets. A read
// after the write must have been applied. That read contains the write if the store has
// it.
func (s *Service) settle(p *partition) error {
	p.mu.Lock()
	w, own := p.pending, p.own
	p.pending = nil
	if w != nil && !w.seen {
		// The store treated the write as a duplicate of a write by another incarnation.
		p.epoch = w.account.Epoch + 1
	}
	p.mu.Unlock()
	if w == nil {
		return nil
	}
	if !w.seen {
		s.rejectGrants(w.changes)
		return errors.Join(keyed.ErrUnavailable, errors.New("account was written, but a later read does not contain it"))
	}
	for _, c := range w.changes {
		if got := own.Line(c.Budget).Granted - w.base.Line(c.Budget).Granted; got < c.Grant {
			s.rejectGrant(c)
		}
		if c.Return > 0 {
			s.budget(c.Budget).confirmReturn(c.Return)
		}
	}
	return nil
}

// readFrom reads all records from an offset on.
func readFrom(ctx context.Context, store keyed.Store, id keyed.Partition, from keyed.Offset) (keyed.Page, error) {
	all := keyed.Page{End: from}
	for {
		page, err := store.Read(ctx, id, all.End, 0)
		if err != nil {
			return keyed.Page{}, err
		}
		if all.LogEpoch != 0 && page.LogEpoch != 0 && page.LogEpoch != all.LogEpoch {
			return keyed.Page{}, errors.Join(keyed.ErrUnavailable, errRestored)
		}
		all.LogEpoch = max(all.LogEpoch, page.LogEpoch)
		all.Entries = append(all.Entries, page.Entries...)
		if page.End <= all.End || !page.More {
			all.End = max(all.End, page.End)
			return all, nil
		}
		all.End = page.End
	}
}

// record is a decoded account and its key. A nil account means that the record was
// deleted.
type record struct {
	key     string
	account *acct.Account
}

// decode decodes the accounts of a page in their order. It fails if any account cannot
// be decoded. That account may hold any number of tokens, so nothing more may be
// granted.
func decode(page keyed.Page) ([]record, error) {
	records := make([]record, 0, len(page.Entries))
	for _, e := range page.Entries {
		r := record{key: e.Key}
		if e.Value != nil {
			var err error
			if r.account, err = acct.DecodeAccount(e.Value); err != nil {
				return nil, fmt.Errorf("account %q at offset %d: %w", e.Key, e.Offset, err)
			}
		}
		records = append(records, r)
	}
	return records, nil
}

// apply applies records in their order, and settles the pending write at its position
// among them. If newest is set, the records are a snapshot without order. What the pending
// write got is then not known: others may have returned tokens after its place in the order.
// Its grants count as rejected. The caller holds p.mu.
func (s *Service) apply(p *partition, records []record, newest bool) {
	for _, r := range records {
		if r.account == nil {
			p.state.Drop(r.key)
			continue
		}
		if w := p.pending; r.key == s.key && w != nil && r.account.Holder == w.account.Holder &&
			r.account.Epoch == w.account.Epoch && r.account.Serial == w.account.Serial {
			if newest {
				p.own = w.account.Reject()
			} else {
				p.own = p.state.Settled(s.key, w.account)
			}
			w.seen = true
		}
		if newest {
			p.state.Set(r.key, r.account)
		} else {
			p.state.Apply(r.key, r.account)
		}
	}
}

// sync passes the accounts to the holder first and to the budgets second. A request
// that then sees accounts with too few free tokens also finds the tokens granted to
// this instance.
func (s *Service) sync(p *partition) {
	now := time.Now()
	for _, b := range p.list() {
		view, _, _ := p.view(b)
		p.mu.Lock()
		own := p.own.Line(b.name)
		p.mu.Unlock()
		seen := lease.View{
			Fresh: true, Known: view.Total.Version > 0, Paid: view.Total.Tokens, Free: view.Free, Holders: view.Holders,
			Lost: view.Lost, Own: s.holder.ID(), Granted: own.Granted,
			OthersPerSecond: max(0, view.PerSecond-own.PerSecond),
		}
		s.holder.Sync(b.name, seen)
		b.noteFree(view.Free, s.holder.Unmet(b.name, spentDelay, now))
	}
}

// write writes this instance's account with the changes that are due. The next read
// settles its pending grants.
func (s *Service) write(ctx context.Context, p *partition) error {
	changes := s.plan(p)
	p.mu.Lock()
	base, before := p.own, p.state.Account(s.key)
	next := p.state.Next(s.key, s.holder.ID(), base, s.closing(), changes)
	next.Peer = s.opts.PeerAddr
	if next.Epoch < p.epoch {
		next.Epoch, next.Serial = p.epoch, 0
	}
	p.mu.Unlock()
	if err := s.writeAccount(ctx, p, next); err != nil {
		s.rejectGrants(changes)
		return err
	}
	p.mu.Lock()
	p.pending, p.written = &pendingWrite{account: next, base: base, changes: changes}, time.Now()
	p.mu.Unlock()
	s.noteWritten(p, base, before, next)
	return nil
}

// writeAccount writes this instance's account. It gives up if the first attempt certainly
// had no effect, or if another process has taken over the account. Any other failure is
// retried until the context ends.
func (s *Service) writeAccount(ctx context.Context, p *partition, next *acct.Account) error {
	began := time.Now()
	for failures := 0; ; {
		value, err := next.Encode()
		if err != nil {
			return errors.Join(keyed.ErrUnavailable, err)
		}
		writer := keyed.Writer{ID: s.key, Epoch: next.Epoch, Number: next.Serial}
		err = s.opts.Store.Write(ctx, p.id, writer, keyed.Entry{Key: s.key, Value: value})
		switch {
		case err == nil:
			return nil
		case errors.Is(err, keyed.ErrOutOfOrder):
			// Either another process has taken over, or the store does not know the
			// previous account. In the second case a new epoch invalidates writes of
			// the old one that are still in progress.
			if rerr := s.read(ctx, p); rerr == nil && !s.fenced.Load() {
				s.logf(log.WarnLevel, "store rejected the number of the account; retrying under a new epoch", "epoch", next.Epoch+1, "err", err)
				next.Epoch, next.Serial = next.Epoch+1, 0
			}
			if s.fenced.Load() || next.LogEpoch != int64(p.logEpoch()) {
				return errors.Join(keyed.ErrUnavailable, err)
			}
		case failures == 0 && errors.Is(err, keyed.ErrUnavailable):
			return err
		default:
			s.logf(log.WarnLevel, "no answer to the write of the account; retrying",
				"part", p.id.Index, "epoch", next.Epoch, "serial", next.Serial, "err", err)
			p.worker.noteUnanswered(began, err)
		}
		failures++
		if !pause.For(ctx, retryPause(failures)) {
			return ctx.Err()
		}
	}
}

// closing returns the evidence by which the account of an earlier incarnation is
// closed.
func (s *Service) closing() acct.Closing {
	c := acct.Closing{Pledges: s.pledger.predecessor()}
	if s.opts.Clock != nil {
		c.BootID, c.Clock = s.bootID(), s.opts.Clock()
	}
	return c
}

// logClosing logs how the tokens of an earlier incarnation were accounted for.
func (s *Service) logClosing(before, next *acct.Account) {
	for _, l := range before.Lines {
		if l.Held() == 0 {
			continue
		}
		spent := next.Line(l.Budget).Spent - l.Spent
		s.logf(log.InfoLevel, "lease of an earlier incarnation closed", "budget", l.Budget, "holder", before.Holder,
			"counts-as-spent", spent, "unused", l.Held()-spent, "paid", l.Total, "lost", next.Line(l.Budget).Lost-l.Lost)
	}
}

// rejectGrants reports to the holder that the pending grants of a failed write got no
// tokens.
func (s *Service) rejectGrants(changes []acct.Change) {
	for _, c := range changes {
		if c.Grant > 0 {
			s.rejectGrant(c)
		}
	}
}

func (s *Service) rejectGrant(c acct.Change) {
	s.holder.Decided(ledger.Decision{
		Item: ledger.Grant{Budget: c.Budget, Holder: s.holder.ID(), Tokens: c.Grant},
	}, time.Now())
}
