// Package insts is the client side of the platform's instance list, which shows
// the live and leaving instances with a lag.
//
// The published protocol is HTTP with JSON bodies:
//
//	GET    /instances          200 {"instances": [...]}
//	PUT    /instances/{name}   body: the instance; 204
//	DELETE /instances/{name}   204
//
// An instance announces itself again and again; the service drops one that it
// has not heard of for a while.
package insts

import (
	"errors"
	"fmt"
	"net"

	"github.com/beryllanding/beryllanding/pkg/ident"
)

// Role says what an instance does.
type Role string

// The roles of instances.
const (
	// Router is an entry instance.
	Router Role = "router"
	// Side is the small process beside a target.
	Side Role = "side"
)

// State says whether an instance takes new work.
type State string

// The states of instances in the list.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// ErrInvalid reports an instance with a missing or wrong field.
var ErrInvalid = errors.New("instance is invalid")

// maxField bounds the fields of an instance, in bytes.
const maxField = 256

// Instance is one entry of the list.
type Instance struct {
	// Name is unique among the living instances, and the same over restarts.
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Service is the service of a side process's target; empty for a router.
	Service    string `json:"service,omitempty"`
	DataCentre string `json:"data-centre"`
	Region     string `json:"region"`
	// Addr is the host and port of the instance's gRPC server.
	Addr        string            `json:"addr"`
	Incarnation ident.Incarnation `json:"incarnation"`
	State       State             `json:"state"`
}

// Check returns an error that names the first field that is wrong.
func (i Instance) Check() error {
	for _, field := range []string{i.Name, i.Service, i.DataCentre, i.Region, i.Addr, string(i.Incarnation)} {
		if len(field) > maxField {
			return fmt.Errorf("%w: a field has %d bytes, at most %d", ErrInvalid, len(field), maxField)
		}
	}
	switch {
	case i.Name == "":
		return fmt.Errorf("%w: name is missing", ErrInvalid)
	case i.Role != Router && i.Role != Side:
		return fmt.Errorf("%w: role %q of %q is neither %q nor %q", ErrInvalid, i.Role, i.Name, Router, Side)
	case i.Role == Side && i.Service == "":
		return fmt.Errorf("%w: side process %q has no service", ErrInvalid, i.Name)
	case i.State != Live && i.State != Leaving:
		return fmt.Errorf("%w: state %q of %q is neither %q nor %q", ErrInvalid, i.State, i.Name, Live, Leaving)
	case i.Incarnation == "":
		return fmt.Errorf("%w: incarnation of %q is missing", ErrInvalid, i.Name)
	}
	if _, _, err := net.SplitHostPort(i.Addr); err != nil {
		return fmt.Errorf("%w: address %q of %q: %w", ErrInvalid, i.Addr, i.Name, err)
	}
	return nil
}
