package claim

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/beryllanding/beryllanding/pkg/fold"
)

// BenchmarkMemory reports the heap use of a state after a number of finished
// requests with responses of 200 bytes, and the size of its snapshot.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1000, DefaultWindow, DefaultWindow + DefaultExpired} {
		b.Run(fmt.Sprintf("finished=%d", n), func(b *testing.B) {
			var heap float64
			size := 0
			for b.Loop() {
				heap, size = measure(n)
			}
			b.ReportMetric(heap, "heap-B")
			b.ReportMetric(float64(size), "snapshot-B")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// measure returns the heap use of a state of n finished requests and the size of
// its snapshot, in bytes.
func measure(n int) (heap float64, size int) {
	before := heapBytes()
	s := finishedState(n)
	heap = heapBytes() - before
	data, _ := s.Snapshot() // never fails on plain structs
	return heap, len(data)
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// finishedState returns a state in which n requests were claimed and finished.
func finishedState(n int) *State {
	s := new(State)
	body := make([]byte, 200)
	for i := range n {
		id := fmt.Sprintf("org/9f2c01d4e8aa%d", i)
		s.Apply(fold.Position{}, Encode(Claim{Request: id, Side: "slot~9f2c01d4e8aa", Attempt: "9f2c01d4e8aa9f2c01d4e8aa#1", Fingerprint: body[:32]}))
		s.Apply(fold.Position{}, Encode(Done{Request: id, Side: "slot~9f2c01d4e8aa", Attempt: "9f2c01d4e8aa9f2c01d4e8aa#1", Status: 200, Body: body}))
	}
	return s
}

// BenchmarkItemBytes reports the encoded sizes of a Claim item and of its Done
// item.
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
