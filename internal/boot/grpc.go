package boot

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/beryllanding/beryllanding/internal/config"
	"github.com/beryllanding/beryllanding/internal/entry"
	"github.com/beryllanding/beryllanding/internal/trace"
)

const (
	// keepaliveSlack is how much more often than announced a client may ping.
	keepaliveSlack = 2
	// serverKeepalive is after which quiet time the server checks a client.
	serverKeepalive = 20 * time.Second
	// serverKeepaliveTimeout is how long the client may take to answer.
	serverKeepaliveTimeout = 10 * time.Second
	// maxMessage bounds one gRPC message, in bytes.
	maxMessage = 16 << 20
)

// peerTLS returns the mutual TLS settings between the system's own processes,
// or nil where none are set.
func peerTLS(settings config.PeerTLS) (*tls.Config, error) {
	if !settings.Enabled() {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(settings.Cert, settings.Key)
	if err != nil {
		return nil, fmt.Errorf("certificate of section %q: %w", "peer-tls", err)
	}
	pem, err := os.ReadFile(settings.CA)
	if err != nil {
		return nil, fmt.Errorf("authorities of section %q: %w", "peer-tls", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("file %q of section %q holds no certificate", settings.CA, "peer-tls")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// dialOptions returns the options of all connections between own processes.
func dialOptions(settings config.PeerTLS, tracing *trace.Tracing) ([]grpc.DialOption, error) {
	conf, err := peerTLS(settings)
	if err != nil {
		return nil, err
	}
	creds := insecure.NewCredentials()
	if conf != nil {
		creds = credentials.NewTLS(conf)
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithKeepaliveParams(entry.Keepalive),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
	}
	return append(options, tracing.DialOptions()...), nil
}

// newServer returns a gRPC server for own processes.
func newServer(settings config.PeerTLS, tracing *trace.Tracing) (*grpc.Server, error) {
	conf, err := peerTLS(settings)
	if err != nil {
		return nil, err
	}
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverKeepalive, Timeout: serverKeepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             entry.Keepalive.Time / keepaliveSlack,
			PermitWithoutStream: true,
		}),
	}
	if conf != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(conf)))
	}
	return grpc.NewServer(append(options, tracing.ServerOptions()...)...), nil
}

// listen opens a TCP listener, and names the setting where it fails.
func listen(key, addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listener %q of section %q: %w", key, "listen", err)
	}
	return l, nil
}
