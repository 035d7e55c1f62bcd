// Package front is the HTTP server of an entry instance for callers: chat completions,
// application calls, and refusals that state the outcome of the work.
package front

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/beryllanding/beryllanding/internal/entry"
)

// Doer serves requests. *entry.Engine implements it.
type Doer interface {
	Do(ctx context.Context, req *entry.Request, sink entry.Sink) (entry.Result, error)
	Drain(ctx context.Context) error
	MayHaveRun(id string, call bool) bool
}

// Limits bounds what callers may send. A zero field means the default.
type Limits struct {
	// Body limits a request body, in bytes.
	Body int64
	// HeaderBytes limits the request line and the headers together, in bytes.
	// HeaderCount limits the number of header lines.
	HeaderBytes int
	HeaderCount int
	// HeaderRead and BodyRead are the times within which a caller must have sent
	// the headers and the body.
	HeaderRead time.Duration
	BodyRead   time.Duration
	// Write is the time within which a caller must accept one write.
	Write time.Duration
	// Idle is how long a connection is kept open between requests.
	Idle time.Duration
	// MaxInProgress limits the requests in progress.
	MaxInProgress int
}

// Defaults of Limits; Body and HeaderBytes are in bytes.
const (
	defaultBody          = 4 << 20
	defaultHeaderBytes   = 32 << 10
	defaultHeaderCount   = 100
	defaultHeaderRead    = 5 * time.Second
	defaultBodyRead      = 15 * time.Second
	defaultWrite         = 30 * time.Second
	defaultIdle          = 2 * time.Minute
	defaultMaxInProgress = 4096
)

// Server serves callers. Set the exported fields before use; those marked optional may be
// left zero.
type Server struct {
	Engine    Doer
	Catalogue entry.Catalogue
	Limits    Limits
	// Logger and Tracer are optional.
	Logger *log.Logger
	Tracer trace.Tracer
	// Ready reports whether the instance can serve requests. It is optional.
	Ready func() bool
	// Counts are the server's counters. They only increase.
	Counts Counts

	once    sync.Once
	handler http.Handler
	limiter limiter
}

// Handler returns the handler for all paths that callers use.
func (s *Server) Handler() http.Handler {
	s.once.Do(s.init)
	return s.handler
}

// HTTP returns an HTTP server with the limits on times and header size set.
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
	s.limiter.limit = s.Limits.MaxInProgress
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

// StartDraining makes the instance refuse new requests. Requests in progress continue.
func (s *Server) StartDraining() { s.limiter.close() }

// Drain waits until all requests are answered and all reservations are settled, or the
// context ends. Call StartDraining first.
func (s *Server) Drain(ctx context.Context) error {
	if err := s.limiter.wait(ctx); err != nil {
		return err
	}
	return s.Engine.Drain(ctx)
}

// alive responds as long as the process serves HTTP.
func (s *Server) alive(w http.ResponseWriter, _ *http.Request) {
	writeStatus(w, http.StatusOK, "alive")
}

// ready reports whether the load balancer should send requests to this instance.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.limiter.isClosed():
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
	l.Body = cmp.Or(l.Body, defaultBody)
	l.HeaderBytes = cmp.Or(l.HeaderBytes, defaultHeaderBytes)
	l.HeaderCount = cmp.Or(l.HeaderCount, defaultHeaderCount)
	l.HeaderRead = cmp.Or(l.HeaderRead, defaultHeaderRead)
	l.BodyRead = cmp.Or(l.BodyRead, defaultBodyRead)
	l.Write = cmp.Or(l.Write, defaultWrite)
	l.Idle = cmp.Or(l.Idle, defaultIdle)
	l.MaxInProgress = cmp.Or(l.MaxInProgress, defaultMaxInProgress)
	return l
}
