package fleet

import (
	"maps"
	"slices"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// Side describes an open side process.
type Side struct {
	Side ident.Incarnation
	// Slot identifies the target that the side works for. Successive sides of a target
	// share it.
	Slot    string
	Service string
	// Fence is the side's fencing number, the offset of its SideOpen.
	Fence logsvc.Offset
}

// Ended reports whether the side was registered and has ended. Only the last
// maxEnded ended sides are remembered.
func (s *State) Ended(side ident.Incarnation) bool { return slices.Contains(s.ended, side) }

// Closed reports whether the holder is closed.
func (s *State) Closed(holder ident.Incarnation) bool { return s.closings[holder] != nil }

// Final returns the offset at which the holder's closing became final, and whether
// the closing is final. A closing is final once every side that was open at the
// closing has acknowledged it or ended.
func (s *State) Final(holder ident.Incarnation) (logsvc.Offset, bool) {
	c := s.closings[holder]
	if c == nil || c.Final == 0 {
		return 0, false
	}
	return c.Final, true
}

// EndedUnacked returns the sides that ended without acknowledging the holder's closing, in
// order of name. The log may lack usage of work that they ran for the holder.
func (s *State) EndedUnacked(holder ident.Incarnation) []ident.Incarnation {
	c := s.closings[holder]
	if c == nil {
		return nil
	}
	return slices.Sorted(slices.Values(c.Gone))
}

// Unacked returns the holders whose closing the side has yet to acknowledge, in
// order of name.
func (s *State) Unacked(side ident.Incarnation) []ident.Incarnation {
	var holders []ident.Incarnation
	for holder, c := range s.pending {
		if c.Waiting[side] {
			holders = append(holders, holder)
		}
	}
	slices.Sort(holders)
	return holders
}

// Open reports whether the side is registered and has not ended.
func (s *State) Open(side ident.Incarnation) bool { return s.sides[side] != nil }

// Lookup returns a side and true, or false if the side is not open.
func (s *State) Lookup(id ident.Incarnation) (Side, bool) {
	v := s.sides[id]
	if v == nil {
		return Side{}, false
	}
	return Side{Side: id, Slot: v.Slot, Service: v.Service, Fence: v.Fence}, true
}

// Sides returns the open sides in order of name.
func (s *State) Sides() []Side {
	out := make([]Side, 0, len(s.sides))
	for _, id := range slices.Sorted(maps.Keys(s.sides)) {
		v, _ := s.Lookup(id)
		out = append(out, v)
	}
	return out
}

// Waiting returns the sides that the holder's closing still waits for, in order of
// name.
func (s *State) Waiting(holder ident.Incarnation) []ident.Incarnation {
	c := s.closings[holder]
	if c == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(c.Waiting))
}

// Closings returns the closed holders in order of name.
func (s *State) Closings() []ident.Incarnation { return slices.Sorted(maps.Keys(s.closings)) }
