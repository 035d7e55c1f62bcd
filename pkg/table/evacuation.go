package table

import (
	"maps"
	"slices"
	"time"
)

// Order is a record by which operators evacuate a data centre while it exists.
type Order struct {
	DataCentre string
	Exists     bool
}

// Evacuations tracks which data centres are evacuated. The zero value has none.
type Evacuations struct {
	// inForce maps each evacuated data centre to when its order counts as taken back, or to
	// the zero time. Only orders that a restored store lacks have another time.
	inForce map[string]time.Time
}

// rewriteGrace is how long after a restore of the store from an older copy, and after the
// operators have written their configuration again, an order that the copy lacks stays in
// force. Operators and targets write again within about two seconds.
const rewriteGrace = 2100 * time.Millisecond

// Apply applies the records of a change and returns the data centres whose evacuation begins
// and ends, sorted. full means that there are no other orders in the store. restored means that
// they are those of an older copy from which the store was restored; current means that the
// store has the newest known configuration. An order that a copy lacks stays in force until
// the operators had time to write it again. Apply must be called now and then also without
// records.
func (e *Evacuations) Apply(now time.Time, orders []Order, full, restored, current bool) (begun, ended []string) {
	before := slices.Collect(maps.Keys(e.inForce))
	if e.inForce == nil {
		e.inForce = make(map[string]time.Time)
	}
	exists := make(map[string]bool)
	for _, o := range orders {
		exists[o.DataCentre] = o.Exists
		if o.Exists {
			e.inForce[o.DataCentre] = time.Time{}
		} else {
			delete(e.inForce, o.DataCentre)
		}
	}
	for dataCentre, end := range e.inForce {
		missing := !end.IsZero() || (full && !exists[dataCentre])
		switch {
		case missing && (restored || !current):
			e.inForce[dataCentre] = now.Add(rewriteGrace)
		case missing && !end.After(now):
			delete(e.inForce, dataCentre)
		}
	}
	for dataCentre := range e.inForce {
		if !slices.Contains(before, dataCentre) {
			begun = append(begun, dataCentre)
		}
	}
	for _, dataCentre := range before {
		if _, ok := e.inForce[dataCentre]; !ok {
			ended = append(ended, dataCentre)
		}
	}
	slices.Sort(begun)
	slices.Sort(ended)
	return begun, ended
}
