package edge

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/beryllanding/beryllanding/internal/stand/check"
)

// TestBrokenHead guards against a response with an invalid status or field name that a caller gets
// as a response, on each route and as the rest of a stream.
func TestBrokenHead(t *testing.T) {
	for name, head := range check.BrokenHeads("Request-Id: %s\r\nSignature: s\r\n") {
		for _, path := range []string{"/once/", "/idem/", "/stream/", "/resume/", "/open/"} {
			t.Run(name+" "+path, func(t *testing.T) {
				w := newTestEnv(t, func(a receivedRequest, to io.Writer) bool {
					write(to, strings.ReplaceAll(head, "%s", a.id)+"whole")
					return false
				})
				got := w.ask(path, fields, "x")
				if got.err != nil || got.status != 502 {
					t.Errorf("got status %d, body %q, error %v; want 502", got.status, got.body, got.err)
				}
				if got.head != nil && got.head.Get("Signature") != nil {
					t.Errorf("got the target's fields: %s", fmt.Sprint(got.head.Fields))
				}
			})
		}
		t.Run(name+" rest", func(t *testing.T) {
			first := true
			w := newTestEnv(t, func(a receivedRequest, to io.Writer) bool {
				if first {
					first = false
					write(to, streamHead(a.id)+chunk(events(1, 2)))
					return false
				}
				write(to, strings.ReplaceAll(head, "%s", a.id)+event(3))
				return false
			})
			if got := w.ask("/resume/", fields, "x"); got.status == 200 && got.err == nil {
				t.Errorf("got %q as a whole response", got.body)
			}
		})
	}
}
