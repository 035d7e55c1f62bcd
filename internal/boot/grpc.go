package boot

import (
	"fmt"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/beryllanding/beryllanding/internal/config"
	"github.com/beryllanding/beryllanding/internal/trace"
	"github.com/beryllanding/beryllanding/internal/wire"
)

const (
	// serverKeepalive is the idle time after which the server pings a client.
	serverKeepalive = 20 * time.Second
	// serverKeepaliveTimeout is how long the client may take to answer the ping.
	serverKeepaliveTimeout = 10 * time.Second
	// maxMessage is the size limit of a received gRPC message, in bytes.
	maxMessage = 16 << 20
)

// dialOptions returns the client options of connections between the system's own
// processes.
func dialOptions(settings config.PeerTLS, tracing *trace.Tracing) ([]grpc.DialOption, error) {
	conf, err := settings.Load()
	if err != nil {
		return nil, err
	}
	creds := insecure.NewCredentials()
	if conf != nil {
		creds = credentials.NewTLS(conf)
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithKeepaliveParams(wire.Keepalive),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
	}
	return append(options, tracing.DialOptions()...), nil
}

// newServer returns a gRPC server for the system's own processes.
func newServer(settings config.PeerTLS, tracing *trace.Tracing) (*grpc.Server, error) {
	conf, err := settings.Load()
	if err != nil {
		return nil, err
	}
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverKeepalive, Timeout: serverKeepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(wire.KeepalivePolicy),
	}
	if conf != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(conf)))
	}
	return grpc.NewServer(append(options, tracing.ServerOptions()...)...), nil
}

// listen opens a TCP listener. The error names the setting with the address.
func listen(key, addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listener %q of section %q: %w", key, "listen", err)
	}
	return l, nil
}
