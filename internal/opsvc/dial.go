package opsvc

import (
	"fmt"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/beryllanding/beryllanding/internal/config"
	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/insts"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// Dial returns a service for the platform in the settings. An address that is not
// set is reported by the methods that need it.
func Dial(settings config.Operator) (*Service, error) {
	conf, err := settings.PeerTLS.Load()
	if err != nil {
		return nil, err
	}
	creds := insecure.NewCredentials()
	if conf != nil {
		creds = credentials.NewTLS(conf)
	}
	s := &Service{
		Shards: settings.Budget.Shards,
		Peer:   func(addr string) (wire.PeerClient, func(), error) { return dialPeer(addr, creds) },
	}
	if settings.Platform.LogService != "" {
		s.Log = &logsvc.Client{Addr: settings.Platform.LogService}
	}
	if settings.Platform.InstanceList != "" {
		s.List = &insts.Client{Addr: settings.Platform.InstanceList}
	}
	return s, nil
}

func dialPeer(addr string, creds credentials.TransportCredentials) (wire.PeerClient, func(), error) {
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(creds), grpc.WithDisableServiceConfig(), grpc.WithNoProxy())
	if err != nil {
		return nil, nil, fmt.Errorf("entry instance at %q: %w", addr, err)
	}
	return wire.NewPeerClient(conn), func() { _ = conn.Close() }, nil
}
