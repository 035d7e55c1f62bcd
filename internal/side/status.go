package side

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"time"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/claim"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/loads"
	"github.com/beryllanding/beryllanding/pkg/pause"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// maxStatus is the largest size of a target's load report, in bytes.
const maxStatus = 64 << 10

// claimsReadTimeout limits the time to read the claims stream to its end.
const claimsReadTimeout = 250 * time.Millisecond

// load is the target's own report of its load.
type load struct {
	Running           int64 `json:"running"`
	Waiting           int64 `json:"waiting"`
	CacheUsedPermille int64 `json:"cache-used-permille"`
	loads.Report
}

// stats are the counters of a server.
type stats struct {
	started, joined, finished, refused, cancelled, truncated expvar.Int
	// billed is in tokens.
	billed expvar.Int
	// claims counts the proposed claims, released the proposed releases.
	claims, released expvar.Int
}

// Vars returns the server's metrics. The caller publishes them with expvar.
func (s *Server) Vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("runs-started", &s.stats.started)
	m.Set("runs-joined", &s.stats.joined)
	m.Set("runs-finished", &s.stats.finished)
	m.Set("runs-refused", &s.stats.refused)
	m.Set("runs-cancelled", &s.stats.cancelled)
	m.Set("runs-cut", &s.stats.truncated)
	m.Set("runs-outstanding", expvar.Func(func() any { return s.outstanding() }))
	m.Set("tokens-billed", &s.stats.billed)
	m.Set("claims-proposed", &s.stats.claims)
	m.Set("claims-released", &s.stats.released)
	if s.reconciler != nil {
		m.Set("weights", s.reconciler.vars())
	}
	return m
}

// Status returns the target's load and whether the target is draining.
func (s *Server) Status(_ context.Context, req *wire.StatusRequest) (*wire.TargetStatus, error) {
	s.raiseCatalogueOffset(req.GetCatalogueOffset())
	return s.status(), nil
}

// status returns the target's status. The running and waiting counts are those of
// this process. If the target reports its own load, its running count replaces the
// one of this process, and its waiting count is added. A target that has not loaded
// its weights is reported as draining, so entry instances send it no requests until
// a later status.
func (s *Server) status() *wire.TargetStatus {
	running, waiting := s.queue.counts()
	st := &wire.TargetStatus{
		Side:            string(s.opts.Incarnation),
		Leaving:         s.draining.Load() || s.lacksWeights(),
		Running:         int64(running),
		Waiting:         int64(waiting),
		CatalogueOffset: s.catalogueOffset.Load(),
		FleetOffset:     uint64(s.fleet.Offset()),
	}
	if l := s.load.Load(); l != nil {
		st.Running = l.Running
		st.Waiting += l.Waiting
		st.CacheUsedPermille = l.CacheUsedPermille
	}
	return st
}

// raiseCatalogueOffset records the highest catalogue offset received from any
// entry instance. Every status carries it, so other entry instances learn that
// the catalogue has changed.
func (s *Server) raiseCatalogueOffset(offset uint64) {
	for {
		old := s.catalogueOffset.Load()
		if offset <= old || s.catalogueOffset.CompareAndSwap(old, offset) {
			return
		}
	}
}

// pollLoad reads the target's load report every Options.StatusEvery.
func (s *Server) pollLoad(ctx context.Context) {
	for pause.For(ctx, s.opts.StatusEvery) {
		if l, ok := s.readLoad(ctx); ok {
			s.load.Store(&l)
		}
	}
}

func (s *Server) readLoad(ctx context.Context) (load, bool) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.opts.Target+"/status", nil)
	if err != nil {
		return load{}, false
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return load{}, false
	}
	defer func() { _ = resp.Body.Close() }()
	var l load
	err = json.NewDecoder(io.LimitReader(resp.Body, maxStatus)).Decode(&l)
	return l, err == nil && resp.StatusCode == http.StatusOK
}

// Outcome returns the outcome of an attempt, or of the request if no attempt is
// named. If the request id is empty, the state is "unknown".
func (s *Server) Outcome(ctx context.Context, req *wire.OutcomeRequest) (*wire.OutcomeReply, error) {
	if req.GetRequestId() == "" {
		return outcomeOf(nil, false), nil // without a request id, no run table can be selected
	}
	if req.GetAttemptId() == "" {
		return s.requestOutcome(ctx, req.GetRequestId()), nil
	}
	sh := s.shard(req.GetRequestId())
	sh.mu.Lock()
	defer sh.mu.Unlock()
	addressed := req.GetSide() == string(s.opts.Incarnation)
	r := sh.table.outcomeRun(req.GetAttemptId(), addressed)
	reply := outcomeOf(r, r == nil || r.owner == req.GetAttemptId())
	reply.Side = string(s.opts.Incarnation)
	return reply, nil
}

// requestOutcome returns the outcome of a request, whichever attempt and side
// process ran it. The state is "not-run" only if the claims stream, read to its
// current end, has no claim of the request.
func (s *Server) requestOutcome(ctx context.Context, request string) *wire.OutcomeReply {
	sh := s.shard(request)
	sh.mu.Lock()
	r := sh.table.runs[request]
	reply := outcomeOf(r, true)
	sh.mu.Unlock()
	reply.Side = string(s.opts.Incarnation)
	if r != nil {
		return reply
	}
	ctx, cancel := context.WithTimeout(ctx, claimsReadTimeout)
	defer cancel()
	if s.claims.CatchUp(ctx) != nil {
		return reply
	}
	s.claims.View(func(*fold.Reader) {
		if _, free := s.claimsState.Lookup(request, nil).(claim.Free); free {
			reply.State = "not-run"
		}
	})
	return reply
}

// outcomeRun returns the run of an attempt, or nil if the run is not known.
// addressed reports whether the attempt was sent to this incarnation.
//
// If an addressed attempt has certainly not arrived, outcomeRun bars it and returns
// barred. A barred attempt is refused if it arrives later, so the reply "not run"
// stays true. It stays barred until Options.MaxAttempts more attempts have ended.
func (t *table) outcomeRun(id string, addressed bool) *run {
	r := t.attempts[id]
	if r != nil || !addressed || t.attemptsForgotten {
		return r
	}
	t.remember(id, barred)
	return barred
}

// outcomeOf returns the reply for a run. r is nil if the run is not known. The reply
// has the billed tokens only if owner is true.
func outcomeOf(r *run, owner bool) *wire.OutcomeReply {
	if r == nil {
		return &wire.OutcomeReply{State: "unknown"}
	}
	reply := &wire.OutcomeReply{State: stateOf(r)}
	if owner {
		reply.Billed = r.end.billed
		reply.Charges = wire.NewCharges(r.end.charges)
	}
	return reply
}

// stateOf returns the protocol's name for the state of a run. A refused run whose
// response arrived late counts as finished, since it is billed.
func stateOf(r *run) string {
	switch {
	case !r.ended():
		return "running"
	case r.phase == phaseFinished:
		return "finished"
	case r.lateResponse:
		return "finished"
	case r.refusal.Outcome == refuse.NotRun:
		return "not-run"
	}
	return "unknown"
}

// SetDraining makes the server refuse new work and report in every status that the
// target is draining. Runs in progress continue.
func (s *Server) SetDraining() { s.draining.Store(true) }

// Draining reports whether SetDraining was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// Registered reports whether the side may start work.
func (s *Server) Registered() bool { return s.fence.Load() != 0 }

// FleetView calls fn with the fleet state's lock held.
func (s *Server) FleetView(fn func(r *fold.Reader)) { s.fleet.View(fn) }
