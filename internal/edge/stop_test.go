package edge

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/keyd"
	"github.com/beryllanding/beryllanding/pkg/drain"
	"github.com/beryllanding/beryllanding/pkg/keyed"
)

// gatedStore is a store whose writes of budget accounts wait while the gate is closed.
type gatedStore struct {
	*keyd.Store
	gate   atomic.Pointer[chan struct{}]
	writes chan struct{}
}

// Write reports the write of an account on writes, and waits until the gate opens.
func (s *gatedStore) Write(ctx context.Context, p keyed.Partition, w keyed.Writer, e keyed.Entry) error {
	if gate := s.gate.Load(); gate != nil && p.Topic == "budgets" {
		select {
		case s.writes <- struct{}{}:
		default:
		}
		select {
		case <-*gate:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return s.Store.Write(ctx, p, w, e)
}

// TestRequestsAtTheEndOfAStop guards against requests that a target runs and whose caller
// gets no response, because they arrive on unused connections while an instance that has no
// request in progress returns its tokens and ends.
func TestRequestsAtTheEndOfAStop(t *testing.T) {
	const unused = 8
	n := prepareNode(t, func(a receivedRequest, w io.Writer) bool {
		if a.body == "slow" {
			time.Sleep(time.Second)
		}
		return respondOK(a, w)
	})
	store := &gatedStore{Store: n.store, writes: make(chan struct{}, 1)}
	n.opts.Store = store
	n.start()
	if got := n.ask("/once/", "Request-Id: r\nKey: p\nTokens: 100,50\n", "x"); got.status != 200 {
		t.Fatalf("got response %+v, want status 200", got)
	}
	var conns []net.Conn
	for range unused {
		c, err := net.Dial("tcp", n.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		conns = append(conns, c)
	}
	before := len(n.received())
	gate := make(chan struct{})
	n.stop()
	time.Sleep(drain.DeregisterDelay)
	store.gate.Store(&gate)
	<-store.writes // The instance returns its tokens.
	replies := make([]reply, unused)
	var wg sync.WaitGroup
	for i, c := range conns {
		wg.Go(func() { replies[i] = n.askOn(c, bufio.NewReader(c), "/once/", fields, "slow") })
	}
	time.AfterFunc(100*time.Millisecond, func() { close(gate) })
	if err := <-n.ended; err != nil {
		t.Error(err)
	}
	// The process ends here, with all connections.
	n.node.server.mu.Lock()
	open := len(n.node.server.conns)
	n.node.server.mu.Unlock()
	if open > 0 {
		t.Errorf("the instance ended with %d open connections, want none", open)
	}
	wg.Wait()
	if got := len(n.received()) - before; got > 0 {
		t.Errorf("targets got %d requests after the instance had begun to return its tokens, want none", got)
	}
	for _, got := range replies {
		if got.status != 503 || !got.head.Close || got.head.Get("Retry-After") == nil {
			t.Errorf("got response %+v, want status 503 with Connection: close and Retry-After", got)
		}
	}
}

// crossingConn is a caller's connection on which a request arrives at the moment at which the
// server closes idle connections.
type crossingConn struct {
	net.Conn
	request string
	cross   func()
}

// Read returns the request, after what crosses it.
func (c *crossingConn) Read(b []byte) (int, error) {
	if c.request == "" {
		return c.Conn.Read(b)
	}
	n := copy(b, c.request)
	c.request = ""
	c.cross()
	return n, nil
}

// TestRequestThatCrossesAClose guards against a request that a target runs although the
// connection that brought it has been closed: nobody gets the response.
func TestRequestThatCrossesAClose(t *testing.T) {
	w := newTestEnv(t, respondOK)
	for range 500 {
		ours, callers := net.Pipe()
		c := &callerConn{s: w.server, nc: &crossingConn{
			Conn: ours, request: "GET /once/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nKey: k\r\n\r\n", cross: w.server.CloseIdle,
		}}
		c.r = bufio.NewReader(c.nc)
		c.served.Store(true)
		w.server.conns = map[*callerConn]struct{}{c: {}}
		c.serve()
		_ = callers.Close()
	}
	if got := w.received(); len(got) > 0 {
		t.Errorf("targets got %d of 500 requests of closed connections, want none", len(got))
	}
}
