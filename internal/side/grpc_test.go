package side

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/internal/stand/memnet"
	"github.com/beryllanding/beryllanding/internal/wire"
)

// dial serves the server over gRPC in memory and returns a client.
func dial(t *testing.T, s *Server) wire.SideClient {
	t.Helper()
	server := grpc.NewServer()
	wire.RegisterSideServer(server, s)
	conn, err := grpc.NewClient("passthrough:///side", memnet.ServeGRPC(server, nil)...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = conn.Close()
		server.Stop()
	})
	return wire.NewSideClient(conn)
}

// TestRunOverGRPC checks that cancelling a stream cancels its run at the engine, and does
// not affect another stream on the same connection.
func TestRunOverGRPC(t *testing.T) {
	e := &engine{tokens: 90_000, pause: time.Millisecond}
	s := New(Options{Incarnation: "s1", Service: "svc", Target: "http://target", Log: &logd.Store{}, Transport: memnet.Transport{Handler: e}})
	s.Start()
	defer s.shutDown()
	client := dial(t, s)
	for !s.Registered() {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithCancel(t.Context())
	leaving, err := client.Run(ctx, modelRequest("o/1", "a1", true, 90_000))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := leaving.Recv(); err != nil {
		t.Fatal(err)
	}
	staying, err := client.Run(t.Context(), modelRequest("o/2", "b1", true, 50))
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	var events []*wire.RunEvent
	for {
		ev, err := staying.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		events = append(events, ev)
	}
	responseOf(t, "b1", events)
	if f := last(events).GetFinish(); f.GetBilled() != 57 {
		t.Errorf("other run on the connection of a cancelled run finished with %v, want 57 billed", f)
	}
	for e.cancels() == 0 {
		time.Sleep(time.Millisecond)
	}
	if st, err := client.Status(t.Context(), &wire.StatusRequest{CatalogueOffset: 42}); err != nil || st.GetCatalogueOffset() != 42 {
		t.Errorf("status is %v, error %v, want catalogue offset 42", st, err)
	}
}
