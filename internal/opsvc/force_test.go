package opsvc

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/pkg/catal"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// instance follows the catalogue like an entry instance.
type instance struct {
	state    *catal.State
	follower *fold.Follower
}

// follow starts instances that read the log over HTTP.
func follow(ctx context.Context, url string, n int) []instance {
	list := make([]instance, n)
	for i := range list {
		state := new(catal.State)
		f := &fold.Follower{Log: &logsvc.Client{Addr: url}, Stream: ledger.CatalogueStream, Reader: fold.Reader{Machine: state}}
		list[i] = instance{state: state, follower: f}
		go f.Run(ctx)
	}
	return list
}

// BenchmarkInForce publishes changes and reports the time from the start of the
// command to its answer, and from the answer until the change is in force at
// every instance. The simulated log service answers over loopback.
func BenchmarkInForce(b *testing.B) {
	for _, n := range []int{6, 60, 390} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			server := httptest.NewServer(logd.New(logd.Switches{}).Handler())
			ctx, stop := context.WithCancel(b.Context())
			list := follow(ctx, server.URL, n)
			s := &Service{Log: &logsvc.Client{Addr: server.URL}, Operator: "op"}
			decided := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			spread := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			b.ResetTimer()
			for i := range b.N {
				entry := &catal.Budget{Name: "b", Owner: fmt.Sprint(i), Class: catal.Batch}
				begin := time.Now()
				r, err := s.Change(ctx, Change{Entry: entry})
				if err != nil || r.Outcome != Accepted {
					b.Fatal(r, err)
				}
				answered := time.Now()
				for _, inst := range list {
					_ = inst.follower.Wait(ctx, func(*fold.Reader) bool { return inst.state.Latest() >= r.At })
				}
				_ = decided.RecordValue(answered.Sub(begin).Microseconds())
				_ = spread.RecordValue(time.Since(answered).Microseconds())
			}
			b.StopTimer()
			stop()
			server.CloseClientConnections()
			server.Close()
			for _, q := range []float64{50, 99} {
				b.ReportMetric(float64(decided.ValueAtQuantile(q))/1000, fmt.Sprintf("ms-decided-p%g", q))
				b.ReportMetric(float64(spread.ValueAtQuantile(q))/1000, fmt.Sprintf("ms-everywhere-p%g", q))
			}
		})
	}
}
