package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/pkg/origin"
)

// chunk encodes events as one chunk.
func chunk(events string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(events), events) }

func event(id int) string { return fmt.Sprintf("id: %d\ndata: d%d\n\n", id, id) }

func events(from, to int) (s string) {
	for i := from; i <= to; i++ {
		s += event(i)
	}
	return s
}

func streamHead(id string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nSignature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

// lastEvent returns the id of the event after which the request resumes, or 0.
func lastEvent(a receivedRequest) (n int) {
	for _, l := range strings.Split(a.head, "\n") {
		_, _ = fmt.Sscanf(l, "Last-Event: %d", &n)
	}
	return n
}

// TestStreamWhole: a complete stream arrives complete, even if an event spans two chunks.
func TestStreamWhole(t *testing.T) {
	w := newTestEnv(t, func(a receivedRequest, w io.Writer) bool {
		return write(w, streamHead(a.id)+chunk(events(1, 2))+chunk("id: 3\nda")+chunk("ta: d3\n\n")+"0\r\n\r\n")
	})
	got := w.ask("/stream/", fields, "x")
	if got.status != 200 || got.err != nil || got.body != events(1, 3) {
		t.Errorf("got response %+v, want status 200 and events 1 to 3", got)
	}
}

// TestStreamUnbuffered: an event is forwarded before the target sends the next one.
func TestStreamUnbuffered(t *testing.T) {
	seen := make(chan struct{})
	w := newTestEnv(t, func(a receivedRequest, w io.Writer) bool {
		write(w, streamHead(a.id)+chunk(event(1)))
		<-seen
		return write(w, chunk(event(2))+"0\r\n\r\n")
	})
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	write(c, "GET /stream/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nKey: k\r\n\r\n")
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(line, "data: d1") {
			break
		}
	}
	close(seen)
	rest, err := io.ReadAll(io.LimitReader(r, int64(len("\n\r\n"+chunk(event(2))+"0\r\n\r\n"))))
	if err != nil || !strings.HasSuffix(string(rest), "0\r\n\r\n") {
		t.Errorf("rest of the response: got %q, error %v; want it to end with the last chunk", rest, err)
	}
}

// TestStreamAborted: however a target aborts a stream that cannot resume, the caller
// sees an incomplete response and gets complete events only.
func TestStreamAborted(t *testing.T) {
	for name, s := range map[string]script{
		"closed within an event": func(a receivedRequest, w io.Writer) bool {
			write(w, streamHead(a.id)+chunk(event(1))+chunk("id: 2\nda"))
			return false
		},
		"closed between events": func(a receivedRequest, w io.Writer) bool {
			write(w, streamHead(a.id)+chunk(event(1)))
			return false
		},
		"reset": func(a receivedRequest, w io.Writer) bool {
			write(w, streamHead(a.id)+chunk(event(1)))
			time.Sleep(50 * time.Millisecond)
			panic(errReset)
		},
		"bad chunk": func(a receivedRequest, w io.Writer) bool {
			return write(w, streamHead(a.id)+chunk(event(1))+"zz\r\n")
		},
		"whole framing, half event": func(a receivedRequest, w io.Writer) bool {
			return write(w, streamHead(a.id)+chunk(event(1))+chunk("id: 2\nda")+"0\r\n\r\n")
		},
		"without a length, reset": func(a receivedRequest, w io.Writer) bool {
			write(w, "HTTP/1.1 200 OK\r\nRequest-Id: "+a.id+"\r\nSignature: s\r\n\r\n"+event(1))
			time.Sleep(50 * time.Millisecond)
			panic(errReset)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t, s, s)
			got := w.ask("/stream/", fields, "x")
			if got.err == nil || len(w.received()) != 1 {
				t.Errorf("got response %+v, sent %d times; want an incomplete response, sent once", got, len(w.received()))
			}
			if got.body != "" && got.body != event(1) {
				t.Errorf("got body %q, want event 1 or nothing", got.body)
			}
		})
	}
}

// TestStreamWithoutLength: a stream without framing ends when the target closes the
// connection in order.
func TestStreamWithoutLength(t *testing.T) {
	w := newTestEnv(t, func(a receivedRequest, w io.Writer) bool {
		write(w, "HTTP/1.1 200 OK\r\nRequest-Id: "+a.id+"\r\nSignature: s\r\n\r\n"+events(1, 2))
		return false
	})
	if got := w.ask("/stream/", fields, "x"); got.err != nil || got.body != events(1, 2) {
		t.Errorf("got response %+v, want events 1 and 2", got)
	}
}

// TestStreamResumes: a resumable stream continues at another target after the last
// complete event and keeps the header of the first response. No event is lost or
// duplicated, even if the last target repeats an event.
func TestStreamResumes(t *testing.T) {
	n := 0
	s := func(a receivedRequest, w io.Writer) bool {
		n++
		if n < 3 {
			write(w, "HTTP/1.1 200 OK\r\nRequest-Id: "+a.id+"\r\nSignature: s"+a.target+"\r\nTransfer-Encoding: chunked\r\n\r\n")
			write(w, chunk(events(lastEvent(a)+1, lastEvent(a)+2))+chunk(event(lastEvent(a) + 3)[:8]))
			return false
		}
		return write(w, streamHead(a.id)+chunk(events(lastEvent(a), lastEvent(a)+2))+"0\r\n\r\n")
	}
	w := newTestEnv(t, s, s, s)
	got := w.ask("/resume/", fields, "x")
	if got.status != 200 || got.err != nil || got.body != events(1, 6) {
		t.Fatalf("got response %+v, want status 200 and events 1 to 6", got)
	}
	seen := w.received()
	if len(seen) != 3 || lastEvent(seen[1]) != 2 || lastEvent(seen[2]) != 4 {
		t.Errorf("got requests %+v, want 3, of which the last two resume after events 2 and 4", seen)
	}
	if string(got.head.Get("Signature")) != "s"+seen[0].target {
		t.Errorf("got signature %q, want that of the first target %q", got.head.Get("Signature"), seen[0].target)
	}
}

// TestStreamResetWithoutLength: a reset of a stream without framing is not treated as
// the end of the stream. The stream resumes at another target.
func TestStreamResetWithoutLength(t *testing.T) {
	var n atomic.Int64
	s := func(a receivedRequest, w io.Writer) bool {
		if n.Add(1) == 1 {
			write(w, "HTTP/1.1 200 OK\r\nRequest-Id: "+a.id+"\r\nSignature: s\r\n\r\n"+event(1))
			time.Sleep(50 * time.Millisecond)
			panic(errReset)
		}
		return write(w, streamHead(a.id)+chunk(event(2))+"0\r\n\r\n")
	}
	w := newTestEnv(t, s, s)
	if got := w.ask("/resume/", fields, "x"); got.err != nil || got.body != events(1, 2) {
		t.Errorf("got response %+v, want events 1 and 2", got)
	}
}

// TestSilentTarget: a repeatable request fails over from a target that sends nothing,
// both before and during the response. A request that must not run twice does not fail
// over.
func TestSilentTarget(t *testing.T) {
	for path, want := range map[string]reply{
		"/idem/":   {status: 200, body: "answer"},
		"/resume/": {status: 200, body: events(1, 2)},
		"/once/":   {status: 504},
	} {
		var n atomic.Int64
		s := func(a receivedRequest, w io.Writer) bool {
			stream := strings.HasPrefix(a.head, "GET /resume/") || strings.HasPrefix(a.head, "POST /resume/")
			if n.Add(1) == 1 {
				if stream {
					write(w, streamHead(a.id)+chunk(event(1)))
				}
				time.Sleep(3 * time.Second)
				return false
			}
			if stream {
				return write(w, streamHead(a.id)+chunk(event(2))+"0\r\n\r\n")
			}
			return write(w, okResponse(a.id, "answer"))
		}
		w := newTestEnv(t, s, s)
		got := w.ask(path, "Request-Id: r\nDeadline: 1500\nKey: k\n", "x")
		if got.status != want.status || (want.body != "" && got.body != want.body) || got.err != nil {
			t.Errorf("%s: got response %+v, want %+v", path, got, want)
		}
	}
}

// TestStreamCallerResumes: events up to the caller's Last-Event are not sent again.
func TestStreamCallerResumes(t *testing.T) {
	w := newTestEnv(t, func(a receivedRequest, w io.Writer) bool {
		return write(w, streamHead(a.id)+chunk(events(lastEvent(a), lastEvent(a)+2))+"0\r\n\r\n")
	})
	w.engine.origins.note("o/first", origin.Origin{Service: "s"})
	got := w.ask("/resume/", fields+"Last-Event: 7\nResumes: first\n", "x")
	if got.body != events(8, 9) || lastEvent(w.received()[0]) != 7 {
		t.Errorf("got response %+v, want events 8 and 9, requested from the target after event 7", got)
	}
}

// TestStreamRefusesWithin: the second target of a stream responds with an error status.
// This status must not appear in the caller's response, and the next target must
// continue the stream.
func TestStreamRefusesWithin(t *testing.T) {
	n := 0
	s := func(a receivedRequest, w io.Writer) bool {
		n++
		switch n {
		case 1:
			write(w, streamHead(a.id)+chunk(events(1, 2)))
			return false
		case 2:
			return write(w, "HTTP/1.1 500 Broken\r\nRequest-Id: "+a.id+"\r\nSignature: x\r\nContent-Length: 0\r\n\r\n")
		}
		return write(w, streamHead(a.id)+chunk(event(3))+"0\r\n\r\n")
	}
	w := newTestEnv(t, s, s, s)
	if got := w.ask("/resume/", fields, "x"); got.err != nil || got.body != events(1, 3) {
		t.Errorf("got response %+v, want events 1 to 3", got)
	}
}

// TestStreamDeclinedWithin: no other target accepts the rest of an aborted stream. The
// caller's connection must close without a last chunk and without a second response.
func TestStreamDeclinedWithin(t *testing.T) {
	n := 0
	s := func(a receivedRequest, w io.Writer) bool {
		if n++; n == 1 {
			write(w, streamHead(a.id)+chunk(events(1, 2)))
			return false
		}
		return write(w, "HTTP/1.1 421 Misdirected\r\nRequest-Id: "+a.id+"\r\nContent-Length: 0\r\n\r\n")
	}
	w := newTestEnv(t, s, s, s)
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "GET /resume/ HTTP/1.1\r\nHost: h\r\n"+strings.ReplaceAll(fields, "\n", "\r\n")+"\r\n"); err != nil {
		t.Fatal(err)
	}
	got, _ := io.ReadAll(c) // The connection may be reset.
	if text := string(got); strings.Count(text, "HTTP/1.1") != 1 || !strings.Contains(text, "data: d2") || strings.Contains(text, "\r\n0\r\n") {
		t.Errorf("the caller read %q, want one response with event 2 and no last chunk", text)
	}
}

// TestStop: a stream in progress when the server stops ends completely, although idle
// connections are closed.
func TestStop(t *testing.T) {
	begun, stopped := make(chan struct{}), make(chan struct{})
	w := newTestEnv(t, func(a receivedRequest, w io.Writer) bool {
		write(w, streamHead(a.id)+chunk(event(1)))
		close(begun)
		<-stopped
		return write(w, chunk(event(2))+"0\r\n\r\n")
	})
	go func() {
		<-begun
		w.server.Stop()
		w.server.CloseIdle()
		close(stopped)
	}()
	if got := w.ask("/stream/", fields, "x"); got.err != nil || got.body != events(1, 2) {
		t.Errorf("got response %+v, want events 1 and 2", got)
	}
}
