package entry

import (
	"context"
	"testing"

	"google.golang.org/grpc"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/route"
)

// fixedStream returns a started event, n-1 chunks and a finish, with no processing.
type fixedStream struct {
	grpc.ClientStream
	ctx     context.Context
	attempt string
	n       uint64
	next    uint64
	event   wire.RunEvent
	chunk   wire.RunEvent_Chunk
}

func (s *fixedStream) Context() context.Context { return s.ctx }

func (s *fixedStream) Recv() (*wire.RunEvent, error) {
	s.event.AttemptId, s.event.Index = s.attempt, s.next
	s.next++
	switch s.event.Index {
	case 0:
		s.event.Event = &wire.RunEvent_Started{Started: &wire.Started{}}
	case s.n:
		s.event.Event = &wire.RunEvent_Finish{Finish: &wire.Finish{}}
	default:
		s.event.Event = &s.chunk
	}
	return &s.event, nil
}

// fixedSide returns streams whose finish has the index n.
type fixedSide struct {
	wire.SideClient
	n uint64
}

func (s fixedSide) Run(ctx context.Context, in *wire.RunRequest, _ ...grpc.CallOption) (wire.Side_RunClient, error) {
	st := &fixedStream{ctx: ctx, attempt: in.GetAttemptId(), n: s.n}
	st.chunk.Chunk = &wire.Chunk{Data: []byte(`{"choices":[{"delta":{"content":"token"}}]}`), Tokens: 1}
	return st, nil
}

func (s fixedSide) Side(route.Target) (wire.SideClient, error) { return s, nil }

func (s fixedSide) Reconnect(route.Target, wire.SideClient) (wire.SideClient, error) { return s, nil }

// discard is a Sink that accepts everything at once.
type discard struct{}

func (discard) WriteHead(int, []*wire.Header) error { return nil }
func (discard) WriteChunk([]byte) error             { return nil }

// BenchmarkPass passes chunks from an attempt's stream to the caller, without gRPC and
// HTTP. One operation is one chunk.
func BenchmarkPass(b *testing.B) {
	fc := newFakeCluster(nil)
	e := &Engine{DataCentre: "dc", Catalogue: fc, Budgets: fc, Targets: fc, Dialer: fixedSide{n: uint64(b.N + 1)}, Seed: 1}
	r := plannedRequest{ID: "org/~1", Kind: "chat"}
	b.ReportAllocs()
	b.ResetTimer()
	if _, err := e.Do(context.Background(), r.request(), discard{}); err != nil {
		b.Fatal(err)
	}
}
