package claim

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/beryllanding/beryllanding/pkg/fold"
)

// BenchmarkMemory reports what a state holds after a number of finished
// requests with answers of 200 bytes, and the size of its snapshot.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1000, DefaultWindow, DefaultWindow + DefaultExpired} {
		b.Run(fmt.Sprintf("finished=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			size := 0
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := finished(n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				data, _ := s.Snapshot() // never fails on plain structs
				size = len(data)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-B")
			b.ReportMetric(float64(size), "snapshot-B")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// finished returns a state of n requests that were claimed and done.
func finished(n int) *State {
	s := new(State)
	body := make([]byte, 200)
	for i := range n {
		id := fmt.Sprintf("org/9f2c01d4e8aa%d", i)
		s.Apply(fold.Position{}, Encode(Claim{Request: id, Side: "slot~9f2c01d4e8aa", Attempt: "9f2c01d4e8aa9f2c01d4e8aa#1", Fingerprint: body[:32]}))
		s.Apply(fold.Position{}, Encode(Done{Request: id, Side: "slot~9f2c01d4e8aa", Attempt: "9f2c01d4e8aa9f2c01d4e8aa#1", Status: 200, Body: body}))
	}
	return s
}

// BenchmarkItemBytes reports the bytes of a claim and of its outcome as items.
func BenchmarkItemBytes(b *testing.B) {
	for _, n := range []int{0, 200, 16 << 10} {
		b.Run(fmt.Sprintf("answer=%d", n), func(b *testing.B) {
			var claim, done fold.Item
			for b.Loop() {
				claim = Encode(Claim{Request: "org/9f2c01d4e8aa", Side: "slot~9f2c01d4e8aa", Attempt: "9f2c01d4e8aa9f2c01d4e8aa#1", Fingerprint: make([]byte, 32)})
				done = Encode(Done{Request: "org/9f2c01d4e8aa", Side: "slot~9f2c01d4e8aa", Attempt: "9f2c01d4e8aa9f2c01d4e8aa#1", Status: 200, Body: make([]byte, n)})
			}
			b.ReportMetric(float64(len(claim.Body)), "claim-B")
			b.ReportMetric(float64(len(done.Body)), "done-B")
		})
	}
}
