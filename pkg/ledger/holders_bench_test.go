package ledger

import "testing"

// BenchmarkLeaseHolders lists the holders of all leases. Each search for absent holders
// does this.
func BenchmarkLeaseHolders(b *testing.B) {
	eachSize(b, func(b *testing.B, budgets, holders int) {
		s := filled(budgets, holders, 0)
		b.ReportAllocs()
		for b.Loop() {
			s.LeaseHolders()
		}
	})
}
