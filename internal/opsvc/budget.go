package opsvc

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"github.com/beryllanding/beryllanding/internal/budget"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// Budget is the account of a budget according to the log.
type Budget struct {
	ledger.Budget
	Leases []Lease `json:"slices"`
}

// Lease is the part of a budget that was granted to one holder.
type Lease struct {
	Holder ident.Incarnation `json:"holder"`
	ledger.Lease
	// Left is the number of tokens that can still be billed to the lease.
	Left ledger.Tokens `json:"left"`
}

// Budgets returns the accounts of all budgets, ordered by name. Each
// account is consistent in itself.
func (s *Service) Budgets(ctx context.Context) ([]Budget, error) {
	list := make([]Budget, 0)
	for shard := range s.shards() {
		var state ledger.State
		if _, err := s.catchUp(ctx, ledger.Stream(shard), &state); err != nil {
			return nil, err
		}
		for _, name := range state.Budgets() {
			list = append(list, newBudget(&state, name))
		}
	}
	slices.SortFunc(list, func(a, b Budget) int { return cmp.Compare(a.Name, b.Name) })
	return list, nil
}

// Budget returns the account of one budget. It returns ErrNotFound if nothing
// was ever paid into the budget.
func (s *Service) Budget(ctx context.Context, name string) (Budget, error) {
	var state ledger.State
	if _, err := s.catchUp(ctx, s.budgetStream(name), &state); err != nil {
		return Budget{}, err
	}
	if _, ok := state.Budget(name); !ok {
		return Budget{}, fmt.Errorf("account of budget %q: %w", name, ErrNotFound)
	}
	return newBudget(&state, name), nil
}

// newBudget returns the account of a budget with its leases.
func newBudget(state *ledger.State, name string) Budget {
	view, _ := state.Budget(name)
	b := Budget{Budget: view, Leases: []Lease{}}
	for _, holder := range state.Holders(name) {
		l, _ := state.Lease(name, holder)
		b.Leases = append(b.Leases, Lease{Holder: holder, Lease: l, Left: l.Left()})
	}
	return b
}

func (s *Service) shards() int { return max(1, s.Shards) }

func (s *Service) budgetStream(name string) string {
	return ledger.Stream(budget.ShardOf(name, s.shards()))
}
