package trial

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
	"github.com/beryllanding/beryllanding/pkg/slice"
)

// TestHistories drives the decisions through random histories and compares them
// after each step with a naive ledger that sees everything: each run as it
// starts and ends, and each record.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		for _, b := range worldBudgets {
			w.pay("first-"+b, b, 600)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"top-up":     w.topUp,
			"turn":       w.turn,
			"turn2":      w.turn,
			"reserve":    w.reserve,
			"reserve2":   w.reserve,
			"serve":      w.serve,
			"serve2":     w.serve,
			"serve3":     w.serve,
			"serve4":     w.serve,
			"send":       w.send,
			"send2":      w.send,
			"cancel":     w.cancel,
			"start":      w.start,
			"start2":     w.start,
			"finish":     w.finish,
			"finish2":    w.finish,
			"answer":     w.answer,
			"sideAppend": w.sideAppend,
			"nodeAppend": w.nodeAppend,
			"nodePlan":   w.nodePlan,
			"nodeRead":   w.nodeRead,
			"transfer":   w.transfer,
			"deliver":    w.deliver,
			"crash":      w.crash,
			"late":       w.late,
			"fence":      w.fence,
			"reclaim":    w.reclaim,
			"checkpoint": w.checkpoint,
			"expire":     w.expire,
			"restore":    w.restore,
			"stop":       w.stop,
			"":           w.check,
		})
		w.quiesce()
	})
}

const (
	worldNodes = 3
	worldSides = 2
)

var worldBudgets = []string{"maint", "stock"}

// ticket is a reservation as its node knows it, and the message that it sent.
type ticket struct {
	id, budget, request string
	node                *Node
	life                ident.Incarnation
	charges             []ledger.Charge
	sent, started       bool
}

// run is work at a side.
type run struct {
	*ticket
	side  int
	ended bool
	used  []ledger.Charge
	// answered is set when the node got the answer or gave up on it.
	answered bool
}

// move is a transfer's answer on its way.
type move struct {
	id, budget string
	taker      *Node
	charges    []ledger.Charge
}

type side struct {
	fenced map[ident.Incarnation]bool
	writer Writer
	// unbilled holds the runs whose usage is not on the log.
	unbilled []*run
}

type world struct {
	t       *rapid.T
	now     time.Time
	log     *Log
	nodes   []*Node
	sides   []*side
	tickets []*ticket
	runs    []*run
	moves   []move
	// zombies holds batches of dead lives that may still reach the log.
	zombies [][]byte
	// closing holds the holders that sides are told to fence.
	closing   []ident.Incarnation
	reclaimed map[ident.Incarnation]bool
	// all follows the log without retention.
	all    *fold.Reader
	ledger *ledger.State
	// The naive ledger.
	paid   map[string]ledger.Tokens
	topUps map[string]bool
	billed map[string]bool
	bills  map[string]ledger.Tokens
	count  int
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1, 0), log: &Log{},
		reclaimed: map[ident.Incarnation]bool{},
		paid:      map[string]ledger.Tokens{}, topUps: map[string]bool{},
		billed: map[string]bool{}, bills: map[string]ledger.Tokens{},
	}
	w.ledger = &ledger.State{OnDecision: w.oracle}
	w.all = &fold.Reader{Machine: w.ledger}
	for i := range worldNodes {
		w.nodes = append(w.nodes, NewNode(fmt.Sprintf("n%d", i), w.log, worldPolicy))
	}
	for i := range worldSides {
		w.sides = append(w.sides, &side{fenced: map[ident.Incarnation]bool{}, writer: Writer{Name: fmt.Sprintf("side%d", i)}})
	}
	return w
}

var worldPolicy = slice.Policy{Floor: 200, Horizon: time.Minute, IdleReturn: time.Minute}

// oracle notes bills in the order of the log, on its own account of what was
// billed before.
func (w *world) oracle(d ledger.Decision) {
	if u, ok := d.Item.(ledger.Usage); ok && !w.billed[u.Request] {
		w.billed[u.Request] = true
		for _, c := range u.Charges {
			w.bills[u.Budget] += c.Tokens
		}
	}
}

func (w *world) next(prefix string) string {
	w.count++
	return fmt.Sprintf("%s%d", prefix, w.count)
}

// pick draws one of the candidates and skips the step where there is none.
func pick[T any](t *rapid.T, label string, all []T) T {
	if len(all) == 0 {
		t.Skip("no " + label)
	}
	return all[rapid.IntRange(0, len(all)-1).Draw(t, label)]
}

func filter[T any](all []T, keep func(T) bool) []T {
	var kept []T
	for _, v := range all {
		if keep(v) {
			kept = append(kept, v)
		}
	}
	return kept
}

func (w *world) node(t *rapid.T) *Node {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
	return pick(t, "node", w.nodes)
}

func (w *world) append(data []byte) { w.log.Append(data) }

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

// turn lets one node read all, plan and append without any failure.
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
		n.Writer.Done()
	}
	w.readAll(n)
}

// readAll reads to the end, or until the node finds itself behind a gap.
func (w *world) readAll(n *Node) {
	for n.Follower.Offset()+1 < w.log.next() {
		if n.Poll(100, w.now) != nil {
			return
		}
	}
}

func (w *world) reserve(t *rapid.T) {
	n := w.node(t)
	tk := &ticket{id: w.next("t"), budget: pick(t, "budget", worldBudgets), node: n, life: n.Holder.Own()}
	// A request may be a retry of one that runs or ran elsewhere.
	tk.request = fmt.Sprintf("%s/r%d", tk.budget, rapid.IntRange(0, 25).Draw(t, "request"))
	tokens := rapid.SampledFrom([]ledger.Tokens{100, 150, 250, 60, 7}).Draw(t, "tokens")
	charges, err := n.Holder.Reserve(tk.id, tk.budget, tokens, w.now)
	if err != nil && rapid.IntRange(0, 3).Draw(t, "wait") != 0 {
		w.turnOf(n)
		charges, err = n.Holder.Reserve(tk.id, tk.budget, tokens, w.now)
	}
	if err != nil {
		return
	}
	tk.charges = charges
	w.tickets = append(w.tickets, tk)
}

// serve reserves, sends and starts work without any failure in between.
func (w *world) serve(t *rapid.T) {
	before := len(w.tickets)
	w.reserve(t)
	if len(w.tickets) == before {
		return
	}
	tk := w.tickets[before]
	tk.sent = true
	w.startAt(tk, rapid.IntRange(0, worldSides-1).Draw(t, "side"))
}

// first names the life that a ticket belongs to; a node that goes on as a new
// incarnation keeps its tickets.
func (n *Node) first() ident.Incarnation { return ident.Incarnation(n.Writer.Name) }

func (w *world) send(t *rapid.T) {
	tk := pick(t, "ticket", filter(w.tickets, func(k *ticket) bool { return !k.sent }))
	tk.sent = true
	if rapid.Bool().Draw(t, "deferred") {
		tk.node.Holder.Defer(tk.id, tk.budget, tk.request)
	}
}

func (w *world) cancel(t *rapid.T) {
	tk := pick(t, "ticket", filter(w.tickets, func(k *ticket) bool { return !k.sent }))
	tk.node.Holder.Cancel(tk.id, tk.budget, w.now)
	w.forget(tk)
}

func (w *world) forget(tk *ticket) {
	w.tickets = slices.DeleteFunc(w.tickets, func(k *ticket) bool { return k == tk })
}

// start delivers a request to a side, possibly long after it was sent.
func (w *world) start(t *rapid.T) {
	tk := pick(t, "sent", filter(w.tickets, func(k *ticket) bool { return k.sent }))
	w.startAt(tk, rapid.IntRange(0, worldSides-1).Draw(t, "side"))
}

// startAt is the side's check and start, which are one step there. A run that
// passed the check counts as running, however long the process is paused then.
func (w *world) startAt(tk *ticket, i int) {
	w.forget(tk)
	for _, c := range tk.charges {
		if w.sides[i].fenced[c.Holder] {
			tk.node.Holder.Cancel(tk.id, tk.budget, w.now)
			tk.node.CloseHolder(c.Holder)
			return
		}
	}
	w.runs = append(w.runs, &run{ticket: tk, side: i})
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

// answer delivers a run's answer, or loses it.
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

// appendNext appends a writer's batch; where the answer is lost, the writer
// sends it again.
func (w *world) appendNext(t *rapid.T, wr *Writer) bool {
	data := wr.Next()
	if data == nil {
		t.Skip("nothing to append")
	}
	w.append(data)
	if rapid.Bool().Draw(t, "lost") {
		return false
	}
	wr.Done()
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

// transfer lets a peer give; the answer may arrive later, again, or never.
func (w *world) transfer(t *rapid.T) {
	n, giver := w.node(t), w.node(t)
	if n == giver {
		t.Skip("same node")
	}
	m := move{id: w.next("m"), budget: pick(t, "budget", worldBudgets), taker: n}
	n.Holder.Ask(m.id, m.budget)
	tokens := rapid.Int64Range(1, 250).Draw(t, "tokens")
	m.charges = giver.Holder.Give(m.id, m.budget, tokens, w.now)
	if rapid.Bool().Draw(t, "again") {
		again := giver.Holder.Give(m.id, m.budget, tokens, w.now)
		if !slices.Equal(again, m.charges) {
			t.Fatalf("transfer %s answered %v, then %v", m.id, m.charges, again)
		}
	}
	w.moves = append(w.moves, m)
}

func (w *world) deliver(t *rapid.T) {
	m := pick(t, "move", w.moves)
	m.taker.Holder.Take(m.id, m.budget, m.charges)
}

// crash replaces a node; its batch in flight may still reach the log.
func (w *world) crash(t *rapid.T) {
	n := w.node(t)
	if rapid.IntRange(0, 7).Draw(t, "rarely") != 0 {
		t.Skip("no crash")
	}
	if data := n.Writer.Next(); data != nil {
		w.zombies = append(w.zombies, data)
	}
	w.closing = append(w.closing, n.Holder.Own())
	life := n.first()
	n.Start(worldPolicy)
	w.tickets = slices.DeleteFunc(w.tickets, func(k *ticket) bool { return k.life == life && !k.sent })
	for _, r := range w.runs {
		r.answered = r.answered || r.life == life
	}
	w.moves = slices.DeleteFunc(w.moves, func(m move) bool { return m.taker == n })
}

func (w *world) late(t *rapid.T) { w.append(pick(t, "zombie", w.zombies)) }

// fence lets one side close one holder: a dead one, or one that is merely
// paused and goes on later.
func (w *world) fence(t *rapid.T) {
	candidates := w.closing
	if rapid.IntRange(0, 9).Draw(t, "paused") == 0 {
		candidates = append(slices.Clone(candidates), w.node(t).Holder.Own())
	}
	h := pick(t, "holder", candidates)
	if !slices.Contains(w.closing, h) {
		w.closing = append(w.closing, h)
	}
	pick(t, "side", w.sides).fenced[h] = true
}

// acknowledged reports whether a side proved that nothing more will be charged
// to the holder.
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

// checkpoint appends a node's state; others may do so at the same time.
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

// restore brings a node to a peer's state.
func (w *world) restore(t *rapid.T) {
	n, peer := w.node(t), w.node(t)
	cp, err := peer.Follower.Reader.Checkpoint()
	if err != nil {
		t.Skip("stale")
	}
	_ = n.Follower.Restore(cp) // one behind is refused
}

func (w *world) stop(t *rapid.T) {
	n := w.node(t)
	n.Carry(n.Holder.ReturnAll())
}

// check compares with the naive ledger.
func (w *world) check(t *rapid.T) {
	w.catchUp()
	for _, name := range worldBudgets {
		b, _ := w.ledger.Budget(name)
		if b.Paid != w.paid[name] {
			t.Fatalf("budget %s: paid %d, the naive ledger has %d", name, b.Paid, w.paid[name])
		}
		if b.Billed != w.bills[name] {
			t.Fatalf("budget %s: billed %d, the naive ledger has %d", name, b.Billed, w.bills[name])
		}
		if n := w.admitted(name); n > w.paid[name] {
			t.Fatalf("budget %s: %d tokens admitted, %d paid", name, n, w.paid[name])
		}
		if n := w.admitted(name) + w.open(name) + w.held(name); n > w.paid[name] {
			t.Fatalf("budget %s: %d tokens admitted, reserved or free at nodes, %d paid", name, n, w.paid[name])
		}
	}
	if w.ledger.Stats.Overdrawn != 0 || w.ledger.Stats.ClosedCharges != 0 {
		t.Fatalf("a usage was not billed in full: %+v", w.ledger.Stats)
	}
}

func (w *world) catchUp() {
	_ = w.all.Feed(logsvc.Page{First: 1, Next: w.log.next(), Records: w.log.records[w.all.Offset():]}) // no gap from 1 on
}

// admitted sums the bills and the runs that are not billed: what ended at its
// use, what runs at its bound. A rerun of a billed request costs nobody.
func (w *world) admitted(budget string) ledger.Tokens {
	n := w.bills[budget]
	for _, r := range w.runs {
		if r.budget != budget || w.billed[r.request] {
			continue
		}
		if r.ended {
			n += sum(r.used)
		} else {
			n += sum(r.charges)
		}
	}
	return n
}

// open sums the reservations that are not at a side yet.
func (w *world) open(budget string) ledger.Tokens {
	var n ledger.Tokens
	for _, tk := range w.tickets {
		if tk.budget != budget || w.billed[tk.request] {
			continue
		}
		for _, c := range tk.charges {
			if !w.reclaimed[c.Holder] {
				n += c.Tokens
			}
		}
	}
	return n
}

// held sums the free tokens of all nodes that a side would still accept.
func (w *world) held(budget string) ledger.Tokens {
	var n ledger.Tokens
	for _, node := range w.nodes {
		for _, l := range node.Holder.Lots(budget) {
			if !w.reclaimed[l.Holder] {
				n += l.Tokens
			}
		}
	}
	return n
}

func sum(charges []ledger.Charge) ledger.Tokens {
	var n ledger.Tokens
	for _, c := range charges {
		n += c.Tokens
	}
	return n
}

// quiesce ends all runs, closes all holders with proof, and checks that every
// token is either billed or free again.
func (w *world) quiesce() {
	for _, r := range w.runs {
		if !r.ended {
			r.end(w, sum(r.charges))
		}
	}
	for _, s := range w.sides {
		for s.writer.Next() != nil {
			w.append(s.writer.Next())
			s.writer.Done()
		}
	}
	for _, n := range w.nodes {
		for life := 1; life <= n.lives; life++ {
			w.log.AppendItem(ledger.Reclaim{Holder: ident.Incarnation(fmt.Sprintf("%s~%d", n.Name, life))})
		}
	}
	w.check(w.t)
	for _, name := range worldBudgets {
		if b, _ := w.ledger.Budget(name); b.Free != w.paid[name]-w.bills[name] || b.Holders != 0 {
			w.t.Fatalf("budget %s at the end: %+v, the naive ledger has paid %d, billed %d", name, b, w.paid[name], w.bills[name])
		}
	}
}
