package simul

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/lease"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

const (
	// verdictLatency is the time from a proposal to its verdict. It covers
	// batching, append and read.
	verdictLatency = 40 * time.Millisecond
	// hopLatency is the one-way latency between two nodes.
	hopLatency = 1500 * time.Microsecond
	// tickInterval is the time between two plans of a node.
	tickInterval = time.Second
	// verdictTimeout is how long a refill waits for the verdicts of the log and
	// the responses of peers.
	verdictTimeout = 100 * time.Millisecond
	// serveTimeout is how long a transfer waits while the peer collects tokens for
	// its own requests. serveRetryInterval is the time between two attempts.
	serveTimeout       = 50 * time.Millisecond
	serveRetryInterval = 2 * time.Millisecond
	// maxWait bounds how long a request waits for tokens.
	maxWait = 400 * time.Millisecond
	// transferBytes is the size of a transfer: request and answer together.
	transferBytes = 220
	// readLimit is the maximum number of records per read.
	readLimit = 512
)

// event is a function to call at a simulated time. Events at the same time run in
// the order of insertion.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

// events is a heap of events by time.
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

// Result is the outcome of one policy in one scenario.
type Result struct {
	Scenario, Policy string
	Requests         int
	Refused          int
	// FalseRefusals counts the refusals of requests whose bound the balance of the
	// reference ledger covered.
	FalseRefusals int
	// Explained counts the false refusals that the node could not have avoided:
	// the tokens it could obtain did not cover the bound. See sim.reachable.
	Explained int
	// Overspend is the largest excess of admitted over paid tokens in any budget.
	Overspend ledger.Tokens
	Appends   int
	// Bytes counts the bytes that the nodes read, appended and transferred.
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
	// side is the writer of all side processes. They share one set of fences.
	side    Writer
	pending []*request
	fenced  map[ident.Incarnation]bool
	running map[*request]bool
	closing []ident.Incarnation
	// all reads the whole log without delay into ledger.
	all    *fold.Reader
	ledger *ledger.State
	// paid and spent are the reference ledger, by budget. spent counts running
	// requests at their bound.
	paid, spent map[string]ledger.Tokens
	// moving counts the tokens in transit between two nodes, by budget.
	moving map[string]ledger.Tokens
	// ids is the number of ids handed out.
	ids int
}

// simNode is a node with the simulated parts of the service around it.
type simNode struct {
	*Node
	index int
	// dead is set while the node is killed or frozen.
	dead bool
	// gathers holds the refills in progress, by budget.
	gathers map[string]*simGather
	// flushing is set while an append is in progress.
	flushing bool
	// asked holds the tokens already requested under the fixed policy, by budget.
	asked map[string]ledger.Tokens
	// freed holds the tokens returned by the last settlement of each budget.
	freed map[string]freed
}

// freed is a number of tokens returned by a settlement.
type freed struct {
	at     time.Duration
	tokens ledger.Tokens
}

// simGather is a refill: an attempt to obtain tokens of one budget, with the
// requests that wait for it.
type simGather struct {
	// open counts the steps that have not ended.
	open int
	// waiting holds the requests that this refill serves. later holds those that
	// arrived during it, which the next refill serves.
	waiting, later []*request
	deadline       time.Duration
	// moved is set if tokens or verdicts came in during the refill.
	moved bool
}

// request is a request of an organisation at one node.
type request struct {
	id, budget string
	node       *simNode
	// life is the first incarnation of the node since its last start.
	life ident.Incarnation
	// bound is the number of tokens reserved, and used the number billed.
	bound, used ledger.Tokens
	// takes is the running time of the request.
	takes   time.Duration
	charges []ledger.Charge
	// done is set once the request has started or was refused.
	done bool
	// until is when the request is refused at the latest.
	until time.Duration
}

// Run simulates a scenario under a policy. Equal seeds give equal results.
func Run(sc Scenario, p Policy, seed uint64) Result {
	s := &sim{
		Result:  Result{Scenario: sc.Name, Policy: p.Name, Length: sc.Length, Nodes: sc.Nodes},
		sc:      sc,
		policy:  p,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		log:     &Log{},
		side:    Writer{Name: "side"},
		fenced:  map[ident.Incarnation]bool{},
		running: map[*request]bool{},
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

// prepare schedules the nodes, the loads and the failures.
func (s *sim) prepare() {
	for _, l := range s.sc.Loads {
		s.topUp(l.Budget, l.Paid)
		s.after(0, func() { s.arrivals(l) })
	}
	for i := range s.sc.Nodes {
		n := &simNode{Node: NewNode(string(rune('p'+i)), s.log, s.policy.Lease), index: i}
		n.reset()
		s.nodes = append(s.nodes, n)
		s.read(n) // an instance serves only once it has caught up with the log
		s.after(time.Duration(i)*tickInterval/time.Duration(s.sc.Nodes), func() { s.tick(n) })
	}
	s.after(tickInterval, s.sideTick)
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
		s.after(kill.From+detectAfter, func() { s.close(n.Holder.ID()) })
		s.after(kill.To, func() { n.Restart(s.policy.Lease); n.reset(); n.dead = false; s.tick(n) })
	}
	if freeze := s.sc.Freeze; freeze.To > 0 {
		n := s.nodes[2]
		s.after(freeze.From, func() { n.dead = true })
		s.after(freeze.From+detectAfter, func() { s.close(n.Holder.ID()) })
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

// arrivals schedules the requests of a load as a Poisson process.
func (s *sim) arrivals(l Load) {
	s.after(time.Duration(s.rng.ExpFloat64()/l.Rate*float64(time.Second)), func() {
		s.arrive(l)
		s.arrivals(l)
	})
}

// arrive sends one request. It uses 200 to 4000 tokens, log-uniformly distributed,
// and its bound is 3 to 8 times that.
func (s *sim) arrive(l Load) {
	used := ledger.Tokens(200 * math.Pow(20, s.rng.Float64()))
	w := &request{
		id:     s.id(),
		budget: l.Budget,
		used:   used,
		bound:  ledger.Tokens(float64(used) * (3 + 5*s.rng.Float64())),
		takes:  time.Duration((0.5 + 4.5*s.rng.Float64()) * float64(time.Second)),
	}
	i := s.rng.IntN(len(s.nodes))
	if s.rng.Float64() < l.Node0Share {
		i = 0
	}
	for s.nodes[i].dead {
		i = (i + 1) % len(s.nodes) // the load balancer skips dead nodes
	}
	w.node = s.nodes[i]
	s.Requests++
	s.admit(w)
}

// logReaches reports whether a node reaches the log service.
func (s *sim) logReaches(n *simNode) bool {
	return !s.sc.LogDown.Contains(s.now) && !(s.sc.Partition.Contains(s.now) && n.index >= s.sc.PartitionFrom)
}

// peersReach reports whether two nodes reach each other.
func (s *sim) peersReach(a, b *simNode) bool {
	partitioned := s.sc.Partition.Contains(s.now) && (a.index >= s.sc.PartitionFrom) != (b.index >= s.sc.PartitionFrom)
	return a != b && !a.dead && !b.dead && !partitioned
}

// catchUp applies all records of the log to the ledger.
func (s *sim) catchUp() {
	_ = s.all.Feed(logsvc.Page{First: 1, Next: s.log.next(), Records: s.log.records[s.all.Offset():]}) // cannot fail: there is no gap
}

// tick reads the log, plans and appends proposals at one node, and schedules the
// next tick.
func (s *sim) tick(n *simNode) {
	if n.dead {
		return // prepareFailures starts the ticks again when the node returns
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
	s.after(tickInterval, func() { s.tick(n) })
}

// planFixed proposes a grant of an equal share of the paid tokens, under the fixed
// policy.
func (s *sim) planFixed(n *simNode, budget string) {
	if !s.policy.fixed || !s.logReaches(n) {
		return
	}
	b, _ := n.State.Budget(budget)
	share := b.Paid / ledger.Tokens(len(s.nodes))
	if missing := share - n.asked[budget]; missing > 0 {
		n.asked[budget] += missing
		n.Carry([]lease.Effect{lease.ProposeGrant{Budget: budget, Holder: n.Holder.ID(), Tokens: missing}})
	}
}

func (s *sim) read(n *simNode) {
	if !s.logReaches(n) {
		return
	}
	for n.Follower.Offset()+1 < s.log.next() {
		_ = n.Poll(readLimit, s.clock()) // cannot fail: no record expires here
	}
}

// flush appends a node's proposals to the log, after verdictLatency, and has the
// node read the verdicts.
func (s *sim) flush(n *simNode) {
	if n.flushing || n.Writer.Next() == nil || !s.logReaches(n) {
		return
	}
	n.flushing = true
	life := n.Writer.Name
	s.after(verdictLatency, func() {
		if n.Writer.Name != life || n.dead {
			return
		}
		n.flushing = false
		if !s.logReaches(n) {
			return
		}
		s.log.Append(n.Writer.Next())
		n.Writer.Confirm()
		s.read(n)
		s.wakeAll(n)
		s.flush(n)
	})
}
