// Package duplex provides connections that report their end to both directions. An operating
// system reports an error such as a reset to a single call: if a write takes it, a read that
// follows returns io.EOF, as after a close in order.
package duplex

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// expired is a deadline that makes blocked writes return immediately.
var expired = time.Unix(1, 0)

// Conn is a connection of which one goroutine reads while another one may write. Read returns
// io.EOF only if the peer closed its side in order: if any call has returned an error of the
// connection, Read returns that error instead. Errors of deadlines are not errors of the
// connection.
type Conn struct {
	net.Conn

	// writing is held during a write.
	writing sync.Mutex

	mu sync.Mutex
	// err is the first error of the connection. It is io.EOF if the peer closed its side in
	// order before.
	err error
}

// Dialer returns a function for http.Transport.DialContext that dials with d and returns a
// *Conn.
func Dialer(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: nc}, nil
	}
}

// Read implements net.Conn. After the peer has closed its side, Read ends a write in progress,
// since only the end of the write tells whether it has taken an error.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		_ = c.SetWriteDeadline(expired) // It fails on a closed connection only, where no write blocks.
		c.writing.Lock()
		defer c.writing.Unlock()
	}
	return n, c.note(err)
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	_ = c.note(err)
	return n, err
}

// note records an error of the connection, and returns what a read has to return: the error,
// or the first one of the connection in place of io.EOF.
func (c *Conn) note(err error) error {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
	}
	if errors.Is(err, io.EOF) {
		return c.err
	}
	return err
}
