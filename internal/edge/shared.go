package edge

import (
	"context"
	"sync"
	"time"

	"github.com/beryllanding/beryllanding/internal/board"
	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/limit"
	"github.com/beryllanding/beryllanding/pkg/pause"
)

// expireInterval is the interval at which shared records are checked for their end.
const expireInterval = 5 * time.Second

// setUpBoard connects what the node shares with other instances to the store.
func (n *Node) setUpBoard() {
	q, f := &n.engine.quarantine, n.engine.fleet
	n.board = &board.Board{
		Store: n.opts.Store, Partition: n.opts.Board,
		OnChange: func(c keyed.Change) {
			f.applyShared(c)
			n.engine.room.apply(c)
			q.setInstances(n.opts.Instance, f.instances())
			n.engine.origins.setPeers(f.peerAddresses())
			q.apply(c)
		},
		OnReachability: n.logStoreState(n.opts.Board.Topic, nil),
	}
	q.board, q.logger, q.read = n.board, n.logger("quarantine"), make(chan struct{})
	f.limits.board, f.limits.logger, f.limits.self, f.limits.address = n.board, n.logger("targets"), n.opts.Instance, n.opts.PeerListen
}

// runBoard shares records until the context ends.
func (n *Node) runBoard(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { n.board.Run(ctx) })
	wg.Go(func() { n.engine.origins.run(ctx) })
	n.engine.fleet.join()
	joined := time.Now()
	for pause.For(ctx, expireInterval) {
		now := time.Now()
		n.engine.quarantine.expire(now)
		n.engine.fleet.expireLimits(now)
		n.engine.origins.see(n.engine.fleet.versions())
		if now.Sub(joined) > limit.RefreshInterval {
			n.engine.fleet.join()
			joined = now
		}
	}
}
