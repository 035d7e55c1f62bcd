package catal

import "sync"

// verdicts holds the latest verdicts by the ID of their change. The zero value is
// empty. It is safe for concurrent use.
type verdicts struct {
	mu   sync.RWMutex
	byID map[string]Verdict
	// order holds the IDs in log order.
	order []string
}

func (v *verdicts) get(id string) Verdict {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.byID[id]
}

// add stores a verdict. If this makes more than limit verdicts, it drops the oldest.
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

// replace takes over the contents of other, which no other goroutine may use.
func (v *verdicts) replace(other *verdicts) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.byID = other.byID
	v.order = other.order
}
