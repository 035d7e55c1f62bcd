package memnet

import (
	"context"
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"
)

// grpcBuffer is the size of a connection's buffer, in bytes.
const grpcBuffer = 1 << 16

// ServeGRPC serves over an in-memory connection until the server is stopped. It returns
// the options for clients to connect, at any address. If wrap is not nil, the server
// serves the listener that wrap returns.
func ServeGRPC(server *grpc.Server, wrap func(net.Listener) net.Listener) []grpc.DialOption {
	listener := bufconn.Listen(grpcBuffer)
	served := net.Listener(listener)
	if wrap != nil {
		served = wrap(listener)
	}
	go func() { _ = server.Serve(served) }()
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return listener.DialContext(ctx) }),
	}
}
