// Package memnet is an in-memory network for tests under testing/synctest, which cannot
// use sockets.
package memnet

import (
	"context"
	"net"
	"sync"
)

// Listener accepts the connections made with Dial. Create it with New. It is safe for
// concurrent use.
type Listener struct {
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once

	mu       sync.Mutex
	conns    []*conn
	accepted int
}

// New returns a listener.
func New() *Listener {
	return &Listener{accept: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial connects to the listener and ignores the address. It blocks until the connection
// is accepted, the listener is closed or ctx ends.
func (l *Listener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.accept <- far:
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c := &conn{Conn: near}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

// Blackhole makes the connections dialed so far lose all data that the dialing side sends
// from now on.
func (l *Listener) Blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.silence()
	}
}

// Accepted returns the number of connections accepted so far.
func (l *Listener) Accepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.accepted++
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It also closes the connections.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Conn.Close()
	}
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }

// conn is the dialing side of a connection.
type conn struct {
	net.Conn

	mu     sync.Mutex
	silent bool
}

// Write sends b, or discards it if the connection is silent.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if silent {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *conn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}
