package side

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// cutHeads is a transport to an application that reads each request, writes a part of the
// head of a response, and closes the connection.
func cutHeads(head *atomic.Value) http.RoundTripper {
	return &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		go func() {
			defer func() { _ = theirs.Close() }()
			r, err := http.ReadRequest(bufio.NewReader(theirs))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(theirs, head.Load().(string)) // The side process may have closed the connection.
		}()
		return ours, nil
	}}
}

// TestCutHeadIsNoResponse guards against a success that a caller gets although the application
// stopped within the head of its response and closed, at each byte.
func TestCutHeadIsNoResponse(t *testing.T) {
	for name, whole := range map[string]string{
		"length":     "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"chunked":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"to the end": "HTTP/1.1 200 OK\r\nX: 1\r\n\r\n",
		"interim":    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var part atomic.Value
				part.Store("")
				s := newServer(t, &logd.Store{}, "s1", nil, func(o *Options) { o.Transport = cutHeads(&part) })
				for i := range len(whole) {
					head := whole[:i]
					part.Store(head)
					events := runAttempt(t.Context(), s, callRequest(fmt.Sprintf("o/%d", i), fmt.Sprintf("a%d", i)))
					for _, e := range events {
						if e.GetHead() != nil || e.GetFinish() != nil {
							t.Fatalf("head cut after %q: got events %v, want no response", head, events)
						}
					}
					if _, outcome := refusalOf(events); outcome != refuse.Unknown {
						t.Fatalf("head cut after %q: last event is %v, want a refusal with outcome %s", head, last(events), refuse.Unknown)
					}
				}
				stop(t, s)
			})
		})
	}
}
