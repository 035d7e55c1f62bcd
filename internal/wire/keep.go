package wire

import (
	"time"

	"google.golang.org/grpc/keepalive"
)

const (
	// keepaliveTime is the silence on a connection after which it is checked.
	keepaliveTime = 10 * time.Second
	// keepaliveTimeout is the time for the answer to that check.
	keepaliveTimeout = 3 * time.Second
)

// Keepalive is how clients check connections that carry nothing.
var Keepalive = keepalive.ClientParameters{
	Time:                keepaliveTime,
	Timeout:             keepaliveTimeout,
	PermitWithoutStream: true,
}

// KeepalivePolicy is what servers have to allow for Keepalive. The default of
// grpc ends connections that are checked more often than once in five minutes,
// with the streams on them.
var KeepalivePolicy = keepalive.EnforcementPolicy{
	MinTime:             keepaliveTime / 2,
	PermitWithoutStream: true,
}
