package entry

import (
	"context"
	"io"

	"google.golang.org/grpc"

	"github.com/beryllanding/beryllanding/internal/wire"
)

// fakeSender numbers an attempt's events and applies its fault.
type fakeSender struct {
	st      *fakeStream
	attempt string
	f       fault
	sent    int
	broken  bool
}

func (o *fakeSender) refuse(code, outcome string) {
	o.f.Kind = "none"
	o.send(&wire.RunEvent{Event: &wire.RunEvent_Refused{Refused: &wire.Refused{Code: code, Outcome: outcome}}})
}

func (o *fakeSender) send(e *wire.RunEvent) {
	if o.broken {
		return
	}
	e.AttemptId, e.Index = o.attempt, uint64(o.sent)
	o.sent++
	if o.sent > o.f.After {
		switch o.f.Kind {
		case "cut", "die", "restart":
			o.broken = true
			return
		case "silent":
			o.broken = true
			<-o.st.ctx.Done()
			return
		case "gap":
			o.f.Kind = "none"
			return
		}
	}
	if o.f.Noise {
		o.put(&wire.RunEvent{AttemptId: "other", Index: e.Index, Event: &wire.RunEvent_Chunk{Chunk: &wire.Chunk{Data: []byte("foreign")}}})
		o.put(e)
	}
	o.put(e)
}

func (o *fakeSender) put(e *wire.RunEvent) {
	select {
	case o.st.events <- e:
	case <-o.st.ctx.Done():
		o.broken = true
	}
}

// fakeStream is the receiving end of an attempt's stream.
type fakeStream struct {
	grpc.ClientStream
	ctx    context.Context
	events chan *wire.RunEvent
	end    chan struct{}
}

func (s *fakeStream) Context() context.Context { return s.ctx }

func (s *fakeStream) Recv() (*wire.RunEvent, error) {
	select {
	case e := <-s.events:
		return e, nil
	case <-s.end:
		return nil, io.EOF
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}
