package side

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// Run serves one attempt at a request: it starts a run, joins one, or sends a
// refusal. A refusal is sent as an event. Run returns an error only if the caller's
// stream ended.
func (s *Server) Run(req *wire.RunRequest, stream grpc.ServerStreamingServer[wire.RunEvent]) error {
	s.raiseCatalogueOffset(req.GetCatalogueOffset())
	c := cursor{attempt: req.GetAttemptId()}
	if refusal := s.checkRequest(req); refusal != nil {
		return s.sendRefusal(stream, &c, refusal)
	}
	sh := s.shard(req.GetRequestId())
	sh.mu.Lock()
	d := sh.table.begin(attemptOf(req), time.Now())
	sh.mu.Unlock()
	switch d := d.(type) {
	case start:
		s.launch(stream.Context(), sh, d.run, req)
		return s.streamEvents(stream, &c, sh, d.run)
	case join:
		s.stats.joined.Add(1)
		c.joined = d.run.owner != req.GetAttemptId() // the owner joins its own run if it is delivered twice
		return s.streamEvents(stream, &c, sh, d.run)
	case reject:
		return s.sendRefusal(stream, &c, d.refusal)
	}
	return nil
}

// launch starts the work of a run that was just added to the table.
func (s *Server) launch(caller context.Context, sh *shard, r *run, req *wire.RunRequest) {
	ctx, cancel := context.WithCancel(s.base)
	sh.mu.Lock()
	r.cancel = cancel
	sh.mu.Unlock()
	// The run must be in the table before admit checks whether its holders are
	// closed. acknowledgeClosings checks in the reverse order: first the closings,
	// then the table. So either the run is refused here, or the acknowledgement
	// waits until the run has ended and is billed. This holds even if the process is
	// paused between any two steps. If admit came first, a process that is paused
	// after admit could acknowledge a closing and then start work charged to the
	// closed holder.
	refusal := s.admit(r)
	if refusal == nil && s.spawn(func() {
		defer cancel()
		ctx, span := s.traceRun(ctx, caller, r)
		defer span.End()
		s.execute(ctx, sh, r, req)
		s.billRun(sh, r)
		s.logEnd(sh, r, span)
	}) {
		s.stats.started.Add(1)
		return
	}
	if refusal == nil {
		refusal = notRun(refuse.CodeDraining, 0, "the side process has stopped")
	}
	cancel()
	s.refuse(sh, r, refusal, end{})
	s.billRun(sh, r)
}

// execute waits for a slot and carries out the run's work.
func (s *Server) execute(ctx context.Context, sh *shard, r *run, req *wire.RunRequest) {
	if err := s.queue.acquire(ctx, req.GetPriority(), s.opts.QueueWait); err != nil {
		s.refuse(sh, r, queueRefusal(err), end{})
		return
	}
	release := sync.OnceFunc(s.queue.release)
	defer release()
	switch work := req.GetWork().(type) {
	case *wire.RunRequest_Model:
		s.runModel(ctx, sh, r, req.GetPriority(), work.Model)
	case *wire.RunRequest_Call:
		c := &callRun{s: s, sh: sh, r: r, work: work.Call, priority: req.GetPriority(), releaseSlot: release}
		c.run(ctx)
	}
}

// queueRefusal returns the refusal of a run that got no slot.
func queueRefusal(err error) *refuse.Refusal {
	if errors.Is(err, context.Canceled) {
		return notRun(refuse.CodeInterrupted, 0, "the run was cancelled while it waited in the queue")
	}
	return notRun(refuse.CodeBusy, time.Second, err.Error())
}

// streamEvents sends a run's events to one attempt, up to the last one.
func (s *Server) streamEvents(stream grpc.ServerStreamingServer[wire.RunEvent], c *cursor, sh *shard, r *run) error {
	defer s.detachReader(sh, r)
	for {
		sh.mu.Lock()
		events := c.read(r)
		var changed <-chan struct{}
		if len(events) == 0 {
			changed = r.wait()
		}
		sh.mu.Unlock()
		for _, ev := range events {
			s.addStatus(ev)
			if err := stream.Send(ev); err != nil {
				return err
			}
		}
		if c.done {
			return nil
		}
		if len(events) > 0 {
			continue
		}
		select {
		case <-changed:
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

// detachReader removes a reader from a run. If no reader is left, it cancels a run
// without an idempotency key at once, and a run with one after Options.Grace.
func (s *Server) detachReader(sh *shard, r *run) {
	sh.mu.Lock()
	cancel, checkAt := sh.table.detachReader(r, time.Now())
	sh.mu.Unlock()
	if cancel {
		s.stats.cancelled.Add(1)
		r.cancel()
		return
	}
	if !checkAt.IsZero() {
		time.AfterFunc(time.Until(checkAt), func() { s.cancelAbandoned(sh, r) })
	}
}

// cancelAbandoned cancels a run that has had no reader for Options.Grace.
func (s *Server) cancelAbandoned(sh *shard, r *run) {
	sh.mu.Lock()
	cancel := sh.table.graceExpired(r, time.Now())
	sh.mu.Unlock()
	if cancel {
		s.stats.cancelled.Add(1)
		r.cancel()
	}
}

// sendRefusal sends a refusal as the only event.
func (s *Server) sendRefusal(stream grpc.ServerStreamingServer[wire.RunEvent], c *cursor, refusal *refuse.Refusal) error {
	s.stats.refused.Add(1)
	ev := c.event(&wire.RunEvent{Event: &wire.RunEvent_Refused{Refused: wireRefusal(refusal)}})
	s.addStatus(ev)
	return stream.Send(ev)
}

// addStatus sets the target's status in the events that have a field for it.
func (s *Server) addStatus(ev *wire.RunEvent) {
	switch e := ev.GetEvent().(type) {
	case *wire.RunEvent_Started:
		e.Started.Side = string(s.opts.Incarnation)
		e.Started.Status = s.status()
	case *wire.RunEvent_Finish:
		e.Finish.Status = s.status()
	case *wire.RunEvent_Refused:
		e.Refused.Status = s.status()
	}
}

// update calls fn with the shard locked, and wakes the run's readers.
func (sh *shard) update(r *run, fn func(t *table)) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	fn(&sh.table)
	r.notify()
}

// refuse ends a run without a response.
func (s *Server) refuse(sh *shard, r *run, refusal *refuse.Refusal, e end) {
	s.stats.refused.Add(1)
	sh.update(r, func(t *table) { t.refuse(r, refusal, e) })
}

// finish ends a run with a response.
func (s *Server) finish(sh *shard, r *run, e end) {
	s.stats.finished.Add(1)
	sh.update(r, func(t *table) { t.finish(r, e, time.Now()) })
}
