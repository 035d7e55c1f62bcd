package ledger

import "testing"

// BenchmarkSliceHolders lists the holders of all leases. Each search for absent holders
// does this.
func BenchmarkSliceHolders(b *testing.B) {
	eachSize(b, func(b *testing.B, budgets, holders int) {
		s := filled(budgets, holders, 0)
		b.ReportAllocs()
		for b.Loop() {
			s.SliceHolders()
		}
	})
}
