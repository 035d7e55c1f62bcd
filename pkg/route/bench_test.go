package route

import (
	"fmt"
	"testing"
)

// BenchmarkPick measures Pick with 18, 60 and 600 targets, by two choices, by
// prefix and by key.
func BenchmarkPick(b *testing.B) {
	requests := []struct {
		name string
		req  Request
	}{
		{"two-choices", Request{}},
		{"prefix", Request{Prefix: 12345}},
		{"key", Request{Key: "org/0123456789abcdef"}},
	}
	for _, n := range []int{18, 60, 600} {
		for _, a := range requests {
			b.Run(fmt.Sprintf("targets=%d/%s", n, a.name), func(b *testing.B) {
				p, rnd := newPicker(n, Policy{})
				b.ReportAllocs()
				for b.Loop() {
					if _, err := p.Pick(start, rnd, a.req); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
