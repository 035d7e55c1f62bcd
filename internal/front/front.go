// Package front is the callers' HTTP side of an entry instance: chat
// completions, application calls, and refusals that say what became of the
// work.
package front

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/beryllanding/beryllanding/internal/entry"
)

// Doer serves requests. *entry.Engine is one.
type Doer interface {
	Do(ctx context.Context, req *entry.Request, sink entry.Sink) (entry.Result, error)
	Drain(ctx context.Context) error
	MayHaveRun(id string, call bool) bool
}

// Limits bounds what callers may send. A zero field stands for its default.
type Limits struct {
	// Body is the bytes of a request body.
	Body int64
	// HeaderBytes bounds the request line and the headers together; HeaderCount
	// bounds the header lines.
	HeaderBytes int
	HeaderCount int
	// HeaderRead and BodyRead are the times that a caller may take to send.
	HeaderRead time.Duration
	BodyRead   time.Duration
	// Write is the time that a caller may take to accept one write.
	Write time.Duration
	// Idle is the time that a connection is kept between requests.
	Idle time.Duration
	// Streams bounds the requests in progress.
	Streams int
}

// Defaults of Limits.
const (
	defaultBody        = 4 << 20
	defaultHeaderBytes = 32 << 10
	defaultHeaderCount = 100
	defaultHeaderRead  = 5 * time.Second
	defaultBodyRead    = 15 * time.Second
	defaultWrite       = 30 * time.Second
	defaultIdle        = 2 * time.Minute
	defaultStreams     = 4096
)

// Server serves callers. The exported fields are set before use; those marked
// optional may be left zero.
type Server struct {
	Engine    Doer
	Catalogue entry.Catalogue
	Limits    Limits
	// Logger and Tracer are optional.
	Logger *log.Logger
	Tracer trace.Tracer
	// Ready reports whether the instance can serve. It is optional.
	Ready func() bool
	// Counts only grow.
	Counts Counts

	once    sync.Once
	handler http.Handler
	door    door
}

// Handler returns the handler for all of the callers' paths.
func (s *Server) Handler() http.Handler {
	s.once.Do(s.init)
	return s.handler
}

// HTTP returns a server with the limits on time and header size set.
func (s *Server) HTTP(addr string) *http.Server {
	h := s.Handler()
	return &http.Server{
		Addr:              addr,
		Handler:           h,
		ReadHeaderTimeout: s.Limits.HeaderRead,
		IdleTimeout:       s.Limits.Idle,
		MaxHeaderBytes:    2 * s.Limits.HeaderBytes,
	}
}

func (s *Server) init() {
	s.Limits = s.Limits.withDefaults()
	s.door.limit = s.Limits.Streams
	if s.Tracer == nil {
		s.Tracer = noop.NewTracerProvider().Tracer("front")
	}
	s.handler = s.routes()
}

// routes maps the paths to their handlers.
func (s *Server) routes() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc("/healthz", s.alive).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/readyz", s.ready).Methods(http.MethodGet, http.MethodHead)
	r.Handle("/v1/chat/completions", s.serve(s.chat)).Methods(http.MethodPost)
	r.Handle("/apps/{service}", s.serve(s.call)).Methods(callMethods...)
	r.Handle("/apps/{service}/{rest:.*}", s.serve(s.call)).Methods(callMethods...)
	r.NotFoundHandler = http.HandlerFunc(s.notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(s.notAllowed)
	return r
}

// Leave makes the instance refuse new requests. Those in progress go on.
func (s *Server) Leave() { s.door.leave() }

// Drain blocks until all requests are answered and all tickets are settled, or
// the context ends. Leave comes before it.
func (s *Server) Drain(ctx context.Context) error {
	if err := s.door.wait(ctx); err != nil {
		return err
	}
	return s.Engine.Drain(ctx)
}

// alive answers as long as the process serves HTTP.
func (s *Server) alive(w http.ResponseWriter, _ *http.Request) {
	writeStatus(w, http.StatusOK, "alive")
}

// ready answers whether the balancer should send requests here.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.door.leaving():
		writeStatus(w, http.StatusServiceUnavailable, "leaving")
	case s.Ready != nil && !s.Ready():
		writeStatus(w, http.StatusServiceUnavailable, "starting")
	default:
		writeStatus(w, http.StatusOK, "ready")
	}
}

func writeStatus(w http.ResponseWriter, code int, status string) {
	writeJSON(w, code, struct {
		Status string `json:"status"`
	}{status})
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.Body, defaultBody)
	setDefault(&l.HeaderBytes, defaultHeaderBytes)
	setDefault(&l.HeaderCount, defaultHeaderCount)
	setDefault(&l.HeaderRead, defaultHeaderRead)
	setDefault(&l.BodyRead, defaultBodyRead)
	setDefault(&l.Write, defaultWrite)
	setDefault(&l.Idle, defaultIdle)
	setDefault(&l.Streams, defaultStreams)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// errFull reports that the limit of requests in progress is reached.
var errFull = errors.New("too many requests in progress")

// errLeaving reports that the instance takes no new requests.
var errLeaving = errors.New("instance is leaving")

// door counts the requests in progress and lets in new ones.
type door struct {
	limit int

	mu     sync.Mutex
	inside int
	closed bool
	empty  chan struct{}
}

// enter lets a request in. The errors are errLeaving and errFull.
func (d *door) enter() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return errLeaving
	}
	if d.inside >= d.limit {
		return errFull
	}
	d.inside++
	return nil
}

// exit ends what enter let in.
func (d *door) exit() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inside--
	if d.inside == 0 && d.empty != nil {
		close(d.empty)
		d.empty = nil
	}
}

func (d *door) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
}

func (d *door) leaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closed
}

// wait blocks until no request is in progress or the context ends.
func (d *door) wait(ctx context.Context) error {
	d.mu.Lock()
	if d.inside == 0 {
		d.mu.Unlock()
		return nil
	}
	if d.empty == nil {
		d.empty = make(chan struct{})
	}
	empty := d.empty
	d.mu.Unlock()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
