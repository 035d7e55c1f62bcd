package route

import (
	"iter"
	"slices"
	"time"
)

// All returns the targets.
func (p *Picker) All() iter.Seq[Target] {
	return func(yield func(Target) bool) {
		for _, t := range p.targets {
			if !yield(t.Target) {
				return
			}
		}
	}
}

// Stalest returns up to n targets to be asked for their status: ejected ones
// whose time is over first, for at most half of n, so that they come back soon
// however many targets there are; then those that have neither reported their
// load nor been named here for the longest time.
func (p *Picker) Stalest(now time.Time, n int) []Target {
	byAge := slices.SortedStableFunc(slices.Values(p.targets), func(a, b *target) int {
		return a.lastHeard().Compare(b.lastHeard())
	})
	var list []Target
	for _, t := range byAge {
		if len(list) < n/2 && t.awaited(now) {
			t.asked = now
			list = append(list, t.Target)
		}
	}
	for _, t := range byAge {
		if len(list) < n && !t.asked.Equal(now) {
			t.asked = now
			list = append(list, t.Target)
		}
	}
	return list
}

// awaited reports whether the target's status would let it be probed.
func (t *target) awaited(now time.Time) bool {
	return t.ejected && !now.Before(t.ejectedUntil) && !t.reported.After(t.ejectedAt)
}

// lastHeard returns when the target reported its load, or was last asked to.
func (t *target) lastHeard() time.Time {
	if t.asked.After(t.reported) {
		return t.asked
	}
	return t.reported
}
