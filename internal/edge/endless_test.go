package edge

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// endless writes text and then more of filler until the instance closes the connection.
func endless(w io.Writer, text, filler string) bool {
	if !write(w, text) {
		return false
	}
	block := strings.Repeat(filler, 1+(32<<10)/len(filler))
	for write(w, block) {
	}
	return false
}

// endlessAnswers are the ways in which a target sends bytes without end. Each function
// returns how the response begins, and what it goes on with.
var endlessAnswers = map[string]func(id string) (text, filler string){
	"first line":      func(string) (string, string) { return "HTTP/1.1 200 ", "O" },
	"header":          func(string) (string, string) { return "HTTP/1.1 200 OK\r\n", "A: b\r\n" },
	"interim answers": func(string) (string, string) { return "", "HTTP/1.1 103 X\r\n\r\n" },
	"no protocol":     func(string) (string, string) { return "", "\x00\xff" },
	"body without length": func(id string) (string, string) {
		return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nSignature: s\r\n\r\n", "x"
	},
	"unsigned body": func(id string) (string, string) {
		return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n\r\n", "x"
	},
	"body in chunks": func(id string) (string, string) { return streamHead(id), "5\r\nhello\r\n" },
	"one chunk":      func(id string) (string, string) { return streamHead(id) + "FFFFFFFFFFFF\r\n", "x" },
	"chunk line":     func(id string) (string, string) { return streamHead(id) + "5;", "x" },
	"trailers":       func(id string) (string, string) { return streamHead(id) + "0\r\n", "A: b\r\n" },
	"body that may not have run": func(id string) (string, string) {
		return "HTTP/1.1 503 X\r\nRequest-Id: " + id + "\r\nNot-Run: 1\r\n\r\n", "x"
	},
	"failure without length": func(id string) (string, string) {
		return "HTTP/1.1 500 X\r\nRequest-Id: " + id + "\r\nSignature: s\r\n\r\n", "x"
	},
	"answer to another request": func(string) (string, string) {
		return "HTTP/1.1 200 OK\r\nRequest-Id: another\r\nSignature: s\r\n" + "Content-Length: 999999999999\r\n\r\n", "x"
	},
}

// TestEndlessAnswer: bytes without end from a target, in a head or a body, end the attempt
// long before the deadline, and the connection to the target with it. No caller gets a
// whole success.
func TestEndlessAnswer(t *testing.T) {
	for name, answer := range endlessAnswers {
		for _, path := range []string{"/once/", "/stream/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				closed := make(chan struct{}, 8)
				w := newTestEnv(t, func(a receivedRequest, to io.Writer) bool {
					text, filler := answer(a.id)
					endless(to, text, filler)
					closed <- struct{}{}
					return false
				})
				w.setTimeouts(time.Minute)
				began := time.Now()
				got := w.ask(path, "Request-Id: r\nDeadline: 60000\nKey: k\n", "x")
				if took := time.Since(began); (got.status/100 == 2 && got.err == nil) || took > 20*time.Second {
					t.Errorf("got status %d, error %v after %v; want no whole success, within 20s", got.status, got.err, took)
				}
				select {
				case <-closed:
				case <-time.After(10 * time.Second):
					t.Error("the connection to the target is still open")
				}
			})
		}
	}
}

// setTimeouts sets the time-out of all routes.
func (w *testEnv) setTimeouts(d time.Duration) {
	tbl := *w.engine.view.Load()
	tbl.Routes = nil
	for _, r := range w.engine.view.Load().Routes {
		route := *r
		route.Timeout = d
		tbl.Routes = append(tbl.Routes, &route)
	}
	w.setTable(&tbl)
}

// TestAnswerThatEndsWithItsConnection: a response with neither a length nor chunks is whole
// if the target closes the connection in order, and not if it resets it.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	body := strings.Repeat("abc", 50_000)
	for _, reset := range []bool{false, true} {
		w := newTestEnv(t, func(a receivedRequest, w io.Writer) bool {
			write(w, "HTTP/1.1 200 OK\r\nRequest-Id: "+a.id+"\r\nSignature: s\r\n\r\n"+body)
			if reset {
				time.Sleep(50 * time.Millisecond)
				panic(errReset)
			}
			return false
		})
		got := w.ask("/once/", fields, "x")
		if whole := got.status == 200 && got.err == nil && got.body == body; whole == reset {
			t.Errorf("reset %v: got status %d, %d bytes, error %v", reset, got.status, len(got.body), got.err)
		}
		if reset && got.status != 502 {
			t.Errorf("after a reset: got status %d, want 502", got.status)
		}
	}
}

// TestStreamEndsInsideAnEvent: a stream that ends inside an event has broken off, however its
// end is framed: the caller gets its whole events and no end, or the rest from another
// target if it can be resumed there.
func TestStreamEndsInsideAnEvent(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\n%s\r\n"
	rest := "id: 2\ndata: d"
	for name, response := range map[string]func(id string) string{
		"without length": func(id string) string { return fmt.Sprintf(head, id, "") + event(1) + rest },
		"with length": func(id string) string {
			return fmt.Sprintf(head, id, fmt.Sprintf("Content-Length: %d\r\n", len(event(1)+rest))) + event(1) + rest
		},
		"in chunks":                              func(id string) string { return streamHead(id) + chunk(event(1)) + chunk(rest) + "0\r\n\r\n" },
		"without length, before its first event": func(id string) string { return fmt.Sprintf(head, id, "") },
		"only a part of the first event": func(id string) string {
			return fmt.Sprintf(head, id, "") + rest
		},
	} {
		t.Run(name, func(t *testing.T) {
			first := true
			s := func(a receivedRequest, w io.Writer) bool {
				if first {
					first = false
					write(w, response(a.id))
					return false
				}
				return write(w, streamHead(a.id)+chunk(events(lastEvent(a)+1, 3))+"0\r\n\r\n")
			}
			w := newTestEnv(t, s, s)
			if got := w.ask("/stream/", fields, "x"); got.err == nil && got.status == 200 {
				t.Errorf("got %+v, want a response that breaks off or fails", got)
			}
			first = true
			if got := w.ask("/resume/", fields, "x"); got.err != nil || got.body != events(1, 3) {
				t.Errorf("resumable: got %+v, want events 1 to 3", got)
			}
		})
	}
}
