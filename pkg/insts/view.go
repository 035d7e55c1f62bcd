package insts

import (
	"cmp"
	"slices"
	"time"

	"github.com/beryllanding/beryllanding/pkg/ident"
)

// maxGone bounds the departures that a view remembers.
const maxGone = 4096

// View is the last good list, with what changed in it. Failed reads leave it as
// it is: call Update with good lists only. The zero value has seen none. It is
// not safe for concurrent use.
type View struct {
	// At is when the last good list was read.
	At time.Time

	list []Instance
	// gone is ordered by time of departure.
	gone []Departure
}

// Departure is an incarnation that the list showed and no longer shows.
type Departure struct {
	// Instance is the entry as it was last shown.
	Instance Instance
	// At is when the list first lacked the incarnation.
	At time.Time
}

// Change is the difference between two lists.
type Change struct {
	Added   []Instance
	Removed []Instance
	// Leaving are the instances that went from live to leaving.
	Leaving []Instance
}

// Update replaces the list by a good one read at now, and returns what changed.
// An instance with a new incarnation is removed and added.
func (v *View) Update(now time.Time, list []Instance) Change {
	next := slices.Clone(list)
	slices.SortFunc(next, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	change := diff(index(v.list), index(next), v.list, next)
	v.At = now
	v.list = next
	v.noteGone(now, change)
	return change
}

// noteGone remembers the departures, and forgets those that came back.
func (v *View) noteGone(now time.Time, change Change) {
	back := index(change.Added)
	v.gone = slices.DeleteFunc(v.gone, func(d Departure) bool {
		_, ok := back[d.Instance.Incarnation]
		return ok
	})
	for _, inst := range change.Removed {
		v.gone = append(v.gone, Departure{Instance: inst, At: now})
	}
	if extra := len(v.gone) - maxGone; extra > 0 {
		v.gone = slices.Clone(v.gone[extra:])
	}
}

// All returns the last good list, ordered by name.
func (v *View) All() []Instance { return slices.Clone(v.list) }

// Routers returns the entry instances, leaving ones included.
func (v *View) Routers() []Instance {
	return v.where(func(i Instance) bool { return i.Role == Router })
}

// Sides returns the side processes of a service, leaving ones included.
func (v *View) Sides(service string) []Instance {
	return v.where(func(i Instance) bool { return i.Role == Side && i.Service == service })
}

// Leaving returns the instances that take no new work.
func (v *View) Leaving() []Instance {
	return v.where(func(i Instance) bool { return i.State == Leaving })
}

// Find returns the instance with the incarnation, if the list shows it.
func (v *View) Find(inc ident.Incarnation) (Instance, bool) {
	for _, inst := range v.list {
		if inst.Incarnation == inc {
			return inst, true
		}
	}
	return Instance{}, false
}

// Gone returns the departures noted at or after since. The newest maxGone are
// remembered. The list lags and is dropped by silence, so an incarnation that
// is gone here may be alive.
func (v *View) Gone(since time.Time) []Departure {
	var found []Departure
	for _, d := range v.gone {
		if !d.At.Before(since) {
			found = append(found, d)
		}
	}
	return found
}

func (v *View) where(keep func(Instance) bool) []Instance {
	var found []Instance
	for _, inst := range v.list {
		if keep(inst) {
			found = append(found, inst)
		}
	}
	return found
}

// diff compares two lists by incarnation.
func diff(before, after map[ident.Incarnation]Instance, was, is []Instance) Change {
	var c Change
	for _, inst := range is {
		old, known := before[inst.Incarnation]
		if !known {
			c.Added = append(c.Added, inst)
		} else if old.State == Live && inst.State == Leaving {
			c.Leaving = append(c.Leaving, inst)
		}
	}
	for _, inst := range was {
		if _, known := after[inst.Incarnation]; !known {
			c.Removed = append(c.Removed, inst)
		}
	}
	return c
}

func index(list []Instance) map[ident.Incarnation]Instance {
	m := make(map[ident.Incarnation]Instance, len(list))
	for _, inst := range list {
		m[inst.Incarnation] = inst
	}
	return m
}
