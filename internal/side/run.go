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

// Run does one attempt at a request.
func (s *Server) Run(req *wire.RunRequest, stream grpc.ServerStreamingServer[wire.RunEvent]) error {
	s.noteCatalogue(req.GetCatalogueOffset())
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
		return s.follow(stream, &c, sh, d.run)
	case join:
		s.stats.joined.Add(1)
		c.joined = d.run.owner != req.GetAttemptId() // an attempt may be delivered twice
		return s.follow(stream, &c, sh, d.run)
	case reject:
		return s.sendRefusal(stream, &c, d.refusal)
	}
	return nil
}

// launch starts the work of a run that has just been put into the table.
func (s *Server) launch(caller context.Context, sh *shard, r *run, req *wire.RunRequest) {
	ctx, cancel := context.WithCancel(s.base)
	sh.mu.Lock()
	r.cancel = cancel
	sh.mu.Unlock()
	// The run is in the table before the closings are looked at, and acknowledge
	// looks at the closings before it looks at the table. So one of the two sees
	// the other, also where this process is stopped for any time between any two
	// steps: either the run is refused here, or the closing waits until the run
	// has ended and is billed. With the check first, a process paused after it
	// would acknowledge and then start the work.
	refusal := s.admit(r)
	if refusal == nil && s.spawn(func() {
		defer cancel()
		ctx, span := s.traceRun(ctx, caller, r)
		defer span.End()
		s.execute(ctx, sh, r, req)
		s.settle(sh, r)
		s.logEnd(sh, r, span)
	}) {
		s.stats.started.Add(1)
		return
	}
	if refusal == nil {
		refusal = notRun(refuse.CodeLeaving, 0, "the side process has stopped")
	}
	cancel()
	s.refuse(sh, r, refusal, end{})
	s.settle(sh, r)
}

// execute waits for the run's turn, and does its work.
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
		c := &callRun{s: s, sh: sh, r: r, work: work.Call, priority: req.GetPriority(), release: release}
		c.run(ctx)
	}
}

// queueRefusal explains why a run did not get its turn.
func queueRefusal(err error) *refuse.Refusal {
	if errors.Is(err, context.Canceled) {
		return notRun(refuse.CodeInterrupted, 0, "the caller left before the request's turn")
	}
	return notRun(refuse.CodeBusy, time.Second, err.Error())
}

// follow sends a run's output to one attempt until its last event.
func (s *Server) follow(stream grpc.ServerStreamingServer[wire.RunEvent], c *cursor, sh *shard, r *run) error {
	defer s.leave(sh, r)
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

// leave detaches a reader, and cancels a run that nobody waits for.
func (s *Server) leave(sh *shard, r *run) {
	sh.mu.Lock()
	cancel, ask := sh.table.leave(r, time.Now())
	sh.mu.Unlock()
	if cancel {
		s.stats.cancelled.Add(1)
		r.cancel()
		return
	}
	if !ask.IsZero() {
		time.AfterFunc(time.Until(ask), func() { s.cancelOverdue(sh, r) })
	}
}

// cancelOverdue cancels a keyed run whose grace has passed.
func (s *Server) cancelOverdue(sh *shard, r *run) {
	sh.mu.Lock()
	cancel := sh.table.overdue(r, time.Now())
	sh.mu.Unlock()
	if cancel {
		s.stats.cancelled.Add(1)
		r.cancel()
	}
}

// sendRefusal sends a refusal as the only event.
func (s *Server) sendRefusal(stream grpc.ServerStreamingServer[wire.RunEvent], c *cursor, refusal *refuse.Refusal) error {
	s.stats.refused.Add(1)
	ev := c.event(&wire.RunEvent{Event: &wire.RunEvent_Refused{Refused: refused(refusal)}})
	s.addStatus(ev)
	return stream.Send(ev)
}

// addStatus adds the target's status to the events that carry it.
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

// update changes a run under its lock, and wakes its readers.
func (sh *shard) update(r *run, fn func(t *table)) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	fn(&sh.table)
	r.notify()
}

// refuse ends a run without an answer.
func (s *Server) refuse(sh *shard, r *run, refusal *refuse.Refusal, e end) {
	s.stats.refused.Add(1)
	sh.update(r, func(t *table) { t.refuse(r, refusal, e) })
}

// finish ends a run with an answer.
func (s *Server) finish(sh *shard, r *run, e end) {
	s.stats.finished.Add(1)
	sh.update(r, func(t *table) { t.finish(r, e, time.Now()) })
}
