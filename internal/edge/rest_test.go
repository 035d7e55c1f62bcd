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
)

// TestErrorInsteadOfRest guards against a stream that goes on with the text of an error, or ends
// as complete, because the next target's response is not the rest of the stream.
func TestErrorInsteadOfRest(t *testing.T) {
	const jsonText = `{"error":"worker lost"}`
	sse := "Content-Type: text/event-stream\r\n"
	respond := func(status, fields, body string) func(string) string {
		return func(id string) string {
			return fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: %s\r\nSignature: s\r\n%s\r\n%s", status, id, fields, body)
		}
	}
	length := func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }
	kinds := map[string]func(id string) string{
		"200, no body":                  respond("200 OK", "Content-Length: 0\r\n", ""),
		"200, no body, event stream":    respond("200 OK", sse+"Content-Length: 0\r\n", ""),
		"204":                           respond("204 No Content", "", ""),
		"204, event stream":             respond("204 No Content", sse, ""),
		"202, event stream":             respond("202 Accepted", sse+"Transfer-Encoding: chunked\r\n", chunk(events(3, 4))+"0\r\n\r\n"),
		"200, JSON":                     respond("200 OK", "Content-Type: application/json\r\n"+length(jsonText+"\n\n"), jsonText+"\n\n"),
		"200, JSON in chunks":           respond("200 OK", "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n", chunk(jsonText+"\n\n")+"0\r\n\r\n"),
		"200, JSON to the end":          respond("200 OK", "Content-Type: application/json\r\n", jsonText+"\n\n"),
		"200, text as an event stream":  respond("200 OK", sse+length(jsonText+"\n\n"), jsonText+"\n\n"),
		"200, text in chunks":           respond("200 OK", sse+"Transfer-Encoding: chunked\r\n", chunk(jsonText+"\n\n")+"0\r\n\r\n"),
		"200, event without id":         respond("200 OK", sse+"Transfer-Encoding: chunked\r\n", chunk("event: error\ndata: worker lost\n\n")+"0\r\n\r\n"),
		"200, event without id, no end": respond("200 OK", sse+"Transfer-Encoding: chunked\r\n", chunk("event: error\ndata: worker lost\n\n")),
		"200, only an earlier event":    respond("200 OK", sse+"Transfer-Encoding: chunked\r\n", chunk("id: 0\ndata: worker lost\n\n")+"0\r\n\r\n"),
		"200, a head within":            respond("200 OK", sse+"Transfer-Encoding: chunked\r\n", chunk("HTTP/1.1 500 Error\r\nServer: x\r\n\r\n"+jsonText+"\n\n")+"0\r\n\r\n"),
		"302":                           respond("302 Found", "Location: /x\r\nContent-Length: 0\r\n", ""),
		"500, JSON":                     respond("500 Error", length(jsonText), jsonText),
		"500, events":                   respond("500 Error", sse+"Transfer-Encoding: chunked\r\n", chunk(events(3, 4))+"0\r\n\r\n"),
		"500, to the end":               respond("500 Error", "", jsonText+"\n\n"),
		"503":                           respond("503 Full", "Content-Length: 0\r\n", ""),
		"unsigned": func(id string) string {
			return strings.Replace(streamHead(id), "Signature: s\r\n", "", 1) + chunk(event(3)) + "0\r\n\r\n"
		},
	}
	for name, response := range kinds {
		for _, others := range []string{"", "then whole"} {
			t.Run(name+" "+others, func(t *testing.T) {
				var sent atomic.Int64
				s := func(a receivedRequest, w io.Writer) bool {
					switch sent.Add(1) {
					case 1:
						write(w, streamHead(a.id)+chunk(events(1, 2)))
						return false
					case 2:
						write(w, response(a.id))
						return false
					}
					return write(w, streamHead(a.id)+chunk(events(3, 4))+"0\r\n\r\n")
				}
				w := newTestEnv(t, s, s, s)
				w.setMaxTargets(2)
				want := events(1, 2)
				if others != "" {
					w.setMaxTargets(3)
					want = events(1, 4)
				}
				got := w.ask("/resume/", fields, "x")
				if got.body != want || (got.err == nil) != (others != "") {
					t.Errorf("got response %+v, want %q, complete %v", got, want, others != "")
				}
			})
		}
	}
}

// TestEmptyRest guards against a stream that is reset although its target had sent all events:
// what is left is empty, and the next target says so.
func TestEmptyRest(t *testing.T) {
	for name, rest := range map[string]string{"empty": "", "last event again": chunk(event(2)), "comment": chunk(": done\n\n")} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			s := func(a receivedRequest, w io.Writer) bool {
				if sent.Add(1) == 1 {
					write(w, streamHead(a.id)+chunk(events(1, 2)))
					return false
				}
				return write(w, streamHead(a.id)+rest+"0\r\n\r\n")
			}
			w := newTestEnv(t, s, s)
			if got := w.ask("/resume/", fields, "x"); got.err != nil || !strings.HasPrefix(got.body, events(1, 2)) {
				t.Errorf("got response %+v, want events 1 and 2, complete", got)
			}
		})
	}
}

// TestStreamWithoutIDsIsNotResumed guards against a stream whose events come twice: without ids
// no target can go on after the last one.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	w := newTestEnv(t, func(a receivedRequest, w io.Writer) bool {
		write(w, streamHead(a.id)+chunk("data: a\n\ndata: b\n\n"))
		return false
	}, func(a receivedRequest, w io.Writer) bool {
		write(w, streamHead(a.id)+chunk("data: a\n\ndata: b\n\n"))
		return false
	})
	if got := w.ask("/resume/", fields, "x"); got.err == nil || got.body != "data: a\n\ndata: b\n\n" || len(w.received()) != 1 {
		t.Errorf("got response %+v after %d requests, want two events, incomplete, after 1", got, len(w.received()))
	}
}

// TestNoStreamOnAStreamRoute guards against a response without a stream that reaches the caller
// in a stream's framing, or with bytes after its end.
func TestNoStreamOnAStreamRoute(t *testing.T) {
	for _, tt := range []struct{ name, method, response, want string }{
		{"204", "GET", "HTTP/1.1 204 No Content\r\nRequest-Id: r1\r\nSignature: s\r\n\r\n", ""},
		{"JSON", "GET", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}", "{}"},
		{"HEAD", "HEAD", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\nContent-Type: text/event-stream\r\n\r\n", ""},
	} {
		w := newTestEnv(t, func(_ receivedRequest, w io.Writer) bool { return write(w, tt.response) })
		c, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		write(c, tt.method+" /stream/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nKey: k\r\n\r\n")
		if err := c.SetReadDeadline(time.Now().Add(500 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		got, _ := io.ReadAll(bufio.NewReader(c)) // It ends with the time.
		_ = c.Close()
		head, body, ok := strings.Cut(string(got), "\r\n\r\n")
		if !ok || body != tt.want || strings.Contains(head, "chunked") || (tt.name == "204" && strings.Contains(head, "Content-Length")) {
			t.Errorf("%s: got head %q and body %q, want body %q and no chunks", tt.name, head, body, tt.want)
		}
	}
}
