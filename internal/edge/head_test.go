package edge

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
)

// TestCutHead guards against a success that a caller gets although its target stopped within
// the head of its response and closed: each cut of each head, on each route, alone and as the
// rest of a stream.
func TestCutHead(t *testing.T) {
	heads := map[string]string{
		"length":        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\nContent-Length: 10\r\n\r\n",
		"empty":         "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\nContent-Length: 0\r\n\r\n",
		"chunked":       streamHead("r1"),
		"to the end":    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n\r\n",
		"interim":       "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n\r\n",
		"late response": "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 4\r\n\r\nlateHTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n\r\n",
	}
	for name, head := range heads {
		for _, path := range []string{"/once/", "/idem/", "/stream/", "/resume/", "rest"} {
			t.Run(fmt.Sprintf("%s %s", name, path), func(t *testing.T) {
				var cut, n atomic.Int64
				s := func(a receivedRequest, w io.Writer) bool {
					if n.Add(1) == 1 && path == "rest" {
						write(w, streamHead(a.id)+chunk(events(1, 2)))
						return false
					}
					write(w, head[:cut.Load()])
					return false
				}
				w := newTestEnv(t, s)
				w.setMaxTargets(1)
				route, want := path, ""
				if path == "rest" {
					w = newTestEnv(t, s, s)
					w.setMaxTargets(2)
					route, want = "/resume/", events(1, 2)
				}
				for i := range len(head) {
					cut.Store(int64(i))
					n.Store(0)
					got := w.ask(route, "Request-Id: r1\nDeadline: 1500\nKey: k\n", "x")
					if got.status/100 == 2 && (got.err == nil || !strings.HasPrefix(want, got.body)) || (want == "" && got.status == 200) {
						t.Fatalf("head cut after %q: got response %+v, want no success", head[:i], got)
					}
				}
			})
		}
	}
}

// TestCutHeadOfHead guards against the same for HEAD, whose response ends with its head.
func TestCutHeadOfHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\nContent-Length: 10\r\n\r\n"
	var cut atomic.Int64
	w := newTestEnv(t, func(_ receivedRequest, w io.Writer) bool {
		write(w, head[:cut.Load()])
		return false
	})
	w.setMaxTargets(1)
	for i := range len(head) + 1 {
		cut.Store(int64(i))
		c, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		write(c, "HEAD /idem/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nKey: k\r\nConnection: close\r\n\r\n")
		got, _ := io.ReadAll(c) // The connection may be reset.
		_ = c.Close()
		if served := strings.HasPrefix(string(got), "HTTP/1.1 200"); served != (i == len(head)) {
			t.Fatalf("head cut after %q: got %q, want a success only for the whole head", head[:i], got)
		}
	}
}
