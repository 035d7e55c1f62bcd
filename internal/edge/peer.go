package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/beryllanding/beryllanding/internal/alloc"
	"github.com/beryllanding/beryllanding/internal/peers"
	"github.com/beryllanding/beryllanding/internal/wire"
)

const (
	// peerBufferBytes is the size of a peer connection's buffers. A transfer takes a
	// few tens of bytes.
	peerBufferBytes = 2 << 10
	// peerIdleTimeout is the time without a transfer after which a peer connection is
	// closed. Transfers occur during network partitions and when a budget runs out.
	peerIdleTimeout = 10 * time.Second
	// minPeerConnectTimeout is the least time allowed for a connection attempt.
	minPeerConnectTimeout = 300 * time.Millisecond
)

// newPeers returns the connections to other instances.
func newPeers() *peers.Conns {
	return &peers.Conns{Options: []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(wire.Keepalive),
		grpc.WithReadBufferSize(peerBufferBytes), grpc.WithWriteBufferSize(peerBufferBytes),
		grpc.WithIdleTimeout(peerIdleTimeout),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: minPeerConnectTimeout}),
		grpc.WithDisableServiceConfig(), grpc.WithNoProxy(),
	}}
}

// peerServer implements the service for other instances and for operators.
type peerServer struct {
	wire.UnimplementedPeerServer

	budgets *alloc.Service
	origins *origins
}

// Transfer transfers tokens to a peer.
func (p *peerServer) Transfer(ctx context.Context, req *wire.TransferRequest) (*wire.TransferReply, error) {
	return p.budgets.Transfer(ctx, req)
}

// Holdings lists the tokens that the instance holds, for one budget or for all.
func (p *peerServer) Holdings(_ context.Context, req *wire.HoldingsRequest) (*wire.HoldingsReply, error) {
	reply := &wire.HoldingsReply{Holder: string(p.budgets.Holder())}
	for _, h := range p.budgets.Holdings() {
		if req.GetBudget() == "" || req.GetBudget() == h.Budget {
			reply.Holdings = append(reply.Holdings, &wire.Holding{Budget: h.Budget, Free: h.Free, Reserved: h.Reserved})
		}
	}
	return reply, nil
}

// Remember keeps where streams of another instance began.
func (p *peerServer) Remember(_ context.Context, req *wire.RememberRequest) (*wire.RememberReply, error) {
	p.origins.keep(req.GetOrigins())
	return &wire.RememberReply{}, nil
}

// FindOrigin returns where a stream began, as far as this instance knows.
func (p *peerServer) FindOrigin(ctx context.Context, req *wire.FindOriginRequest) (*wire.FindOriginReply, error) {
	reply := &wire.FindOriginReply{}
	ctx, cancel := context.WithTimeout(ctx, peerRefreshTimeout)
	defer cancel()
	if at, ok := p.origins.find(ctx, req.GetId(), req.GetService()); ok {
		reply.Origin = &wire.StreamOrigin{Id: req.GetId(), Service: at.Service, Version: at.Version}
	}
	return reply, nil
}

// servePeers serves other instances until the returned function is called. If
// Options.PeerListen is empty, it does nothing.
func (n *Node) servePeers() (stop func(), err error) {
	if n.opts.PeerListen == "" {
		return func() {}, nil
	}
	l, err := net.Listen("tcp", n.opts.PeerListen)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	server := grpc.NewServer(
		grpc.KeepaliveEnforcementPolicy(wire.KeepalivePolicy),
		grpc.ReadBufferSize(peerBufferBytes), grpc.WriteBufferSize(peerBufferBytes),
	)
	wire.RegisterPeerServer(server, &peerServer{budgets: n.engine.Budgets, origins: &n.engine.origins})
	go func() {
		if err := server.Serve(l); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
			n.logger("budgets").Error("peer server failed; peers get no more responses", "err", err)
		}
	}()
	return func() {
		server.Stop()
		n.peers.Close()
	}, nil
}
