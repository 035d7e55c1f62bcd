package loads

import (
	"slices"

	"github.com/beryllanding/beryllanding/pkg/ident"
)

// Entry returns the side's unfinished load request and its index in its service's
// queue. ok is false if the side has none.
func (s *State) Entry(side ident.Incarnation) (entry QueueEntry, index int, ok bool) {
	for _, q := range s.queues {
		if i := slices.IndexFunc(q, func(p QueueEntry) bool { return p.Side == side }); i >= 0 {
			return q[i], i, true
		}
	}
	return QueueEntry{}, 0, false
}

// MayLoad reports whether the side's load request is among the first maxLoads
// unfinished ones of its service.
func (s *State) MayLoad(side ident.Incarnation, maxLoads int) bool {
	_, i, ok := s.Entry(side)
	return ok && i < maxLoads
}

// Queue returns the unfinished load requests of a service in order. The caller must
// not modify them.
func (s *State) Queue(service string) []QueueEntry { return s.queues[service] }

// LastLoaded returns the weights of the latest Done of the slot's target, or nil if there
// is none. Only the target's own report shows whether it still has them loaded.
func (s *State) LastLoaded(slot string) []string {
	for _, h := range s.loaded {
		if h.Slot == slot {
			return h.Weights
		}
	}
	return nil
}
