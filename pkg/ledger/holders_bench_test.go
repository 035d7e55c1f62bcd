package ledger

import "testing"

// BenchmarkOpenHolders walks all slices, as each look for holders that are gone
// does.
func BenchmarkOpenHolders(b *testing.B) {
	eachSize(b, func(b *testing.B, budgets, holders int) {
		s := filled(budgets, holders, 0)
		b.ReportAllocs()
		for b.Loop() {
			s.OpenHolders()
		}
	})
}
