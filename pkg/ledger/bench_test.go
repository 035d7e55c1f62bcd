package ledger

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
)

func holderName(h int) ident.Incarnation {
	return ident.Incarnation(fmt.Sprintf("chc-a-r%d~9f2c01d4e8aa", h))
}

// bill returns the usage of the i-th request, spread over budgets and holders.
func bill(i, budgets, holders int) Usage {
	return Usage{
		Budget:  fmt.Sprintf("org-%d/maint", i%budgets),
		Request: fmt.Sprintf("org-%d/request-%d", i%budgets, i),
		Charges: []Charge{{Holder: holderName(i % holders), Tokens: 1000}},
		Service: "assist-llm",
	}
}

// sizes holds the state sizes of the benchmarks: the number of budgets, and of holders of
// each budget.
var sizes = []struct{ budgets, holders int }{
	{1000, 4}, {10000, 4}, {52000, 4}, {1000, 40}, {1000, 390},
}

func eachSize(b *testing.B, fn func(b *testing.B, budgets, holders int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("budgets=%d/holders=%d", n.budgets, n.holders), func(b *testing.B) {
			fn(b, n.budgets, n.holders)
		})
	}
}

func BenchmarkApplyUsage(b *testing.B) {
	eachSize(b, func(b *testing.B, budgets, holders int) {
		s := filled(budgets, holders, 0)
		items := make([]fold.Item, 1<<14)
		for i := range items {
			items[i] = Encode(bill(i, budgets, holders))
		}
		b.ReportAllocs()
		b.ResetTimer()
		for i := range b.N {
			if i%len(items) == 0 {
				b.StopTimer()
				s.bills = recentBills{}
				b.StartTimer()
			}
			s.Apply(fold.Position{}, items[i%len(items)])
		}
	})
}

func BenchmarkStateBytes(b *testing.B) {
	eachSize(b, func(b *testing.B, budgets, holders int) {
		var before, after runtime.MemStats
		for b.Loop() {
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := filled(budgets, holders, 0)
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(s)
		}
		bytes := float64(after.HeapAlloc) - float64(before.HeapAlloc)
		b.ReportMetric(bytes, "state-B")
		b.ReportMetric(bytes/float64(budgets), "B/budget")
		b.ReportMetric(0, "ns/op")
	})
}

func BenchmarkBillBytes(b *testing.B) {
	for _, n := range []int{1 << 12, 1 << 14, 1 << 16} {
		b.Run(fmt.Sprintf("bills=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				s := filled(10, 4, 0)
				runtime.GC()
				runtime.ReadMemStats(&before)
				for i := range n {
					s.decide(bill(i, 10, 4))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(s)
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(n), "B/bill")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	eachSize(b, func(b *testing.B, budgets, holders int) {
		s := filled(budgets, holders, 1<<14)
		b.ReportAllocs()
		var data []byte
		for b.Loop() {
			data, _ = s.Snapshot() // never fails on plain structs
		}
		b.ReportMetric(float64(len(data)), "snapshot-B")
	})
}

func BenchmarkRestore(b *testing.B) {
	eachSize(b, func(b *testing.B, budgets, holders int) {
		data, err := filled(budgets, holders, 1<<14).Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportAllocs()
		for b.Loop() {
			var s State
			if err := s.Restore(data); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkBudget(b *testing.B) {
	eachSize(b, func(b *testing.B, budgets, holders int) {
		s := filled(budgets, holders, 0)
		for b.Loop() {
			s.Budget("org-7/maint")
		}
	})
}
