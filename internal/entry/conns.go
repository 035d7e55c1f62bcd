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

// Conns is a Dialer with one shared connection per address. Options must include
// transport credentials. Servers must use wire.KeepalivePolicy, which allows the
// keepalive pings of these connections.
type Conns struct {
	Options []grpc.DialOption

	mu     sync.Mutex
	byAddr map[string]*conn
}

// conn is a client connection that counts its calls. Once retired, it is closed as soon
// as no call is left.
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
	if current := c.byAddr[t.Address]; current != nil {
		return current, nil
	}
	return c.dial(t)
}

// Reconnect replaces the shared connection, unless it has been replaced since old was
// obtained. It returns the client on the current connection. Calls on the old
// connection continue.
func (c *Conns) Reconnect(t route.Target, old wire.SideClient) (wire.SideClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.byAddr[t.Address]
	if current != nil && wire.SideClient(current) != old {
		return current, nil
	}
	if current != nil {
		current.retire()
	}
	return c.dial(t)
}

// Retain closes the connections to all addresses that are not in the set. Calls on them
// continue.
func (c *Conns) Retain(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, current := range c.byAddr {
		if !addresses[addr] {
			current.retire()
			delete(c.byAddr, addr)
		}
	}
}

// Close closes all shared connections and ends the calls on them.
func (c *Conns) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, current := range c.byAddr {
		_ = current.cc.Close()
	}
	c.byAddr = nil
}

// dial opens a connection and shares it. The caller holds the lock.
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
	current := &conn{SideClient: wire.NewSideClient(cc), cc: cc}
	c.byAddr[t.Address] = current
	return current, nil
}

// Run starts an attempt. The attempt counts as a call until ctx ends.
func (c *conn) Run(ctx context.Context, in *wire.RunRequest, opts ...grpc.CallOption) (wire.Side_RunClient, error) {
	c.calls.Add(1)
	context.AfterFunc(ctx, c.done)
	return c.SideClient.Run(ctx, in, opts...)
}

// Outcome queries the outcome of an attempt.
func (c *conn) Outcome(ctx context.Context, in *wire.OutcomeRequest, opts ...grpc.CallOption) (*wire.OutcomeReply, error) {
	c.calls.Add(1)
	defer c.done()
	return c.SideClient.Outcome(ctx, in, opts...)
}

// done records the end of a call. If it was the last one, done closes a retired
// connection.
func (c *conn) done() {
	if c.calls.Add(-1) == 0 && c.retired.Load() {
		_ = c.cc.Close()
	}
}

// retire closes the connection as soon as it carries no calls.
func (c *conn) retire() {
	c.retired.Store(true)
	if c.calls.Load() == 0 {
		_ = c.cc.Close()
	}
}

// markUnsent wraps a failure to open a stream in ErrUnsent. The request is sent only on
// an open stream, and the server does nothing until it has the whole request.
func markUnsent(ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string,
	streamer grpc.Streamer, opts ...grpc.CallOption,
) (grpc.ClientStream, error) {
	stream, err := streamer(ctx, desc, cc, method, opts...)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	return stream, nil
}
