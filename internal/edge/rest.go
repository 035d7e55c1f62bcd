package edge

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"strings"

	"github.com/beryllanding/beryllanding/pkg/http1"
)

// ErrNotTheRest reports a response that is not the rest of the stream that it should go on with.
var ErrNotTheRest = errors.New("response is not the rest of the stream")

// eventStream is the media type of a stream of events.
const eventStream = "text/event-stream"

// streamKind is what all responses that make up one stream have in common.
type streamKind struct {
	status    int
	mediaType string
}

// kindOf returns the kind of a response on a route with streams. A response without a type
// counts as a stream.
func kindOf(head *http1.Head) streamKind {
	mediaType, _, _ := bytes.Cut(head.Get("Content-Type"), []byte(";"))
	return streamKind{status: head.Status, mediaType: cmp.Or(strings.ToLower(string(bytes.TrimSpace(mediaType))), eventStream)}
}

// isStream reports whether the response's body is forwarded as a stream of events. Others are
// forwarded whole.
func (x *exchange) isStream(l *leg) bool {
	if !x.route.Stream || l.head.Status/100 != 2 || l.head.Framing == http1.FramingNone {
		return false
	}
	return kindOf(l.head).mediaType == eventStream
}

// checkRest checks, by its head, that a response can be the rest of the stream that the caller
// has a part of.
func (x *exchange) checkRest(head *http1.Head) error {
	if !x.w.started {
		return nil
	}
	if kind := kindOf(head); kind != x.kind || head.Framing == http1.FramingNone {
		return fmt.Errorf("%w: status %d and type %q after %d and %q", ErrNotTheRest, kind.status, kind.mediaType, x.kind.status, x.kind.mediaType)
	}
	return nil
}

// checkRestEvents returns the leading events that can be part of the rest of a stream, and an
// error if others follow: each has an id, or is a comment.
func (a *attempt) checkRestEvents(events []byte) ([]byte, error) {
	if a.after < 0 {
		return events, nil
	}
	for start := 0; start < len(events); {
		end := bytes.Index(events[start:], eventEnd)
		if end < 0 {
			break
		}
		end += start + len(eventEnd)
		id, ok := eventID(events[start:end])
		if !ok && !isComment(events[start:end]) {
			return events[:start], fmt.Errorf("%w: it holds an event without an id", ErrNotTheRest)
		}
		if ok {
			a.lastID = max(a.lastID, id)
		}
		start = end
	}
	return events, nil
}

// checkRestEnd checks that a response that has ended as complete can be the rest of a stream.
// A rest without events is one if its framing shows that it is a body: the target had sent all
// events. A target that sends events again sends at least those that the caller has.
func (a *attempt) checkRestEnd(head *http1.Head) error {
	switch {
	case a.after < 0:
		return nil
	case a.lastID < 0 && head.Framing != http1.FramingChunked:
		return fmt.Errorf("%w: it has no event", ErrNotTheRest)
	case a.lastID >= 0 && a.lastID < a.after:
		return fmt.Errorf("%w: it ends with event %d, and the caller has %d", ErrNotTheRest, a.lastID, a.after)
	}
	return nil
}

// isComment reports whether an event consists of comments and empty lines.
func isComment(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}
