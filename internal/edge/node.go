package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"

	"github.com/beryllanding/beryllanding/internal/alloc"
	"github.com/beryllanding/beryllanding/internal/board"
	"github.com/beryllanding/beryllanding/internal/meter"
	"github.com/beryllanding/beryllanding/internal/peers"
	"github.com/beryllanding/beryllanding/internal/trial"
	"github.com/beryllanding/beryllanding/pkg/drain"
	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/lease"
	"github.com/beryllanding/beryllanding/pkg/room"
	"github.com/beryllanding/beryllanding/pkg/roster"
	"github.com/beryllanding/beryllanding/pkg/table"
)

const (
	// targetsPause is the interval at which changes of the target list are batched.
	// Each target writes about every second, and few records contain changes.
	targetsPause = 250 * time.Millisecond
	// targetsWait and tablesWait are the long-poll times of reads of the two topics.
	// A read on a dead connection ends after this time, so a change is seen at most
	// this much later. On a live connection, a read of the target topic ends sooner,
	// as the topic gets a record within 100 ms. The configuration changes rarely, but
	// must take effect within 2 s.
	targetsWait = 400 * time.Millisecond
	tablesWait  = 800 * time.Millisecond
	// idleTime is the time without a new request after which a draining instance
	// stops, once no new connections arrive. The instance is then no longer in use.
	idleTime = time.Second
	// endTime bounds how long the callers whose requests are ended at the end of the grace
	// period are told so.
	endTime = 100 * time.Millisecond
	// tokenReturnTime bounds the return of tokens.
	tokenReturnTime = 350 * time.Millisecond
	// stopPoll is the interval at which a draining instance checks whether requests are
	// in progress.
	stopPoll = 50 * time.Millisecond
	// closeTime bounds how long the end of the process waits for responses that are being
	// written. With endTime and the return of tokens it fits into drain.ReturnTime.
	closeTime = 200 * time.Millisecond
	// headerTimeout bounds reading the header of readiness and metrics requests.
	headerTimeout = 2 * time.Second
)

// Options configures a Node.
type Options struct {
	// Instance is the name of this instance. DataCentre is the data centre in which it
	// runs.
	Instance   string
	DataCentre string
	// Machine is the machine's address. It distinguishes the machines on which an
	// instance of this name has run.
	Machine string
	// Listen, ReadyListen, MetricsListen and PeerListen are the listening addresses
	// for callers, readiness probes, metrics and token requests of other instances.
	// The last two are optional.
	Listen        string
	ReadyListen   string
	MetricsListen string
	PeerListen    string
	// ReadyPath and MetricsPath are the URL paths of readiness and metrics.
	ReadyPath   string
	MetricsPath string
	// Grace is the time allowed between the stop signal and the end of the process.
	Grace   time.Duration
	Retries Retries
	// ConfigBound is the time within which a new configuration is in force; 0 if it is not
	// known.
	ConfigBound time.Duration
	// LinkRate is the rate of the machine's link in bytes a second; 0 if it is not known.
	LinkRate float64
	// EventDelay is the longest time for which an event of a stream may be under way in an
	// instance; 0 means that it is forwarded at once.
	EventDelay time.Duration
	// ServeAll switches off what an overloaded instance does otherwise: it refuses a part of
	// its requests, forwards events in groups and leaves the rotation.
	ServeAll bool
	// Off are mechanisms that are switched off for an experiment.
	Off trial.Off
	// Cold bounds the requests at cold targets. The zero value is no bound.
	Cold    ColdBound
	Dialect Dialect
	Store   keyed.Store
	Decoder Decoder
	// Tables and Targets are the topics to follow.
	Tables  keyed.Partition
	Targets keyed.Partition
	// Budgets is the topic of the budgets' accounts. Pledges is the topic of the
	// instances' pledges, which has PledgePartitions partitions.
	Budgets          string
	Pledges          string
	PledgePartitions int
	// Board is where instances share what they see of targets and prompts.
	Board keyed.Partition
	// Reconnect drops the connections to the store. It is called after a suspension of
	// the machine.
	Reconnect func()
	Logger    *log.Logger
	// LogDropped returns the number of log lines dropped so far. It may be nil.
	LogDropped func() int64
}

// Node is an entry instance that calls its targets directly.
type Node struct {
	opts   Options
	engine *Engine
	server *Server
	peers  *peers.Conns

	tables  *keyed.Follower
	targets *keyed.Follower
	board   *board.Board

	// storedVersion is the version of the configuration that the store had at the last
	// read; 0 if it had none. Only applyTables uses it.
	storedVersion int64

	// evacuations are the data centres that operators have evacuated. Only applyTables uses
	// them.
	evacuations table.Evacuations

	listMu     sync.Mutex
	list       roster.Roster
	graceTimer *time.Timer
	// listEnd and listEpoch are the end and the epoch of the target list as it was last read.
	listEnd   keyed.Offset
	listEpoch keyed.LogEpoch

	loadedOnce sync.Once
	stopping   atomic.Bool
	wasReady   atomic.Bool
}

// New returns a node. It is inactive until Run is called.
func New(opts Options) *Node {
	n := &Node{opts: opts, peers: newPeers()}
	budgets := alloc.New(alloc.Options{
		Store: opts.Store, Topic: opts.Budgets,
		Pledges: opts.Pledges, PledgePartitions: opts.PledgePartitions, Instance: opts.Instance, Machine: opts.Machine, Boot: bootID(),
		PeerAddr: opts.PeerListen, Dial: n.peers.Client,
		Policy: budgetPolicy(opts.Off), Clock: bootClock, Logger: opts.Logger.WithPrefix("budgets"),
	})
	n.engine = &Engine{
		Dialect: opts.Dialect, Budgets: budgets, Logger: opts.Logger.WithPrefix("requests"), Meter: &meter.Meter{},
		fleet: newFleet(opts.DataCentre, opts.Retries, opts.Off), loaded: make(chan struct{}), started: time.Now(),
	}
	if !opts.Off[trial.ColdPace] {
		n.engine.fleet.cold.bound = opts.Cold
	}
	n.engine.room.linkRate, n.engine.room.hold, n.engine.room.logger = opts.LinkRate, opts.EventDelay/holdDivisor, n.logger("node")
	n.engine.room.off, n.engine.quarantine.off = opts.Off, opts.Off[trial.Quarantine]
	n.engine.room.self, n.engine.room.dataCentre = opts.Instance, opts.DataCentre
	n.engine.room.share = func(out bool) {
		n.board.Write(room.Key(opts.Instance), room.Value(opts.DataCentre, out), 0)
	}
	n.engine.fleet.wrap = n.engine.room.counted
	n.engine.staleAfter = min(staleAfter, time.Duration(staleShare*float64(opts.ConfigBound)))
	n.engine.origins.dial, n.engine.origins.refresh = n.peers.Client, n.refreshVersions
	n.setUpBoard()
	n.server = &Server{Engine: n.engine, Logger: opts.Logger.WithPrefix("callers")}
	n.tables = &keyed.Follower{
		Store: opts.Store, Partition: opts.Tables, Wait: tablesWait, OnChange: n.applyTables,
		OnReachability: n.logStoreState(opts.Tables.Topic, nil),
	}
	n.targets = &keyed.Follower{
		Store: opts.Store, Partition: opts.Targets, Wait: targetsWait, ReadInterval: targetsPause, OnChange: n.applyTargets,
		OnReachability: n.logStoreState(opts.Targets.Topic, n.setListLost),
	}
	return n
}

// Ready reports whether the node can serve. An unreachable store does not make the node
// unready, since the node keeps using what it has read.
func (n *Node) Ready() bool {
	if n.stopping.Load() || n.engine.view.Load() == nil {
		return false
	}
	return n.isListComplete() && n.engine.Budgets.Loaded() && !n.engine.room.isOut()
}

// isListComplete reports whether the target list was read completely at least once.
func (n *Node) isListComplete() bool {
	n.listMu.Lock()
	defer n.listMu.Unlock()
	return n.list.Complete()
}

// noteLoaded lets waiting requests go on once the configuration and the targets were read.
func (n *Node) noteLoaded() {
	if n.isListComplete() && n.engine.view.Load() != nil {
		n.loadedOnce.Do(func() { close(n.engine.loaded) })
	}
}

// Run serves until the context is cancelled, then stops within Options.Grace.
func (n *Node) Run(ctx context.Context) error {
	m, err := meter.New(n.state)
	if err != nil {
		return err
	}
	n.engine.Meter, n.engine.quarantine.meter, n.engine.origins.meter = m, m, m
	l, err := net.Listen("tcp", n.opts.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	closeStatus, err := n.serveStatus()
	if err != nil {
		return errors.Join(err, l.Close())
	}
	stopPeers, err := n.servePeers()
	if err != nil {
		closeStatus()
		return errors.Join(err, l.Close())
	}
	n.logger("node").Info("started", "instance", n.opts.Instance, "data-centre", n.opts.DataCentre, "listen", n.opts.Listen)
	// The background work continues during the shutdown, since requests in progress
	// need it.
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){n.tables.Run, n.targets.Run, n.engine.Budgets.Run, n.runBoard, n.watchClock, n.watchRoom} {
		wg.Go(func() { run(work) })
	}
	served := make(chan error, 1)
	go func() { served <- n.server.Serve(l) }()
	<-ctx.Done()
	n.stop(l)
	stopWork()
	wg.Wait()
	stopPeers()
	closeStatus()
	err = <-served
	if open := n.server.Close(closeTime); open > 0 {
		n.logger("node").Warn("the process ends with requests in progress", "connections", open, "request-ids", n.server.inProgress())
	}
	return err
}

// stop waits for the requests in progress, up to the end of the plan, ends those that are left,
// and returns the tokens. While it returns them, unused connections may still bring requests,
// which are refused: nothing would wait for their responses.
func (n *Node) stop(l net.Listener) {
	plan := drain.Plan{Began: time.Now(), Grace: n.opts.Grace}
	began := plan.Began
	n.engine.stop.Store(&plan)
	n.stopping.Store(true)
	n.server.Stop()
	n.logger("node").Info("stopping", "grace", n.opts.Grace, "busy", n.server.Busy())
	for time.Now().Before(plan.End()) {
		if plan.Late(time.Now()) {
			n.server.CloseIdle()
			if n.server.Busy() == 0 && n.engine.idleFor() > idleTime {
				break
			}
		}
		time.Sleep(stopPoll)
	}
	// From now on requests are refused. Those that were admitted before count as busy.
	n.engine.closed.Store(true)
	n.server.awaitIdle(plan.End())
	if busy := n.server.Busy(); busy > 0 {
		n.logger("node").Warn("requests are ended before they are complete: the grace period is over", "busy", busy, "request-ids", n.server.inProgress())
		n.server.End(ErrStopping)
		n.server.awaitIdle(time.Now().Add(endTime))
	}
	_ = l.Close() // No further connections are accepted.
	n.logger("node").Info("drained", "took", time.Since(began), "busy", n.server.Busy(), "connections", n.server.open())
	n.engine.fleet.depart()
	n.board.Write(room.Key(n.opts.Instance), nil, 0)
	ctx, cancel := context.WithTimeout(context.Background(), tokenReturnTime)
	defer cancel()
	defer n.board.Flush(ctx)
	if err := n.engine.Budgets.Stop(ctx); err != nil {
		n.logger("budgets").Warn("tokens could not be returned and stay granted to this instance", "err", err)
	}
	n.logger("node").Info("stopped", "took", time.Since(began), "busy", n.server.Busy())
}

// watchRoom measures the instance's own load until the context ends.
func (n *Node) watchRoom(ctx context.Context) {
	n.engine.room.share(false)
	if !n.opts.ServeAll {
		n.engine.room.run(ctx, func() bool { return n.engine.idleFor() < time.Second })
	}
}

// serveStatus serves readiness and metrics until the returned function is called.
func (n *Node) serveStatus() (func(), error) {
	ready := mux.NewRouter()
	ready.HandleFunc(n.opts.ReadyPath, n.serveReady)
	metrics := mux.NewRouter()
	metrics.Handle(n.opts.MetricsPath, n.engine.Meter)
	var servers []*http.Server
	closeAll := func() {
		for _, s := range servers {
			_ = s.Close() // The process is about to exit.
		}
	}
	for _, s := range []struct {
		addr    string
		handler http.Handler
	}{{n.opts.ReadyListen, ready}, {n.opts.MetricsListen, metrics}} {
		if s.addr == "" {
			continue
		}
		l, err := net.Listen("tcp", s.addr)
		if err != nil {
			closeAll()
			return nil, fmt.Errorf("listen for readiness and metrics: %w", err)
		}
		server := &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout}
		servers = append(servers, server)
		go func() { _ = server.Serve(l) }() // Close ends it.
	}
	return closeAll, nil
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready := n.Ready()
	if n.wasReady.Swap(ready) != ready {
		n.logger("node").Info("readiness changed", "ready", ready, "stopping", n.stopping.Load(), "targets", n.engine.fleet.targetCount())
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// state returns the current values of the gauges.
func (n *Node) state() meter.State {
	leaving, resting, limited := n.engine.fleet.withdrawn()
	cold, evacuated := n.engine.fleet.unavailable()
	suspected, quarantined := n.engine.quarantine.counts()
	s := meter.State{
		Suspected: suspected, Quarantined: quarantined,
		Targets: n.engine.fleet.targetCounts(), Leaving: leaving, Resting: resting, Limited: limited,
		Cold: cold, Evacuated: evacuated,
		TableAge: n.engine.age(), LogEpoch: int64(n.engine.Budgets.LogEpoch()), Open: n.server.Busy(),
	}
	if t := n.engine.view.Load(); t != nil {
		s.TableVersion = t.Version
	}
	if n.opts.LogDropped != nil {
		s.LogDropped = n.opts.LogDropped()
	}
	s.RunDelay, s.LinkUse, s.Refused = n.engine.room.state()
	for _, h := range n.engine.Budgets.Holdings() {
		s.Budgets = append(s.Budgets, meter.Budget{Name: h.Budget, Free: int64(h.Free), Reserved: int64(h.Reserved)})
	}
	return s
}

// budgetPolicy returns the policy of budgets without what is switched off.
func budgetPolicy(off trial.Off) lease.Policy {
	p := alloc.Policy
	p.NoTransfer = off[trial.Transfers]
	if off[trial.Pledges] {
		p.PledgeEvery = 0
	}
	if off[trial.Pacing] {
		p.PaceTime = 0
	}
	if off[trial.UrgentTokens] {
		p.UrgentTime = 0
	}
	return p
}
