package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/beryllanding/beryllanding/internal/wire"
)

// tokenPause is the time that a fake engine takes per token.
const tokenPause = 10 * time.Millisecond

// stuckTime is the time without progress after which a stuck run is cancelled.
const stuckTime = 10 * time.Minute

// fault is what goes wrong with one attempt.
type fault struct {
	// Kind is one of the faults below.
	Kind string
	// After is the number of events that are sent before the fault.
	After int
	// Noise adds events of another attempt and repeated events.
	Noise bool
}

// faults are the kinds of faults that a plan draws from.
var faults = []string{
	"none", "none", "none",
	"lost-request", // never reaches the side process
	"cut",          // the connection ends, the run continues
	"silent",       // the connection stays open but carries nothing
	"stuck",        // the engine stops, its side process continues
	"gap",          // one event is missing
	"die",          // the side process dies with its runs
	"restart",      // the side process dies and another one takes its place
	"leaving", "busy", "holder-closed", "log-unavailable", "in-progress", "unknown",
}

// fakeSide is a side process with its target. Its state is shared by all connections to
// it, each of which may fail.
type fakeSide struct {
	fc   *fakeCluster
	name string

	mu   sync.Mutex
	dead bool
	// draining makes the side process refuse new work. asked counts the attempts.
	draining bool
	asked    int
	// generation counts the restarts.
	generation int
	// runs maps request ids to runs. byAttempt maps attempt ids to runs. joined is the
	// set of attempts that joined a run.
	runs      map[string]*fakeRun
	byAttempt map[string]*fakeRun
	joined    map[string]bool
	// fenced is the set of attempts that were reported as not run and so must
	// never run.
	fenced map[string]bool
}

// fakeRun is one run at a target.
type fakeRun struct {
	s       *fakeSide
	request *wire.RunRequest
	chunks  []string

	generation int
	side       string
	produced   int
	finished   bool
	cancelled  bool
	stuck      bool
	changed    chan struct{}
}

// client is one connection to a side process.
type client struct{ s *fakeSide }

// Run starts an attempt, with the next fault.
func (c *client) Run(ctx context.Context, in *wire.RunRequest, _ ...grpc.CallOption) (wire.Side_RunClient, error) {
	f := c.s.fc.nextFault()
	st := &fakeStream{ctx: ctx, events: make(chan *wire.RunEvent), end: make(chan struct{})}
	go func() {
		defer close(st.end)
		c.s.serve(ctx, in, f, &fakeSender{st: st, attempt: in.GetAttemptId(), f: f})
	}()
	return st, nil
}

// Outcome returns the outcome of an attempt.
func (c *client) Outcome(_ context.Context, in *wire.OutcomeRequest, _ ...grpc.CallOption) (*wire.OutcomeReply, error) {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if c.s.dead {
		return nil, status.Error(codes.Unavailable, "dead")
	}
	reply := c.s.outcome(in)
	reply.Side = c.s.incarnation()
	return reply, nil
}

// outcome returns the side process's report about an attempt. The caller holds the
// lock.
func (s *fakeSide) outcome(in *wire.OutcomeRequest) *wire.OutcomeReply {
	run := s.byAttempt[in.GetAttemptId()]
	switch {
	case run == nil:
		s.fenced[in.GetAttemptId()] = true
		return &wire.OutcomeReply{State: "not-run"}
	case !run.finished:
		return &wire.OutcomeReply{State: "running"}
	case s.joined[in.GetAttemptId()]:
		return &wire.OutcomeReply{State: "finished"}
	}
	return &wire.OutcomeReply{State: "finished", Billed: run.cost(), Charges: run.charges()}
}

// Status returns the incarnation and whether the target is draining.
func (c *client) Status(context.Context, *wire.StatusRequest, ...grpc.CallOption) (*wire.TargetStatus, error) {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	return &wire.TargetStatus{Side: c.s.incarnation(), Leaving: c.s.draining}, nil
}

func (s *fakeSide) incarnation() string { return fmt.Sprintf("%s~%d", s.name, s.generation) }

// restart replaces the side process by a new one without state. If bill is set, the old
// process bills the run first.
func (s *fakeSide) restart(run *fakeRun, bill bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if run.generation != s.generation {
		return
	}
	if bill {
		s.fc.bill(run.request.GetRequestId(), wire.ChargesOf(run.charges()))
	}
	s.generation++
	s.runs = make(map[string]*fakeRun)
	s.byAttempt = make(map[string]*fakeRun)
	s.joined = make(map[string]bool)
	s.fenced = make(map[string]bool)
}

// serve handles one attempt.
func (s *fakeSide) serve(ctx context.Context, in *wire.RunRequest, f fault, out *fakeSender) {
	switch f.Kind {
	case "lost-request":
		return
	case "leaving", "busy", "holder-closed", "log-unavailable":
		if in.GetJoin() {
			break
		}
		out.refuse(f.Kind, "not-run")
		return
	case "unknown":
		if f.Noise {
			s.begin(in)
		}
		out.refuse("interrupted", "unknown")
		return
	case "in-progress":
		out.refuse("in-progress", "unknown")
		return
	}
	if s.refuses(in) {
		out.refuse("leaving", "not-run")
		return
	}
	run, joined := s.begin(in)
	if run == nil {
		out.refuse("interrupted", "not-run")
		return
	}
	if f.Kind == "stuck" {
		s.mu.Lock()
		run.stuck = true
		s.mu.Unlock()
	}
	if !in.GetKeyed() && f.Kind != "silent" && f.Kind != "cut" {
		defer context.AfterFunc(ctx, run.cancel)()
	}
	s.follow(run, joined, out)
}

// refuses counts an attempt and reports whether it is refused because the target is
// draining.
func (s *fakeSide) refuses(in *wire.RunRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	return s.draining && !in.GetJoin()
}

// begin starts a run, or joins the run of the request. It returns the run and whether
// it was joined. If the attempt must not run, it returns nil.
func (s *fakeSide) begin(in *wire.RunRequest) (*fakeRun, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead || s.fenced[in.GetAttemptId()] {
		return nil, false
	}
	if run := s.runs[in.GetRequestId()]; run != nil {
		s.byAttempt[in.GetAttemptId()] = run
		s.joined[in.GetAttemptId()] = true
		return run, true
	}
	if in.GetJoin() {
		return nil, false
	}
	run := s.newRun(in)
	s.runs[in.GetRequestId()] = run
	s.byAttempt[in.GetAttemptId()] = run
	go run.produce()
	return run, false
}

// newRun records a run. The response of the run differs from those of all other runs.
func (s *fakeSide) newRun(in *wire.RunRequest) *fakeRun {
	s.fc.mu.Lock()
	defer s.fc.mu.Unlock()
	id := in.GetRequestId()
	if s.fc.runs[id]++; s.fc.runs[id] == 1 {
		s.fc.began[id] = time.Now()
	}
	run := &fakeRun{s: s, request: in, generation: s.generation, side: s.incarnation(), changed: make(chan struct{})}
	whole := ""
	for i := range 5 - min(3, s.fc.runs[id]) {
		chunk := fmt.Sprintf("<%s %s run %d part %d>", id, s.name, s.fc.runs[id], i)
		run.chunks = append(run.chunks, chunk)
		whole += chunk
	}
	s.fc.responses[id] = append(s.fc.responses[id], whole)
	return run
}

// produce makes the response and bills it at the end.
func (r *fakeRun) produce() {
	for {
		time.Sleep(tokenPause)
		r.s.mu.Lock()
		if r.stuck {
			r.stuck, r.cancelled = false, true
			r.s.mu.Unlock()
			time.Sleep(stuckTime)
			continue
		}
		if r.s.dead || r.s.generation != r.generation {
			close(r.changed)
			r.changed = make(chan struct{})
			r.s.mu.Unlock()
			return
		}
		if r.produced < len(r.chunks) && !r.cancelled {
			r.produced++
		}
		r.finished = r.cancelled || r.produced == len(r.chunks)
		close(r.changed)
		r.changed = make(chan struct{})
		done := r.finished
		r.s.mu.Unlock()
		if done {
			r.s.fc.bill(r.request.GetRequestId(), wire.ChargesOf(r.charges()))
			return
		}
	}
}

func (r *fakeRun) cancel() {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.cancelled = true
}

func (r *fakeRun) cost() int64 { return 1 + int64(r.produced) }

func (r *fakeRun) charges() []*wire.Charge {
	return wire.NewCharges(wire.FirstCharges(wire.ChargesOf(r.request.GetCharges()), r.cost()))
}

// follow sends a run's events as they are produced.
func (s *fakeSide) follow(run *fakeRun, joined bool, out *fakeSender) {
	out.send(&wire.RunEvent{Event: &wire.RunEvent_Started{Started: &wire.Started{Side: run.side, Joined: joined}}})
	var cancelled bool
	for next := 0; ; {
		if out.f.Kind == "restart" && out.sent > out.f.After {
			s.restart(run, out.f.Noise)
		}
		s.mu.Lock()
		if out.f.Kind == "die" && out.sent > out.f.After {
			s.dead = true
		}
		dead, produced, finished, changed := s.dead || s.generation != run.generation, run.produced, run.finished, run.changed
		cancelled = run.cancelled
		s.mu.Unlock()
		for ; next < produced && !dead; next++ {
			out.send(&wire.RunEvent{Event: &wire.RunEvent_Chunk{Chunk: &wire.Chunk{Data: []byte(run.chunks[next]), Tokens: 1}}})
		}
		if dead || out.broken {
			return
		}
		if finished {
			break
		}
		select {
		case <-changed:
		case <-out.st.ctx.Done():
			return
		}
	}
	finish := &wire.Finish{}
	if cancelled {
		finish.FinishReason = "cancelled"
	}
	if !joined {
		finish.Billed, finish.Charges = run.cost(), run.charges()
	}
	out.send(&wire.RunEvent{Event: &wire.RunEvent_Finish{Finish: finish}})
}
