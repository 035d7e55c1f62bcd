package catal

import "sync"

// verdicts remembers the latest verdicts by the id of their change. The zero
// value is empty. It is safe for concurrent use.
type verdicts struct {
	mu   sync.RWMutex
	byID map[string]Verdict
	// order holds the ids in the order of the log.
	order []string
}

func (v *verdicts) get(id string) Verdict {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.byID[id]
}

// add remembers a verdict, and forgets the oldest above the limit.
func (v *verdicts) add(id string, verdict Verdict, limit int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.byID == nil {
		v.byID = make(map[string]Verdict)
	}
	v.byID[id] = verdict
	v.order = append(v.order, id)
	if len(v.order) > limit {
		delete(v.byID, v.order[0])
		v.order = v.order[1:]
	}
}

// replace takes over the content of other, which nobody else uses.
func (v *verdicts) replace(other *verdicts) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.byID = other.byID
	v.order = other.order
}
