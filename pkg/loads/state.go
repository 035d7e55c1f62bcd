package loads

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

const (
	// maxRequests bounds the load requests of one service, and maxServices the
	// services with a queue. Requests beyond these limits are ignored, and their
	// sides propose them again.
	maxRequests = 4096
	maxServices = 1024
	// maxLoadedSlots bounds the slots whose weights are remembered. The oldest is
	// forgotten first.
	maxLoadedSlots = 8192
	// maxWeights bounds the weights of a load request. maxTextLen bounds every
	// string of an item, in bytes.
	maxWeights = 16
	maxTextLen = 256
)

// QueueEntry is a load request in a queue.
type QueueEntry struct {
	Request
	// At is the offset of the latest Request at this place of the queue.
	At logsvc.Offset `json:"at"`
}

// loadedWeights are the weights of the latest Done of a slot's target.
type loadedWeights struct {
	Slot    string   `json:"slot"`
	Weights []string `json:"weights"`
}

// State is the fold of the loads stream. The zero value is the state before the
// first record. It is not safe for concurrent use.
type State struct {
	// queues hold the unfinished load requests of each service, in order. A slot
	// has at most one request in all queues. No queue is empty.
	queues map[string][]QueueEntry
	// loaded has at most one element for each slot, the latest Done last.
	loaded []loadedWeights
}

var _ fold.StateMachine = (*State)(nil)

// Apply folds one item.
func (s *State) Apply(at fold.Position, item fold.Item) {
	decoded, err := Decode(item)
	if err != nil {
		return
	}
	switch it := decoded.(type) {
	case Request:
		s.request(at.Offset, it)
	case Done:
		s.done(it)
	case Skip:
		s.skip(it)
	}
}

// request puts the load request in the slot's place or at the end of the queue. A new
// incarnation keeps the place of the previous one, because the target is the same.
// A load that is in progress at the target continues and still counts.
func (s *State) request(at logsvc.Offset, it Request) {
	if !validTexts(string(it.Side), it.Slot, it.Service) || !validWeights(it.Weights) {
		return
	}
	if service, i := s.find(it.Slot); i >= 0 {
		old := s.queues[service][i]
		if service == it.Service && slices.Equal(old.Weights, it.Weights) {
			if old.Side != it.Side {
				s.queues[service][i] = QueueEntry{Request: it, At: at}
			}
			return
		}
		s.remove(service, i)
	}
	q := s.queues[it.Service]
	if len(q) >= maxRequests || q == nil && len(s.queues) >= maxServices {
		return
	}
	if s.queues == nil {
		s.queues = make(map[string][]QueueEntry)
	}
	s.queues[it.Service] = append(q, QueueEntry{Request: it, At: at})
}

func (s *State) done(it Done) {
	if !validTexts(string(it.Side), it.Slot, it.Service) || !validWeights(it.Weights) {
		return
	}
	if service, i := s.find(it.Slot); i >= 0 && s.queues[service][i].Side == it.Side {
		s.remove(service, i)
	}
	s.loaded = slices.DeleteFunc(s.loaded, func(h loadedWeights) bool { return h.Slot == it.Slot })
	s.loaded = append(s.loaded, loadedWeights{Slot: it.Slot, Weights: it.Weights})
	if len(s.loaded) > maxLoadedSlots {
		s.loaded = slices.Delete(s.loaded, 0, 1)
	}
}

func (s *State) skip(it Skip) {
	for service, q := range s.queues {
		i := slices.IndexFunc(q, func(p QueueEntry) bool { return p.Side == it.Side && p.At == it.Request })
		if i >= 0 {
			s.remove(service, i)
			return
		}
	}
}

// find returns the service and the queue index of a slot's load request. The index
// is -1 if the slot has none.
func (s *State) find(slot string) (service string, index int) {
	for service, q := range s.queues {
		if i := slices.IndexFunc(q, func(p QueueEntry) bool { return p.Slot == slot }); i >= 0 {
			return service, i
		}
	}
	return "", -1
}

func (s *State) remove(service string, i int) {
	s.queues[service] = slices.Delete(s.queues[service], i, i+1)
	if len(s.queues[service]) == 0 {
		delete(s.queues, service)
	}
}

func validTexts(texts ...string) bool {
	for _, t := range texts {
		if t == "" || len(t) > maxTextLen {
			return false
		}
	}
	return true
}

func validWeights(weights []string) bool {
	return len(weights) > 0 && len(weights) <= maxWeights && validTexts(weights...)
}

// snapshot is the encoded state. Maps are encoded in key order.
type snapshot struct {
	Queues map[string][]QueueEntry `json:"queues"`
	Held   []loadedWeights         `json:"held"`
}

// Snapshot encodes the state. Equal states encode to equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{Queues: s.queues, Held: s.loaded}
	if len(snap.Queues) == 0 {
		snap.Queues = nil
	}
	if len(snap.Held) == 0 {
		snap.Held = nil
	}
	return json.Marshal(snap)
}

// Restore replaces the state with a snapshot. On error the state is unchanged.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		return fmt.Errorf("loads snapshot: %w", err)
	}
	for service, q := range snap.Queues {
		if len(q) == 0 {
			return fmt.Errorf("loads snapshot: queue of service %q is empty", service)
		}
	}
	*s = State{queues: snap.Queues, loaded: snap.Held}
	return nil
}
