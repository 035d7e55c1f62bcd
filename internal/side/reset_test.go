package side

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// uploadSize is more than the buffers of both ends of a connection hold, in bytes.
const uploadSize = 6 << 20

// upload is a request of which an application has read only the head. The rest is read from r.
type upload struct {
	*net.TCPConn
	path string
	r    *bufio.Reader
}

// listenForUploads starts an application that reads the head of each request and then calls
// answer. It returns the application's base URL.
func listenForUploads(t *testing.T, answer func(u upload)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				if req, err := http.ReadRequest(r); err == nil {
					answer(upload{TCPConn: c.(*net.TCPConn), path: req.URL.Path, r: r})
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// newTCPServer starts a server that reaches its target over TCP. Bodies of requests may have
// uploadSize bytes.
func newTCPServer(t *testing.T, target string) *Server {
	t.Helper()
	s := New(Options{
		Incarnation: "s1", Service: "svc", Target: target, Log: &logd.Store{}, StatusEvery: time.Hour,
		MaxBody: uploadSize,
	})
	s.Start()
	t.Cleanup(s.shutDown)
	for !s.Registered() {
		time.Sleep(time.Millisecond)
	}
	return s
}

// earlyAnswer is the answer, without a length, of an application that has not read the request.
const earlyAnswer = "HTTP/1.1 200 OK\r\nX: 1\r\n\r\n"

// TestResetDuringUpload guards against a part of an answer that a caller gets as a whole one: the
// application answers without a length while the request is still being written, and resets the
// connection.
func TestResetDuringUpload(t *testing.T) {
	const uploads = 40
	for _, part := range []string{"part of a body", ""} {
		for _, once := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d bytes, once %v", len(part), once), func(t *testing.T) {
				s := newTCPServer(t, listenForUploads(t, func(u upload) {
					_, _ = io.WriteString(u, earlyAnswer+part)
					time.Sleep(5 * time.Millisecond)
					_ = u.SetLinger(0)
				}))
				whole := 0
				for i := range uploads {
					req := callRequest(fmt.Sprintf("o/%d", i), fmt.Sprintf("a%d", i))
					req.Once, req.GetCall().Body = once, bytes.Repeat([]byte("u"), uploadSize)
					events := runAttempt(t.Context(), s, req)
					if _, outcome := refusalOf(events); outcome != refuse.Unknown {
						whole++
					}
				}
				if whole > 0 {
					t.Errorf("%d of %d answers that were reset reached the caller as whole", whole, uploads)
				}
			})
		}
	}
}

// TestEarlyAnswerClosedInOrder guards against the refusal of a sound answer that ends with its
// connection and was sent before the request had been read.
func TestEarlyAnswerClosedInOrder(t *testing.T) {
	const uploads = 10
	for name, end := range map[string]func(u upload){
		"reads the request and closes": func(u upload) { _, _ = io.CopyN(io.Discard, u.r, uploadSize) },
		"closes its side and reads the request": func(u upload) {
			_ = u.CloseWrite()
			_, _ = io.Copy(io.Discard, u.r)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTCPServer(t, listenForUploads(t, func(u upload) {
				_, _ = io.WriteString(u, earlyAnswer+"whole")
				time.Sleep(5 * time.Millisecond)
				end(u)
			}))
			for i := range uploads {
				attempt := fmt.Sprintf("a%d", i)
				req := callRequest(fmt.Sprintf("o/%d", i), attempt)
				req.GetCall().Body = bytes.Repeat([]byte("u"), uploadSize)
				events := runAttempt(t.Context(), s, req)
				if got := responseOf(t, attempt, events); got != "whole" || last(events).GetFinish() == nil {
					t.Errorf("got %q, last event %v; want the whole answer", got, last(events))
				}
			}
		})
	}
}
