package boot

import (
	"context"
	"expvar"
	"net"
	"runtime"
	"sync"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"
	"google.golang.org/grpc"

	"github.com/beryllanding/beryllanding/internal/budget"
	"github.com/beryllanding/beryllanding/internal/config"
	"github.com/beryllanding/beryllanding/internal/logs"
	"github.com/beryllanding/beryllanding/internal/side"
	"github.com/beryllanding/beryllanding/internal/trace"
	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/catal"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/insts"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// Side is a side process. NewSide builds its parts, and Start starts them.
type Side struct {
	Settings config.Side

	logger  *log.Logger
	tracing *trace.Tracing
	server  *side.Server
	members *members

	base  context.Context
	end   context.CancelFunc
	loops sync.WaitGroup
	grpc  *grpc.Server
	debug *debugServer
}

// SideModule is the fx module of a side process, with its logs and traces.
func SideModule(settings config.Side) fx.Option {
	return fx.Options(
		fx.Invoke(func() { runtime.GOMAXPROCS(settings.Limits.Threads) }),
		SideCore(settings),
		fx.Provide(newLogs(settings.Log), newTracing("beryl-side", settings.Instance, settings.Trace)),
	)
}

// SideCore is the fx module of a side process without logs and traces. The
// caller provides a *logs.Set and a *trace.Tracing.
func SideCore(settings config.Side) fx.Option {
	return fx.Module("side",
		fx.Supply(settings),
		fx.Provide(NewSide),
		fx.Invoke(func(lc fx.Lifecycle, s *Side) {
			lc.Append(fx.Hook{OnStart: s.Start, OnStop: s.Stop})
		}),
	)
}

// NewSide builds a side process.
func NewSide(settings config.Side, set *logs.Set, tracing *trace.Tracing) *Side {
	incarnation := ident.NewIncarnation(settings.Instance.Name)
	s := &Side{Settings: settings, logger: set.Layer("side"), tracing: tracing}
	s.base, s.end = context.WithCancel(context.Background())
	s.server = side.New(side.Options{
		Incarnation:       incarnation,
		Slot:              settings.Target.Slot,
		Service:           settings.Target.Service,
		DataCentre:        settings.Instance.DataCentre,
		Target:            settings.Target.URL,
		TargetChecksFence: settings.Target.FenceChecked,
		Log:               &logsvc.Client{Addr: settings.Platform.LogService},
		Shard:             func(name string) int { return budget.ShardOf(name, settings.Budget.Shards) },
		MaxRunning:        settings.Target.Concurrent,
		FirstByte:         settings.Limits.FirstEventTimeout,
		BetweenTokens:     settings.Limits.EventTimeout,
		FollowWeights:     settings.Target.Kind == string(catal.Model),
		ModelsOnly:        settings.Target.Kind == string(catal.Model),
		LoadTimeout:       settings.Target.LoadTimeout,
		CheckpointEvery:   settings.Platform.CheckpointEvery,
		Logger:            s.logger,
	})
	s.members = newMembers(settings.Platform, insts.Instance{
		Name: settings.Instance.Name, Role: insts.Side, Service: settings.Target.Service,
		DataCentre: settings.Instance.DataCentre, Region: settings.Instance.Region,
		Incarnation: incarnation, State: insts.Live,
	})
	return s
}

// Start opens the listeners and starts the registration. Runs are refused until
// the registration has been read back from the log.
func (s *Side) Start(context.Context) error {
	own, err := listen("grpc", s.Settings.Listen.GRPC)
	if err != nil {
		return err
	}
	metrics, err := listen("debug", s.Settings.Listen.Debug)
	if err != nil {
		return err
	}
	if s.grpc, err = newServer(s.Settings.PeerTLS, s.tracing); err != nil {
		return err
	}
	s.members.setAddr(s.Settings.Listen.Advertise, own)
	wire.RegisterSideServer(s.grpc, s.server)
	s.debug = newDebugServer(s.vars())
	s.server.Start()
	s.loops.Go(func() { s.members.run(s.base) })
	go func(l net.Listener) { _ = s.grpc.Serve(l) }(own)
	go s.debug.serve(metrics)
	s.logger.Info("serving", "grpc", own.Addr(), "debug", metrics.Addr(), "slot", s.Settings.Target.Slot, "incarnation", s.server.Incarnation())
	return nil
}

// Stop makes a planned stop: it waits until the runs in progress have ended and
// their usage is on the log. It returns the error of this wait.
func (s *Side) Stop(ctx context.Context) error {
	s.logger.Info("draining")
	s.server.SetDraining()
	s.members.announceDraining(ctx)
	err := s.server.Stop(ctx)
	s.members.withdraw(ctx)
	s.grpc.GracefulStop()
	s.debug.stop(ctx)
	s.end()
	s.loops.Wait()
	s.logger.Info("planned stop ended", "err", err)
	return err
}

// vars returns the process's metrics.
func (s *Side) vars() *expvar.Map {
	m := new(expvar.Map)
	m.Set("side", s.server.Vars())
	return m
}
