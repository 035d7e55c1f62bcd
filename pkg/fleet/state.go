package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// maxEnded is the number of ended sides that are remembered. A remembered side
// cannot open again under the same incarnation.
const maxEnded = 4096

// State is the fold of the fleet stream. The zero value is the state before the
// first record. It is not safe for concurrent use.
//
// Closings are never forgotten. A paused holder may resume after any length of
// time, and its work must then still be refused.
type State struct {
	sides    map[ident.Incarnation]*side
	closings map[ident.Incarnation]*closing
	// pending are the closings that are not final.
	pending map[ident.Incarnation]*closing
	// ended are the sides that ended last, oldest first, without duplicates.
	ended []ident.Incarnation
}

// side is an open side process.
type side struct {
	Slot    string        `json:"slot"`
	Service string        `json:"service"`
	Fence   logsvc.Offset `json:"fence"`
}

// closing is a closed holder.
type closing struct {
	At logsvc.Offset `json:"at"`
	// Final is the offset of the item that emptied Waiting. It is 0 while Waiting
	// is not empty.
	Final logsvc.Offset `json:"final"`
	// Waiting holds the sides that were open at the closing and that have
	// neither acknowledged it nor ended since.
	Waiting map[ident.Incarnation]bool `json:"waiting,omitempty"`
	// Gone holds the sides that ended without an acknowledgement.
	Gone []ident.Incarnation `json:"gone,omitempty"`
}

var _ fold.StateMachine = (*State)(nil)

// Apply folds one item.
func (s *State) Apply(at fold.Position, item fold.Item) {
	decoded, err := Decode(item)
	if err != nil {
		return
	}
	switch it := decoded.(type) {
	case SideOpen:
		s.open(at.Offset, it)
	case SideFence:
		s.fence(at.Offset, it.Side)
	case SideClose:
		s.end(at.Offset, it.Side, false)
	case SideGone:
		s.end(at.Offset, it.Side, true)
	case HolderClose:
		s.close(at.Offset, it.Holder)
	case Ack:
		s.ack(at.Offset, it)
	}
}

func (s *State) open(at logsvc.Offset, it SideOpen) {
	if it.Side == "" || s.sides[it.Side] != nil || slices.Contains(s.ended, it.Side) {
		return
	}
	if s.sides == nil {
		s.sides = make(map[ident.Incarnation]*side)
	}
	s.sides[it.Side] = &side{Slot: it.Slot, Service: it.Service, Fence: at}
}

// fence ends the sides of the same slot with a lower fencing number. A new SideOpen alone
// does not end them: until the target enforces the new number, an old process that was
// only paused could resume and start work.
func (s *State) fence(at logsvc.Offset, id ident.Incarnation) {
	own := s.sides[id]
	if own == nil {
		return
	}
	for _, other := range slices.Sorted(maps.Keys(s.sides)) {
		o := s.sides[other]
		if o.Slot == own.Slot && o.Fence < own.Fence {
			s.end(at, other, true)
		}
	}
}

// end removes an open side. Pending closings no longer wait for the side.
func (s *State) end(at logsvc.Offset, id ident.Incarnation, gone bool) {
	if s.sides[id] == nil {
		return
	}
	delete(s.sides, id)
	s.ended = append(s.ended, id)
	if len(s.ended) > maxEnded {
		s.ended = slices.Delete(s.ended, 0, 1)
	}
	for holder, c := range s.pending {
		if !c.Waiting[id] {
			continue
		}
		if gone {
			c.Gone = append(c.Gone, id)
		}
		s.stopWaiting(at, holder, id)
	}
}

func (s *State) close(at logsvc.Offset, holder ident.Incarnation) {
	if holder == "" || s.closings[holder] != nil {
		return
	}
	c := &closing{At: at}
	if len(s.sides) == 0 {
		c.Final = at
	} else {
		c.Waiting = make(map[ident.Incarnation]bool, len(s.sides))
	}
	for id := range s.sides {
		c.Waiting[id] = true
	}
	if s.closings == nil {
		s.closings = make(map[ident.Incarnation]*closing)
	}
	s.closings[holder] = c
	s.addPending(holder, c)
}

// addPending adds the closing to the pending ones, unless it is final.
func (s *State) addPending(holder ident.Incarnation, c *closing) {
	if c.Final != 0 {
		return
	}
	if s.pending == nil {
		s.pending = make(map[ident.Incarnation]*closing)
	}
	s.pending[holder] = c
}

func (s *State) ack(at logsvc.Offset, it Ack) {
	if c := s.pending[it.Holder]; c != nil && c.Waiting[it.Side] {
		s.stopWaiting(at, it.Holder, it.Side)
	}
}

// stopWaiting removes a side from the sides that a pending closing waits for. The
// closing is final when it waits for no more sides.
func (s *State) stopWaiting(at logsvc.Offset, holder, id ident.Incarnation) {
	c := s.pending[holder]
	delete(c.Waiting, id)
	if len(c.Waiting) == 0 {
		c.Waiting = nil
		c.Final = at
		delete(s.pending, holder)
	}
}

// snapshot is the encoded form of State. Its maps encode in key order.
type snapshot struct {
	Sides    map[ident.Incarnation]*side    `json:"sides"`
	Closings map[ident.Incarnation]*closing `json:"closings"`
	Ended    []ident.Incarnation            `json:"ended"`
}

// Snapshot encodes the state. Equal states encode to equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	return json.Marshal(snapshot{Sides: s.sides, Closings: s.closings, Ended: s.ended})
}

// Restore replaces the state with a snapshot. On error the state is unchanged.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		return fmt.Errorf("fleet snapshot: %w", err)
	}
	for id, v := range snap.Sides {
		if v == nil {
			return fmt.Errorf("fleet snapshot: side %q is null", id)
		}
	}
	for id, v := range snap.Closings {
		if v == nil {
			return fmt.Errorf("fleet snapshot: closing of %q is null", id)
		}
	}
	*s = State{sides: snap.Sides, closings: snap.Closings, ended: snap.Ended}
	for holder, c := range s.closings {
		s.addPending(holder, c)
	}
	return nil
}
