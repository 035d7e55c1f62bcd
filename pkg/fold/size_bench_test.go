package fold

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// BenchmarkWriters reports how many bytes a reader needs for each writer of its
// stream, on the heap and in the records of a checkpoint.
func BenchmarkWriters(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("writers=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			logged := 0
			for b.Loop() {
				runtime.GC()
				runtime.GC()
				runtime.ReadMemStats(&before)
				r := manyWriters(n)
				runtime.GC()
				runtime.GC()
				runtime.ReadMemStats(&after)
				logged = checkpointBytes(b, r)
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(n), "heap-B/writer")
			b.ReportMetric(float64(logged)/float64(n), "checkpoint-B/writer")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// manyWriters returns a reader that has folded one record from each of n writers.
func manyWriters(n int) *Reader {
	r := &Reader{Machine: &counter{state: []byte("{}")}}
	for i := range n {
		data := mustJSON(Batch{Writer: fmt.Sprintf("chc-a-r%d~%012x/budgets-0", i%390, uint64(i)*0x9e3779b97f4a7c15>>16), Seq: 1})
		r.feedRecord(logsvc.Record{Offset: logsvc.Offset(i + 1), Data: data})
	}
	return r
}

// checkpointBytes returns the total size of a checkpoint's items in bytes.
func checkpointBytes(b *testing.B, r *Reader) (n int) {
	cp, err := r.Checkpoint()
	if err != nil {
		b.Fatal(err)
	}
	items, err := cp.Chunks()
	if err != nil {
		b.Fatal(err)
	}
	for _, item := range items {
		n += len(item.Body)
	}
	return n
}
