// Package pool keeps idle connections to targets for reuse. It checks a connection
// before it returns it, but sends nothing and therefore never retries. If a connection
// fails later, the caller decides whether to send the request again.
package pool

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beryllanding/beryllanding/pkg/duplex"
)

// ErrConnect reports that no connection was made. Nothing was sent.
var ErrConnect = errors.New("cannot connect")

const (
	// DefaultDialTimeout bounds a connection attempt. A successful attempt takes a few
	// ms. TCP retransmits a lost SYN only after one second, so trying another target is
	// faster.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultIdleTimeout is how long an idle connection is kept if the peer announces no
	// idle timeout.
	DefaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the peer's idle timeout, because the peer's
	// close may already be on its way when the connection is reused.
	idleMargin = time.Second
	// unackedTimeout is the time without an acknowledgement of sent data after which
	// the connection is closed. It detects a silent peer that sends no reset.
	unackedTimeout = 2 * time.Second
	// readBufferSize is the size in bytes of the read buffer, which holds a response
	// head.
	readBufferSize = 4096
	// maxRefused is the number of refused requests after which a connection is not kept.
	maxRefused = 64
	// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
	tcpUserTimeout = 18
)

// Conn is a connection to a target.
type Conn struct {
	// Conn is a *duplex.Conn, so that a reset that a write has taken doesn't look like the end
	// of a response.
	net.Conn
	// Reader buffers what is read from the connection. Read through Reader only.
	Reader *bufio.Reader

	raw         syscall.RawConn
	idleSince   time.Time
	idleTimeout time.Duration
	// refused holds the hashes of the ids of requests that the peer refused.
	refused []uint64
}

// NoteRefused records that the peer refused the request with an id on this connection. A
// faulty peer may send its refusal again, and it could not be told from the response to
// another attempt at the request. See Pool.GetFor.
func (c *Conn) NoteRefused(id []byte) { c.refused = append(c.refused, xxhash.Sum64(id)) }

// SetIdleTimeout sets the idle timeout that the peer announced. If d is not positive,
// the current timeout stays, which is DefaultIdleTimeout for a new connection.
func (c *Conn) SetIdleTimeout(d time.Duration) {
	if d > 0 {
		c.idleTimeout = max(0, d-idleMargin)
	}
}

// reusable reports whether the peer has neither closed the connection nor sent
// unrequested bytes.
func (c *Conn) reusable() bool {
	if c.Reader.Buffered() > 0 || c.raw == nil {
		return false
	}
	open := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return open && err == nil
}

// Pool keeps the idle connections to one address. The zero value is ready to
// use once Addr is set. A Pool is safe for concurrent use.
type Pool struct {
	// Addr is the target's host:port.
	Addr string
	// DialTimeout bounds a connection attempt; 0 means DefaultDialTimeout.
	DialTimeout time.Duration
	// Wrap, if it is not nil, returns the connection through which a new one is used.
	Wrap func(net.Conn) net.Conn

	mu     sync.Mutex
	idle   []*Conn
	closed bool
}

// TakeIdle removes the most recently used idle connection from the pool and returns
// it, or nil if there is none. It closes the stale connections that it finds.
func (p *Pool) TakeIdle(now time.Time) *Conn {
	return p.takeIdle(now, func(*Conn) bool { return true })
}

// takeIdle is TakeIdle for the connections that fit.
func (p *Pool) takeIdle(now time.Time, fits func(*Conn) bool) *Conn {
	for {
		c := p.removeLast(fits)
		if c == nil {
			return nil
		}
		if now.Sub(c.idleSince) < c.idleTimeout && c.reusable() {
			return c
		}
		_ = c.Close() // The connection is stale: the error does not matter.
	}
}

// removeLast removes the most recently used idle connection that fits, or returns nil.
func (p *Pool) removeLast(fits func(*Conn) bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if fits(c) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// GetFor is Get for the request with an id. It passes over connections on which the peer has
// refused a request with this id.
func (p *Pool) GetFor(ctx context.Context, id []byte) (*Conn, error) {
	hash := xxhash.Sum64(id)
	if c := p.takeIdle(time.Now(), func(c *Conn) bool { return !slices.Contains(c.refused, hash) }); c != nil {
		return c, nil
	}
	return p.Dial(ctx)
}

// Get returns an idle connection, or dials a new one. The error matches
// ErrConnect.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	if c := p.TakeIdle(time.Now()); c != nil {
		return c, nil
	}
	return p.Dial(ctx)
}

// Dial opens a new connection. The error matches ErrConnect.
func (p *Pool) Dial(ctx context.Context) (*Conn, error) {
	timeout := p.DialTimeout
	if timeout == 0 {
		timeout = DefaultDialTimeout
	}
	d := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: setUserTimeout}
	nc, err := d.DialContext(ctx, "tcp", p.Addr)
	if err != nil {
		return nil, errors.Join(ErrConnect, err)
	}
	c := &Conn{idleTimeout: DefaultIdleTimeout}
	if tc, ok := nc.(*net.TCPConn); ok {
		if c.raw, err = tc.SyscallConn(); err != nil {
			_ = nc.Close()
			return nil, errors.Join(ErrConnect, err)
		}
	}
	if p.Wrap != nil {
		nc = p.Wrap(nc)
	}
	c.Conn = &duplex.Conn{Conn: nc}
	c.Reader = bufio.NewReaderSize(c.Conn, readBufferSize)
	return c, nil
}

// setUserTimeout limits how long sent data may remain unacknowledged.
func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	var optErr error
	err := rc.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}

// Put returns a connection to the pool. The last response must have been read to
// its end. Put closes the connection if the pool is closed, if unread bytes
// remain, if the peer's idle timeout is at most idleMargin, or if the peer has refused
// maxRefused requests on it.
func (p *Pool) Put(c *Conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	keep := !p.closed && c.idleTimeout > 0 && c.Reader.Buffered() == 0 && len(c.refused) < maxRefused
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		_ = c.Close() // No request is in progress on it.
	}
}

// CloseIdle closes the idle connections. Connections in use can still be Put back.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close() // No request is in progress on it.
	}
}

// Close closes the idle connections, and each connection in use when it is Put
// back.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}
