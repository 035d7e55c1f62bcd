// Package peers transfers tokens between entry instances. It keeps connections to the
// other instances, requests tokens from one of them, and serves the requests of others.
package peers

import (
	"sync"

	"google.golang.org/grpc"

	"github.com/beryllanding/beryllanding/internal/wire"
)

// Conns holds one connection for each address of an entry instance. It is safe for
// concurrent use.
type Conns struct {
	// Options apply to all connections. They must be set before the first call of
	// Client.
	Options []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// Client returns the client for the address, or nil if no connection can be set up.
func (c *Conns) Client(addr string) wire.PeerClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = make(map[string]*grpc.ClientConn)
	}
	conn := c.conns[addr]
	if conn == nil {
		var err error
		if conn, err = grpc.NewClient("passthrough:///"+addr, c.Options...); err != nil {
			return nil
		}
		c.conns[addr] = conn
	}
	return wire.NewPeerClient(conn)
}

// Retain closes the connections to addresses that are not listed.
func (c *Conns) Retain(listed map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, conn := range c.conns {
		if !listed[addr] {
			_ = conn.Close() // The connection is not used any more.
			delete(c.conns, addr)
		}
	}
}

// Close closes all connections.
func (c *Conns) Close() { c.Retain(nil) }
