package edge

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/beryllanding/beryllanding/internal/alloc"
	"github.com/beryllanding/beryllanding/internal/meter"
	"github.com/beryllanding/beryllanding/internal/stand/keyd"
	"github.com/beryllanding/beryllanding/pkg/http1"
	"github.com/beryllanding/beryllanding/pkg/roster"
	"github.com/beryllanding/beryllanding/pkg/route"
	"github.com/beryllanding/beryllanding/pkg/table"
)

// testDialect uses names that differ from the platform's, since the engine must not
// depend on the platform's names.
var testDialect = Dialect{
	RequestID: "Request-Id", Deadline: "Deadline", Key: "Key", Organisation: "Organisation",
	Tokens: "Tokens", Prefix: "Prefix", LastEvent: "Last-Event", Resumes: "Resumes", Signature: "Signature",
	Expect: "Expect-Target", NotRun: "Not-Run", Leaving: "Leaving", Limit: "Limit", Load: "Load", Priority: "Rank",
	Internal: []string{"Internal"},
	ParseTokens: func(field []byte) (Tokens, error) {
		var tk Tokens
		if _, err := fmt.Sscanf(string(field), "%d,%d", &tk.Prompt, &tk.Output); err != nil {
			return Tokens{}, err
		}
		return tk, nil
	},
	ParsePrefix: func(field []byte) Prefix {
		parts := strings.Split(string(field), ",")
		return Prefix{Key: route.HashPrefix(field), Parts: parts[:len(parts)-1], Own: parts[len(parts)-1]}
	},
	ParseLoad: func([]byte) (route.Status, bool) { return route.Status{}, false },
}

// receivedRequest is a request as a target received it.
type receivedRequest struct {
	target string
	head   string
	body   string
	id     string
}

// script responds to a request by writing to the connection. If it returns false, the
// connection is closed in order. If it panics with errReset, the connection is reset.
type script func(a receivedRequest, w io.Writer) bool

var errReset = errors.New("reset")

// testEnv runs an engine with scripted targets.
type testEnv struct {
	t      *testing.T
	engine *Engine
	server *Server
	addr   string

	mu       sync.Mutex
	requests []receivedRequest
	scripts  map[string]script
	// listeners holds the listener of each target.
	listeners map[string]net.Listener
}

// end closes the listener of a target, as if its process had ended.
func (w *testEnv) end(target string) {
	for {
		w.mu.Lock()
		l := w.listeners[target]
		w.mu.Unlock()
		if l != nil {
			_ = l.Close()
			return
		}
		time.Sleep(time.Millisecond) // The target's goroutine has not started yet.
	}
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// newTestEnv starts an engine with targets of the service "s", one for each script.
func newTestEnv(t *testing.T, scripts ...script) *testEnv {
	t.Helper()
	w := &testEnv{t: t, scripts: make(map[string]script), listeners: make(map[string]net.Listener)}
	logger := log.New(io.Discard)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	budgets := alloc.New(alloc.Options{Store: &keyd.Store{}, Topic: "b", Partitions: 1, Instance: "i", Policy: alloc.Policy})
	go budgets.Run(ctx)
	w.engine = &Engine{
		Dialect: testDialect, Budgets: budgets, Logger: logger, Meter: &meter.Meter{},
		fleet: newFleet("here", Retries{Window: 10 * time.Second, Share: 1, Burst: 1000}, nil), started: time.Now(),
	}
	w.engine.loaded = make(chan struct{})
	close(w.engine.loaded)
	w.server = &Server{Engine: w.engine, Logger: logger}
	w.setTable(&table.Table{
		Version: 1,
		Routes: []*table.Route{
			{Name: "once", Host: "h", Prefix: "/once/", MaxTargets: 3, Shares: []table.Share{{Service: "s"}}, Timeout: 2 * time.Second},
			{Name: "idem", Host: "h", Prefix: "/idem/", Repeat: table.Idempotent, MaxTargets: 3, Shares: []table.Share{{Service: "s"}}, Timeout: 2 * time.Second},
			{Name: "stream", Host: "h", Prefix: "/stream/", Stream: true, MaxTargets: 3, Shares: []table.Share{{Service: "s"}}, Timeout: 2 * time.Second},
			{Name: "resume", Host: "h", Prefix: "/resume/", Stream: true, Resumable: true, MaxTargets: 3, Shares: []table.Share{{Service: "s"}}, Timeout: 2 * time.Second},
			{Name: "open", Host: "h", Prefix: "/open/", Public: true, MaxTargets: 1, Shares: []table.Share{{Service: "s"}}, Timeout: 5 * time.Second},
		},
		Services: map[string]table.Service{"s": {Name: "s", EventTokens: 10}},
		NeedsKey: true,
		Keys: map[string]*table.Organisation{
			"k": {Name: "o", Priority: 3, HasPriority: true},
			"p": {Name: "paying", Limited: true, Prepaid: 1000},
		},
		Limits: table.Limits{HeadBytes: 4096, BodyBytes: 1 << 16, HeadTimeout: time.Second, IdleTimeout: 5 * time.Second},
	})
	budgets.SetTotals(1, []alloc.Total{{Budget: "paying", Tokens: 1000}})
	var list []roster.Target
	for i, s := range scripts {
		id := fmt.Sprintf("t%d", i)
		w.scripts[id] = s
		list = append(list, roster.Target{ID: id, Service: "s", Address: w.target(id), DataCentre: "here"})
	}
	w.engine.fleet.update(list)
	w.addr = w.listen(func(l net.Listener) { _ = w.server.Serve(l) })
	return w
}

func (w *testEnv) setTable(tbl *table.Table) {
	tbl.Index()
	w.engine.view.Store(tbl)
	w.engine.confirm(time.Now())
}

func (w *testEnv) listen(serve func(net.Listener)) string {
	w.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = l.Close() })
	go serve(l)
	return l.Addr().String()
}

// target starts a scripted target and returns its address.
func (w *testEnv) target(id string) string {
	return w.listen(func(l net.Listener) {
		w.mu.Lock()
		w.listeners[id] = l
		w.mu.Unlock()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.serveTarget(id, c)
		}
	})
}

func (w *testEnv) serveTarget(id string, c net.Conn) {
	defer func() {
		if r := recover(); r != nil {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	for {
		var raw bytes.Buffer
		head := &http1.Head{}
		if err := head.ReadRequest(r, 1<<16); err != nil {
			return
		}
		for _, f := range head.Fields {
			fmt.Fprintf(&raw, "%s: %s\n", f.Name, f.Value)
		}
		body, err := http1.NewBody(r, head).ReadAll(nil, 1<<20)
		if err != nil {
			return
		}
		a := receivedRequest{target: id, head: string(head.Method) + " " + string(head.Path) + "\n" + raw.String(), body: string(body), id: string(head.Get("Request-Id"))}
		w.mu.Lock()
		w.requests = append(w.requests, a)
		s := w.scripts[id]
		w.mu.Unlock()
		if !s(a, c) {
			return
		}
	}
}

// received returns the requests that targets have received so far.
func (w *testEnv) received() []receivedRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]receivedRequest(nil), w.requests...)
}

// reply is a response as a caller received it. err is set if the response is
// incomplete.
type reply struct {
	status int
	head   *http1.Head
	body   string
	err    error
}

// ask sends a request on a new connection and reads the response.
func (w *testEnv) ask(path, fields, body string) reply {
	w.t.Helper()
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		w.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return w.askOn(c, bufio.NewReader(c), path, fields, body)
}

func (w *testEnv) askOn(c net.Conn, r *bufio.Reader, path, fields, body string) reply {
	w.t.Helper()
	method := "POST"
	if body == "" {
		method = "GET"
	}
	text := method + " " + path + " HTTP/1.1\r\nHost: h\r\n" + strings.ReplaceAll(fields, "\n", "\r\n")
	if body != "" {
		text += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	if _, err := io.WriteString(c, text+"\r\n"+body); err != nil {
		w.t.Fatal(err)
	}
	return read(r)
}

func read(r *bufio.Reader) reply {
	head := &http1.Head{}
	if err := head.ReadResponse(r, 1<<16, []byte("GET")); err != nil {
		return reply{err: err}
	}
	b := http1.NewBody(r, head)
	data, err := b.ReadAll(nil, 1<<20)
	return reply{status: head.Status, head: head, body: string(data), err: err}
}
