package boot

import (
	"context"
	"encoding/json"
	"fmt"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/beryllanding/beryllanding/internal/budget"
	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/fold"
)

// snapshotChunk is the size in bytes of one part of a snapshot.
const snapshotChunk = 256 << 10

// peerServer serves the calls of other entry instances and of operators.
type peerServer struct {
	wire.UnimplementedPeerServer

	budget *budget.Service
	// followers holds the followers of all streams but the budget streams, by the
	// name of the stream.
	followers map[string]*fold.Follower
}

// Transfer transfers tokens to a peer.
func (p *peerServer) Transfer(ctx context.Context, req *wire.TransferRequest) (*wire.TransferReply, error) {
	return p.budget.Transfer(ctx, req)
}

// Snapshot sends this instance's state of a stream.
func (p *peerServer) Snapshot(req *wire.SnapshotRequest, stream grpc.ServerStreamingServer[wire.SnapshotChunk]) error {
	cp, err := p.checkpoint(req.GetStream())
	if err != nil {
		return status.Error(codes.Unavailable, err.Error())
	}
	raw, err := json.Marshal(cp)
	if err != nil {
		return err
	}
	for len(raw) > 0 {
		n := min(len(raw), snapshotChunk)
		if err := stream.Send(&wire.SnapshotChunk{Data: raw[:n]}); err != nil {
			return err
		}
		raw = raw[n:]
	}
	return nil
}

// checkpoint returns the state of a stream that this instance follows.
func (p *peerServer) checkpoint(stream string) (fold.Checkpoint, error) {
	f := p.followers[stream]
	if f == nil {
		return p.budget.Snapshot(stream)
	}
	var cp fold.Checkpoint
	var err error
	f.View(func(r *fold.Reader) { cp, err = r.Checkpoint() })
	return cp, err
}

// Holdings lists the tokens that this instance holds, of one budget or of all.
func (p *peerServer) Holdings(_ context.Context, req *wire.HoldingsRequest) (*wire.HoldingsReply, error) {
	reply := &wire.HoldingsReply{Holder: string(p.budget.Holder())}
	for _, h := range p.budget.Holdings(req.GetBudget()) {
		reply.Holdings = append(reply.Holdings, &wire.Holding{Budget: h.Budget, Free: h.Free, Reserved: h.Reserved})
	}
	return reply, nil
}

// fetchSnapshot reads a peer's snapshot of a stream.
func fetchSnapshot(ctx context.Context, peer wire.PeerClient, stream string) (fold.Checkpoint, error) {
	var cp fold.Checkpoint
	chunks, err := peer.Snapshot(ctx, &wire.SnapshotRequest{Stream: stream})
	if err != nil {
		return cp, err
	}
	var raw []byte
	for {
		c, err := chunks.Recv()
		if err != nil {
			break
		}
		raw = append(raw, c.GetData()...)
	}
	if err := json.Unmarshal(raw, &cp); err != nil {
		return cp, fmt.Errorf("snapshot of stream %q is incomplete: %w", stream, err)
	}
	return cp, nil
}
