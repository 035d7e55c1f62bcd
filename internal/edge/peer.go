package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/beryllanding/beryllanding/internal/peers"
	"github.com/beryllanding/beryllanding/internal/vault"
	"github.com/beryllanding/beryllanding/internal/wire"
)

const (
	// peerBuffer is the size of a peer connection's buffers, in bytes. A transfer takes
	// some tens.
	peerBuffer = 2 << 10
	// peerIdle is the time without a transfer after which the connection to a peer is
	// closed. Transfers come in cuts and at the end of budgets.
	peerIdle = 10 * time.Second
	// peerConnect is the least time for a connection attempt.
	peerConnect = 300 * time.Millisecond
)

// newPeers returns the connections to other instances.
func newPeers() *peers.Conns {
	return &peers.Conns{Options: []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(wire.Keepalive),
		grpc.WithReadBufferSize(peerBuffer), grpc.WithWriteBufferSize(peerBuffer),
		grpc.WithIdleTimeout(peerIdle),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: peerConnect}),
		grpc.WithDisableServiceConfig(), grpc.WithNoProxy(),
	}}
}

// peerServer is what an instance serves to the others, and to operators.
type peerServer struct {
	wire.UnimplementedPeerServer

	budgets *vault.Service
}

// Transfer hands tokens to a peer.
func (p *peerServer) Transfer(ctx context.Context, req *wire.TransferRequest) (*wire.TransferReply, error) {
	return p.budgets.Transfer(ctx, req)
}

// Holdings lists what the instance holds.
func (p *peerServer) Holdings(_ context.Context, req *wire.HoldingsRequest) (*wire.HoldingsReply, error) {
	reply := &wire.HoldingsReply{Holder: string(p.budgets.Holder())}
	for _, h := range p.budgets.Holdings() {
		if req.GetBudget() == "" || req.GetBudget() == h.Budget {
			reply.Holdings = append(reply.Holdings, &wire.Holding{Budget: h.Budget, Free: h.Free, Reserved: h.Reserved})
		}
	}
	return reply, nil
}

// servePeers answers other instances until the returned function is called.
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
		grpc.ReadBufferSize(peerBuffer), grpc.WriteBufferSize(peerBuffer),
	)
	wire.RegisterPeerServer(server, &peerServer{budgets: n.engine.Budgets})
	go func() {
		if err := server.Serve(l); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
			n.logger("budgets").Error("peers are not answered any more", "err", err)
		}
	}()
	return func() {
		server.Stop()
		n.peers.Close()
	}, nil
}
