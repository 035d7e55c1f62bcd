package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/beryllanding/beryllanding/internal/config"
	"github.com/beryllanding/beryllanding/internal/opsvc"
	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/insts"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// platform is a log service and an instance list in memory.
type platform struct {
	mu      sync.Mutex
	streams map[string][]logsvc.Record
	// expired is the number of records that are gone from the start of a stream.
	expired map[string]int
	// down refuses appends, and blind refuses reads.
	down, blind bool
	// lost is the number of appends that take effect without an answer, and
	// vanish that of those that have neither.
	lost, vanish int
	// before runs once, before the next append.
	before func()

	instances []insts.Instance
	listDown  bool
	writers   int
	ids       int
}

func (p *platform) Append(_ context.Context, stream string, data []byte) (logsvc.Offset, error) {
	p.mu.Lock()
	before := p.before
	p.before = nil
	p.mu.Unlock()
	if before != nil {
		before()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.down:
		return 0, logsvc.ErrUnavailable
	case p.vanish > 0:
		p.vanish--
		return 0, logsvc.ErrOutcomeUnknown
	}
	at := p.appendLocked(stream, data)
	if p.lost > 0 {
		p.lost--
		return 0, logsvc.ErrOutcomeUnknown
	}
	return at, nil
}

func (p *platform) appendLocked(stream string, data []byte) logsvc.Offset {
	if p.streams == nil {
		p.streams = make(map[string][]logsvc.Record)
	}
	at := logsvc.Offset(len(p.streams[stream]) + 1)
	p.streams[stream] = append(p.streams[stream], logsvc.Record{Offset: at, Data: data})
	return at
}

// write appends a batch of another writer.
func (p *platform) write(stream string, items ...fold.Item) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writers++
	data, err := json.Marshal(fold.Batch{Writer: fmt.Sprint("w", p.writers), Seq: 1, Items: items})
	if err != nil {
		panic(err)
	}
	p.appendLocked(stream, data)
}

// checkpoint appends a checkpoint of the stream and drops what it stands for.
func (p *platform) checkpoint(stream string, m fold.Machine) {
	reader := fold.Reader{Machine: m}
	page, _ := p.page(stream, 1, len(p.streams[stream]))
	_ = reader.Feed(page)
	cp, err := reader.Checkpoint()
	if err != nil {
		panic(err)
	}
	chunks, err := cp.Chunks()
	if err != nil {
		panic(err)
	}
	for _, c := range chunks {
		p.write(stream, c)
	}
	p.expired = map[string]int{stream: int(cp.At)}
}

func (p *platform) Read(ctx context.Context, stream string, from logsvc.Offset, limit int, wait time.Duration) (logsvc.Page, error) {
	for ; ; wait -= time.Millisecond {
		page, err := p.page(stream, from, limit)
		if err != nil || len(page.Records) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return logsvc.Page{}, ctx.Err()
		}
	}
}

func (p *platform) page(stream string, from logsvc.Offset, limit int) (logsvc.Page, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blind {
		return logsvc.Page{}, logsvc.ErrUnavailable
	}
	all := p.streams[stream]
	first := p.expired[stream]
	page := logsvc.Page{First: logsvc.Offset(first + 1), Next: logsvc.Offset(len(all) + 1)}
	start := min(max(first, int(from)-1), len(all))
	page.Records = append(page.Records, all[start:min(len(all), start+limit)]...)
	return page, nil
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
