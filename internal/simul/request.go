package simul

import (
	"slices"
	"time"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/lease"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// admit reserves tokens for a request. If the lease holds too few, the request
// waits for more tokens. If the node's state already shows that the budget is
// spent, the request is refused instead.
func (s *sim) admit(w *request) {
	if s.policy.central {
		s.admitCentral(w)
		return
	}
	if s.tryStart(w) {
		return
	}
	if s.knownSpent(w) {
		s.refuse(w)
		return
	}
	s.join(w)
}

// admitCentral asks the reference ledger, at the cost of one call to the log
// service.
func (s *sim) admitCentral(w *request) {
	s.log.Appends++
	s.Bytes += transferBytes
	if !s.logReaches(w.node) || s.balance(w.budget) < w.bound {
		s.refuse(w)
		return
	}
	s.begin(w)
}

// tryStart reserves tokens and starts the request, and reports whether it did. If
// a side process has fenced one of the holders charged, the node closes that holder
// and tries again.
func (s *sim) tryStart(w *request) bool {
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

// knownSpent reports whether, by the node's replicated state, the balance does
// not cover the request.
func (s *sim) knownSpent(w *request) bool {
	s.read(w.node) // the real follower long-polls, so it is never far behind
	b, _ := w.node.State.Budget(w.budget)
	return s.logReaches(w.node) && b.Balance() < w.bound
}

// begin starts the request. It counts as spending its bound until it ends.
func (s *sim) begin(w *request) {
	s.running[w] = true
	s.spent[w.budget] += w.bound
	s.Overspend = max(s.Overspend, s.spent[w.budget]-s.paid[w.budget])
	s.after(w.takes, func() { s.end(w) })
}

// end bills the request and settles it at its node, unless the node has restarted
// since.
func (s *sim) end(w *request) {
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

// refuse refuses the request and counts whether the refusal was false, compared
// with the reference ledger.
func (s *sim) refuse(w *request) {
	w.done = true
	w.node.Holder.Withdraw(w.id, w.budget)
	s.Refused++
	if s.balance(w.budget) < w.bound {
		return
	}
	s.FalseRefusals++
	if s.reachable(w.node, w.budget) < w.bound {
		s.Explained++
	}
}

// balance returns the tokens left in the reference ledger.
func (s *sim) balance(budget string) ledger.Tokens { return s.paid[budget] - s.spent[budget] }

// reachable returns the number of free tokens that a node could obtain now: its own
// tokens, tokens in transit, tokens of reachable peers and, if it reaches the log,
// ungranted tokens. Tokens that a peer settled within the last hopLatency are left
// out, as no answer could include them yet.
func (s *sim) reachable(n *simNode, budget string) ledger.Tokens {
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
		if f := p.freed[budget]; p != n && f.at > 0 && s.now-f.at <= hopLatency {
			sum -= f.tokens
		}
	}
	return sum
}

// join makes a request wait for the refill of its budget that is in progress at
// its node. If there is none, it starts one.
func (s *sim) join(w *request) {
	n := w.node
	w.until = s.now + maxWait
	g := n.gathers[w.budget]
	if g != nil {
		g.later = append(g.later, w)
		return
	}
	g = &simGather{waiting: []*request{w}}
	n.gathers[w.budget] = g
	s.gather(n, w.budget, g)
}

// gather starts a refill: it requests tokens of a budget from the log and from
// peers. The refill ends when all answers are in or after verdictTimeout; see
// gathered.
func (s *sim) gather(n *simNode, budget string, g *simGather) {
	g.deadline = s.now + verdictTimeout
	s.after(verdictTimeout, func() { s.gathered(n, budget, g) })
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

// answered records that one step of a refill, such as a transfer, has ended.
func (s *sim) answered(n *simNode, budget string, g *simGather) {
	g.open--
	s.wake(n, budget)
	s.gathered(n, budget, g)
}

// gathered ends a refill if all its steps have ended and no verdict is pending,
// or if its deadline has passed. A waiting request that still lacks tokens
// waits for the next refill if tokens or verdicts came in or a verdict is
// pending, and if its own time limit has not passed. Otherwise it is refused.
// Requests that arrived during this refill wait for the next one.
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

// retry tries to start a waiting request and reports whether it has started.
func (s *sim) retry(w *request) bool {
	w.done = w.done || s.tryStart(w)
	return w.done
}

// wake retries all waiting requests of a budget at a node.
func (s *sim) wake(n *simNode, budget string) {
	g := n.gathers[budget]
	if g == nil {
		return
	}
	g.waiting = slices.DeleteFunc(g.waiting, s.retry)
	g.later = slices.DeleteFunc(g.later, s.retry)
}

// wakeAll retries the waiting requests of all budgets, after the node has read
// verdicts.
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
func (s *sim) ask(n *simNode, ask lease.RequestTransfer, done func()) {
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
		n.Holder.BeginTransfer(id, ask.Budget)
		s.Transfers++
		s.Bytes += transferBytes
		s.after(hopLatency, func() { s.serveTransfer(n, p, id, ask, s.now+serveTimeout, finish) })
	}
	finish()
}

func (s *sim) serveTransfer(n, p *simNode, id string, ask lease.RequestTransfer, until time.Duration, finish func()) {
	charges, ok := p.Holder.ServeTransfer(id, n.Holder.ID(), ask.Budget, ask.Tokens, s.clock())
	if !ok && s.now < until {
		s.after(serveRetryInterval, func() { s.serveTransfer(n, p, id, ask, until, finish) })
		return
	}
	if !ok {
		charges = p.Holder.DeclineTransfer(id, ask.Budget)
	}
	s.moving[ask.Budget] += total(charges)
	s.after(hopLatency, func() {
		s.moving[ask.Budget] -= total(charges)
		if n.Holder.CompleteTransfer(id, ask.Budget, charges) > 0 && n.gathers[ask.Budget] != nil {
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

// close fences a holder at the side processes, which starts its closing.
func (s *sim) close(h ident.Incarnation) {
	s.fenced[h] = true
	s.closing = append(s.closing, h)
}

// sideTick appends the side processes' usage records, and reclaims each fenced
// holder that no running request is charged to.
func (s *sim) sideTick() {
	s.after(tickInterval, s.sideTick)
	if s.sc.LogDown.Contains(s.now) {
		return
	}
	if data := s.side.Next(); data != nil {
		s.log.Append(data)
		s.side.Confirm()
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

// charged reports whether a running request is charged to the holder.
func (s *sim) charged(h ident.Incarnation) bool {
	for w := range s.running {
		if slices.ContainsFunc(w.charges, func(c ledger.Charge) bool { return c.Holder == h }) {
			return true
		}
	}
	return false
}
