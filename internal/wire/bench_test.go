package wire

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// statusServer answers Status calls with a fixed status.
type statusServer struct{ UnimplementedSideServer }

func (statusServer) Status(context.Context, *StatusRequest) (*TargetStatus, error) {
	return &TargetStatus{
		Side: "chc-a-e17~9f2c01d4e8aa", Running: 17, Waiting: 3, CacheUsedPermille: 420,
		CatalogueOffset: 123_456, FleetOffset: 65_432,
	}, nil
}

// countConn counts the bytes that a client receives and sends.
type countConn struct {
	net.Conn
	received, sent *atomic.Int64
}

func (c countConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

func (c countConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// BenchmarkStatus calls Status of the targets in turn, over one connection each.
// Client and server run in one process, so the CPU time is that of both.
func BenchmarkStatus(b *testing.B) {
	for _, targets := range []int{6, 60, 600} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			clients, received, sent := newClients(b, targets)
			for i := range 2 * targets {
				getStatus(b, clients[i%targets])
			}
			received.Store(0)
			sent.Store(0)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				getStatus(b, clients[i%targets])
			}
			b.ReportMetric(float64(received.Load())/float64(b.N), "received-B/op")
			b.ReportMetric(float64(sent.Load())/float64(b.N), "sent-B/op")
		})
	}
}

// newClients starts a server and returns n clients with a connection each, and the
// counters of the bytes that all of them receive and send.
func newClients(b *testing.B, n int) (clients []SideClient, received, sent *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := grpc.NewServer(grpc.KeepaliveEnforcementPolicy(KeepalivePolicy))
	RegisterSideServer(server, statusServer{})
	go func() { _ = server.Serve(listener) }() // ends with Stop
	b.Cleanup(server.Stop)
	received, sent = new(atomic.Int64), new(atomic.Int64)
	for range n {
		clients = append(clients, dialCounted(b, listener.Addr().String(), received, sent))
	}
	return clients, received, sent
}

func getStatus(b *testing.B, c SideClient) {
	if _, err := c.Status(b.Context(), &StatusRequest{CatalogueOffset: 123_456}); err != nil {
		b.Fatal(err)
	}
}

func dialCounted(b *testing.B, addr string, received, sent *atomic.Int64) SideClient {
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
		return countConn{Conn: c, received: received, sent: sent}, err
	}
	cc, err := grpc.NewClient("passthrough:///"+addr, grpc.WithContextDialer(dial),
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithKeepaliveParams(Keepalive))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = cc.Close() })
	return NewSideClient(cc)
}

// BenchmarkConns reports the heap and the stacks of an idle connection, of client
// and server together.
func BenchmarkConns(b *testing.B) {
	for _, targets := range []int{6, 60, 600} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			clients, _, _ := newClients(b, targets)
			for b.Loop() {
				for _, c := range clients {
					getStatus(b, c)
				}
			}
			runtime.GC()
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(targets), "heap-B/conn")
			b.ReportMetric((float64(after.StackInuse)-float64(before.StackInuse))/float64(targets), "stack-B/conn")
			runtime.KeepAlive(clients)
		})
	}
}
