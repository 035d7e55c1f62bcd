package simul

import (
	"fmt"
	"slices"

	"pgregory.net/rapid"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

func (w *world) topUp(t *rapid.T) {
	id := fmt.Sprintf("top-up-%d", rapid.IntRange(0, 20).Draw(t, "id"))
	budget := pick(t, "budget", worldBudgets)
	w.pay(id, budget, rapid.Int64Range(1, 300).Draw(t, "tokens"))
}

func (w *world) pay(id, budget string, n ledger.Tokens) {
	if !w.topUps[id] {
		w.topUps[id] = true
		w.paid[budget] += n
	}
	w.log.AppendItem(ledger.TopUp{ID: id, Budget: budget, Tokens: n})
}

// turn makes one node read the whole log, plan and append without any failure.
func (w *world) turn(t *rapid.T) {
	w.turnOf(w.node(t))
}

func (w *world) turnOf(n *Node) {
	w.readAll(n)
	for _, b := range worldBudgets {
		n.Sync(b, true)
	}
	n.Carry(n.Holder.Plan(w.now))
	if data := n.Writer.Next(); data != nil {
		w.append(data)
		n.Writer.Confirm()
	}
	w.readAll(n)
}

// readAll reads to the end of the log, or until the node meets a gap.
func (w *world) readAll(n *Node) {
	for n.Follower.Offset()+1 < w.log.next() {
		if n.Poll(100, w.now) != nil {
			return
		}
	}
}

func (w *world) reserve(t *rapid.T) {
	n := w.node(t)
	res := &reservation{id: w.next("t"), budget: pick(t, "budget", worldBudgets), node: n, life: n.Holder.ID()}
	// A request may be a retry of one that runs or ran elsewhere.
	res.request = fmt.Sprintf("%s/r%d", res.budget, rapid.IntRange(0, 25).Draw(t, "request"))
	tokens := rapid.SampledFrom([]ledger.Tokens{100, 150, 250, 60, 7}).Draw(t, "tokens")
	charges, err := n.Holder.Reserve(res.id, res.budget, tokens, w.now)
	if err != nil && rapid.IntRange(0, 3).Draw(t, "wait") != 0 {
		w.turnOf(n)
		charges, err = n.Holder.Reserve(res.id, res.budget, tokens, w.now)
	}
	if err != nil {
		return
	}
	res.charges = charges
	w.reservations = append(w.reservations, res)
}

// serve reserves tokens, sends the request and starts its run without any failure in
// between.
func (w *world) serve(t *rapid.T) {
	before := len(w.reservations)
	w.reserve(t)
	if len(w.reservations) == before {
		return
	}
	res := w.reservations[before]
	res.sent = true
	w.startAt(res, rapid.IntRange(0, worldSides-1).Draw(t, "side"))
}

// startedAs returns the incarnation that the node was started as. A node that
// continues as a new incarnation, because its own was closed, keeps its reservations: they
// belong to the start, not to the current incarnation.
func (n *Node) startedAs() ident.Incarnation { return ident.Incarnation(n.Writer.Name) }

func (w *world) send(t *rapid.T) {
	res := pick(t, "reservation", filter(w.reservations, func(k *reservation) bool { return !k.sent }))
	res.sent = true
	if rapid.Bool().Draw(t, "deferred") {
		res.node.Holder.Defer(res.id, res.budget, res.request)
	}
}

func (w *world) cancel(t *rapid.T) {
	res := pick(t, "reservation", filter(w.reservations, func(k *reservation) bool { return !k.sent }))
	res.node.Holder.Cancel(res.id, res.budget, w.now)
	w.forget(res)
}

func (w *world) forget(res *reservation) {
	w.reservations = slices.DeleteFunc(w.reservations, func(k *reservation) bool { return k == res })
}

// start delivers a request to a side process, possibly long after it was sent.
func (w *world) start(t *rapid.T) {
	res := pick(t, "sent", filter(w.reservations, func(k *reservation) bool { return k.sent }))
	w.startAt(res, rapid.IntRange(0, worldSides-1).Draw(t, "side"))
}

// startAt makes side process i check and start a request, in one atomic step. A run
// that passed the check counts as running, even if the process is paused right after.
func (w *world) startAt(res *reservation, i int) {
	w.forget(res)
	for _, c := range res.charges {
		if w.sides[i].fenced[c.Holder] {
			res.node.Holder.Cancel(res.id, res.budget, w.now)
			res.node.CloseHolder(c.Holder)
			return
		}
	}
	w.runs = append(w.runs, &run{reservation: res, side: i})
}

func (w *world) finish(t *rapid.T) {
	r := pick(t, "run", filter(w.runs, func(r *run) bool { return !r.ended }))
	r.end(w, sum(r.charges)*rapid.SampledFrom([]ledger.Tokens{4, 4, 3, 1, 0}).Draw(t, "quarters used")/4)
}

func (r *run) end(w *world, used ledger.Tokens) {
	for _, c := range r.charges {
		n := min(used, c.Tokens)
		used -= n
		r.used = append(r.used, ledger.Charge{Holder: c.Holder, Tokens: n})
	}
	r.ended = true
	s := w.sides[r.side]
	s.writer.Propose(ledger.Encode(ledger.Usage{Budget: r.budget, Request: r.request, Charges: r.used}))
	s.unbilled = append(s.unbilled, r)
}

// answer delivers the answer of a run, or loses it and defers the settlement.
func (w *world) answer(t *rapid.T) {
	r := pick(t, "answer", filter(w.runs, func(r *run) bool { return r.ended && !r.answered }))
	r.answered = true
	if rapid.Bool().Draw(t, "lost") {
		r.node.Holder.Defer(r.id, r.budget, r.request)
		if b, ok := r.node.State.Billed(r.request); ok {
			r.node.Holder.Resolve(r.budget, r.request, b.Charges, w.now)
		}
		return
	}
	r.node.Holder.Settle(r.id, r.budget, r.used, w.now)
}

// appendNext appends the next batch of a writer. If the answer is lost, the writer
// will send the batch again. It reports whether the answer arrived.
func (w *world) appendNext(t *rapid.T, wr *Writer) bool {
	data := wr.Next()
	if data == nil {
		t.Skip("nothing to append")
	}
	w.append(data)
	if rapid.Bool().Draw(t, "lost") {
		return false
	}
	wr.Confirm()
	return true
}

func (w *world) sideAppend(t *rapid.T) {
	s := pick(t, "side", w.sides)
	if w.appendNext(t, &s.writer) && len(s.writer.queue) == 0 {
		s.unbilled = nil
	}
}

func (w *world) nodeAppend(t *rapid.T) { w.appendNext(t, &w.node(t).Writer) }

func (w *world) nodeRead(t *rapid.T) {
	_ = w.node(t).Poll(rapid.IntRange(1, 12).Draw(t, "limit"), w.now) // a gap leaves the node stale
}

func (w *world) nodePlan(t *rapid.T) {
	n := w.node(t)
	for _, b := range worldBudgets {
		n.Sync(b, rapid.Bool().Draw(t, "fresh"))
	}
	n.Carry(n.Holder.Plan(w.now))
}

// transfer makes a peer give tokens. The answer may arrive late, repeatedly or never.
// A repeated request must get the same answer.
func (w *world) transfer(t *rapid.T) {
	n, giver := w.node(t), w.node(t)
	if n == giver {
		t.Skip("same node")
	}
	m := move{id: w.next("m"), budget: pick(t, "budget", worldBudgets), taker: n}
	n.Holder.BeginTransfer(m.id, m.budget)
	tokens := rapid.Int64Range(1, 250).Draw(t, "tokens")
	var ok bool
	m.charges, ok = giver.Holder.ServeTransfer(m.id, n.Holder.ID(), m.budget, tokens, w.now)
	if !ok {
		giver.Holder.DeclineTransfer(m.id, m.budget)
	}
	if rapid.Bool().Draw(t, "again") {
		again, _ := giver.Holder.ServeTransfer(m.id, n.Holder.ID(), m.budget, tokens, w.now)
		if !slices.Equal(again, m.charges) {
			t.Fatalf("transfer %s: first answer was %v, want the same when repeated, got %v", m.id, m.charges, again)
		}
	}
	w.moves = append(w.moves, m)
}

func (w *world) deliver(t *rapid.T) {
	m := pick(t, "move", w.moves)
	m.taker.Holder.CompleteTransfer(m.id, m.budget, m.charges)
}

// crash restarts a node. Its batch in flight may still reach the log later.
func (w *world) crash(t *rapid.T) {
	n := w.node(t)
	if rapid.IntRange(0, 7).Draw(t, "rarely") != 0 {
		t.Skip("no crash")
	}
	if data := n.Writer.Next(); data != nil {
		w.lateBatches = append(w.lateBatches, data)
	}
	w.closing = append(w.closing, n.Holder.ID())
	life := n.startedAs()
	n.Restart(worldPolicy)
	w.reservations = slices.DeleteFunc(w.reservations, func(k *reservation) bool { return k.life == life && !k.sent })
	for _, r := range w.runs {
		r.answered = r.answered || r.life == life
	}
	w.moves = slices.DeleteFunc(w.moves, func(m move) bool { return m.taker == n })
}

func (w *world) late(t *rapid.T) { w.append(pick(t, "zombie", w.lateBatches)) }

// fence makes one side process fence one holder. The node of the holder has
// crashed, or is paused and continues later.
func (w *world) fence(t *rapid.T) {
	candidates := w.closing
	if rapid.IntRange(0, 9).Draw(t, "paused") == 0 {
		candidates = append(slices.Clone(candidates), w.node(t).Holder.ID())
	}
	h := pick(t, "holder", candidates)
	if !slices.Contains(w.closing, h) {
		w.closing = append(w.closing, h)
	}
	pick(t, "side", w.sides).fenced[h] = true
}

// acknowledged reports whether side process i can prove that nothing more will be
// charged to the holder: it is fenced, no run is charged to it, and all its usage is
// on the log.
func (w *world) acknowledged(i int, h ident.Incarnation) bool {
	s := w.sides[i]
	if !s.fenced[h] {
		return false
	}
	charged := func(r *run) bool {
		return slices.ContainsFunc(r.charges, func(c ledger.Charge) bool { return c.Holder == h })
	}
	running := slices.ContainsFunc(w.runs, func(r *run) bool { return r.side == i && !r.ended && charged(r) })
	return !running && !slices.ContainsFunc(s.unbilled, charged)
}

func (w *world) reclaim(t *rapid.T) {
	h := pick(t, "holder", w.closing)
	for i := range w.sides {
		if !w.acknowledged(i, h) {
			t.Skip("not acknowledged")
		}
	}
	w.log.AppendItem(ledger.Reclaim{Holder: h})
	w.reclaimed[h] = true
}

// checkpoint queues a checkpoint of a node's state. Several nodes may do so at the
// same time.
func (w *world) checkpoint(t *rapid.T) {
	n := w.node(t)
	cp, err := n.Follower.Reader.Checkpoint()
	if err != nil {
		t.Skip("stale")
	}
	chunks, err := cp.Chunks()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range chunks {
		n.Writer.Propose(c)
	}
}

func (w *world) expire(t *rapid.T) {
	last := len(w.log.records)
	if rapid.IntRange(0, 9).Draw(t, "all") != 0 {
		for _, n := range w.nodes {
			last = min(last, int(n.Follower.Offset()))
		}
	}
	w.log.Expire(logsvc.Offset(rapid.IntRange(0, last).Draw(t, "expired") + 1))
}

// restore restores a node from a checkpoint of a peer's state.
func (w *world) restore(t *rapid.T) {
	n, peer := w.node(t), w.node(t)
	cp, err := peer.Follower.Reader.Checkpoint()
	if err != nil {
		t.Skip("stale")
	}
	_ = n.Follower.Restore(cp) // A checkpoint that is older than the node's state is refused.
}

func (w *world) stop(t *rapid.T) {
	n := w.node(t)
	n.Carry(n.Holder.ReturnAll())
}
