package trial

import (
	"slices"
	"time"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/slice"
)

// admit tries to reserve for a request, and lets it wait for an effort where
// the slice is dry.
func (s *sim) admit(w *work) {
	if s.policy.central {
		s.admitCentral(w)
		return
	}
	if s.try(w) {
		return
	}
	if s.spentKnown(w) {
		s.refuse(w)
		return
	}
	s.join(w)
}

// admitCentral asks the naive ledger over the log for each request.
func (s *sim) admitCentral(w *work) {
	s.log.Appends++
	s.Bytes += transferBytes
	if !s.logReaches(w.node) || s.balance(w.budget) < w.bound {
		s.refuse(w)
		return
	}
	s.begin(w)
}

// try reserves and starts. A side's refusal closes the holder and tries again.
func (s *sim) try(w *work) bool {
	n := w.node
	for {
		charges, err := n.Holder.Reserve(w.id, w.budget, w.bound, s.clock())
		if err != nil {
			return false
		}
		w.charges = charges
		i := slices.IndexFunc(charges, func(c ledger.Charge) bool { return s.fenced[c.Holder] })
		if i < 0 {
			break
		}
		n.Holder.Cancel(w.id, w.budget, s.clock())
		n.CloseHolder(charges[i].Holder)
	}
	w.life = ident.Incarnation(n.Writer.Name)
	s.begin(w)
	return true
}

// spentKnown reports whether the fold, as the node has it, shows that the
// balance does not cover the request.
func (s *sim) spentKnown(w *work) bool {
	s.read(w.node) // the follower waits at the log and is current within moments
	b, _ := w.node.State.Budget(w.budget)
	return s.logReaches(w.node) && b.Balance() < w.bound
}

// begin starts the work and notes what it may spend.
func (s *sim) begin(w *work) {
	s.running[w] = true
	s.spent[w.budget] += w.bound
	s.Overspend = max(s.Overspend, s.spent[w.budget]-s.paid[w.budget])
	s.after(w.takes, func() { s.end(w) })
}

// end settles the work at the node, if that still lives, and bills it.
func (s *sim) end(w *work) {
	delete(s.running, w)
	s.spent[w.budget] -= w.bound - w.used
	if s.policy.central {
		s.log.Appends++
		s.Bytes += transferBytes
		return
	}
	var used []ledger.Charge
	rest := w.used
	for _, c := range w.charges {
		n := min(rest, c.Tokens)
		rest -= n
		if n > 0 {
			used = append(used, ledger.Charge{Holder: c.Holder, Tokens: n})
		}
	}
	s.side.Propose(ledger.Encode(ledger.Usage{Budget: w.budget, Request: w.id, Charges: used}))
	s.pending = append(s.pending, w)
	if w.life == ident.Incarnation(w.node.Writer.Name) {
		w.node.Holder.Settle(w.id, w.budget, used, s.clock())
		w.node.freed[w.budget] = freed{at: s.now, tokens: w.bound - w.used}
		s.wake(w.node, w.budget)
	}
}

// refuse judges a refusal by the naive ledger.
func (s *sim) refuse(w *work) {
	w.done = true
	w.node.Holder.Withdraw(w.id, w.budget)
	s.Refused++
	if s.balance(w.budget) < w.bound {
		return
	}
	s.False++
	if s.reach(w.node, w.budget) < w.bound {
		s.Explained++
	}
}

// balance is what the naive ledger has left.
func (s *sim) balance(budget string) ledger.Tokens { return s.paid[budget] - s.spent[budget] }

// reach sums the free tokens that a node can get at. What a peer got free less
// than a hop ago is not among them: no answer could tell of it yet.
func (s *sim) reach(n *simNode, budget string) ledger.Tokens {
	s.catchUp()
	var sum ledger.Tokens
	if s.logReaches(n) {
		b, _ := s.ledger.Budget(budget)
		sum += b.Free
	}
	if s.policy.central {
		return sum
	}
	sum += s.moving[budget]
	for _, p := range s.nodes {
		if p != n && !s.peersReach(n, p) {
			continue
		}
		sum += p.Holder.Holding(budget).Free
		if f := p.freed[budget]; p != n && f.at > 0 && s.now-f.at <= hopTime {
			sum -= f.tokens
		}
	}
	return sum
}

// join lets a request wait for the next effort at its node.
func (s *sim) join(w *work) {
	n := w.node
	w.until = s.now + waitTime
	g := n.gathers[w.budget]
	if g != nil {
		g.later = append(g.later, w)
		return
	}
	g = &simGather{waiting: []*work{w}}
	n.gathers[w.budget] = g
	s.gather(n, w.budget, g)
}

// gather plans for one budget and waits until the effects are known.
func (s *sim) gather(n *simNode, budget string, g *simGather) {
	g.deadline = s.now + patience
	s.after(patience, func() { s.gathered(n, budget, g) })
	n.Sync(budget, s.logReaches(n))
	g.open = 1
	if !s.policy.fixed {
		for _, ask := range n.Carry(n.Holder.PlanBudget(budget, s.clock())) {
			g.open++
			s.ask(n, ask, func() { s.answered(n, budget, g) })
		}
	}
	s.flush(n)
	s.after(0, func() { s.answered(n, budget, g) })
}

// answered notes that one part of an effort is known.
func (s *sim) answered(n *simNode, budget string, g *simGather) {
	g.open--
	s.wake(n, budget)
	s.gathered(n, budget, g)
}

// gathered ends an effort that is known in all its parts, or over time: who
// still waits is refused, and who came since has the next one.
func (s *sim) gathered(n *simNode, budget string, g *simGather) {
	if n.gathers[budget] != g {
		return
	}
	pending := n.Holder.Holding(budget).Pending > 0
	if s.now < g.deadline && (g.open > 0 || pending) {
		return
	}
	delete(n.gathers, budget)
	later := slices.DeleteFunc(g.later, s.retry)
	for _, w := range slices.DeleteFunc(g.waiting, s.retry) {
		if (pending || g.moved) && s.now < w.until {
			later = append(later, w)
			continue
		}
		s.refuse(w)
	}
	if len(later) == 0 {
		return
	}
	next := &simGather{waiting: later}
	n.gathers[budget] = next
	s.gather(n, budget, next)
}

// retry tries once more and notes success.
func (s *sim) retry(w *work) bool {
	w.done = w.done || s.try(w)
	return w.done
}

// wake lets the waiting requests of a budget try again.
func (s *sim) wake(n *simNode, budget string) {
	g := n.gathers[budget]
	if g == nil {
		return
	}
	g.waiting = slices.DeleteFunc(g.waiting, s.retry)
	g.later = slices.DeleteFunc(g.later, s.retry)
}

// wakeAll is called when the node has read verdicts.
func (s *sim) wakeAll(n *simNode) {
	for _, l := range s.sc.Loads {
		s.wake(n, l.Budget)
		if g := n.gathers[l.Budget]; g != nil {
			g.moved = true
			s.gathered(n, l.Budget, g)
		}
	}
}

// ask carries out a transfer with all reachable peers at once.
func (s *sim) ask(n *simNode, ask slice.AskPeers, done func()) {
	open := 1
	finish := func() {
		if open--; open == 0 {
			done()
		}
	}
	for _, p := range s.nodes {
		if !s.peersReach(n, p) {
			continue
		}
		open++
		id := s.id()
		n.Holder.Ask(id, ask.Budget)
		s.Transfers++
		s.Bytes += transferBytes
		s.after(hopTime, func() { s.give(n, p, id, ask, s.now+givePatience, finish) })
	}
	finish()
}

func (s *sim) give(n, p *simNode, id string, ask slice.AskPeers, until time.Duration, finish func()) {
	charges, ok := p.Holder.Give(id, n.Holder.Own(), ask.Budget, ask.Tokens, s.clock())
	if !ok && s.now < until {
		s.after(givePause, func() { s.give(n, p, id, ask, until, finish) })
		return
	}
	if !ok {
		charges = p.Holder.Decline(id, ask.Budget)
	}
	s.moving[ask.Budget] += total(charges)
	s.after(hopTime, func() {
		s.moving[ask.Budget] -= total(charges)
		if n.Holder.Take(id, ask.Budget, charges) > 0 && n.gathers[ask.Budget] != nil {
			n.gathers[ask.Budget].moved = true
		}
		s.wake(n, ask.Budget)
		finish()
	})
}

func total(charges []ledger.Charge) ledger.Tokens {
	var n ledger.Tokens
	for _, c := range charges {
		n += c.Tokens
	}
	return n
}

// close starts the closing of a holder, by fencing it at the sides.
func (s *sim) close(h ident.Incarnation) {
	s.fenced[h] = true
	s.closing = append(s.closing, h)
}

// sideTick appends the usage and reclaims the holders that nothing more can be
// charged to.
func (s *sim) sideTick() {
	s.after(tickTime, s.sideTick)
	if s.sc.LogDown.Has(s.now) {
		return
	}
	if data := s.side.Next(); data != nil {
		s.log.Append(data)
		s.side.Done()
		s.pending = nil
	}
	s.closing = slices.DeleteFunc(s.closing, func(h ident.Incarnation) bool {
		if s.charged(h) {
			return false
		}
		s.log.AppendItem(ledger.Reclaim{Holder: h})
		return true
	})
}

// charged reports whether work charged to a holder still runs.
func (s *sim) charged(h ident.Incarnation) bool {
	for w := range s.running {
		if slices.ContainsFunc(w.charges, func(c ledger.Charge) bool { return c.Holder == h }) {
			return true
		}
	}
	return false
}
