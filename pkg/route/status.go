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

// StatusDue returns up to n targets whose status the caller should request. Up to half
// of them are ejected targets whose ejection time is over. Such a target is thus probed
// soon, even if there are many targets. The others are those that have neither reported
// their load nor been returned here for the longest time.
func (p *Picker) StatusDue(now time.Time, n int) []Target {
	byAge := slices.SortedStableFunc(slices.Values(p.targets), func(a, b *target) int {
		return a.lastContact().Compare(b.lastContact())
	})
	var list []Target
	for _, t := range byAge {
		if len(list) < n/2 && t.awaitsReport(now) {
			t.askedAt = now
			list = append(list, t.Target)
		}
	}
	for _, t := range byAge {
		if len(list) < n && !t.askedAt.Equal(now) {
			t.askedAt = now
			list = append(list, t.Target)
		}
	}
	return list
}

// awaitsReport reports whether the target can be probed once it reports its load.
func (t *target) awaitsReport(now time.Time) bool {
	return t.ejected && !now.Before(t.ejectedUntil) && !t.reportedAt.After(t.ejectedAt)
}

// lastContact returns when the target last reported its load or was last returned
// by StatusDue, whichever is later.
func (t *target) lastContact() time.Time {
	if t.askedAt.After(t.reportedAt) {
		return t.askedAt
	}
	return t.reportedAt
}
