package opsvc

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/beryllanding/beryllanding/internal/budget"
	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// TestShards checks that top-ups of a budget go to the stream from which the entry
// instances read it, and that queries read all streams.
func TestShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const shards, budgets = 4, 8
		s := &Service{Log: logd.New(logd.Switches{}), Shards: shards}
		for i := range budgets {
			name := fmt.Sprint("b", i)
			r, err := s.TopUp(t.Context(), TopUp{Budget: name, Tokens: 10, Unlisted: true})
			if err != nil || r.Outcome != Accepted {
				t.Fatal(r, err)
			}
			var state ledger.State
			if _, err := s.catchUp(t.Context(), ledger.Stream(budget.ShardOf(name, shards)), &state); err != nil {
				t.Fatal(err)
			}
			if b, _ := state.Budget(name); b.Paid != 10 {
				t.Errorf("budget %s has %d tokens on its stream, want 10", name, b.Paid)
			}
			if b, err := s.Budget(t.Context(), name); err != nil || b.Paid != 10 {
				t.Errorf("budget %s: got %+v, error %v; want 10 tokens", name, b, err)
			}
		}
		list, err := s.Budgets(t.Context())
		if err != nil || len(list) != budgets {
			t.Fatalf("got %d listed budgets, want %d; error %v", len(list), budgets, err)
		}
		for i, b := range list {
			if b.Name != fmt.Sprint("b", i) {
				t.Errorf("got budget %q at index %d of the list, want %q", b.Name, i, fmt.Sprint("b", i))
			}
		}
	})
}
