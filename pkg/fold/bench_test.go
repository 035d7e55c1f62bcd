package fold

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// counter is a state machine with negligible cost. It only counts items.
type counter struct {
	items int
	state []byte
}

func (c *counter) Apply(Position, Item)       { c.items++ }
func (c *counter) Snapshot() ([]byte, error)  { return c.state, nil }
func (c *counter) Restore(state []byte) error { c.state = state; return nil }

// usage is an item of the size of a usage record.
var usage = NewItem("usage", map[string]any{
	"budget": "kowhai/assist", "request": "kowhai/0123456789abcdef01234567", "service": "assist-llm", "at": 1796336284,
	"charges": []map[string]any{{"holder": "chc-a-r1~9f2c01d4e8aa", "tokens": 1234}},
})

// BenchmarkFeed folds records of several items. One operation is one record.
func BenchmarkFeed(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("items=%d", n), func(b *testing.B) {
			page := logsvc.Page{First: 1}
			for i := range b.N {
				batch := Batch{Writer: "w", Seq: uint64(i + 1)}
				for range n {
					batch.Items = append(batch.Items, usage)
				}
				page.Records = append(page.Records, logsvc.Record{Offset: logsvc.Offset(i + 1), Data: mustJSON(batch)})
			}
			page.Next = logsvc.Offset(b.N + 1)
			r := &Reader{Machine: &counter{}}
			b.ReportAllocs()
			b.ResetTimer()
			if err := r.Feed(page); err != nil || int(r.Offset()) != b.N {
				b.Fatal(err)
			}
		})
	}
}

// BenchmarkWriter proposes items in groups and waits for each group. One
// operation is one item.
func BenchmarkWriter(b *testing.B) {
	for _, size := range []int{1, 32, 1000} {
		b.Run(fmt.Sprintf("group=%d", size), func(b *testing.B) {
			store := logd.New(logd.Switches{RetainRecords: 100})
			w := &Writer{Log: store, Stream: "s", Name: "w", BatchInterval: time.Nanosecond}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go w.Run(ctx)
			b.ReportAllocs()
			for left := b.N; left > 0; left -= size {
				var wg sync.WaitGroup
				for range min(left, size) {
					wg.Add(1)
					w.Propose(usage, func(Position, bool) { wg.Done() })
				}
				wg.Wait()
			}
			b.ReportMetric(float64(w.Appends())/float64(b.N), "appends/op")
		})
	}
}

// checkpointSizes are the state sizes to measure, in bytes.
var checkpointSizes = []int{10 << 10, 1 << 20, 10 << 20}

// readerWithState returns a reader with n bytes or slightly more of JSON state. The
// ids and numbers in the state are random, so it compresses about as well as a real
// state.
func readerWithState(n int) *Reader {
	random := rand.New(rand.NewPCG(1, 2))
	var state bytes.Buffer
	for state.Len() < n {
		fmt.Fprintf(&state, `{"budget":"kowhai/b%d","holder":"chc-a-r%d~%012x","granted":%d,"billed":%d},`,
			random.IntN(1000), random.IntN(9), random.Uint64()>>16, random.IntN(1e6), random.IntN(1e6))
	}
	return &Reader{Machine: &counter{state: state.Bytes()}}
}

// BenchmarkCheckpointEncode creates a checkpoint and encodes its records.
func BenchmarkCheckpointEncode(b *testing.B) {
	for _, n := range checkpointSizes {
		b.Run(fmt.Sprintf("state=%dKiB", n>>10), func(b *testing.B) {
			r := readerWithState(n)
			b.ReportAllocs()
			b.SetBytes(int64(n))
			logged := 0
			for b.Loop() {
				cp, err := r.Checkpoint()
				if err != nil {
					b.Fatal(err)
				}
				items, err := cp.Chunks()
				if err != nil {
					b.Fatal(err)
				}
				logged = 0
				for _, item := range items {
					logged += len(item.Body)
				}
			}
			b.ReportMetric(float64(logged)/float64(n), "log-bytes/state-byte")
		})
	}
}

// BenchmarkCheckpointRestore restores a new reader from a checkpoint in the stream.
func BenchmarkCheckpointRestore(b *testing.B) {
	for _, n := range checkpointSizes {
		b.Run(fmt.Sprintf("state=%dKiB", n>>10), func(b *testing.B) {
			h := newHistory()
			h.addBatch("w", 1, usage)
			source := readerWithState(n)
			if err := source.Feed(h.page(1, 9)); err != nil {
				b.Fatal(err)
			}
			cp, err := source.Checkpoint()
			if err != nil {
				b.Fatal(err)
			}
			items, err := cp.Chunks()
			if err != nil {
				b.Fatal(err)
			}
			for i, item := range items {
				h.addBatch("c", uint64(i+1), item)
			}
			h.first = 2
			page := h.page(1, len(h.all))
			b.ReportAllocs()
			b.SetBytes(int64(n))
			for b.Loop() {
				r := &Reader{Machine: &counter{}}
				if err := r.Feed(page); err != nil || r.Stale() {
					b.Fatal(err)
				}
			}
		})
	}
}
