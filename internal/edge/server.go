package edge

import (
	"bufio"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/beryllanding/beryllanding/pkg/http1"
	"github.com/beryllanding/beryllanding/pkg/table"
)

// defaultLimits apply until a configuration is known.
var defaultLimits = table.Limits{
	HeadBytes:   16 << 10,
	BodyBytes:   4 << 20,
	HeadTimeout: 3 * time.Second,
	IdleTimeout: 15 * time.Second,
}

const (
	// callerBufferBytes is the size of the read buffer of a caller's connection.
	callerBufferBytes = 4096
	// bodyTimeout bounds how long a caller may take to send a request body.
	bodyTimeout = 10 * time.Second
	// acceptPause is the pause after a failed accept, for example for lack of file
	// descriptors.
	acceptPause = 10 * time.Millisecond
	// closePoll is the interval at which Close looks for connections whose response has
	// been written.
	closePoll = 5 * time.Millisecond
)

// Server serves callers' connections.
type Server struct {
	Engine *Engine
	Logger *log.Logger

	stopping atomic.Bool
	mu       sync.Mutex
	conns    map[*callerConn]struct{}
	active   sync.WaitGroup
}

// callerConn is a caller's connection. One goroutine reads requests and detects that
// the caller disconnects. Another responds, one request at a time.
type callerConn struct {
	s  *Server
	nc net.Conn
	r  *bufio.Reader
	// state is one of connIdle, connBusy and connClosed. served is set once a response was
	// written.
	state  atomic.Int32
	served atomic.Bool
	// leave ends the request in progress, with its cause.
	leave context.CancelCauseFunc
	// requestID is the id of the latest request, or nil before the first.
	requestID atomic.Pointer[string]
}

// The states of a caller's connection.
const (
	// connIdle is the state while no request is in progress.
	connIdle int32 = iota
	// connBusy is the state from a request's first byte to the end of its response.
	connBusy
	// connClosed is the state of an idle connection that the server has closed. A request
	// that has arrived on it is not served.
	connClosed
)

// request is a request that has been read completely.
type request struct {
	head    *http1.Head
	body    []byte
	arrived time.Time
	// reserved is the memory that is reserved for the body, in bytes.
	reserved int64
}

// Serve accepts connections until the listener closes.
func (s *Server) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.Logger.Warn("connection could not be accepted", "err", err)
			time.Sleep(acceptPause)
			continue
		}
		s.Engine.Meter.Connection()
		nc = s.Engine.room.counted(nc)
		c := &callerConn{s: s, nc: nc, r: bufio.NewReaderSize(nc, callerBufferBytes)}
		s.mu.Lock()
		if s.conns == nil {
			s.conns = make(map[*callerConn]struct{})
		}
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go c.serve()
	}
}

// Stop makes every further response the last one of its connection.
func (s *Server) Stop() { s.stopping.Store(true) }

// CloseIdle closes the connections that wait for another request. Connections that have
// not carried a request yet stay open, since their first request is about to arrive.
func (s *Server) CloseIdle() {
	s.closeIdle(func(c *callerConn) bool { return c.served.Load() })
}

// closeIdle closes the chosen connections that have no request in progress.
func (s *Server) closeIdle(choose func(*callerConn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if choose(c) && c.state.CompareAndSwap(connIdle, connClosed) {
			_ = c.nc.Close() // The read fails and the reading goroutine ends.
		}
	}
}

// Busy returns the number of requests in progress.
func (s *Server) Busy() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state.Load() == connBusy {
			n++
		}
	}
	return n
}

// End ends the requests in progress, with a cause. Their callers get what response is left to them.
func (s *Server) End(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state.Load() == connBusy && c.leave != nil {
			c.leave(cause)
		}
	}
}

// maxListed bounds the requests that inProgress returns.
const maxListed = 32

// inProgress returns the ids of requests in progress, at most maxListed.
func (s *Server) inProgress() (ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if id := c.requestID.Load(); id != nil && c.state.Load() == connBusy && len(ids) < maxListed {
			ids = append(ids, *id)
		}
	}
	return ids
}

// open returns the number of open connections.
func (s *Server) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// awaitIdle waits until no request is in progress, up to a moment.
func (s *Server) awaitIdle(until time.Time) {
	for s.Busy() > 0 && time.Now().Before(until) {
		time.Sleep(stopPoll)
	}
}

// Close closes each connection as soon as it has no request in progress, for up to the
// timeout, and returns the number of connections that are left. Serve must have returned.
func (s *Server) Close(timeout time.Duration) (left int) {
	end := time.Now().Add(timeout)
	for {
		s.closeIdle(func(*callerConn) bool { return true })
		if left = s.open(); left == 0 || time.Now().After(end) {
			return left
		}
		time.Sleep(closePoll)
	}
}

// limits returns the limits of the active configuration, or the default ones.
func (s *Server) limits() table.Limits {
	if t := s.Engine.view.Load(); t != nil {
		return t.Limits
	}
	return defaultLimits
}

// serve reads requests and passes them to the responding goroutine.
func (c *callerConn) serve() {
	ctx, leave := context.WithCancelCause(context.Background())
	c.s.mu.Lock()
	c.leave = leave
	c.s.mu.Unlock()
	requests := make(chan request)
	done := make(chan bool, 1)
	go c.serveRequests(ctx, requests, done)
	defer func() {
		leave(ErrCallerGone)
		close(requests)
		c.s.mu.Lock()
		delete(c.s.conns, c)
		c.s.mu.Unlock()
	}()
	c.setDeadline(c.s.limits().IdleTimeout)
	for {
		if _, err := c.r.Peek(1); err != nil {
			_ = c.nc.Close() // The caller disconnected or stayed idle.
			return
		}
		if !c.state.CompareAndSwap(connIdle, connBusy) {
			return
		}
		req, ok := c.read()
		if !ok {
			return
		}
		// There is no read deadline while the response is pending, since the request
		// has its own deadline.
		c.setDeadline(0)
		requests <- req
		_, err := c.r.Peek(1)
		if err != nil && !isTimeout(err) {
			// The caller disconnected or closed its side: nobody waits for the response.
			leave(ErrCallerGone)
		}
		if keepOpen := <-done; !keepOpen || err != nil {
			_ = c.nc.Close() // The response was written, or nobody waits for it.
			return
		}
	}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// isDeadline reports whether a deadline of this process has passed. Other timeouts, such as
// ETIMEDOUT, are errors of the connection, which can't be used any more.
func isDeadline(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}

// setDeadline sets the read deadline to d from now; 0 means none.
func (c *callerConn) setDeadline(d time.Duration) {
	var at time.Time
	if d > 0 {
		at = time.Now().Add(d)
	}
	// SetReadDeadline fails only on a closed connection. The next read then fails too.
	_ = c.nc.SetReadDeadline(at)
}

// read reads a request. On failure it responds and closes the connection, since it
// cannot tell where the next request starts.
func (c *callerConn) read() (request, bool) {
	limits := c.s.limits()
	c.setDeadline(limits.HeadTimeout)
	req := request{head: &http1.Head{}, arrived: time.Now()}
	err := req.head.ReadRequest(c.r, limits.HeadBytes)
	if err == nil && req.head.Framing != http1.FramingNone {
		c.setDeadline(bodyTimeout)
		if expect := req.head.Get("Expect"); expect != nil && http1.EqualName(expect, "100-continue") {
			if _, err := c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
				_ = c.nc.Close() // The caller has disconnected.
				return req, false
			}
		}
		err = req.readBody(c.r, limits.BodyBytes, &c.s.Engine.bodies)
	}
	if err != nil {
		c.s.Engine.bodies.Release(req.reserved)
		c.reject(err, req)
		return req, false
	}
	return req, true
}

// reject responds to a request that cannot be read, and closes the connection.
func (c *callerConn) reject(err error, req request) {
	defer func() { _ = c.nc.Close() }()
	status, retryAfter := 0, time.Duration(0)
	switch {
	case errors.Is(err, http1.ErrHeadTooLarge):
		status = statusHeadTooLarge
	case errors.Is(err, http1.ErrBodyTooLarge):
		status = statusContentTooLarge
	case errors.Is(err, http1.ErrMalformed):
		status = statusBadRequest
	case errors.Is(err, ErrBodiesFull):
		status, retryAfter = statusUnavailable, busyRetry+rand.N(retryJitter*busyRetry)
	case isTimeout(err):
		status = statusRequestTimeout
	default:
		return
	}
	c.s.Engine.Meter.Request("", outcomeDenied, status, 0)
	c.s.Logger.Info("request cannot be read", "peer", c.nc.RemoteAddr().String(), "status", status, "err", err)
	w := &responseWriter{nc: c.nc, close: true}
	id := req.head.Get(c.s.Engine.Dialect.RequestID)
	if werr := w.writeError(status, id, c.s.Engine.Dialect.RequestID, retryAfter, err.Error()); werr != nil {
		return
	}
	c.linger()
}

const (
	// lingerTimeout and maxLingerBytes bound what is read after a rejection. Closing a
	// connection with unread bytes resets it, and the caller may lose the response.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 8 << 20
)

// linger closes the write side and discards what the caller still sends.
func (c *callerConn) linger() {
	if tc, ok := tcpConn(c.nc); ok {
		_ = tc.CloseWrite() // The caller may have closed the connection already.
	}
	c.setDeadline(lingerTimeout)
	buf := make([]byte, callerBufferBytes)
	for n := 0; n < maxLingerBytes; {
		m, err := c.r.Read(buf)
		n += m
		if err != nil {
			return
		}
	}
}

// serveRequests serves requests until the channel closes. After each response it
// reports on done whether the connection stays open.
func (c *callerConn) serveRequests(ctx context.Context, requests <-chan request, done chan<- bool) {
	w := &responseWriter{nc: c.nc}
	for req := range requests {
		*w = responseWriter{nc: c.nc, buf: w.buf[:0], close: req.head.Close || c.s.stopping.Load()}
		id := string(req.head.Get(c.s.Engine.Dialect.RequestID))
		c.requestID.Store(&id)
		c.s.Engine.Serve(ctx, req.head, req.body, w, req.arrived)
		c.s.Engine.bodies.Release(req.reserved)
		keepOpen := w.err == nil && !w.close && !c.s.stopping.Load()
		if keepOpen {
			c.setDeadline(c.s.limits().IdleTimeout)
		} else {
			// Unblock the reader, which may wait for another request.
			_ = c.nc.SetReadDeadline(expiredDeadline)
			if w.err != nil {
				abort(c.nc)
			}
		}
		c.served.Store(true)
		c.state.Store(connIdle)
		done <- keepOpen
	}
}

// abort resets a connection, so that a partial response cannot look complete.
func abort(nc net.Conn) {
	if tc, ok := tcpConn(nc); ok {
		_ = tc.SetLinger(0) // SetLinger fails only on a closed connection.
	}
	_ = nc.Close() // Nothing more is sent on it.
}
