package trial

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
	"github.com/beryllanding/beryllanding/pkg/slice"
)

const (
	// appendTime is the time from a proposal to its verdict: grouping, append
	// and read.
	appendTime = 40 * time.Millisecond
	// hopTime is the one-way latency between two nodes.
	hopTime = 1500 * time.Microsecond
	// tickTime is the pause between two plans of a node.
	tickTime = time.Second
	// patience is how long a node waits for a verdict before it turns to the
	// peers.
	patience = 100 * time.Millisecond
	// givePatience is how long a peer is kept waiting by one that goes first,
	// and givePause the pause between two looks.
	givePatience = 50 * time.Millisecond
	givePause    = 2 * time.Millisecond
	// waitTime bounds how long a request waits for tokens.
	waitTime = 400 * time.Millisecond
	// transferBytes is the size of a transfer's question and answer.
	transferBytes = 220
	// readLimit is the number of records read at once.
	readLimit = 512
)

// event is something that happens at a time. Ties go in the order of insertion.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Result is what one policy did in one scenario.
type Result struct {
	Scenario, Policy string
	Requests         int
	Refused          int
	// False counts refusals although the naive ledger's balance covered the
	// bound of the request.
	False int
	// Explained counts those of them where the tokens within reach did not
	// cover it: at the node, at peers that it reaches, and ungranted where it
	// reaches the log.
	Explained int
	// Overspend is the largest excess of admitted over paid tokens.
	Overspend ledger.Tokens
	Appends   int
	// Bytes counts what the nodes read, appended and transferred.
	Bytes     int
	Transfers int
	Length    time.Duration
	Nodes     int
}

// sim is one run of a policy through a scenario.
type sim struct {
	Result
	sc     Scenario
	policy Policy
	rng    *rand.Rand
	queue  events
	seq    int
	now    time.Duration
	log    *Log
	nodes  []*simNode
	// side stands for all side processes: one writer and one set of fences.
	side    Writer
	pending []*work
	fenced  map[ident.Incarnation]bool
	running map[*work]bool
	closing []ident.Incarnation
	// all folds the log without delay.
	all    *fold.Reader
	ledger *ledger.State
	// The naive ledger: paid, and spent with running work at its bound.
	paid, spent map[string]ledger.Tokens
	// moving counts the tokens on their way between two nodes.
	moving map[string]ledger.Tokens
	ids    int
}

// simNode is a node with what the service around the decisions does.
type simNode struct {
	*Node
	index int
	dead  bool
	// gathers holds the efforts under way, by budget.
	gathers  map[string]*simGather
	flushing bool
	// asked holds the fixed shares that were asked for.
	asked map[string]ledger.Tokens
	// freed holds what the last settlement of each budget put back.
	freed map[string]freed
}

// freed is a number of tokens that a settlement put back.
type freed struct {
	at     time.Duration
	tokens ledger.Tokens
}

// simGather is an effort to get tokens and the requests that wait for it.
type simGather struct {
	open           int
	waiting, later []*work
	deadline       time.Duration
	// moved is set when tokens or verdicts came in during the effort.
	moved bool
}

// work is a request.
type work struct {
	id, budget  string
	node        *simNode
	life        ident.Incarnation
	bound, used ledger.Tokens
	takes       time.Duration
	charges     []ledger.Charge
	done        bool
	// until is when the request is refused at the latest.
	until time.Duration
}

// Run drives a policy through a scenario. Equal seeds give equal results.
func Run(sc Scenario, p Policy, seed uint64) Result {
	s := &sim{
		Result:  Result{Scenario: sc.Name, Policy: p.Name, Length: sc.Length, Nodes: sc.Nodes},
		sc:      sc,
		policy:  p,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		log:     &Log{},
		side:    Writer{Name: "side"},
		fenced:  map[ident.Incarnation]bool{},
		running: map[*work]bool{},
		paid:    map[string]ledger.Tokens{},
		spent:   map[string]ledger.Tokens{},
		moving:  map[string]ledger.Tokens{},
		ledger:  &ledger.State{},
	}
	s.all = &fold.Reader{Machine: s.ledger}
	s.prepare()
	for len(s.queue) > 0 && s.queue[0].at < sc.Length {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.Appends = s.log.Appends
	s.Bytes += s.log.Bytes * (sc.Nodes + 1)
	return s.Result
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now + d, seq: s.seq, do: do})
}

func (s *sim) clock() time.Time { return time.Unix(0, 0).Add(s.now) }

// prepare sets up nodes, loads and failures.
func (s *sim) prepare() {
	for _, l := range s.sc.Loads {
		s.topUp(l.Budget, l.Paid)
		s.after(0, func() { s.arrivals(l) })
	}
	for i := range s.sc.Nodes {
		n := &simNode{Node: NewNode(string(rune('p'+i)), s.log, s.policy.Slice), index: i}
		n.reset()
		s.nodes = append(s.nodes, n)
		s.read(n) // an instance serves once it has caught up
		s.after(time.Duration(i)*tickTime/time.Duration(s.sc.Nodes), func() { s.tick(n) })
	}
	s.after(tickTime, s.sideTick)
	if s.sc.TopUpAt > 0 {
		s.after(s.sc.TopUpAt, func() {
			for _, l := range s.sc.Loads {
				s.topUp(l.Budget, s.sc.TopUp/ledger.Tokens(len(s.sc.Loads)))
			}
		})
	}
	s.prepareFailures()
}

func (s *sim) prepareFailures() {
	if kill := s.sc.Kill; kill.To > 0 {
		n := s.nodes[1]
		s.after(kill.From, func() { n.dead = true })
		s.after(kill.From+detectAfter, func() { s.close(n.Holder.Own()) })
		s.after(kill.To, func() { n.Start(s.policy.Slice); n.reset(); n.dead = false; s.tick(n) })
	}
	if freeze := s.sc.Freeze; freeze.To > 0 {
		n := s.nodes[2]
		s.after(freeze.From, func() { n.dead = true })
		s.after(freeze.From+detectAfter, func() { s.close(n.Holder.Own()) })
		s.after(freeze.To, func() { n.dead = false; s.tick(n) })
	}
}

func (n *simNode) reset() {
	n.gathers = map[string]*simGather{}
	n.asked = map[string]ledger.Tokens{}
	n.freed = map[string]freed{}
	n.flushing = false
}

func (s *sim) topUp(budget string, n ledger.Tokens) {
	s.paid[budget] += n
	s.log.AppendItem(ledger.TopUp{ID: s.id(), Budget: budget, Tokens: n})
}

func (s *sim) id() string {
	s.ids++
	return fmt.Sprintf("r%d", s.ids)
}

// arrivals lets requests come as a Poisson process.
func (s *sim) arrivals(l Load) {
	s.after(time.Duration(s.rng.ExpFloat64()/l.Rate*float64(time.Second)), func() {
		s.arrive(l)
		s.arrivals(l)
	})
}

// arrive makes one request of 200 to 4000 tokens, whose bound is 3 to 8 times
// that.
func (s *sim) arrive(l Load) {
	used := ledger.Tokens(200 * math.Pow(20, s.rng.Float64()))
	w := &work{
		id:     s.id(),
		budget: l.Budget,
		used:   used,
		bound:  ledger.Tokens(float64(used) * (3 + 5*s.rng.Float64())),
		takes:  time.Duration((0.5 + 4.5*s.rng.Float64()) * float64(time.Second)),
	}
	i := s.rng.IntN(len(s.nodes))
	if s.rng.Float64() < l.Favour {
		i = 0
	}
	for s.nodes[i].dead {
		i = (i + 1) % len(s.nodes) // the balancer passes it by
	}
	w.node = s.nodes[i]
	s.Requests++
	s.admit(w)
}

// logReaches reports whether a node reaches the log service.
func (s *sim) logReaches(n *simNode) bool {
	return !s.sc.LogDown.Has(s.now) && !(s.sc.Cut.Has(s.now) && n.index >= s.sc.Side)
}

// peersReach reports whether two nodes reach each other.
func (s *sim) peersReach(a, b *simNode) bool {
	cut := s.sc.Cut.Has(s.now) && (a.index >= s.sc.Side) != (b.index >= s.sc.Side)
	return a != b && !a.dead && !b.dead && !cut
}

// catchUp folds what was appended into the ledger without delay.
func (s *sim) catchUp() {
	_ = s.all.Feed(logsvc.Page{First: 1, Next: s.log.next(), Records: s.log.records[s.all.Offset():]}) // no gap from 1 on
}

// tick reads, plans and appends at one node.
func (s *sim) tick(n *simNode) {
	if n.dead {
		return // the node that takes its place, or resumes, starts its own
	}
	s.read(n)
	for _, l := range s.sc.Loads {
		n.Sync(l.Budget, s.logReaches(n))
		s.planFixed(n, l.Budget)
	}
	if !s.policy.fixed {
		n.Carry(n.Holder.Plan(s.clock()))
	}
	s.flush(n)
	s.after(tickTime, func() { s.tick(n) })
}

// planFixed asks for an equal share of what was paid, under the fixed policy.
func (s *sim) planFixed(n *simNode, budget string) {
	if !s.policy.fixed || !s.logReaches(n) {
		return
	}
	b, _ := n.State.Budget(budget)
	share := b.Paid / ledger.Tokens(len(s.nodes))
	if missing := share - n.asked[budget]; missing > 0 {
		n.asked[budget] += missing
		n.Carry([]slice.Effect{slice.ProposeGrant{Budget: budget, Holder: n.Holder.Own(), Tokens: missing}})
	}
}

func (s *sim) read(n *simNode) {
	if !s.logReaches(n) {
		return
	}
	for n.Follower.Offset()+1 < s.log.next() {
		_ = n.Poll(readLimit, s.clock()) // nothing expires here
	}
}

// flush appends a node's proposals and lets it read the verdicts.
func (s *sim) flush(n *simNode) {
	if n.flushing || n.Writer.Next() == nil || !s.logReaches(n) {
		return
	}
	n.flushing = true
	life := n.Writer.Name
	s.after(appendTime, func() {
		if n.Writer.Name != life || n.dead {
			return
		}
		n.flushing = false
		if !s.logReaches(n) {
			return
		}
		s.log.Append(n.Writer.Next())
		n.Writer.Done()
		s.read(n)
		s.wakeAll(n)
		s.flush(n)
	})
}
