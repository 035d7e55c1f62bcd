package insts

import (
	"cmp"
	"slices"
	"time"

	"github.com/beryllanding/beryllanding/pkg/ident"
)

// maxDepartures bounds the departures that a view keeps.
const maxDepartures = 4096

// View holds the last list that was read successfully, and the recent departures
// from it. Do not call Update after a failed read. The zero value is an empty view.
// It is not safe for concurrent use.
type View struct {
	// At is when the list was read; zero before the first Update.
	At time.Time

	list []Instance
	// departures is ordered by the time of departure and holds at most maxDepartures.
	departures []Departure
}

// Departure is an incarnation that has disappeared from the list.
type Departure struct {
	// Instance is the last entry of the incarnation.
	Instance Instance
	// At is when the first list without the incarnation was read.
	At time.Time
}

// Change is the difference between two lists.
type Change struct {
	Added   []Instance
	Removed []Instance
	// Draining are the instances that changed from live to draining.
	Draining []Instance
}

// Update replaces the list with one that was read at the time now, and returns the
// changes. An instance with a new incarnation counts as removed and added.
func (v *View) Update(now time.Time, list []Instance) Change {
	next := slices.Clone(list)
	slices.SortFunc(next, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	change := diff(byIncarnation(v.list), byIncarnation(next), v.list, next)
	v.At = now
	v.list = next
	v.recordDepartures(now, change)
	return change
}

// recordDepartures adds the removed instances to the departures, and deletes the
// departures of instances that were added again.
func (v *View) recordDepartures(now time.Time, change Change) {
	added := byIncarnation(change.Added)
	v.departures = slices.DeleteFunc(v.departures, func(d Departure) bool {
		_, ok := added[d.Instance.Incarnation]
		return ok
	})
	for _, inst := range change.Removed {
		v.departures = append(v.departures, Departure{Instance: inst, At: now})
	}
	if extra := len(v.departures) - maxDepartures; extra > 0 {
		v.departures = slices.Clone(v.departures[extra:])
	}
}

// All returns the list, ordered by name.
func (v *View) All() []Instance { return slices.Clone(v.list) }

// Routers returns the entry instances, including draining ones.
func (v *View) Routers() []Instance {
	return v.filter(func(i Instance) bool { return i.Role == Router })
}

// Sides returns the side processes of a service, including draining ones.
func (v *View) Sides(service string) []Instance {
	return v.filter(func(i Instance) bool { return i.Role == Side && i.Service == service })
}

// Draining returns the instances that accept no new work.
func (v *View) Draining() []Instance {
	return v.filter(func(i Instance) bool { return i.State == Draining })
}

// Find returns the instance with the incarnation and true, or false if the list does
// not contain it.
func (v *View) Find(inc ident.Incarnation) (Instance, bool) {
	for _, inst := range v.list {
		if inst.Incarnation == inc {
			return inst, true
		}
	}
	return Instance{}, false
}

// Departures returns the departures at or after since. The view keeps the last 4096
// departures. An instance may still be running after its departure, since the list
// lags and the service also removes instances that have sent no PUT for some time.
func (v *View) Departures(since time.Time) []Departure {
	var found []Departure
	for _, d := range v.departures {
		if !d.At.Before(since) {
			found = append(found, d)
		}
	}
	return found
}

// filter returns the instances for which keep is true.
func (v *View) filter(keep func(Instance) bool) []Instance {
	var found []Instance
	for _, inst := range v.list {
		if keep(inst) {
			found = append(found, inst)
		}
	}
	return found
}

// diff returns the difference between two lists. before and after are the lists by
// incarnation.
func diff(before, after map[ident.Incarnation]Instance, oldList, newList []Instance) Change {
	var c Change
	for _, inst := range newList {
		old, known := before[inst.Incarnation]
		if !known {
			c.Added = append(c.Added, inst)
		} else if old.State == Live && inst.State == Draining {
			c.Draining = append(c.Draining, inst)
		}
	}
	for _, inst := range oldList {
		if _, known := after[inst.Incarnation]; !known {
			c.Removed = append(c.Removed, inst)
		}
	}
	return c
}

// byIncarnation returns the instances of a list by incarnation.
func byIncarnation(list []Instance) map[ident.Incarnation]Instance {
	m := make(map[ident.Incarnation]Instance, len(list))
	for _, inst := range list {
		m[inst.Incarnation] = inst
	}
	return m
}
