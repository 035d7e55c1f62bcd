// Package boot assembles the programs from their parts. It defines what each
// instance runs, in which order the parts start, and how they stop.
package boot

import (
	"context"
	"crypto/tls"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel"
	"go.uber.org/fx"
	"google.golang.org/grpc"

	"github.com/beryllanding/beryllanding/internal/budget"
	"github.com/beryllanding/beryllanding/internal/config"
	"github.com/beryllanding/beryllanding/internal/entry"
	"github.com/beryllanding/beryllanding/internal/front"
	"github.com/beryllanding/beryllanding/internal/logs"
	"github.com/beryllanding/beryllanding/internal/peers"
	"github.com/beryllanding/beryllanding/internal/reaper"
	"github.com/beryllanding/beryllanding/internal/trace"
	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/catal"
	"github.com/beryllanding/beryllanding/pkg/fleet"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/insts"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

const (
	// StopTimeout bounds a planned stop. The longest request has to end within it.
	StopTimeout = 15 * time.Minute
	// returnTimeout bounds the return of the leases during a planned stop. Leases
	// that are not returned by then are reclaimed once the instance is missing from
	// the instance list.
	returnTimeout = 20 * time.Second
	// reapEvery is the interval of the check for holders that are gone.
	reapEvery = time.Second
)

// Router is an entry instance. NewRouter builds its parts, and Start starts them.
type Router struct {
	Settings config.Router

	logger  *log.Logger
	tracing *trace.Tracing

	catalogue  *catalogue
	fleet      *fold.Follower
	fleetState *fleet.State
	members    *members
	budget     *budget.Service
	conns      *entry.Conns
	engine     *entry.Engine
	front      *front.Server
	peers      peers.Conns
	planner    reaper.Planner
	deferred   deferrals
	fleetLog   *fold.Writer
	// catalogueLog writes only checkpoints.
	catalogueLog *fold.Writer

	// base is the context of the loops. Stop ends it after the requests have ended.
	base    context.Context
	end     context.CancelFunc
	loops   sync.WaitGroup
	callers *http.Server
	// callersAddr is the address of the listener for callers.
	callersAddr net.Addr
	grpc        *grpc.Server
	debug       *debugServer
}

// RouterModule is the fx module of an entry instance, with its logs and traces.
func RouterModule(settings config.Router) fx.Option {
	return fx.Options(
		fx.Invoke(func() { runtime.GOMAXPROCS(settings.Limits.Threads) }),
		RouterCore(settings),
		fx.Provide(newLogs(settings.Log), newTracing("beryl-router", settings.Instance, settings.Trace)),
	)
}

// RouterCore is the fx module of an entry instance without logs and traces. The
// caller provides a *logs.Set and a *trace.Tracing.
func RouterCore(settings config.Router) fx.Option {
	return fx.Module("router",
		fx.Supply(settings),
		fx.Provide(NewRouter),
		fx.Invoke(func(lc fx.Lifecycle, r *Router) {
			lc.Append(fx.Hook{OnStart: r.Start, OnStop: r.Stop})
		}),
	)
}

// newLogs returns a function that creates the loggers, which write to standard
// error.
func newLogs(settings config.Log) func() (*logs.Set, error) {
	return func() (*logs.Set, error) { return logs.New(os.Stderr, settings) }
}

// newTracing returns a function that creates the tracing and registers it as the
// OpenTelemetry default of the process.
func newTracing(program string, instance config.Instance, settings config.Trace) func(fx.Lifecycle) (*trace.Tracing, error) {
	return func(lc fx.Lifecycle) (*trace.Tracing, error) {
		t, err := trace.New(program, instance, settings)
		if err == nil {
			otel.SetTracerProvider(t.Provider())
			otel.SetTextMapPropagator(t.Propagator())
			lc.Append(fx.Hook{OnStop: t.Shutdown})
		}
		return t, err
	}
}

// NewRouter builds an entry instance.
func NewRouter(settings config.Router, set *logs.Set, tracing *trace.Tracing) (*Router, error) {
	dial, err := dialOptions(settings.PeerTLS, tracing)
	if err != nil {
		return nil, err
	}
	log := &logsvc.Client{Addr: settings.Platform.LogService}
	holder := ident.NewIncarnation(settings.Instance.Name)
	r := &Router{Settings: settings, logger: set.Layer("entry"), tracing: tracing}
	r.base, r.end = context.WithCancel(context.Background())
	r.joinFleet(holder, dial)
	r.followStreams(log, holder)
	r.budget = budget.New(r.budgetOptions(log, holder))
	r.engine = r.newEngine()
	r.front = &front.Server{
		Engine: r.engine, Catalogue: r.catalogue, Limits: frontLimits(settings.Limits),
		Logger: set.Layer("front"), Tracer: tracing.Tracer("front"), Ready: r.ready,
	}
	return r, nil
}

// joinFleet sets up the view of the instance list, the connections to the listed
// instances, and the planner that closes the leases of instances that are gone.
func (r *Router) joinFleet(holder ident.Incarnation, dial []grpc.DialOption) {
	self := r.Settings.Instance
	r.members = newMembers(r.Settings.Platform, insts.Instance{
		Name: self.Name, Role: insts.Router, DataCentre: self.DataCentre,
		Region: self.Region, Incarnation: holder, State: insts.Live,
	})
	r.peers.Options = dial
	r.conns = &entry.Conns{Options: dial}
	r.members.onChange = func() {
		r.conns.Retain(r.members.addresses(insts.Side))
		r.peers.Retain(r.members.addresses(insts.Router))
	}
	fleetSettings := r.Settings.Fleet
	r.planner = reaper.Planner{Self: holder, Absence: fleetSettings.CloseAfter, Stagger: fleetSettings.Stagger}
}

// followStreams sets up the followers and the writers of the catalogue stream and
// the fleet stream.
func (r *Router) followStreams(log logsvc.Service, holder ident.Incarnation) {
	r.catalogue = newCatalogue(log)
	r.catalogueLog = &fold.Writer{
		Log: log, Stream: ledger.CatalogueStream, Name: string(holder) + "/catalogue",
		Folded: r.catalogue.follower.Folded,
	}
	r.fleetState = new(fleet.State)
	r.fleet = &fold.Follower{Log: log, Stream: ledger.FleetStream, Reader: fold.Reader{Machine: r.fleetState}}
	r.fleetLog = &fold.Writer{
		Log: log, Stream: ledger.FleetStream, Name: string(holder) + "/fleet", Folded: r.fleet.Folded,
	}
}

// budgetOptions returns the options of the budget service.
func (r *Router) budgetOptions(log logsvc.Service, holder ident.Incarnation) budget.Options {
	b := r.Settings.Budget
	return budget.Options{
		Log: log, Instance: r.Settings.Instance.Name, Holder: holder, Shards: b.Shards,
		Policy: policy(b), MaxWait: b.Wait, Peers: r.otherRouters,
		CheckpointInterval: r.Settings.Platform.CheckpointEvery, OnCheckpointError: r.checkpointFailed,
	}
}

// newCatalogue returns a catalogue that follows its stream.
func newCatalogue(log logsvc.Service) *catalogue {
	state := new(catal.State)
	f := &fold.Follower{Log: log, Stream: ledger.CatalogueStream, Reader: fold.Reader{Machine: state}}
	return &catalogue{state: state, follower: f}
}

// ready reports whether the catalogue has been read, from the log or a peer.
func (r *Router) ready() bool { return r.catalogue.follower.Offset() > 0 }

// Start opens the listeners and starts all loops. It does not wait for the
// platform: an instance that starts during an outage of the log uses the state
// that its peers have.
func (r *Router) Start(context.Context) error {
	listeners, err := r.listeners()
	if err != nil {
		return err
	}
	if r.grpc, err = newServer(r.Settings.PeerTLS, r.tracing); err != nil {
		return err
	}
	wire.RegisterPeerServer(r.grpc, &peerServer{budget: r.budget, followers: map[string]*fold.Follower{
		ledger.CatalogueStream: r.catalogue.follower,
		ledger.FleetStream:     r.fleet,
	}})
	r.members.setAddr(r.Settings.Listen.Advertise, listeners[1])
	r.callers = r.front.HTTP(r.Settings.Listen.HTTP)
	r.callersAddr = listeners[0].Addr()
	r.debug = newDebugServer(r.vars())
	r.startLoops()
	go func() { _ = r.callers.Serve(listeners[0]) }()
	go func() { _ = r.grpc.Serve(listeners[1]) }()
	go r.debug.serve(listeners[2])
	r.logger.Info("serving", "http", listeners[0].Addr(), "grpc", listeners[1].Addr(), "debug", listeners[2].Addr(), "holder", r.budget.Holder())
	return nil
}

// listeners opens the listeners for callers, for other processes of the system and
// for metrics, and returns them in this order.
func (r *Router) listeners() ([]net.Listener, error) {
	s := r.Settings.Listen
	callers, err := listen("http", s.HTTP)
	if err != nil {
		return nil, err
	}
	if s.TLSCert != "" {
		cert, err := tls.LoadX509KeyPair(s.TLSCert, s.TLSKey)
		if err != nil {
			return nil, fmt.Errorf("certificate of section %q: %w", "listen", err)
		}
		conf := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
		callers = tls.NewListener(callers, conf)
	}
	own, err := listen("grpc", s.GRPC)
	if err != nil {
		return nil, err
	}
	debug, err := listen("debug", s.Debug)
	return []net.Listener{callers, own, debug}, err
}

// startLoops starts the loops that run until the instance ends.
func (r *Router) startLoops() {
	run := func(fn func(context.Context)) { r.loops.Go(func() { fn(r.base) }) }
	run(r.members.run)
	run(r.catalogue.follower.Run)
	run(r.fleet.Run)
	run(r.fleetLog.Run)
	run(r.catalogueLog.Run)
	run(r.budget.Run)
	run(r.checkpointer(r.catalogue.follower, r.catalogueLog).Run)
	run(r.checkpointer(r.fleet, r.fleetLog).Run)
	run(r.engine.Watch)
	run(r.restoreFromPeers)
	run(func(ctx context.Context) { every(ctx, reapEvery, r.reap) })
}

// checkpointer returns the checkpointer of a stream's checkpoints.
func (r *Router) checkpointer(f *fold.Follower, w *fold.Writer) *fold.Checkpointer {
	return &fold.Checkpointer{Follower: f, Writer: w, Schedule: fold.CheckpointSchedule{Interval: r.Settings.Platform.CheckpointEvery}, OnError: r.checkpointFailed}
}

// checkpointFailed logs that a checkpoint of a stream could not be made.
func (r *Router) checkpointFailed(err error) {
	r.logger.Error("cannot write a checkpoint; the stream's state is lost when its records expire", "err", err)
}

// Stop makes a planned stop: it waits for the requests in progress and returns
// the leases before the instance ends. It returns the joined errors of these
// two steps.
func (r *Router) Stop(ctx context.Context) error {
	r.logger.Info("draining")
	r.members.announceDraining(ctx)
	r.front.StartDraining()
	drained := r.front.Drain(ctx)
	returning, cancel := context.WithTimeout(ctx, returnTimeout)
	returned := r.budget.Stop(returning)
	cancel()
	r.members.withdraw(ctx)
	_ = r.callers.Shutdown(ctx)
	r.grpc.Stop()
	r.debug.stop(ctx)
	r.end()
	r.loops.Wait()
	r.conns.Close()
	r.peers.Close()
	r.logger.Info("planned stop ended", "drained", drained == nil, "returned", returned == nil)
	return errors.Join(drained, returned)
}

// Ready reports whether requests can be served.
func (r *Router) Ready() bool { return r.ready() }

// TargetCount returns the number of targets of a service on the instance list.
func (r *Router) TargetCount(service string) int { return len(r.members.Targets(service)) }

// CallersAddr returns the address of the listener for callers. It panics before
// Start.
func (r *Router) CallersAddr() string { return r.callersAddr.String() }

// vars returns the instance's metrics.
func (r *Router) vars() *expvar.Map {
	m := new(expvar.Map)
	section := func(name string, publish func(*expvar.Map)) {
		sub := new(expvar.Map)
		publish(sub)
		m.Set(name, sub)
	}
	section("front", r.front.Counts.Publish)
	section("entry", r.engine.Counts.Publish)
	m.Set("catalogue-offset", expvar.Func(func() any { return r.catalogue.Offset() }))
	m.Set("fleet-offset", expvar.Func(func() any { return r.fleet.Offset() }))
	m.Set("targets", expvar.Func(func() any { return len(r.members.addresses(insts.Side)) }))
	m.Set("holder", expvar.Func(func() any { return r.budget.Holder() }))
	m.Set("reserved", expvar.Func(func() any { return r.budget.Reserved() }))
	return m
}
