package catal

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// benchSizes are numbers of budgets.
var benchSizes = []int{1000, 10_000, 52_000}

// benchChange returns a change that creates budget i, which has one key.
func benchChange(i int) Change {
	return Change{
		ID:       fmt.Sprintf("%024x", i),
		Operator: "operator",
		Entry: &Budget{
			Name:      fmt.Sprintf("organisation-%d/team", i),
			Owner:     fmt.Sprintf("Organisation %d", i/4),
			Class:     Standard,
			Limits:    Limits{MaxTokens: 100_000},
			KeyHashes: []KeyHash{HashKey(fmt.Sprint(i))},
		},
	}
}

// forEachSize runs a benchmark at each size.
func forEachSize(b *testing.B, fn func(b *testing.B, n int)) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) { fn(b, n) })
	}
}

func filledState(n int) *State {
	s := new(State)
	for i := range n {
		s.Apply(fold.Position{Offset: logsvc.Offset(i + 1)}, Encode(benchChange(i)))
	}
	return s
}

// BenchmarkApply replaces entries of a catalogue of the given size.
func BenchmarkApply(b *testing.B) {
	forEachSize(b, func(b *testing.B, n int) {
		s := filledState(n)
		at := logsvc.Offset(n)
		items := make([]fold.Item, 1000)
		b.ReportAllocs()
		b.ResetTimer()
		for i := range b.N {
			if i%len(items) == 0 {
				b.StopTimer()
				for k := range items {
					c := benchChange((i + k) % n)
					r, _ := s.Get(c.Name())
					c.Base = r.At
					c.ID = fmt.Sprintf("%024x", n+i+k)
					items[k] = Encode(c)
				}
				b.StartTimer()
			}
			at++
			s.Apply(fold.Position{Offset: at}, items[i%len(items)])
		}
	})
}

// BenchmarkAuthenticate looks up keys in parallel.
func BenchmarkAuthenticate(b *testing.B) {
	forEachSize(b, func(b *testing.B, n int) {
		s := filledState(n)
		keys := make([]string, 1024)
		for i := range keys {
			keys[i] = fmt.Sprint(i * n / len(keys))
		}
		b.ReportAllocs()
		b.ResetTimer()
		b.RunParallel(func(pb *testing.PB) {
			for i := 0; pb.Next(); i++ {
				if _, ok := s.Authenticate(keys[i%len(keys)]); !ok {
					b.Fatal("key not found")
				}
			}
		})
	})
}

// BenchmarkSnapshot encodes the whole state, and reports its size.
func BenchmarkSnapshot(b *testing.B) {
	forEachSize(b, func(b *testing.B, n int) {
		s := filledState(n)
		b.ResetTimer()
		for range b.N {
			data, err := s.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data))/float64(n), "B/budget")
		}
	})
}

// BenchmarkRestore decodes a snapshot into an empty state.
func BenchmarkRestore(b *testing.B) {
	forEachSize(b, func(b *testing.B, n int) {
		data, err := filledState(n).Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ResetTimer()
		for range b.N {
			if err := new(State).Restore(data); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkMemory reports the heap size of a state.
func BenchmarkMemory(b *testing.B) {
	forEachSize(b, func(b *testing.B, n int) {
		for range b.N {
			before := heapBytes()
			s := filledState(n)
			b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/budget")
			runtime.KeepAlive(s)
		}
	})
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
