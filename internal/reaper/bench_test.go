package reaper

import (
	"fmt"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// BenchmarkPlan plans a round in which all holders are listed.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{4, 40, 390} {
		b.Run(fmt.Sprintf("holders=%d", n), func(b *testing.B) {
			names := make([]ident.Incarnation, n)
			for i := range names {
				names[i] = ident.Incarnation(fmt.Sprintf("chc-a-r%d~9f2c01d4e8aa", i))
			}
			now := time.Unix(1_796_336_284, 0)
			in := Input{
				Now: now, ListReadAt: now, Listed: names, Holders: names,
				Closed: func(ident.Incarnation) bool { return false },
				Final:  func(ident.Incarnation) (logsvc.Offset, bool) { return 0, false },
			}
			p := Planner{Self: names[0]}
			b.ReportAllocs()
			for b.Loop() {
				if got := p.Plan(in); len(got) != 0 {
					b.Fatalf("got proposals %v, want none", got)
				}
			}
		})
	}
}
