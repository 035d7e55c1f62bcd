package opsvc

import (
	"context"

	"github.com/beryllanding/beryllanding/pkg/fleet"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// Fleet is the state of the fleet stream.
type Fleet struct {
	// Sides are the side processes that may start work.
	Sides []Side `json:"sides"`
	// Closings are the closed holders.
	Closings []Closing `json:"closings"`
}

// Side is an open side process.
type Side struct {
	Side    ident.Incarnation `json:"side"`
	Slot    string            `json:"slot"`
	Service string            `json:"service"`
	// Fence is the side's fencing number.
	Fence logsvc.Offset `json:"fence"`
	// Unacked is the number of closings that the side has yet to acknowledge.
	Unacked int `json:"owes"`
}

// Closing is a closed holder.
type Closing struct {
	Holder ident.Incarnation `json:"holder"`
	// Final is the offset at which the closing became final; 0 if it is not.
	Final logsvc.Offset `json:"final"`
	// Waiting are the sides that the closing still waits for.
	Waiting []ident.Incarnation `json:"waiting"`
	// Gone are the sides that ended without an acknowledgement.
	Gone []ident.Incarnation `json:"gone,omitempty"`
}

// Fleet returns the open sides and the closings that are not final. If all is
// true, it also returns the final closings.
func (s *Service) Fleet(ctx context.Context, all bool) (Fleet, error) {
	var state fleet.State
	if _, err := s.catchUp(ctx, ledger.FleetStream, &state); err != nil {
		return Fleet{}, err
	}
	out := Fleet{Sides: []Side{}, Closings: []Closing{}}
	for _, v := range state.Sides() {
		out.Sides = append(out.Sides, Side{
			Side: v.Side, Slot: v.Slot, Service: v.Service, Fence: v.Fence,
			Unacked: len(state.Unacked(v.Side)),
		})
	}
	for _, holder := range state.Closings() {
		final, done := state.Final(holder)
		if done && !all {
			continue
		}
		out.Closings = append(out.Closings, Closing{
			Holder:  holder,
			Final:   final,
			Waiting: append([]ident.Incarnation{}, state.Waiting(holder)...),
			Gone:    state.EndedUnacked(holder),
		})
	}
	return out, nil
}
