package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/pkg/http1"
	"github.com/beryllanding/beryllanding/pkg/roster"
)

// uploadSize is more than the buffers of both ends of a connection hold, in bytes.
const uploadSize = 6 << 20

// earlyAnswers are the answers, in part, of targets that answer an upload before they have read
// it, by the path of the route. None has a length: each ends with its connection.
var earlyAnswers = map[string]string{
	"/once/":   "part of a body",
	"/idem/":   "part of a body",
	"/open/":   "part of a body",
	"/stream/": "data: d\n\n",
	"/resume/": events(1, 3),
}

// upload is a request of which a target has read only the head. The rest is read from r.
type upload struct {
	*net.TCPConn
	id string
	r  *bufio.Reader
}

// newUploadEnv starts an engine with targets that read the head of each request and then call
// answer. Bodies of requests may have uploadSize bytes.
func newUploadEnv(t *testing.T, targets int, answer func(u upload)) *testEnv {
	t.Helper()
	w := newTestEnv(t)
	serve := func(l net.Listener) {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				head := &http1.Head{}
				if err := head.ReadRequest(r, 1<<16); err == nil {
					answer(upload{TCPConn: c.(*net.TCPConn), id: string(head.Get("Request-Id")), r: r})
				}
			}()
		}
	}
	var list []roster.Target
	for i := range targets {
		list = append(list, roster.Target{ID: fmt.Sprintf("early%d", i), Service: "s", Address: w.listen(serve), DataCentre: "here"})
	}
	w.engine.fleet.update(list)
	tbl := *w.engine.view.Load()
	tbl.Limits.BodyBytes = uploadSize
	w.setTable(&tbl)
	w.setTimeouts(10 * time.Second)
	return w
}

// TestResetDuringUpload guards against a part of an answer that a caller gets as a whole one: the
// target answers without a length while the request is still being written, and resets the
// connection.
func TestResetDuringUpload(t *testing.T) {
	const uploads = 20
	for path, part := range earlyAnswers {
		for _, part := range []string{part, ""} {
			t.Run(fmt.Sprintf("%s %d bytes", path, len(part)), func(t *testing.T) {
				w := newUploadEnv(t, 1, func(u upload) {
					write(u, "HTTP/1.1 200 OK\r\nRequest-Id: "+u.id+"\r\nSignature: s\r\n\r\n"+part)
					time.Sleep(5 * time.Millisecond)
					_ = u.SetLinger(0)
				})
				whole := 0
				for i := range uploads {
					got := w.ask(path, fmt.Sprintf("Request-Id: r%d\nDeadline: 10000\nKey: k\n", i), strings.Repeat("u", uploadSize))
					if got.status == 200 && got.err == nil {
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

// TestResetWhileAnotherTargetIsAsked guards against a stream that ends as complete although its
// silent target reset it during the upload, while the instance waited for another target that is
// to take over. That one has the whole stream.
func TestResetWhileAnotherTargetIsAsked(t *testing.T) {
	for range 10 {
		var requests atomic.Int64
		w := newUploadEnv(t, 2, func(u upload) {
			if requests.Add(1) == 1 {
				write(u, "HTTP/1.1 200 OK\r\nRequest-Id: "+u.id+"\r\nSignature: s\r\n\r\n"+events(1, 2))
				time.Sleep(2 * minSilence)
				_ = u.SetLinger(0)
				return
			}
			time.Sleep(2 * minSilence)
			write(u, streamHead(u.id)+chunk(events(1, 4))+http1.LastChunk)
			_, _ = io.CopyN(io.Discard, u.r, uploadSize)
		})
		if got := w.ask("/resume/", "Request-Id: r\nDeadline: 10000\nKey: k\n", strings.Repeat("u", uploadSize)); got.err != nil || got.body != events(1, 4) {
			t.Errorf("got %q, error %v; want events 1 to 4", got.body, got.err)
		}
		if n := requests.Load(); n != 2 {
			t.Errorf("%d targets had the request, want 2", n)
		}
	}
}

// TestEarlyAnswerClosedInOrder guards against the refusal of a sound answer that ends with its
// connection and was sent before the request had been read.
func TestEarlyAnswerClosedInOrder(t *testing.T) {
	const uploads = 5
	for name, end := range map[string]func(u upload){
		"reads the request and closes": func(u upload) { _, _ = io.CopyN(io.Discard, u.r, uploadSize) },
		"closes its side and reads the request": func(u upload) {
			_ = u.CloseWrite()
			_, _ = io.Copy(io.Discard, u.r)
		},
		"closes its side and reads nothing for a while": func(u upload) {
			_ = u.CloseWrite()
			time.Sleep(100 * time.Millisecond)
		},
	} {
		for path, body := range earlyAnswers {
			t.Run(path+" "+name, func(t *testing.T) {
				w := newUploadEnv(t, 1, func(u upload) {
					write(u, "HTTP/1.1 200 OK\r\nRequest-Id: "+u.id+"\r\nSignature: s\r\n\r\n"+body)
					time.Sleep(5 * time.Millisecond)
					end(u)
				})
				for i := range uploads {
					got := w.ask(path, fmt.Sprintf("Request-Id: r%d\nDeadline: 10000\nKey: k\n", i), strings.Repeat("u", uploadSize))
					if got.status != 200 || got.err != nil || got.body != body {
						t.Errorf("got status %d, %q, error %v; want 200, %q", got.status, got.body, got.err, body)
					}
				}
			})
		}
	}
}

// timedOutConn is a connection on which the operating system gives up, once the peer's bytes have
// been read: like the kernel's sockets, it reports that once, and then the end.
type timedOutConn struct {
	net.Conn
	timedOut bool
}

func (c *timedOutConn) Read(p []byte) (int, error) {
	if c.timedOut {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		c.timedOut = true
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ETIMEDOUT}
	}
	return n, err
}

// TestConnectionTimesOut guards against a part of an answer that a caller gets as a whole one: the
// connection to a target that vanished times out, and the attempt takes that for a deadline of
// its own, waits again and reads the end.
func TestConnectionTimesOut(t *testing.T) {
	for path, part := range earlyAnswers {
		for _, standby := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s standby %v", path, standby), func(t *testing.T) {
				w := newTestEnv(t)
				w.engine.fleet.wrap = func(c net.Conn) net.Conn { return &timedOutConn{Conn: c} }
				address := w.target("t0")
				w.mu.Lock()
				w.scripts["t0"] = func(a receivedRequest, to io.Writer) bool {
					write(to, "HTTP/1.1 200 OK\r\nRequest-Id: "+a.id+"\r\nSignature: s\r\n\r\n"+part)
					if standby {
						time.Sleep(2 * minSilence)
					}
					return false
				}
				w.mu.Unlock()
				w.engine.fleet.update([]roster.Target{{ID: "t0", Service: "s", Address: address, DataCentre: "here"}})
				if got := w.ask(path, fields, "x"); got.status == 200 && got.err == nil {
					t.Errorf("got %q as a whole answer, want it broken off", got.body)
				}
			})
		}
	}
}
