package side

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/beryllanding/beryllanding/internal/stand/check"
	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// tolerated is a head that a recipient may repair (RFC 9112, section 5.2): the line continues
// the value before. net/http does.
const tolerated = "blank before a name"

// brokenCalls are requests by the kind of reader that their responses have.
var brokenCalls = map[string]func(id, attempt string) *wire.RunRequest{
	"once":        callRequest,
	"idempotent":  func(id, attempt string) *wire.RunRequest { r := callRequest(id, attempt); r.Once = false; return r },
	"model":       func(id, attempt string) *wire.RunRequest { return modelRequest(id, attempt, true, 9) },
	"plain model": func(id, attempt string) *wire.RunRequest { return modelRequest(id, attempt, false, 9) },
}

// TestBrokenHead guards against a response with an invalid status or field name that a caller gets
// as a response, whichever part of the side process reads it.
func TestBrokenHead(t *testing.T) {
	for name, head := range check.BrokenHeads("X: 1\r\n") {
		if name == tolerated {
			continue
		}
		s := newTCPServer(t, listenForUploads(t, func(u upload) {
			_, _ = io.WriteString(u, head+"data: [DONE]\n\n")
		}))
		for kind, request := range brokenCalls {
			t.Run(fmt.Sprintf("%s, %s", name, kind), func(t *testing.T) {
				events := runAttempt(t.Context(), s, request("o/"+kind, "a"+kind))
				for _, e := range events {
					if e.GetHead() != nil || e.GetFinish() != nil {
						t.Errorf("got event %v, want no response", e)
					}
				}
				if _, outcome := refusalOf(events); outcome != refuse.Unknown {
					t.Errorf("last event is %v, want a refusal with outcome %s", last(events), refuse.Unknown)
				}
			})
		}
		if status, err := s.postOrder(t.Context(), 1, struct{}{}); err == nil {
			t.Errorf("%s: an order got status %d, want an error", name, status)
		}
		if l, ok := s.readLoad(t.Context()); ok {
			t.Errorf("%s: the target's status was read as %+v, want none", name, l)
		}
	}
}

// TestBrokenInterimHead guards against the same in the head of an interim response.
func TestBrokenInterimHead(t *testing.T) {
	s := newTCPServer(t, listenForUploads(t, func(u upload) {
		_, _ = io.WriteString(u, "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}))
	events := runAttempt(t.Context(), s, callRequest("o/1", "a1"))
	if _, outcome := refusalOf(events); outcome != refuse.Unknown {
		t.Errorf("last event is %v, want a refusal with outcome %s", last(events), refuse.Unknown)
	}
}

// TestUnusualStatusIsForwarded guards against the refusal of sound responses with rare statuses.
func TestUnusualStatusIsForwarded(t *testing.T) {
	for _, status := range []int{http.StatusMultiStatus, http.StatusSeeOther, http.StatusTeapot, 499, 599} {
		s := newTCPServer(t, listenForUploads(t, func(u upload) {
			_, _ = fmt.Fprintf(u, "HTTP/1.1 %d \r\nX-~!#: 1\r\nContent-Length: 2\r\n\r\nok", status)
		}))
		events := runAttempt(t.Context(), s, callRequest("o/1", "a1"))
		var got int32
		for _, e := range events {
			if h := e.GetHead(); h != nil {
				got = h.GetStatus()
			}
		}
		if body := responseOf(t, "a1", events); int(got) != status || body != "ok" {
			t.Errorf("got status %d, %q; want %d, ok", got, body, status)
		}
	}
}
