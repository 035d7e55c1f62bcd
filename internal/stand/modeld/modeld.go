// Package modeld is a stand-in for a model replica, for tests and the emulator. It
// reads prompts one at a time, generates output for a bounded number of requests at a
// time, and streams events over HTTP with the header names of an edge.Dialect. It has
// switches for its failures.
package modeld

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/beryllanding/beryllanding/internal/edge"
	"github.com/beryllanding/beryllanding/internal/stand/toggle"
	"github.com/beryllanding/beryllanding/pkg/pause"
)

// Switches are the failures of a replica. The zero value has none.
type Switches struct {
	// Silent accepts requests and never answers them.
	Silent bool `json:"silent"`
	// Reject refuses requests, with the header field that proves they did not run.
	Reject bool `json:"reject"`
	// Fault runs requests and answers them with status 500.
	Fault bool `json:"fault"`
	// Break cuts the connection after this number of events; 0 stands for never.
	Break int `json:"break"`
	// Foreign answers with the answer to another request, and closes the connection.
	Foreign bool `json:"foreign"`
	// Leaving adds the header field that says that the replica leaves to all responses.
	// The replica goes on serving.
	Leaving bool `json:"leaving"`
	// Rest refuses requests as Reject does, and asks for a rest of this duration.
	Rest time.Duration `json:"rest"`
	// Limit is the number of requests a second that all responses name as the replica's
	// limit; 0 names none. The replica takes any number of requests.
	Limit float64 `json:"limit"`
	// Slow multiplies all latencies; 0 stands for 1.
	Slow float64 `json:"slow"`
}

// Engine is one replica. Its fields are set before use.
type Engine struct {
	ID      string
	Dialect edge.Dialect
	// Slots bounds the requests that run at a time. Values below 1 stand for 1.
	// Queue bounds the requests that wait.
	Slots, Queue int
	// PromptRate is the number of prompt tokens read per second, and Step the time
	// between two events.
	PromptRate float64
	Step       time.Duration
	// EventTokens is the number of tokens per event.
	EventTokens int64
	// Version is the version of the replica's software. Each event names it.
	Version string
	// CrashAfter, if it is not nil, returns whether the request with an id crashes the
	// replica, and after how many events. Crash then ends the replica's process, and may be
	// called again until it has ended.
	CrashAfter func(id string) (events int, crashes bool)
	Crash      func(id string)
	// Dark, while it is set, keeps the replica from sending anything on any connection.
	Dark atomic.Bool
	// Arrived, if it is not nil, is called for each request as it arrives, with its id and
	// the limit that its response names.
	Arrived func(id string, limit float64)

	// Accepted, if it is not nil, is called with the id of each request that is meant for the
	// replica.
	Accepted func(id string)

	Switches toggle.Box[Switches]

	once  sync.Once
	slots chan struct{}
	// prompts is held by the request whose prompt is being read.
	prompts sync.Mutex

	mu      sync.Mutex
	waiting int
	// seen holds the prefixes that were read.
	seen map[uint64]bool
	runs map[string]int
	// askedRest is the number of responses that asked for a rest.
	askedRest int
}

// Runs returns the number of runs of each request, by request id.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]int, len(e.runs))
	for id, n := range e.runs {
		runs[id] = n
	}
	return runs
}

// AskedRest returns the number of responses in which the replica asked for a rest.
func (e *Engine) AskedRest() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.askedRest
}

func (e *Engine) init() {
	e.slots = make(chan struct{}, max(1, e.Slots))
	e.seen = make(map[uint64]bool)
	e.runs = make(map[string]int)
}

// request is a request in progress.
type request struct {
	e      *Engine
	w      http.ResponseWriter
	r      *http.Request
	id     string
	tokens edge.Tokens
	prefix uint64
	shared int64
	// after is the number of the last event that the caller has.
	after    int64
	switches Switches
}

// ServeHTTP runs a request.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.once.Do(e.init)
	d := &e.Dialect
	q := &request{e: e, w: w, r: r, id: r.Header.Get(d.RequestID), switches: e.Switches.Get()}
	_, _ = io.Copy(io.Discard, r.Body) // If the body is cut off, the request's context ends.
	w.Header().Set(d.RequestID, q.id)
	if q.switches.Leaving {
		w.Header().Set(d.Leaving, "1")
	}
	if q.switches.Limit > 0 {
		w.Header().Set(d.Limit, strconv.FormatFloat(q.switches.Limit, 'f', -1, 64))
	}
	if field := r.Header.Get(d.Prefix); field != "" {
		prefix := d.ParsePrefix([]byte(field))
		q.prefix, q.shared = prefix.Key, prefix.Shared
	}
	if e.Arrived != nil {
		e.Arrived(q.id, q.switches.Limit)
	}
	if q.switches.Silent || e.Dark.Load() {
		<-r.Context().Done()
		return
	}
	if expect := r.Header.Get(d.Expect); expect != e.ID {
		q.decline(http.StatusMisdirectedRequest)
		return
	}
	if e.Accepted != nil {
		e.Accepted(q.id)
	}
	if tokens, err := d.ParseTokens([]byte(r.Header.Get(d.Tokens))); err == nil {
		q.tokens = tokens
	}
	q.after, _ = strconv.ParseInt(r.Header.Get(d.LastEvent), 10, 64) // An absent field gives 0: all events.
	if rest := q.switches.Rest; rest > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(rest.Seconds(), 'f', -1, 64))
		e.mu.Lock()
		e.askedRest++
		e.mu.Unlock()
		q.decline(http.StatusServiceUnavailable)
		return
	}
	if q.switches.Reject || !q.acquireSlot() {
		q.decline(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-e.slots }()
	q.run()
}

// crashAfter crashes the replica if the request does so after this number of events. It
// returns false if the request is served no further.
func (q *request) crashAfter(events int) bool {
	if q.e.CrashAfter == nil {
		return true
	}
	after, crashes := q.e.CrashAfter(q.id)
	if !crashes || after != events {
		return true
	}
	if events == 0 && q.tokens.Prompt > 0 {
		_ = http.NewResponseController(q.w).Flush() // The head may not reach the caller.
	}
	q.e.Crash(q.id)
	if !q.e.Dark.Load() {
		panic(http.ErrAbortHandler)
	}
	<-q.r.Context().Done()
	return false
}

// decline refuses the request, with the header field that proves it did not run.
func (q *request) decline(status int) {
	q.w.Header().Set(q.e.Dialect.NotRun, "1")
	q.w.WriteHeader(status)
}

// acquireSlot waits for a slot. It returns false if too many requests wait or the
// caller has left.
func (q *request) acquireSlot() bool {
	e := q.e
	select {
	case e.slots <- struct{}{}:
		return true
	default:
	}
	e.mu.Lock()
	if e.waiting >= e.Queue {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.waiting--
	}()
	select {
	case e.slots <- struct{}{}:
		return true
	case <-q.r.Context().Done():
		return false
	}
}

// run reads the prompt and streams the output.
func (q *request) run() {
	e := q.e
	e.mu.Lock()
	e.runs[q.id]++
	e.mu.Unlock()
	if !q.read() {
		return
	}
	if q.switches.Fault {
		q.w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if q.switches.Foreign {
		q.foreign()
		return
	}
	e.mu.Lock()
	load := fmt.Sprintf("%d,%d", len(e.slots), e.waiting)
	e.mu.Unlock()
	q.w.Header().Set(e.Dialect.Signature, e.ID)
	q.w.Header().Set(e.Dialect.Load, load)
	if q.r.Header.Get(e.Dialect.Tokens) == "" {
		q.plain()
		return
	}
	q.w.Header().Set("Content-Type", "text/event-stream")
	q.events()
}

// plain answers a request without a prompt with its id.
func (q *request) plain() {
	if !q.pause(q.e.Step) || !q.crashAfter(0) {
		return
	}
	_, _ = io.WriteString(q.w, q.id) // If the caller has left, nothing is to be done.
}

// read simulates reading the prompt. A shared prefix that was read before takes no
// time. It returns false if the caller has left.
func (q *request) read() bool {
	e := q.e
	e.prompts.Lock()
	defer e.prompts.Unlock()
	unread := q.tokens.Prompt
	e.mu.Lock()
	if e.seen[q.prefix] {
		unread -= q.shared
	}
	e.seen[q.prefix] = true
	e.mu.Unlock()
	return q.pause(time.Duration(float64(unread) / e.PromptRate * float64(time.Second)))
}

// pause waits for d times the slow factor. It returns false if the caller has left.
func (q *request) pause(d time.Duration) bool {
	if q.switches.Slow > 0 {
		d = time.Duration(float64(d) * q.switches.Slow)
	}
	if !pause.For(q.r.Context(), d) {
		return false
	}
	if q.e.Dark.Load() {
		<-q.r.Context().Done()
		return false
	}
	return true
}

// events streams the events after the last one that the caller has.
func (q *request) events() {
	e := q.e
	flusher := http.NewResponseController(q.w)
	last := (q.tokens.Output + e.EventTokens - 1) / e.EventTokens
	for n := q.after + 1; n <= last; n++ {
		if !q.crashAfter(int(n-q.after-1)) || !q.pause(e.Step) {
			return
		}
		if _, err := fmt.Fprintf(q.w, "id: %d\ndata: %s\n\n", n, e.Version); err != nil {
			return
		}
		if err := flusher.Flush(); err != nil {
			return
		}
		if q.switches.Break > 0 && n-q.after >= int64(q.switches.Break) {
			panic(http.ErrAbortHandler) // cuts the connection in the middle of the answer
		}
	}
}

// foreign writes the answer to another request and closes the connection.
func (q *request) foreign() {
	conn, _, err := http.NewResponseController(q.w).Hijack()
	if err != nil {
		return
	}
	d := &q.e.Dialect
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: other\r\n%s: %s\r\nContent-Length: 5\r\n\r\nother", d.RequestID, d.Signature, q.e.ID) // A failed write is of no consequence: the connection is closed.
	_ = conn.Close()
}
