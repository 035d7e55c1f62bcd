package vault

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/pause"
	"github.com/beryllanding/beryllanding/pkg/sheet"
	"github.com/beryllanding/beryllanding/pkg/slice"
)

// renewEvery is the least time between two writes of the account that no request waits
// for: slices last for seconds, and one write renews all of them.
const renewEvery = 500 * time.Millisecond

// part is one partition of the accounts. Its worker alone changes the accounts.
type part struct {
	worker worker
	place  keyed.Place

	mu    sync.Mutex
	books []*book
	// state is the accounts as the store has them, read up to end; known is set once
	// they were read.
	state sheet.State
	end   keyed.Offset
	known bool
	// read is when the call was sent that showed the state.
	read time.Time
	// refresh asks for a turn that reads.
	refresh bool
	// own is what this incarnation has; nil before its first write.
	own *sheet.Account
	// pending is what was posted and not yet seen in the order.
	pending *posted
	// epoch is the least that the next account may have.
	epoch int64
	// written is when the own account was last written.
	written time.Time
}

// posted is an account that was written, with the changes that it has after base.
type posted struct {
	account *sheet.Account
	base    *sheet.Account
	changes []sheet.Change
	// seen is set once the claims are settled.
	seen bool
}

// view returns the view of a budget, and when it was read; ok is false before that.
func (p *part) view(b *book) (view sheet.Budget, read time.Time, ok bool) {
	total, _ := b.known()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Budget(b.name, total), p.read, p.known
}

// askRead asks for a turn that reads the accounts.
func (p *part) askRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh = true
}

// askSettled asks for a turn that reads where that settles a claim.
func (p *part) askSettled() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh = p.refresh || p.pending != nil
}

func (p *part) isKnown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known
}

func (p *part) add(b *book) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.books = append(p.books, b)
	slices.SortFunc(p.books, func(x, y *book) int { return strings.Compare(x.name, y.name) })
}

// list returns the books in the order of their names.
func (p *part) list() []*book {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.books)
}

// isClosed reports whether the store has no account of an earlier incarnation of this
// instance that is still open.
func (s *Service) isClosed(p *part) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known && (p.own != nil || p.state.Account(s.key) == nil)
}

// turn reads the accounts where that is asked for, and writes what is due. Claims are
// sized by what is left and by the others' demand, so that it reads before it writes, and
// once more after, which settles them: tokens in an unsettled claim are of no use in an
// outage that begins then.
func (s *Service) turn(ctx context.Context, p *part) (did bool, err error) {
	p.mu.Lock()
	// A turn after one that failed finds out whether the store is back.
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

// isScarce reports whether a budget with requests here is nearly granted.
func (s *Service) isScarce(b *book, view sheet.Budget) bool {
	return float64(view.Free) < scarceShare*float64(view.Total.Tokens) && s.holder.InUse(b.name, time.Now())
}

// due reports whether anything has to be written.
func (s *Service) due(p *part) bool {
	if s.fenced.Load() {
		return false
	}
	if !s.isClosed(p) {
		return s.pledger.isKnown()
	}
	if s.isStopped() {
		s.returnFree() // Requests that ended meanwhile have put some back.
		return slices.ContainsFunc(p.list(), func(b *book) bool { return b.owed() > 0 })
	}
	now := time.Now()
	p.mu.Lock()
	rested := now.Sub(p.written) >= renewEvery
	p.mu.Unlock()
	return slices.ContainsFunc(p.list(), func(b *book) bool {
		need := s.holder.Need(b.name, now)
		return need == slice.NeedNow || (rested && (need == slice.NeedSoon || b.owed() > 0))
	})
}

// plan returns the changes that are due, and those that cost nothing more once the
// account is written.
func (s *Service) plan(p *part) []sheet.Change {
	now := time.Now()
	stopped := s.isStopped()
	var changes []sheet.Change
	for _, b := range p.list() {
		total, limited := b.known()
		if !limited {
			continue
		}
		c := sheet.Change{Budget: b.name, Total: total, PerSecond: s.holder.PerSecond(b.name, now)}
		if !stopped {
			for _, e := range s.holder.TopUp(b.name, now) {
				switch e := e.(type) {
				case slice.ProposeGrant:
					c.Grant += e.Tokens
				case slice.ProposeReturn:
					b.owe(e.Tokens)
				case slice.AskPeers:
					// Requests that wait ask by themselves once the store has nothing.
				}
			}
		}
		c.Return = b.owed()
		changes = append(changes, c)
	}
	return changes
}

// read takes over what was written since the last read.
func (s *Service) read(ctx context.Context, p *part) error {
	at := time.Now()
	p.mu.Lock()
	known, end := p.known, p.end
	p.mu.Unlock()
	var page keyed.Page
	var err error
	if known {
		page, err = readOn(ctx, s.opts.Store, p.place, end)
	}
	whole := !known || errors.Is(err, keyed.ErrTrimmed)
	if whole {
		page, err = keyed.Snapshot(ctx, s.opts.Store, p.place)
	}
	if err != nil {
		return err
	}
	if page.End < end {
		// A reader that lags would show claims as missing that were made.
		return errors.Join(keyed.ErrUnavailable, errors.New("accounts are older than those read before"))
	}
	accounts, err := decode(page)
	if err != nil {
		return errors.Join(keyed.ErrUnavailable, err)
	}
	p.mu.Lock()
	if whole {
		p.state = sheet.State{}
	}
	s.apply(p, accounts, whole)
	p.end, p.known, p.read, p.refresh = page.End, true, at, false
	own, newest := p.own, p.state.Account(s.key)
	p.mu.Unlock()
	if own != nil && (newest == nil || newest.Holder != own.Holder) {
		s.fence(newest)
	}
	s.sync(p)
	return s.settle(p)
}

// settle tells the holder and the books what became of the last write, once its place in
// the order is known: reads after it see it.
func (s *Service) settle(p *part) error {
	p.mu.Lock()
	w, own := p.pending, p.own
	p.pending = nil
	if w != nil && !w.seen {
		// The store took it for a write that another incarnation made.
		p.epoch = w.account.Epoch + 1
	}
	p.mu.Unlock()
	if w == nil {
		return nil
	}
	if !w.seen {
		s.notHeld(w.changes)
		return errors.Join(keyed.ErrUnavailable, errors.New("account was posted and is not in the store"))
	}
	for _, c := range w.changes {
		if got := own.Line(c.Budget).Granted - w.base.Line(c.Budget).Granted; got < c.Grant {
			s.refuseGrant(c)
		}
		if c.Return > 0 {
			s.book(c.Budget).settleReturn(c.Return)
		}
	}
	return nil
}

// readOn reads all records from an offset on.
func readOn(ctx context.Context, store keyed.Store, place keyed.Place, from keyed.Offset) (keyed.Page, error) {
	all := keyed.Page{End: from}
	for {
		page, err := store.Read(ctx, place, all.End, 0)
		if err != nil {
			return keyed.Page{}, err
		}
		all.Entries = append(all.Entries, page.Entries...)
		if page.End <= all.End || !page.More {
			all.End = max(all.End, page.End)
			return all, nil
		}
		all.End = page.End
	}
}

// record is a decoded account under its key; nil is gone.
type record struct {
	key     string
	account *sheet.Account
}

// decode decodes the accounts of a page in their order. One that cannot be read may
// hold any number of tokens: nothing is claimed until it can be.
func decode(page keyed.Page) ([]record, error) {
	records := make([]record, 0, len(page.Entries))
	for _, e := range page.Entries {
		r := record{key: e.Key}
		if e.Value != nil {
			var err error
			if r.account, err = sheet.DecodeAccount(e.Value); err != nil {
				return nil, fmt.Errorf("account %q at offset %d: %w", e.Key, e.Offset, err)
			}
		}
		records = append(records, r)
	}
	return records, nil
}

// apply takes over accounts in their order, and decides on the pending claim where it
// stands among them. Newest records alone are in no order: all of them then count as
// being before it, with all that they claim, which cannot give it too much. It is called
// under the lock.
func (s *Service) apply(p *part, records []record, newest bool) {
	if newest {
		slices.SortStableFunc(records, func(x, y record) int {
			return compareBool(x.key == s.key, y.key == s.key)
		})
	}
	for _, r := range records {
		if r.account == nil {
			p.state.Drop(r.key)
			continue
		}
		if w := p.pending; r.key == s.key && w != nil && r.account.Holder == w.account.Holder &&
			r.account.Epoch == w.account.Epoch && r.account.Serial == w.account.Serial {
			p.own, w.seen = p.state.Verdict(s.key, w.account), true
		}
		if newest {
			p.state.Set(r.key, r.account)
		} else {
			p.state.Apply(r.key, r.account)
		}
	}
}

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}

// sync passes the accounts on to the holder, and then to the books: a request that
// sees accounts without enough tokens left must find those of its own grant.
func (s *Service) sync(p *part) {
	now := time.Now()
	for _, b := range p.list() {
		view, _, _ := p.view(b)
		p.mu.Lock()
		own := p.own.Line(b.name)
		p.mu.Unlock()
		seen := slice.Seen{
			Fresh: true, Known: view.Total.Version > 0, Paid: view.Total.Tokens, Free: view.Free, Holders: view.Holders,
			Lost: view.Lost, Own: s.holder.Own(), Granted: own.Granted,
			OthersPerSecond: max(0, view.PerSecond-own.PerSecond),
		}
		s.holder.Sync(b.name, seen)
		b.sees(view.Free, s.holder.Unmet(b.name, settleTime, now))
	}
}

// write posts the own account with what is due. The next read settles what it claims.
func (s *Service) write(ctx context.Context, p *part) error {
	changes := s.plan(p)
	p.mu.Lock()
	base, before := p.own, p.state.Account(s.key)
	next := p.state.Next(s.key, s.holder.Own(), base, s.closing(), changes)
	next.Peer = s.opts.Peer
	if next.Epoch < p.epoch {
		next.Epoch, next.Serial = p.epoch, 0
	}
	p.mu.Unlock()
	if err := s.post(ctx, p, next); err != nil {
		s.notHeld(changes)
		return err
	}
	p.mu.Lock()
	p.pending, p.written = &posted{account: next, base: base, changes: changes}, time.Now()
	p.mu.Unlock()
	if base == nil && before != nil {
		s.logClosing(before, next)
	}
	return nil
}

// post writes the own account. Only the first attempt may be given up, where it was
// surely not done.
func (s *Service) post(ctx context.Context, p *part, next *sheet.Account) error {
	began := time.Now()
	for failures := 0; ; {
		value, err := next.Encode()
		if err != nil {
			return errors.Join(keyed.ErrUnavailable, err)
		}
		writer := keyed.Writer{ID: s.key, Epoch: next.Epoch, Number: next.Serial}
		err = s.opts.Store.Post(ctx, p.place, writer, keyed.Entry{Key: s.key, Value: value})
		switch {
		case err == nil:
			return nil
		case errors.Is(err, keyed.ErrOrder):
			// Another process has taken over, or the store does not know the account
			// before. In the latter case a new epoch ends what is under way under the old.
			if rerr := s.read(ctx, p); rerr == nil && !s.fenced.Load() {
				s.logf(log.WarnLevel, "account is numbered anew", "epoch", next.Epoch+1, "err", err)
				next.Epoch, next.Serial = next.Epoch+1, 0
			}
			if s.fenced.Load() {
				return errors.Join(keyed.ErrUnavailable, err)
			}
		case failures == 0 && errors.Is(err, keyed.ErrUnavailable):
			return err
		default:
			s.logf(log.WarnLevel, "write of the account has no answer; it is sent again",
				"part", p.place.Part, "epoch", next.Epoch, "serial", next.Serial, "err", err)
			p.worker.stuck(began, err)
		}
		failures++
		if !pause.For(ctx, retryPause(failures)) {
			return ctx.Err()
		}
	}
}

// closing returns what the end of an earlier incarnation is judged by.
func (s *Service) closing() sheet.Closing {
	c := sheet.Closing{Pledges: s.pledger.predecessor()}
	if s.opts.Clock != nil {
		c.Machine, c.Clock = s.machine(), s.opts.Clock()
	}
	return c
}

// logClosing logs what became of the tokens of an ended incarnation.
func (s *Service) logClosing(before, next *sheet.Account) {
	for _, l := range before.Lines {
		if l.Held() == 0 {
			continue
		}
		spent := next.Line(l.Budget).Spent - l.Spent
		s.logf(log.InfoLevel, "slice of an ended incarnation closed", "budget", l.Budget, "holder", before.Holder,
			"counts-as-spent", spent, "unused", l.Held()-spent, "paid", l.Total, "lost", next.Line(l.Budget).Lost-l.Lost)
	}
}

// notHeld tells the holder that its claims did not hold.
func (s *Service) notHeld(changes []sheet.Change) {
	for _, c := range changes {
		if c.Grant > 0 {
			s.refuseGrant(c)
		}
	}
}

func (s *Service) refuseGrant(c sheet.Change) {
	s.holder.Decided(ledger.Decision{
		Item: ledger.Grant{Budget: c.Budget, Holder: s.holder.Own(), Tokens: c.Grant},
	}, time.Now())
}
