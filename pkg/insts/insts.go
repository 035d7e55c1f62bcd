// Package insts is the client side of the platform's instance list. The list contains
// the live and the draining instances, and lags behind their actual state.
//
// The published protocol is HTTP with JSON bodies:
//
//	GET    /instances          200 {"instances": [...]}
//	PUT    /instances/{name}   body: the instance; 204
//	DELETE /instances/{name}   204
//
// An instance repeats its PUT periodically. The service removes an instance that has
// not sent a PUT for some time.
package insts

import (
	"errors"
	"fmt"
	"net"

	"github.com/beryllanding/beryllanding/pkg/ident"
)

// Role is the kind of an instance.
type Role string

// The roles of instances.
const (
	// Router is an entry instance, which routes requests to targets.
	Router Role = "router"
	// Side is the sidecar process of a target.
	Side Role = "side"
)

// State reports whether an instance accepts new work.
type State string

// The states of instances in the list.
const (
	// Live instances accept new work.
	Live State = "live"
	// Draining instances accept no new work.
	Draining State = "leaving"
)

// ErrInvalid reports an instance with a missing or wrong field.
var ErrInvalid = errors.New("instance is invalid")

// maxField bounds the length of each field of an instance, in bytes.
const maxField = 256

// Instance is one entry of the list.
type Instance struct {
	// Name is unique among running instances and stays the same over restarts.
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Service is the service of a side process's target. It is empty for a router.
	Service    string `json:"service,omitempty"`
	DataCentre string `json:"data-centre"`
	Region     string `json:"region"`
	// Addr is the host and port of the instance's gRPC server.
	Addr        string            `json:"addr"`
	Incarnation ident.Incarnation `json:"incarnation"`
	State       State             `json:"state"`
}

// Validate returns an error that wraps ErrInvalid if a field is missing or invalid.
func (i Instance) Validate() error {
	for _, field := range []string{i.Name, i.Service, i.DataCentre, i.Region, i.Addr, string(i.Incarnation)} {
		if len(field) > maxField {
			return fmt.Errorf("%w: a field has %d bytes, exceeding the limit of %d", ErrInvalid, len(field), maxField)
		}
	}
	switch {
	case i.Name == "":
		return fmt.Errorf("%w: name is missing", ErrInvalid)
	case i.Role != Router && i.Role != Side:
		return fmt.Errorf("%w: role %q of %q is neither %q nor %q", ErrInvalid, i.Role, i.Name, Router, Side)
	case i.Role == Side && i.Service == "":
		return fmt.Errorf("%w: side process %q has no service", ErrInvalid, i.Name)
	case i.State != Live && i.State != Draining:
		return fmt.Errorf("%w: state %q of %q is neither %q nor %q", ErrInvalid, i.State, i.Name, Live, Draining)
	case i.Incarnation == "":
		return fmt.Errorf("%w: incarnation of %q is missing", ErrInvalid, i.Name)
	}
	if _, _, err := net.SplitHostPort(i.Addr); err != nil {
		return fmt.Errorf("%w: address %q of %q: %w", ErrInvalid, i.Addr, i.Name, err)
	}
	return nil
}
