package entry

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"

	"github.com/beryllanding/beryllanding/internal/stand/memnet"
	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/route"
)

// sideServer serves a fake side process over gRPC.
type sideServer struct {
	wire.UnimplementedSideServer
	client
}

func (s *sideServer) Run(in *wire.RunRequest, out grpc.ServerStreamingServer[wire.RunEvent]) error {
	stream, err := s.client.Run(out.Context(), in)
	if err != nil {
		return err
	}
	for {
		event, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := out.Send(event); err != nil {
			return err
		}
	}
}

func (s *sideServer) Outcome(ctx context.Context, in *wire.OutcomeRequest) (*wire.OutcomeReply, error) {
	return s.client.Outcome(ctx, in)
}

func (s *sideServer) Status(ctx context.Context, in *wire.StatusRequest) (*wire.TargetStatus, error) {
	return s.client.Status(ctx, in)
}

// mutedConn simulates a connection whose state a middlebox has dropped. Once muted, it
// stays open but carries nothing.
type mutedConn struct {
	net.Conn
	// left is the number of writes that are still delivered. Below 0, the connection is
	// muted.
	left atomic.Int64
}

func (c *mutedConn) Write(b []byte) (int, error) {
	if c.left.Add(-1) < 0 {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// TestSilentConnection mutes the first connection after each possible number of writes.
// The response must still arrive complete over a later connection, from a single run.
func TestSilentConnection(t *testing.T) {
	for writes := range int64(14) {
		synctest.Test(t, func(t *testing.T) {
			fc := newFakeCluster(nil)
			serving := &mutingListener{writes: writes}
			conns, stop := serving.serve(fc.sides["t1"])
			e := newEngine(fc, route.Policy{}, Timeouts{})
			e.Targets, e.Dialer = oneTarget{}, conns
			e.dispatcher("s").recordSide("t1", fc.sides["t1"].incarnation()) // as Watch would
			caller := &fakeCaller{}
			start := time.Now()
			_, err := e.Do(t.Context(), plannedRequest{ID: "org/a", Kind: "once", Keyed: true}.request(), caller)
			took := time.Since(start)
			if err != nil || !slices.Contains(fc.responses["org/a"], caller.got.String()) || fc.runs["org/a"] != 1 {
				t.Errorf("after %d writes: got %q, error %v, %d runs; want a complete response from 1 run", writes, caller.got.String(), err, fc.runs["org/a"])
			}
			if limit := wire.Keepalive.Time + wire.Keepalive.Timeout + time.Second; took > limit {
				t.Errorf("after %d writes: answered after %v, want at most %v (keepalive time-out and 1 s)", writes, took, limit)
			}
			_ = e.Drain(t.Context())
			stop()
			time.Sleep(time.Hour)
		})
	}
}

// TestIdleConnectionStays leaves a connection without calls for ten minutes. A server
// that rejects the keepalive pings would close it.
func TestIdleConnectionStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fc := newFakeCluster(nil)
		serving := &mutingListener{later: true}
		conns, stop := serving.serve(fc.sides["t1"])
		for range 2 {
			side, _ := conns.Side(route.Target{Name: "t1", Address: "t1"})
			if _, err := side.Status(t.Context(), &wire.StatusRequest{}); err != nil {
				t.Error(err)
			}
			time.Sleep(10 * time.Minute)
		}
		if n := serving.accepted.Load(); n != 1 {
			t.Errorf("%d connections were opened, want 1", n)
		}
		stop()
		time.Sleep(time.Hour)
	})
}

// mutingListener mutes the server's end of the first connection.
type mutingListener struct {
	net.Listener
	writes int64
	later  bool
	// accepted counts the connections.
	accepted atomic.Int64
}

// serve serves the side process through the listener. It returns the client's connections
// and a function that closes both ends.
func (l *mutingListener) serve(s *fakeSide) (*Conns, func()) {
	grpcServer := grpc.NewServer(grpc.KeepaliveEnforcementPolicy(wire.KeepalivePolicy))
	wire.RegisterSideServer(grpcServer, &sideServer{client: client{s: s}})
	conns := &Conns{Options: memnet.ServeGRPC(grpcServer, func(inner net.Listener) net.Listener {
		l.Listener = inner
		return l
	})}
	return conns, func() {
		conns.Close()
		grpcServer.Stop()
	}
}

func (l *mutingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.accepted.Add(1)
	if err != nil || l.later {
		return c, err
	}
	l.later = true
	muted := &mutedConn{Conn: c}
	muted.left.Store(l.writes)
	return muted, nil
}

// oneTarget lists only the target t1.
type oneTarget struct{}

func (oneTarget) Targets(string) []route.Target {
	return []route.Target{{Name: "t1", DataCentre: "dc", Address: "t1"}}
}

// TestSilentRunIsNotGivenUp guards against a run that is given up because its connection was
// silent twice, although its side process says that it goes on and no other target can take the
// request: the caller has a part of the response, there is no other target, or no retry is left.
func TestSilentRunIsNotGivenUp(t *testing.T) {
	for _, tt := range []struct {
		name  string
		after int
		kind  string
		set   func(*Engine)
	}{
		{name: "a part was sent", after: 2, kind: "chat"},
		{name: "run once at most", after: 0, kind: "once"},
		{name: "no other target", after: 1, kind: "chat", set: func(e *Engine) { e.Targets = oneTarget{} }},
		{name: "no retry left", after: 1, kind: "chat", set: func(e *Engine) {
			e.dispatcher("s").retry.Burst = 0.5 // It never holds a whole retry.
		}},
	} {
		synctest.Test(t, func(t *testing.T) {
			silent := fault{Kind: "silent", After: tt.after}
			fc := newFakeCluster([]fault{silent, silent})
			e := newEngine(fc, route.Policy{}, Timeouts{})
			if tt.set != nil {
				tt.set(e)
			}
			e.dispatcher("s").lockAndRefresh(fc)
			e.watchOnce(t.Context(), 3)
			caller := &fakeCaller{}
			_, err := e.Do(t.Context(), plannedRequest{ID: "org/a", Kind: tt.kind, Keyed: true}.request(), caller)
			if err != nil || !slices.Contains(fc.responses["org/a"], caller.got.String()) || fc.runs["org/a"] != 1 {
				t.Errorf("%s: got %q, error %v, %d runs; want a complete response from 1 run", tt.name, caller.got.String(), err, fc.runs["org/a"])
			}
			_ = e.Drain(t.Context())
			time.Sleep(time.Hour)
		})
	}
}
