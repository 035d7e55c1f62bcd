package ledger

import (
	"maps"
	"slices"

	"github.com/beryllanding/beryllanding/pkg/ident"
)

// LeaseHolders returns the holders that have a lease of any budget, sorted. Holders
// whose lease has no tokens left are included, because the lease takes memory until its
// holder is reclaimed.
func (s *State) LeaseHolders() []ident.Incarnation {
	seen := make(map[ident.Incarnation]bool)
	for _, b := range s.budgets {
		for holder := range b.leases {
			seen[holder] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}
