package side

import (
	"time"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/claim"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// joinAgainAfter is when an attempt may come back whose run was refused for a
// reason of another attempt.
const joinAgainAfter = 10 * time.Millisecond

// cursor is one attempt's position in the output of a run. Every attempt reads
// the whole output from its start, so a joiner misses nothing.
type cursor struct {
	attempt string
	joined  bool

	index   uint64
	started bool
	head    bool
	next    int
	done    bool
}

// read returns the events that follow, up to the last one. The run's lock is
// held; the events may be used after it is released.
func (c *cursor) read(r *run) []*wire.RunEvent {
	var out []*wire.RunEvent
	if c.done {
		return nil
	}
	if !c.started && r.phase != phaseWaiting && r.phase != phaseRefused {
		c.started = true
		out = append(out, c.event(&wire.RunEvent{Event: &wire.RunEvent_Started{Started: &wire.Started{Joined: c.joined}}}))
	}
	if c.started {
		out = c.output(r, out)
	}
	switch r.phase {
	case phaseFinished:
		c.done = true
		out = append(out, c.event(&wire.RunEvent{Event: &wire.RunEvent_Finish{Finish: c.finish(r)}}))
	case phaseRefused:
		c.done = true
		out = append(out, c.event(&wire.RunEvent{Event: &wire.RunEvent_Refused{Refused: refused(c.refusal(r))}}))
	}
	return out
}

// output appends the head and the chunks not yet read.
func (c *cursor) output(r *run, out []*wire.RunEvent) []*wire.RunEvent {
	if r.head != nil && !c.head {
		c.head = true
		out = append(out, c.event(&wire.RunEvent{Event: &wire.RunEvent_Head{Head: wireHead(r.head)}}))
	}
	for ; c.next < len(r.chunks); c.next++ {
		k := r.chunks[c.next]
		out = append(out, c.event(&wire.RunEvent{Event: &wire.RunEvent_Chunk{Chunk: &wire.Chunk{Data: k.data, Tokens: k.tokens}}}))
	}
	return out
}

// event numbers an event and marks it with the attempt.
func (c *cursor) event(ev *wire.RunEvent) *wire.RunEvent {
	ev.AttemptId = c.attempt
	ev.Index = c.index
	c.index++
	return ev
}

// finish returns the final event. Only the attempt that the run is charged to
// is told the bill.
func (c *cursor) finish(r *run) *wire.Finish {
	f := &wire.Finish{FinishReason: r.end.reason}
	if !c.joined {
		f.Billed = r.end.billed
		f.Charges = wire.NewCharges(r.end.charges)
	}
	return f
}

// refusal returns why the run was refused, as this attempt is told. That the
// owner's holder is closed says nothing about the joiner's own.
func (c *cursor) refusal(r *run) *refuse.Refusal {
	if c.joined && r.refusal.Code == refuse.CodeHolderClosed {
		return notRun(refuse.CodeInterrupted, joinAgainAfter, "the attempt that began the run was refused")
	}
	return r.refusal
}

func refused(r *refuse.Refusal) *wire.Refused {
	return &wire.Refused{
		Code: string(r.Code), Outcome: string(r.Outcome),
		RetryAfterMs: r.RetryAfter.Milliseconds(), Message: r.Message, Holder: r.Holder,
	}
}

func wireHead(h *head) *wire.Head {
	out := &wire.Head{Status: int32(h.status)}
	for _, v := range h.headers {
		out.Headers = append(out.Headers, &wire.Header{Name: v.Name, Value: v.Value})
	}
	return out
}

// finishedHead returns the head of an answer kept on the log.
func finishedHead(f claim.Finished) *head {
	return &head{status: f.Status, headers: f.Headers}
}
