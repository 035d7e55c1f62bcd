package ledger

import (
	"maps"
	"slices"

	"github.com/beryllanding/beryllanding/pkg/ident"
)

// OpenHolders returns the holders that have tokens left in some slice, sorted.
func (s *State) OpenHolders() []ident.Incarnation {
	open := make(map[ident.Incarnation]bool)
	for _, b := range s.budgets {
		for holder, slice := range b.slices {
			if slice.Left() > 0 {
				open[holder] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(open))
}
