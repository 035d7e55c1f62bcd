package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"google.golang.org/grpc"

	"github.com/beryllanding/beryllanding/internal/config"
	"github.com/beryllanding/beryllanding/internal/opsvc"
	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/insts"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// platform is a log service and an instance list in memory.
type platform struct {
	logd.Store
	// down refuses appends.
	down bool
	// lostReplies is the number of further appends that take effect but whose
	// outcome is reported as unknown. lostAppends is the number of further appends
	// that take no effect and whose outcome is reported as unknown.
	lostReplies, lostAppends int
	// beforeAppend runs once, before the next append. It is optional.
	beforeAppend func()

	instances []insts.Instance
	listDown  bool
	writers   int
	ids       int
}

func (p *platform) Append(ctx context.Context, stream string, data []byte) (logsvc.Offset, error) {
	if before := p.beforeAppend; before != nil {
		p.beforeAppend = nil
		before()
	}
	switch {
	case p.down:
		return 0, logsvc.ErrUnavailable
	case p.lostAppends > 0:
		p.lostAppends--
		return 0, logsvc.ErrOutcomeUnknown
	}
	at, err := p.Store.Append(ctx, stream, data)
	if p.lostReplies > 0 {
		p.lostReplies--
		return 0, logsvc.ErrOutcomeUnknown
	}
	return at, err
}

// write appends a batch of another writer.
func (p *platform) write(stream string, items ...fold.Item) {
	p.writers++
	data, err := json.Marshal(fold.Batch{Writer: fmt.Sprint("w", p.writers), Seq: 1, Items: items})
	if err != nil {
		panic(err)
	}
	if _, err := p.Store.Append(context.Background(), stream, data); err != nil {
		panic(err)
	}
}

// checkpoint replaces the records of the stream by a checkpoint of them.
func (p *platform) checkpoint(stream string, m fold.StateMachine) {
	reader := fold.Reader{Machine: m}
	records := p.Records(stream)
	_ = reader.Feed(logsvc.Page{First: 1, Next: logsvc.Offset(len(records) + 1), Records: records})
	cp, err := reader.Checkpoint()
	if err != nil {
		panic(err)
	}
	chunks, err := cp.Chunks()
	if err != nil {
		panic(err)
	}
	p.Expire(stream, 0)
	for _, c := range chunks {
		p.write(stream, c)
	}
}

func (p *platform) List(context.Context) ([]insts.Instance, error) {
	if p.listDown {
		return nil, insts.ErrUnavailable
	}
	return p.instances, nil
}

// connect makes the service for a command.
func (p *platform) connect(config.Operator) (*opsvc.Service, error) {
	return &opsvc.Service{Log: p, List: p, Peer: dialFake, NewID: p.newID}, nil
}

func (p *platform) newID() string {
	p.ids++
	return fmt.Sprintf("id-%d", p.ids)
}

// fakePeer answers for an entry instance.
type fakePeer struct {
	wire.PeerClient
	addr string
}

func dialFake(addr string) (wire.PeerClient, func(), error) {
	return fakePeer{addr: addr}, func() {}, nil
}

func (f fakePeer) Holdings(_ context.Context, req *wire.HoldingsRequest, _ ...grpc.CallOption) (*wire.HoldingsReply, error) {
	if f.addr == "10.0.0.2:1" {
		return nil, errors.New("connection refused")
	}
	reply := &wire.HoldingsReply{Holder: "r1~aa"}
	for i, name := range []string{"b/two", "b/one"} {
		if req.GetBudget() == "" || req.GetBudget() == name {
			reply.Holdings = append(reply.Holdings, &wire.Holding{Budget: name, Free: int64(10 * i), Reserved: 3})
		}
	}
	return reply, nil
}

// Snapshot answers with a state at offset 2, in two parts.
func (f fakePeer) Snapshot(context.Context, *wire.SnapshotRequest, ...grpc.CallOption) (grpc.ServerStreamingClient[wire.SnapshotChunk], error) {
	if f.addr == "10.0.0.2:1" {
		return nil, errors.New("connection refused")
	}
	return &fakeChunks{parts: []string{`{"at"`, `: 2}`}}, nil
}

type fakeChunks struct {
	grpc.ClientStream
	parts []string
}

func (c *fakeChunks) Recv() (*wire.SnapshotChunk, error) {
	if len(c.parts) == 0 {
		return nil, io.EOF
	}
	part := c.parts[0]
	c.parts = c.parts[1:]
	return &wire.SnapshotChunk{Data: []byte(part)}, nil
}
