package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// request is one request of a client.
type request struct {
	path, key string
	// prompt and output are the tokens of a stream's prompt and the most of its output.
	prompt, output int
	// after is the id of the last event that the client has, or 0.
	after int
	// resumes is the id of the request that brought the stream's first event. It is sent in a
	// field that the project knows, and that no page names, unless it is empty.
	resumes  string
	deadline time.Duration
	// leaveAfter breaks the connection after this number of events; 0 stands for never.
	leaveAfter int
}

// answer is what the client got.
type answer struct {
	attempt string
	status  int
	// events are the data of the events. whole is set if the answer ended as complete.
	events []string
	whole  bool
	err    error
}

// attempts counts the requests of all clients.
var attempts atomic.Int64

// newAttempt returns the id of a new request.
func newAttempt() string { return fmt.Sprintf("%016x", 0x1c41d07be2000000+attempts.Add(1)) }

// errLeft reports that the client broke its connection.
var errLeft = errors.New("the client broke the connection")

// ask sends a request on a new connection.
func ask(rec *recorder, frontend string, q request) (a answer) {
	a.attempt = newAttempt()
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+frontend+q.path, strings.NewReader("question "+a.attempt))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = "desk.example"
	req.Header.Set(name("attempt"), a.attempt)
	req.Header.Set(name("key"), q.key)
	req.Header.Set(name("deadline"), fmt.Sprint(q.deadline.Milliseconds()))
	if q.prompt > 0 {
		req.Header.Set(name("model"), "m")
		req.Header.Set(name("tokens"), fmt.Sprintf("%d,%d", q.prompt, q.output))
		req.Header.Set(name("prefix"), fmt.Sprintf("%08x:%d,%s:%d", rand.Uint32(), q.prompt/2, a.attempt, q.prompt-q.prompt/2))
	}
	if q.after > 0 {
		req.Header.Set("Last-Event-Id", fmt.Sprint(q.after))
	}
	if q.resumes != "" {
		req.Header.Set("Resumes", q.resumes)
	}
	rec.linef("client: %s %s after event %d: sent to %s, tokens %d,%d", a.attempt, q.path, q.after, frontend, q.prompt, q.output)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.err = err
		rec.linef("client: %s %s after event %d: no answer: %v", a.attempt, q.path, q.after, err)
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status = resp.StatusCode
	if a.status != http.StatusOK {
		text, _ := io.ReadAll(resp.Body) // The text only explains the status.
		rec.linef("client: %s %s after event %d: status %d, %s", a.attempt, q.path, q.after, a.status, text)
		return a
	}
	a.read(resp.Body, q.leaveAfter, cancel)
	rec.linef("client: %s %s after event %d: status 200, %d events, whole %v, error %v", a.attempt, q.path, q.after, len(a.events), a.whole, a.err)
	return a
}

// read reads the events of an answer.
func (a *answer) read(body io.Reader, leaveAfter int, leave func()) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		a.events = append(a.events, data)
		if len(a.events) == leaveAfter {
			leave()
			a.err = errLeft
			return
		}
	}
	a.err = lines.Err()
	a.whole = a.err == nil
}

// every calls fn in a goroutine each interval for a time, and waits for all calls to end.
func every(interval, length time.Duration, fn func()) {
	done := make(chan struct{})
	n := 0
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(interval) {
		n++
		go func() {
			fn()
			done <- struct{}{}
		}()
	}
	for range n {
		<-done
	}
}

// reserveBytes is the size of the body of a request that reserves a part.
const reserveBytes = 600

// reserve sends a request that may run once, on a connection that the client has. It returns
// the request's id and the status of the answer, or 0 if the connection ended without one.
func reserve(rec *recorder, conn net.Conn) (id string, status int) {
	id = newAttempt()
	began := time.Now()
	rec.linef("client: %s /reserve/part: sent to %s", id, conn.RemoteAddr())
	_ = conn.SetDeadline(began.Add(5 * time.Second)) // It fails on a closed connection only.
	_, err := fmt.Fprintf(conn, "POST /reserve/part HTTP/1.1\r\nHost: desk.example\r\n%s: %s\r\n%s: key-b\r\n%s: 1500\r\nContent-Length: %d\r\n\r\n%s",
		name("attempt"), id, name("key"), name("deadline"), reserveBytes, strings.Repeat("x", reserveBytes))
	if err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			status = resp.StatusCode
			_, err = io.Copy(io.Discard, resp.Body)
		}
	}
	rec.linef("client: %s /reserve/part: status %d after %.0f ms, error %v", id, status, time.Since(began).Seconds()*1000, err)
	return id, status
}
