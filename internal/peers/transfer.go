package peers

import (
	"context"
	"time"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/lease"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/pause"
)

const (
	// serveTimeout bounds how long ServeTransfer lets a peer wait while requests of
	// this instance come first. serveRetryPause is the pause between two attempts to
	// serve the peer.
	serveTimeout    = 50 * time.Millisecond
	serveRetryPause = 2 * time.Millisecond
	// transferTimeout bounds one attempt at a transfer.
	transferTimeout = 100 * time.Millisecond
)

// RequestTransfer asks a peer for tokens of a budget and credits the holder with what
// the peer gives. If the first attempt fails, it asks once more under the same id. It
// returns the tokens credited. The error is not nil if the peer did not respond to
// either attempt.
func RequestTransfer(ctx context.Context, p wire.PeerClient, h *lease.Holder, budget string, tokens ledger.Tokens) (ledger.Tokens, error) {
	req := &wire.TransferRequest{Id: ident.NewRequestID(), Budget: budget, Tokens: tokens, Taker: string(h.ID())}
	h.BeginTransfer(req.Id, budget)
	var err error
	for range 2 {
		var reply *wire.TransferReply
		if reply, err = transfer(ctx, p, req); err == nil {
			return h.CompleteTransfer(req.Id, budget, wire.ChargesOf(reply.GetCharges())), nil
		}
	}
	return h.CompleteTransfer(req.Id, budget, nil), err
}

func transfer(ctx context.Context, p wire.PeerClient, req *wire.TransferRequest) (*wire.TransferReply, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	return p.Transfer(ctx, req)
}

// ServeTransfer answers a peer that asks for tokens. A repeated request with the same
// id gets the same answer. While waiting requests of this instance come first,
// ServeTransfer waits for up to serveTimeout. Then it declines.
func ServeTransfer(ctx context.Context, h *lease.Holder, req *wire.TransferRequest) *wire.TransferReply {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	for ctx.Err() == nil {
		charges, ok := h.ServeTransfer(req.GetId(), ident.Incarnation(req.GetTaker()), req.GetBudget(), req.GetTokens(), time.Now())
		if ok {
			return &wire.TransferReply{Charges: wire.NewCharges(charges)}
		}
		pause.For(ctx, serveRetryPause)
	}
	return &wire.TransferReply{Charges: wire.NewCharges(h.DeclineTransfer(req.GetId(), req.GetBudget()))}
}
