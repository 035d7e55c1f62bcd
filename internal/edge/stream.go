package edge

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/beryllanding/beryllanding/pkg/http1"
)

const (
	// streamReadBytes is the initial buffer size of a stream. Events are small.
	streamReadBytes = 4096
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// eventEnd terminates an event.
var eventEnd = []byte("\n\n")

// forwardStream forwards events as they arrive. It forwards complete events only, so
// that another target can resume after the last one. It forwards the end of the stream
// only if the target's framing shows that the stream is complete.
func (x *exchange) forwardStream(l *leg) attemptResult {
	a, head, body := l.attempt, l.head, l.body
	pending := make([]byte, 0, streamReadBytes)
	first := true
	for {
		if cap(pending)-len(pending) < streamReadBytes/2 {
			size := 2*cap(pending) + streamReadBytes
			if size > freeBuffer {
				if err := x.reserveBuffer(int64(size - cap(pending))); err != nil {
					return uncertain{err: err, forwarded: x.w.started}
				}
			}
			grown := make([]byte, len(pending), size)
			copy(grown, pending)
			pending = grown
		}
		var n int
		err := x.awaitEvent(l)
		if err == nil {
			n, err = body.Read(pending[len(pending):cap(pending)])
		}
		pending = pending[:len(pending)+n]
		if n > 0 {
			x.e.fleet.markHeard(a.target)
			if first {
				x.e.fleet.firstByte(x.service, a)
				first = false
			}
			x.e.fleet.events(x.service, a, x.e.room.holds())
		}
		if err == nil && body.Buffered() && len(pending) < maxEventBytes {
			continue
		}
		complete := bytes.LastIndex(pending, eventEnd) + len(eventEnd)
		if complete < len(eventEnd) {
			complete = 0
		}
		if errors.Is(err, io.EOF) {
			return x.endStream(a, head, pending, complete)
		}
		if complete > 0 {
			rest, rerr := a.checkRestEvents(pending[:complete])
			if werr := x.forwardEvents(a, head, rest); werr != nil {
				return uncertain{err: errors.Join(ErrCallerGone, werr), forwarded: true}
			}
			if rerr != nil {
				return uncertain{err: rerr, forwarded: x.w.started}
			}
			pending = append(pending[:0], pending[complete:]...)
			if x.events-a.events > beginEvents {
				x.recordAnswered(a)
			}
			x.e.room.holdEvents()
		}
		if err != nil {
			return uncertain{err: err, forwarded: x.w.started}
		}
		if len(pending) >= maxEventBytes {
			return uncertain{err: http1.ErrBodyTooLarge, forwarded: x.w.started}
		}
	}
}

// awaitEvent waits for more data of a stream. For a stream that cannot fail over it
// returns at once, and the read that follows waits instead.
func (x *exchange) awaitEvent(l *leg) error {
	if !x.mayFailOver() {
		return nil
	}
	if err := x.awaitData(l); err != nil {
		return err
	}
	return l.setReadDeadline(x.deadline)
}

// endStream forwards the rest of a stream whose framing is complete. rest[:complete]
// consists of complete events. A stream without events that only ends with its connection
// has been broken off: nothing else shows its end.
func (x *exchange) endStream(a *attempt, head *http1.Head, rest []byte, complete int) attemptResult {
	if head.Framing == http1.FramingClose && len(rest) == 0 && x.events == a.events {
		return uncertain{err: ErrEmptyStream, forwarded: x.w.started}
	}
	events, wrong := a.checkRestEvents(rest[:complete])
	if wrong == nil {
		wrong = a.checkRestEnd(head)
	}
	if wrong == nil && complete < len(rest) {
		// The framing is complete but the last event is not: the target aborted.
		wrong = ErrPartialEvent
	}
	if wrong != nil {
		if err := x.forwardEvents(a, head, events); err != nil {
			return uncertain{err: errors.Join(ErrCallerGone, err), forwarded: true}
		}
		return uncertain{err: wrong, forwarded: x.w.started}
	}
	x.startStream(head)
	known := x.events
	rest = x.dropForwarded(rest)
	if x.events > known {
		x.recordVersion(a)
	}
	if err := x.w.finishChunked(rest); err != nil {
		return uncertain{err: errors.Join(ErrCallerGone, err), forwarded: true}
	}
	return responded{status: head.Status}
}

// forwardEvents forwards complete events.
func (x *exchange) forwardEvents(a *attempt, head *http1.Head, events []byte) error {
	events = x.dropForwarded(events)
	if len(events) == 0 {
		return nil
	}
	x.startStream(head)
	x.recordVersion(a)
	return x.w.writeChunk(events)
}

// recordVersion records that events of the attempt's target are forwarded.
func (x *exchange) recordVersion(a *attempt) {
	if len(x.versions) == 0 {
		x.noteOrigin(a)
	}
	if n := len(x.versions); n == 0 || x.versions[n-1] != a.target.Version {
		x.versions = append(x.versions, a.target.Version)
	}
}

// startStream buffers the header of the response if none was sent. A stream that
// resumes at another target keeps the header of the first response.
func (x *exchange) startStream(head *http1.Head) {
	if x.w.started {
		return
	}
	x.status, x.kind = head.Status, kindOf(head)
	x.recordFirstByte()
	x.w.startChunked(head.Status, x.responseFields(head))
}

// dropForwarded removes, in place, the events that the caller already has, and counts
// the others. Event ids increase within a stream.
func (x *exchange) dropForwarded(events []byte) []byte {
	start := 0
	for start < len(events) {
		end := bytes.Index(events[start:], eventEnd)
		if end < 0 {
			break
		}
		end += start + len(eventEnd)
		id, ok := eventID(events[start:end])
		if ok && id <= x.lastEvent {
			events = append(events[:start], events[end:]...)
			continue
		}
		if ok {
			x.lastEvent = id
		} else if !isComment(events[start:end]) {
			x.retry.resumable = false // No target could go on after this event.
		}
		x.events++
		start = end
	}
	return events
}

// eventID returns the id of an event, and whether the event has a numeric id.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return n, err == nil
	}
	return 0, false
}
