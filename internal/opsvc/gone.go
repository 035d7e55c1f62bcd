package opsvc

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/beryllanding/beryllanding/pkg/fleet"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// ErrMayBeAlive reports that a side process cannot be declared gone, because it
// may be alive.
var ErrMayBeAlive = errors.New("side process may be alive")

// SideGone is a request to declare a side process gone.
type SideGone struct {
	// Side is an incarnation, or the name of an instance that has one open side.
	Side   string
	Reason string
	// Force skips the check of the instance list.
	Force bool
}

// SideGoneResult is the outcome of the declaration.
type SideGoneResult struct {
	Side    ident.Incarnation `json:"side"`
	Outcome Outcome           `json:"outcome"`
}

// SideGone declares that a side process can start no more work, and waits until
// the declaration is decided or the context ends. It returns ErrMayBeAlive if
// the instance list shows the process or cannot be read.
func (s *Service) SideGone(ctx context.Context, req SideGone) (SideGoneResult, error) {
	var state fleet.State
	f, err := s.catchUp(ctx, ledger.FleetStream, &state)
	if err != nil {
		return SideGoneResult{}, err
	}
	side, err := findSide(&state, req.Side)
	if err != nil {
		return SideGoneResult{}, err
	}
	if err := s.checkUnlisted(ctx, req, side); err != nil {
		return SideGoneResult{}, err
	}
	item := fleet.Encode(fleet.SideGone{Side: side, By: s.Operator, Reason: req.Reason})
	result := SideGoneResult{Side: side}
	result.Outcome = s.decide(ctx, f, item, func() bool { return !state.Open(side) })
	if result.Outcome == "" {
		result.Outcome = Accepted
	}
	return result, nil
}

// findSide returns the open side whose incarnation is name. If there is none, it
// returns the only open side of the instance called name. It returns ErrNotFound
// if that instance has no open side, and another error if it has several.
func findSide(state *fleet.State, name string) (ident.Incarnation, error) {
	if state.Open(ident.Incarnation(name)) {
		return ident.Incarnation(name), nil
	}
	var found []string
	for _, v := range state.Sides() {
		if v.Side.Instance() == name {
			found = append(found, string(v.Side))
		}
	}
	switch len(found) {
	case 0:
		return "", fmt.Errorf("side process %q is not open: %w", name, ErrNotFound)
	case 1:
		return ident.Incarnation(found[0]), nil
	}
	return "", fmt.Errorf("side process %q has several open incarnations: %s", name, strings.Join(found, ", "))
}

// checkUnlisted returns ErrMayBeAlive if the instance list shows the side or
// cannot be read.
func (s *Service) checkUnlisted(ctx context.Context, req SideGone, side ident.Incarnation) error {
	if req.Force {
		return nil
	}
	list, err := s.Instances(ctx)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMayBeAlive, err)
	}
	for _, inst := range list {
		if inst.Incarnation == side {
			return fmt.Errorf("%w: the instance list shows %q as %s", ErrMayBeAlive, side, inst.State)
		}
	}
	return nil
}
