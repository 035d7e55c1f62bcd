package entry

import (
	"context"
	"io"
	"net"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/route"
)

// TestFreshConnection replaces a connection. The connection must be replaced only once
// although two calls request a new one. The old connection must be closed only when its
// last call has ended.
func TestFreshConnection(t *testing.T) {
	c := &Conns{Options: []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(context.Context, string) (net.Conn, error) { return nil, io.ErrClosedPipe }),
	}}
	defer c.Close()
	target := route.Target{Name: "t", Address: "t"}
	old, err := c.Side(target)
	if err != nil {
		t.Fatal(err)
	}
	if same, _ := c.Side(target); same != old {
		t.Error("second Side call: got another client, want the shared one")
	}
	ctx, end := context.WithCancel(context.Background())
	_, _ = old.Run(ctx, &wire.RunRequest{})
	first, _ := c.Reconnect(target, old)
	second, _ := c.Reconnect(target, old)
	if first == old || second != first {
		t.Error("two requests for a new connection: want the same new client from both")
	}
	cc := old.(*conn).cc
	if cc.GetState() == connectivity.Shutdown {
		t.Error("the old connection was closed while a call was in progress on it")
	}
	end()
	for cc.GetState() != connectivity.Shutdown {
		cc.WaitForStateChange(context.Background(), cc.GetState())
	}
	c.Retain(map[string]bool{})
	if third, _ := c.Side(target); third == first {
		t.Error("the connection to a removed target is still in use")
	}
}
