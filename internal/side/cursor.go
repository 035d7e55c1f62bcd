package side

import (
	"time"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/claim"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// joinRetryAfter is the retry delay of an attempt that joined a run, if the run was
// refused because the holder of its owner is closed.
const joinRetryAfter = 10 * time.Millisecond

// cursor is the position of one attempt in the output of a run. Every attempt
// reads the whole output from the start, including one that joined late.
type cursor struct {
	attempt string
	joined  bool

	nextIndex uint64
	startSent bool
	headSent  bool
	nextChunk int
	done      bool
}

// read returns the events that are available and not yet read. The caller holds
// the run's lock. The events stay valid after the lock is released.
func (c *cursor) read(r *run) []*wire.RunEvent {
	var out []*wire.RunEvent
	if c.done {
		return nil
	}
	if !c.startSent && r.phase != phaseWaiting && r.phase != phaseRefused {
		c.startSent = true
		out = append(out, c.event(&wire.RunEvent{Event: &wire.RunEvent_Started{Started: &wire.Started{Joined: c.joined}}}))
	}
	if c.startSent {
		out = c.output(r, out)
	}
	switch r.phase {
	case phaseFinished:
		c.done = true
		out = append(out, c.event(&wire.RunEvent{Event: &wire.RunEvent_Finish{Finish: c.finish(r)}}))
	case phaseRefused:
		c.done = true
		out = append(out, c.event(&wire.RunEvent{Event: &wire.RunEvent_Refused{Refused: wireRefusal(c.refusal(r))}}))
	}
	return out
}

// output appends the head and the chunks that are not yet read.
func (c *cursor) output(r *run, out []*wire.RunEvent) []*wire.RunEvent {
	if r.head != nil && !c.headSent {
		c.headSent = true
		out = append(out, c.event(&wire.RunEvent{Event: &wire.RunEvent_Head{Head: wireHead(r.head)}}))
	}
	for ; c.nextChunk < len(r.chunks); c.nextChunk++ {
		k := r.chunks[c.nextChunk]
		out = append(out, c.event(&wire.RunEvent{Event: &wire.RunEvent_Chunk{Chunk: &wire.Chunk{Data: k.data, Tokens: k.tokens}}}))
	}
	return out
}

// event sets an event's attempt id and index.
func (c *cursor) event(ev *wire.RunEvent) *wire.RunEvent {
	ev.AttemptId = c.attempt
	ev.Index = c.nextIndex
	c.nextIndex++
	return ev
}

// finish returns the final event of a run that finished. Only the attempt that
// the run is charged to gets the billed tokens in its event.
func (c *cursor) finish(r *run) *wire.Finish {
	f := &wire.Finish{FinishReason: r.end.finishReason}
	if !c.joined {
		f.Billed = r.end.billed
		f.Charges = wire.NewCharges(r.end.charges)
	}
	return f
}

// refusal returns the refusal that this attempt gets. If the run was refused
// because its owner's holder is closed, an attempt that joined gets another
// refusal, since its own holder may be open.
func (c *cursor) refusal(r *run) *refuse.Refusal {
	if c.joined && r.refusal.Code == refuse.CodeHolderClosed {
		return notRun(refuse.CodeInterrupted, joinRetryAfter, "the attempt that began the run was refused")
	}
	return r.refusal
}

func wireRefusal(r *refuse.Refusal) *wire.Refused {
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

// finishedHead returns the head of a response that is kept on the log.
func finishedHead(f claim.Finished) *head {
	return &head{status: f.Status, headers: f.Headers}
}
