package budget

import (
	"fmt"
	"testing"

	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// BenchmarkReserveSettle reserves and settles against leases that hold tokens,
// from as many goroutines as there are cores.
func BenchmarkReserveSettle(b *testing.B) {
	for _, budgets := range []int{1, 10, 1000} {
		b.Run(fmt.Sprintf("budgets=%d", budgets), func(b *testing.B) {
			s := New(Options{Log: &memLog{}, Instance: "r"})
			for i := range budgets {
				s.holder.BeginTransfer("m", name(i))
				s.holder.CompleteTransfer("m", name(i), []ledger.Charge{{Holder: "peer~1", Tokens: 1 << 40}})
			}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					t, err := s.Reserve(b.Context(), name(i%budgets), 1000)
					if err != nil {
						b.Error(err)
						return
					}
					s.Settle(t, nil)
				}
			})
		})
	}
}

func name(i int) string { return fmt.Sprintf("org-%d/maint", i) }
