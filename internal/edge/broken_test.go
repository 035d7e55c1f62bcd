package edge

import (
	"fmt"
	"io"
	"strings"
	"testing"
)

// brokenHeads are responses, with a body of "whole", that are not responses in the protocol. A
// "%s" stands for the id of the request.
var brokenHeads = map[string]string{
	"status 000":                         "HTTP/1.1 000 X\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Length: 5\r\n\r\n",
	"status 000 without a length":        "HTTP/1.1 000 X\r\nRequest-Id: %s\r\nSignature: s\r\n\r\n",
	"status 099":                         "HTTP/1.1 099 X\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Length: 5\r\n\r\n",
	"status 101 that nobody asked for":   "HTTP/1.1 101 X\r\nRequest-Id: %s\r\nSignature: s\r\n\r\n" + okResponse("%s", ""),
	"status 600":                         "HTTP/1.1 600 X\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Length: 5\r\n\r\n",
	"status 999":                         "HTTP/1.1 999 X\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Length: 5\r\n\r\n",
	"status with a sign":                 "HTTP/1.1 +20 X\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Length: 5\r\n\r\n",
	"status of two digits":               "HTTP/1.1 20 OK\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Length: 5\r\n\r\n",
	"status of four digits":              "HTTP/1.1 2000 OK\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Length: 5\r\n\r\n",
	"blank within a name":                "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nBad Name: x\r\nContent-Length: 5\r\n\r\n",
	"blank before the colon":             "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nBad : x\r\nContent-Length: 5\r\n\r\n",
	"blank before the colon of a length": "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Length : 5\r\n\r\n",
	"blank before the colon of a coding": "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nTransfer-Encoding : chunked\r\n\r\n",
	"blank before a name":                "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\n Bad: x\r\nContent-Length: 5\r\n\r\n",
	"tab within a name":                  "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nBad\tName: x\r\nContent-Length: 5\r\n\r\n",
	"NUL in a name":                      "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nBad\x00Name: x\r\nContent-Length: 5\r\n\r\n",
	"DEL in a name":                      "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nBad\x7fName: x\r\nContent-Length: 5\r\n\r\n",
	"CR in a name":                       "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nBad\rName: x\r\nContent-Length: 5\r\n\r\n",
	"no name":                            "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\n: x\r\nContent-Length: 5\r\n\r\n",
	"control byte in a length":           "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Length: 5\x01\r\n\r\n",
}

// TestBrokenHead guards against a response with an invalid status or field name that a caller gets
// as a response, on each route and as the rest of a stream.
func TestBrokenHead(t *testing.T) {
	for name, head := range brokenHeads {
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
