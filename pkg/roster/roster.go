// Package roster tracks the list of targets in the platform's store and decides
// which targets may be used, in particular while the store is unreachable and
// after it returns. It reads no clock: the caller passes the time in.
package roster

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Target is one target as the platform lists it.
type Target struct {
	// ID names the target. A target may keep its ID when it restarts.
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Version is the version of the target's software. It may be empty.
	Version string
	// Draining is set if the target takes no new work.
	Draining bool
	// Born is the start time of the target in Unix milliseconds. It distinguishes runs
	// of a target under one ID; 0 means unknown.
	Born int64
	// Sequence is the number of the entry among those of its run. Later entries have
	// higher numbers.
	Sequence int64
	// ColdLeft is how much longer the target is cold, as of the entry. ColdUntil is when
	// the reader of the entry expects it to be warm; it is not part of the entry.
	ColdLeft  time.Duration
	ColdUntil time.Time `json:"-"`
}

// MaxCold bounds ColdLeft, so that a wrong value does not slow a target down for good.
const MaxCold = 5 * time.Minute

// ColdBy returns when the target is expected to be warm if its entry was read at the given
// time, or zero if it is not cold. A negative ColdLeft counts as 0.
func (t Target) ColdBy(read time.Time) time.Time {
	if t.ColdLeft <= 0 {
		return time.Time{}
	}
	return read.Add(min(t.ColdLeft, MaxCold))
}

// Same reports whether two entries describe the same run of a target.
func (t Target) Same(o Target) bool {
	return t.ID == o.ID && t.Service == o.Service && t.Address == o.Address && t.Born == o.Born && t.Version == o.Version
}

// Run returns the name of this run of the target. A target that restarted under the same
// id has another one.
func (t Target) Run() string { return fmt.Sprintf("%s/%d", t.ID, t.Born) }

// DefaultGrace is how long after the store's return a target whose entry expired during
// the outage stays in use without an entry. Running targets restore their entries
// within about 2 s. An instance may notice the store's return 0.5 s late. Even then,
// the grace ends within the 3 s in which an instance must act on what it has read.
const DefaultGrace = 2100 * time.Millisecond

// lapseWindow is how long after the store's return a removed entry is still treated as
// one that expired during the outage. An entry that is removed later belongs to a
// target that is drained, and its removal takes effect at once. A target that is
// drained within this time is used until the end of the grace, for at most 2.1 s.
const lapseWindow = 400 * time.Millisecond

// goneTTL is how long the last entry of a target that was removed is remembered. It
// exceeds the age of the copies from which a store is restored.
const goneTTL = 2 * time.Minute

// gone is the last entry of a target that was removed.
type gone struct {
	Target
	at time.Time
}

// Roster is the state of the target list. The zero value is an empty list that was
// never read. A Roster is not safe for concurrent use.
type Roster struct {
	// Grace replaces DefaultGrace; 0 means DefaultGrace.
	Grace time.Duration

	// listed holds the targets that have an entry, by ID.
	listed map[string]Target
	// missing holds the targets whose entries were removed while the store was
	// unreachable or right after its return.
	missing map[string]Target
	// complete is set once the list was read completely.
	complete bool
	// storeDown is set while the store is unreachable.
	storeDown bool
	// gone holds the targets that were removed, by ID.
	gone map[string]gone
	// restored is set once the store was restored from an older copy. From then on, an
	// entry may be older than one that was read before.
	restored bool
	// storeBackAt is when the store last became reachable again.
	storeBackAt time.Time
}

// Complete reports whether the list was read completely at least once.
func (r *Roster) Complete() bool { return r.complete }

// StoreDown records that the store is unreachable.
func (r *Roster) StoreDown() { r.storeDown = true }

// StoreUp records that the store is reachable again. Entries that expired during
// the outage may belong to targets that still run.
func (r *Roster) StoreUp(now time.Time) {
	if r.storeDown && r.complete {
		r.storeBackAt = now
	}
	r.storeDown = false
}

// Restored records that the store was restored from an older copy, whose entries are
// passed in next. Targets write their entries again, so entries that the copy lacks are
// treated like those that expired during an outage. Entries that are older than what was
// read before are ignored; see Set.
func (r *Roster) Restored(now time.Time) {
	r.restored = true
	if r.complete {
		r.storeBackAt = now
	}
}

// Set adds or replaces an entry. After a restore of the store, an entry that is older
// than a known one of the same target is ignored, and so is one of a target that was
// removed, until the target has written a newer one. A target that drains or has left is
// therefore not used again because the store was restored.
func (r *Roster) Set(t Target) {
	if r.restored && r.isOutdated(t) {
		return
	}
	if r.listed == nil {
		r.listed = make(map[string]Target)
	}
	r.listed[t.ID] = t
	delete(r.missing, t.ID)
}

// isOutdated reports whether a newer entry of the target is known, or the target was
// removed after this entry. A target whose start time is unknown may have started again
// with lower numbers.
func (r *Roster) isOutdated(t Target) bool {
	for _, known := range []map[string]Target{r.listed, r.missing} {
		if k, ok := known[t.ID]; ok && t.isBefore(k) {
			return true
		}
	}
	g, ok := r.gone[t.ID]
	return ok && (t.isBefore(g.Target) || (t.Born == g.Born && t.Born != 0 && t.Sequence == g.Sequence))
}

// isBefore reports whether the entry is older than another one of the same target.
func (t Target) isBefore(o Target) bool {
	if t.Born == 0 || o.Born == 0 {
		return false
	}
	return t.Born < o.Born || (t.Born == o.Born && t.Sequence < o.Sequence)
}

// remember records the last entry of a target that is removed, and forgets old ones.
func (r *Roster) remember(t Target, now time.Time) {
	if r.gone == nil {
		r.gone = make(map[string]gone)
	}
	maps.DeleteFunc(r.gone, func(_ string, g gone) bool { return now.Sub(g.at) > goneTTL })
	r.gone[t.ID] = gone{Target: t, at: now}
}

// replaces reports whether the target is to be used in place of another one at its address.
func (t Target) replaces(old Target, exists func(service string) bool) bool {
	if known, oldKnown := exists(t.Service), exists(old.Service); known != oldKnown {
		return known
	}
	return t.Born >= old.Born
}

// Remove removes an entry that was deleted from the store or that describes no
// usable target. The target stays in use until the end of the grace if the entry
// may have expired because of an outage and the target is not draining.
func (r *Roster) Remove(id string, now time.Time) {
	t, ok := r.listed[id]
	if !ok {
		return
	}
	delete(r.listed, id)
	r.remember(t, now)
	if t.Draining || !r.mayHaveLapsed(now) {
		return
	}
	if r.missing == nil {
		r.missing = make(map[string]Target)
	}
	r.missing[id] = t
}

// Retain records that the list was read completely, and removes all entries except
// those with the given IDs.
func (r *Roster) Retain(ids map[string]bool, now time.Time) {
	r.complete = true
	for _, id := range slices.Sorted(maps.Keys(r.listed)) {
		if !ids[id] {
			r.Remove(id, now)
		}
	}
}

// mayHaveLapsed reports whether an entry that is removed now may have expired
// because of an outage. The first change after an outage arrives before StoreUp
// is called, while the store still counts as unreachable.
func (r *Roster) mayHaveLapsed(now time.Time) bool {
	return r.storeDown || (!r.storeBackAt.IsZero() && now.Before(r.storeBackAt.Add(lapseWindow)))
}

func (r *Roster) graceEnd() time.Time {
	grace := r.Grace
	if grace == 0 {
		grace = DefaultGrace
	}
	return r.storeBackAt.Add(grace)
}

// Expire removes the missing targets once the grace is over, and reports whether it
// removed any. next is when to call Expire again, or zero if there is no need.
func (r *Roster) Expire(now time.Time) (changed bool, next time.Time) {
	if len(r.missing) == 0 || r.storeDown {
		return false, time.Time{}
	}
	if now.Before(r.graceEnd()) {
		return false, r.graceEnd()
	}
	r.missing = nil
	return true, time.Time{}
}

// Targets returns the targets to use, sorted by ID. If several targets have the
// same address, only the one that started last is returned.
func (r *Roster) Targets() []Target { return r.TargetsOf(func(string) bool { return true }) }

// TargetsOf is Targets for a reader that knows which services exist. An entry of a service
// that does not exist takes no other one's address, since anybody may have written it.
func (r *Roster) TargetsOf(exists func(service string) bool) []Target {
	byAddress := make(map[string]Target, len(r.listed))
	for _, list := range []map[string]Target{r.missing, r.listed} {
		for _, id := range slices.Sorted(maps.Keys(list)) {
			t := list[id]
			if old, ok := byAddress[t.Address]; ok && !t.replaces(old, exists) {
				continue
			}
			byAddress[t.Address] = t
		}
	}
	all := slices.Collect(maps.Values(byAddress))
	slices.SortFunc(all, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return all
}
