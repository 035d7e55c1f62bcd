package entry

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/route"
)

// Conns is a Dialer with one shared connection for each address. The zero value
// dials with Options alone, which must name transport credentials. The servers
// allow wire.KeepalivePolicy.
type Conns struct {
	Options []grpc.DialOption

	mu     sync.Mutex
	byAddr map[string]*conn
}

// conn is a connection. It is closed once it was replaced and carries no call.
type conn struct {
	wire.SideClient
	cc      *grpc.ClientConn
	calls   atomic.Int64
	retired atomic.Bool
}

// Side returns the client on the shared connection to the target's side process.
func (c *Conns) Side(t route.Target) (wire.SideClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.byAddr[t.Address]; known != nil {
		return known, nil
	}
	return c.dial(t)
}

// Fresh replaces the shared connection, unless it was replaced already since
// old was in use. The calls on the old one go on.
func (c *Conns) Fresh(t route.Target, old wire.SideClient) (wire.SideClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.byAddr[t.Address]
	if known != nil && wire.SideClient(known) != old {
		return known, nil
	}
	if known != nil {
		known.retire()
	}
	return c.dial(t)
}

// Keep closes the connections to addresses that are in no target list any more.
func (c *Conns) Keep(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, known := range c.byAddr {
		if !addresses[addr] {
			known.retire()
			delete(c.byAddr, addr)
		}
	}
}

// Close closes all connections, with the calls on them.
func (c *Conns) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, known := range c.byAddr {
		_ = known.cc.Close()
	}
	c.byAddr = nil
}

// dial opens a connection. The caller holds the lock.
func (c *Conns) dial(t route.Target) (wire.SideClient, error) {
	options := append([]grpc.DialOption{
		grpc.WithKeepaliveParams(wire.Keepalive),
		grpc.WithChainStreamInterceptor(markUnsent),
	}, c.Options...)
	cc, err := grpc.NewClient("passthrough:///"+t.Address, options...)
	if err != nil {
		return nil, fmt.Errorf("target %q at %q: %w", t.Name, t.Address, err)
	}
	if c.byAddr == nil {
		c.byAddr = make(map[string]*conn)
	}
	known := &conn{SideClient: wire.NewSideClient(cc), cc: cc}
	c.byAddr[t.Address] = known
	return known, nil
}

// Run starts an attempt, and counts it as a call until its context ends.
func (c *conn) Run(ctx context.Context, in *wire.RunRequest, opts ...grpc.CallOption) (wire.Side_RunClient, error) {
	c.calls.Add(1)
	context.AfterFunc(ctx, c.done)
	return c.SideClient.Run(ctx, in, opts...)
}

// Outcome asks about an attempt.
func (c *conn) Outcome(ctx context.Context, in *wire.OutcomeRequest, opts ...grpc.CallOption) (*wire.OutcomeReply, error) {
	c.calls.Add(1)
	defer c.done()
	return c.SideClient.Outcome(ctx, in, opts...)
}

// done ends a call.
func (c *conn) done() {
	if c.calls.Add(-1) == 0 && c.retired.Load() {
		_ = c.cc.Close()
	}
}

// retire closes the connection as soon as it carries no call.
func (c *conn) retire() {
	c.retired.Store(true)
	if c.calls.Load() == 0 {
		_ = c.cc.Close()
	}
}

// markUnsent marks the failure to open a stream. The request goes out only on an
// open stream, and the server does nothing before it has the whole request.
func markUnsent(ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string,
	streamer grpc.Streamer, opts ...grpc.CallOption,
) (grpc.ClientStream, error) {
	stream, err := streamer(ctx, desc, cc, method, opts...)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	return stream, nil
}
