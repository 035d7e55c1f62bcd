// Package origin holds where streams began, so that each goes on at the software version that
// began it. An instance knows the streams that it forwards. It tells a few others of them
// ahead, chosen by the stream's id, and an instance at which a stream is taken up asks the
// same ones. The package does no input or output.
package origin

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the version of the target's software.
	Version string
}

const (
	// memory is how long an origin is kept at least, after it was noted. A caller takes its
	// stream up within seconds after it broke off.
	memory = 30 * time.Second
	// maxOrigins bounds the origins that are kept, for each memory.
	maxOrigins = 32768
	// maxID bounds the id of a stream, in bytes. Longer ones are not kept.
	maxID = 128
	// versionMemory is how long a version counts as serving after its last target left the
	// list: its targets end their streams meanwhile.
	versionMemory = time.Minute
	// minWatch is how long an instance must have followed the list to know that no other
	// version served just before.
	minWatch = 30 * time.Second
	// maxListAge is the age of the list from which further versions may serve unseen.
	maxListAge = 2 * time.Second
)

// Memory holds the origins of streams by the id of the request that brought the first event.
// The zero value is empty. It is not safe for concurrent use.
type Memory struct {
	recent, before map[string]Origin
	rotated        time.Time
}

// Note records the origin of a stream. It reports whether it is kept.
func (m *Memory) Note(now time.Time, id string, o Origin) bool {
	m.rotate(now)
	if _, known := m.recent[id]; !known && (len(m.recent) >= maxOrigins || len(id) > maxID || id == "") {
		return false
	}
	m.recent[id] = o
	return true
}

// Find returns the origin of a stream.
func (m *Memory) Find(now time.Time, id string) (o Origin, ok bool) {
	m.rotate(now)
	if o, ok = m.recent[id]; !ok {
		o, ok = m.before[id]
	}
	return o, ok
}

// Of returns the origins of the streams of a service.
func (m *Memory) Of(service string) map[string]Origin {
	found := make(map[string]Origin)
	for _, all := range []map[string]Origin{m.before, m.recent} {
		for id, o := range all {
			if o.Service == service {
				found[id] = o
			}
		}
	}
	return found
}

// Len returns the number of origins that are kept.
func (m *Memory) Len() int { return len(m.recent) + len(m.before) }

// rotate drops the origins that are older than twice the memory.
func (m *Memory) rotate(now time.Time) {
	switch age := now.Sub(m.rotated); {
	case m.recent == nil || age >= 2*memory:
		m.recent, m.before = make(map[string]Origin), nil
	case age >= memory:
		m.recent, m.before = make(map[string]Origin), m.recent
	default:
		return
	}
	m.rotated = now
}

// Versions tracks which versions serve, by service. The zero value knows none.
type Versions struct {
	// first is since when the list has been read without a gap, and confirmed when it was last
	// known to be the newest.
	first, confirmed time.Time
	last             map[Origin]time.Time
}

// Read records a read of the list that was requested at a time, with the versions of all entries
// in it, also of those that are not in the list any more. gap is set if entries may have come and
// gone since the read before. It returns what See does.
func (v *Versions) Read(now, requested time.Time, gap bool, read []Origin) (mixed []string) {
	mixed = v.See(now, read)
	if gap {
		v.first = now
	}
	if requested.After(v.confirmed) {
		v.confirmed = requested
	}
	return mixed
}

// See records the versions of the targets in the list now. It returns the services for
// which several versions serve from now on, and one did before.
func (v *Versions) See(now time.Time, listed []Origin) (mixed []string) {
	if v.last == nil {
		v.first, v.last = now, make(map[Origin]time.Time)
	}
	for o, last := range v.last {
		if now.Sub(last) > versionMemory {
			delete(v.last, o)
		}
	}
	before := v.count()
	for _, o := range listed {
		v.last[o] = now
	}
	for service, n := range v.count() {
		if n > 1 && before[service] == 1 {
			mixed = append(mixed, service)
		}
	}
	slices.Sort(mixed)
	return mixed
}

// count returns the number of versions by service.
func (v *Versions) count() map[string]int {
	n := make(map[string]int)
	for o := range v.last {
		n[o.Service]++
	}
	return n
}

// Single returns the only version of a service that serves, or served lately, by a list that is
// current to within maxListAge. ok is false if there are several, or if an earlier one may have
// served while the list was not read. Another version may serve already; see Proven.
func (v *Versions) Single(now time.Time, service string) (version string, ok bool) {
	return v.only(now, service, now.Add(-maxListAge))
}

// Proven returns the version of all streams of a service that began before a moment, and that
// may still be taken up. ok is false if there are several, if an earlier one may have served
// while the list was not read, or if the list was last read before that moment.
func (v *Versions) Proven(now time.Time, service string, began time.Time) (version string, ok bool) {
	return v.only(now, service, began)
}

// MayBeProven reports whether Proven would return a version if the list was read now without a
// change.
func (v *Versions) MayBeProven(now time.Time, service string) bool {
	_, ok := v.only(now, service, time.Time{})
	return ok
}

// only returns the only version of a service that serves, or served lately. ok is false if there
// are several, if an earlier one may have served while the list was not read, or if the list was
// last read before since.
func (v *Versions) only(now time.Time, service string, since time.Time) (version string, ok bool) {
	if v.last == nil || now.Sub(v.first) < minWatch || v.confirmed.Before(since) {
		return "", false
	}
	n := 0
	for o, last := range v.last {
		if o.Service == service && now.Sub(last) <= versionMemory {
			version = o.Version
			n++
		}
	}
	return version, n == 1
}

// maxKeepers bounds the instances that keep origins for others, and so the connections of each
// instance.
const maxKeepers = 32

// Keepers returns the instances that keep the origin of a stream, in the order in which they
// are told and asked. All instances that know the same others get the same order.
func Keepers(id string, instances []string) []string {
	return byRank(id, byRank("", instances))
}

// byRank returns up to maxKeepers instances in the order of their hashes for a key.
func byRank(key string, instances []string) []string {
	type ranked struct {
		name string
		rank uint64
	}
	all := make([]ranked, len(instances))
	for i, name := range instances {
		all[i] = ranked{name, xxhash.Sum64String(name + "/" + key)}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name)) })
	names := make([]string, 0, min(maxKeepers, len(all)))
	for _, r := range all[:min(maxKeepers, len(all))] {
		names = append(names, r.name)
	}
	return names
}
