package loads

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

const (
	// maxWants bounds the wants of one service, and maxServices the services
	// with a queue. Wants beyond are ignored; their sides propose them again.
	maxWants    = 4096
	maxServices = 1024
	// maxHeld bounds the slots whose weights are remembered, oldest forgotten
	// first.
	maxHeld = 8192
	// maxWeights bounds the weights of a want, and maxText every string of an
	// item, in bytes.
	maxWeights = 16
	maxText    = 256
)

// Place is a want's place in a queue.
type Place struct {
	Want
	// At is the offset of the item that took the place last.
	At logsvc.Offset `json:"at"`
}

// holding is what a slot's target was last known to hold in full.
type holding struct {
	Slot    string   `json:"slot"`
	Weights []string `json:"weights"`
}

// State is the fold of the loads stream. The zero value is the state before the
// first record. It is not safe for concurrent use.
type State struct {
	// queues hold the unfinished wants of each service, in order. A slot is in
	// one queue at most, once. No queue is empty.
	queues map[string][]Place
	// held has the slots' holdings, the latest last, each slot once.
	held []holding
}

var _ fold.Machine = (*State)(nil)

// Apply folds one item.
func (s *State) Apply(at fold.Position, item fold.Item) {
	decoded, err := Decode(item)
	if err != nil {
		return
	}
	switch it := decoded.(type) {
	case Want:
		s.want(at.Offset, it)
	case Done:
		s.done(it)
	case Skip:
		s.skip(it)
	}
}

// want takes the slot's place or the last one. A new incarnation keeps the place
// of the old one, since it stands beside the same target: a load that was begun
// goes on at the target, and still counts.
func (s *State) want(at logsvc.Offset, it Want) {
	if !validTexts(string(it.Side), it.Slot, it.Service) || !validWeights(it.Weights) {
		return
	}
	if service, i := s.find(it.Slot); i >= 0 {
		old := s.queues[service][i]
		if service == it.Service && slices.Equal(old.Weights, it.Weights) {
			if old.Side != it.Side {
				s.queues[service][i] = Place{Want: it, At: at}
			}
			return
		}
		s.remove(service, i)
	}
	q := s.queues[it.Service]
	if len(q) >= maxWants || q == nil && len(s.queues) >= maxServices {
		return
	}
	if s.queues == nil {
		s.queues = make(map[string][]Place)
	}
	s.queues[it.Service] = append(q, Place{Want: it, At: at})
}

func (s *State) done(it Done) {
	if !validTexts(string(it.Side), it.Slot, it.Service) || !validWeights(it.Weights) {
		return
	}
	if service, i := s.find(it.Slot); i >= 0 && s.queues[service][i].Side == it.Side {
		s.remove(service, i)
	}
	s.held = slices.DeleteFunc(s.held, func(h holding) bool { return h.Slot == it.Slot })
	s.held = append(s.held, holding{Slot: it.Slot, Weights: it.Weights})
	if len(s.held) > maxHeld {
		s.held = slices.Delete(s.held, 0, 1)
	}
}

func (s *State) skip(it Skip) {
	for service, q := range s.queues {
		i := slices.IndexFunc(q, func(p Place) bool { return p.Side == it.Side && p.At == it.Want })
		if i >= 0 {
			s.remove(service, i)
			return
		}
	}
}

// find returns the queue and index of a slot's want; the index is -1 where there
// is none.
func (s *State) find(slot string) (service string, index int) {
	for service, q := range s.queues {
		if i := slices.IndexFunc(q, func(p Place) bool { return p.Slot == slot }); i >= 0 {
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
		if t == "" || len(t) > maxText {
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
	Queues map[string][]Place `json:"queues"`
	Held   []holding          `json:"held"`
}

// Snapshot encodes the state. Equal states encode to equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{Queues: s.queues, Held: s.held}
	if len(snap.Queues) == 0 {
		snap.Queues = nil
	}
	if len(snap.Held) == 0 {
		snap.Held = nil
	}
	return json.Marshal(snap)
}

// Restore replaces the state by a snapshot. On error the state is unchanged.
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
	*s = State{queues: snap.Queues, held: snap.Held}
	return nil
}
