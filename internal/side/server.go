package side

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/buffer"
	"github.com/beryllanding/beryllanding/pkg/claim"
	"github.com/beryllanding/beryllanding/pkg/fleet"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// Server is the side process of one target. Create it with New.
type Server struct {
	wire.UnimplementedSideServer

	opts   Options
	client *http.Client
	// noReuseClient never sends a request twice; see newClients.
	noReuseClient *http.Client

	fleet        fold.Follower
	fleetState   fleet.State
	fleetWriter  fold.Writer
	claims       fold.Follower
	claimsState  claim.State
	claimsWriter fold.Writer
	own          claimSet

	// buffers is the memory that the responses of all runs share, but for those that are kept
	// for replay, which Options.MaxKept bounds.
	buffers buffer.Pool
	shards  [tableShards]shard
	queue   limiter
	// reconciler is nil if Options.FollowWeights is not set.
	reconciler *reconciler

	usageMu sync.Mutex
	// usage holds the writers of the budget streams by shard.
	usage map[int]*fold.Writer

	// fence is the side's fencing number. It is 0 until the side is registered.
	fence           atomic.Uint64
	draining        atomic.Bool
	catalogueOffset atomic.Uint64
	load            atomic.Pointer[load]
	runCount        atomic.Uint64
	stats           stats

	// ackWake wakes acknowledgeClosings.
	ackWake chan struct{}
	// sweepWake wakes sweepClaims.
	sweepWake chan struct{}

	// base is the context of all runs and loops. Runs outlive their callers, so
	// they do not use the callers' contexts.
	base   context.Context
	cancel context.CancelFunc

	spawnMu sync.Mutex
	// stopped reports that spawn must not start goroutines any more.
	stopped bool
	loops   sync.WaitGroup
}

// shard is a run table and its lock.
type shard struct {
	mu    sync.Mutex
	table table
}

var _ wire.SideServer = (*Server)(nil)

// New returns a server. It refuses all runs until Start is called and the side is
// registered.
func New(opts Options) *Server {
	opts = opts.withDefaults()
	s := &Server{
		opts:      opts,
		usage:     make(map[int]*fold.Writer),
		ackWake:   make(chan struct{}, 1),
		sweepWake: make(chan struct{}, 1),
	}
	s.base, s.cancel = context.WithCancel(context.Background())
	s.client, s.noReuseClient = newClients(opts)
	s.buffers.Max = int64(opts.MaxBuffers)
	s.queue = limiter{slots: opts.MaxRunning, maxWaiting: opts.MaxQueue}
	for i := range s.shards {
		s.shards[i].table = table{
			maxLive:     opts.MaxRunning + opts.MaxQueue,
			maxKept:     opts.MaxKept / tableShards,
			maxAttempts: opts.MaxAttempts / tableShards,
			keep:        opts.Keep,
			grace:       opts.Grace,
			released:    s.buffers.Release,
		}
	}
	s.initStreams()
	s.reconciler = s.newReconciler()
	return s
}

// initStreams sets up the followers and writers of the fleet and claims streams.
func (s *Server) initStreams() {
	log := s.opts.Log
	s.fleet.Log, s.fleet.Stream = log, ledger.FleetStream
	s.fleet.Reader.Machine = &s.fleetState
	s.fleet.OnApply = func() { wake(s.ackWake) }
	s.fleetWriter.Log, s.fleetWriter.Stream = log, ledger.FleetStream
	s.fleetWriter.Name, s.fleetWriter.Folded = s.writerName(), s.fleet.Folded
	s.claims.Log, s.claims.Stream = log, ledger.ClaimsStream
	s.claims.Reader.Machine = &s.claimsState
	s.claims.OnApply = s.notifyClaims
	s.claimsWriter.Log, s.claimsWriter.Stream = log, ledger.ClaimsStream
	s.claimsWriter.Name, s.claimsWriter.Folded = s.writerName(), s.claims.Folded
}

// startClaims starts the loops that non-idempotent calls need. The side process of
// a model engine takes no calls and does not start them.
func (s *Server) startClaims() {
	s.startLoop(s.claims.Run)
	s.startLoop(s.claimsWriter.Run)
	s.startLoop(s.sweepClaims)
	s.startLoop(s.checkpointer(&s.claims, &s.claimsWriter).Run)
}

// checkpointer returns the checkpointer that appends a stream's checkpoints.
func (s *Server) checkpointer(f *fold.Follower, w *fold.Writer) *fold.Checkpointer {
	return &fold.Checkpointer{Follower: f, Writer: w, Schedule: fold.CheckpointSchedule{Interval: s.opts.CheckpointEvery}, OnError: s.logCheckpointError}
}

// logCheckpointError logs that a checkpoint of a stream could not be made.
func (s *Server) logCheckpointError(err error) {
	s.opts.Logger.Error("cannot write a checkpoint; the stream's state is lost when its records expire", "err", err)
}

// writerName returns the name of this process's writers. It is unique to this
// incarnation.
func (s *Server) writerName() string { return string(s.opts.Incarnation) }

// Start starts the server's loops and returns at once. The loops register the side
// process. Runs are refused until the side process is registered.
func (s *Server) Start() {
	s.startLoop(s.fleet.Run)
	s.startLoop(s.fleetWriter.Run)
	if !s.opts.ModelsOnly {
		s.startClaims()
	}
	s.startLoop(s.register)
	s.startLoop(s.acknowledgeClosings)
	s.startLoop(s.pollLoad)
	s.startLoop(s.checkpointer(&s.fleet, &s.fleetWriter).Run)
	if s.reconciler != nil {
		s.startReconciler()
	}
}

// startLoop runs fn in a goroutine until the server is shut down.
func (s *Server) startLoop(fn func(ctx context.Context)) {
	s.spawn(func() { fn(s.base) })
}

// spawn runs fn in a goroutine that shutDown waits for. Once the server is shut
// down, it returns false and does not run fn.
func (s *Server) spawn(fn func()) bool {
	s.spawnMu.Lock()
	defer s.spawnMu.Unlock()
	if s.stopped {
		return false
	}
	s.loops.Go(fn)
	return true
}

// usageWriter returns the writer of a budget's stream, and starts it if needed.
func (s *Server) usageWriter(budget string) *fold.Writer {
	n := s.opts.Shard(budget)
	s.usageMu.Lock()
	defer s.usageMu.Unlock()
	w := s.usage[n]
	if w == nil {
		w = &fold.Writer{Log: s.opts.Log, Stream: ledger.Stream(n), Name: s.writerName()}
		s.usage[n] = w
		s.startLoop(w.Run)
	}
	return w
}

// shard returns the shard of a request.
func (s *Server) shard(request string) *shard { return &s.shards[shardOf(request)] }

// Incarnation returns the side's incarnation.
func (s *Server) Incarnation() ident.Incarnation { return s.opts.Incarnation }

// runName returns a new name that is unique among all runs, even if an attempt is
// delivered twice.
func (s *Server) runName(r *run) string {
	return r.owner + "#" + strconv.FormatUint(s.runCount.Add(1), 10)
}

// wake signals a channel of capacity 1 without blocking.
func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
