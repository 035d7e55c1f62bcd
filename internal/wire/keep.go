package wire

import (
	"time"

	"google.golang.org/grpc/keepalive"
)

const (
	// keepaliveTime is the idle time of a connection after which a client pings the
	// server.
	keepaliveTime = 10 * time.Second
	// keepaliveTimeout is how long the server may take to answer the ping.
	keepaliveTimeout = 3 * time.Second
)

// Keepalive holds the parameters with which clients ping idle connections,
// including those without streams.
var Keepalive = keepalive.ClientParameters{
	Time:                keepaliveTime,
	Timeout:             keepaliveTimeout,
	PermitWithoutStream: true,
}

// KeepalivePolicy is the policy of servers that allows the pings of Keepalive. By
// default, grpc closes a connection and its streams if it is pinged more often
// than every five minutes.
var KeepalivePolicy = keepalive.EnforcementPolicy{
	MinTime:             keepaliveTime / 2,
	PermitWithoutStream: true,
}
