package procs

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/engd"
	"github.com/beryllanding/beryllanding/pkg/catal"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

const (
	// benchPaid is the number of prepaid tokens, more than any benchmark uses.
	benchPaid = 1 << 40
	// benchResponse is the length of a streamed response, in tokens.
	benchResponse = 500
	// benchStreams is the number of concurrent streams.
	benchStreams = 50
	// benchTokenMicros is the time per token of a stream, in microseconds: 100 tokens
	// per second.
	benchTokenMicros = 10_000
	// clockTick is the unit of the CPU times in /proc.
	clockTick = 10 * time.Millisecond
)

// BenchmarkFirstByte measures the time to the first byte of a streamed response. It calls
// the engine's stand-in directly and through an entry instance and a side process,
// alternately.
func BenchmarkFirstByte(b *testing.B) {
	w := newBenchWorld(b)
	e := engd.New(engd.Switches{AnswerTokens: 2})
	url := w.serve(e.Handler())
	w.side("engine-0", model, "model", url)
	r := w.router("router-a")
	w.ready(r)
	client := &http.Client{}
	ask := func(base string) time.Duration { return firstByte(b, client, base) }
	for range 50 {
		ask(url)
		ask(r.http)
	}
	var direct, through []time.Duration
	b.ResetTimer()
	for range b.N {
		direct = append(direct, ask(url))
		through = append(through, ask(r.http))
	}
	b.StopTimer()
	d, t := median(direct), median(through)
	b.ReportMetric(float64(d.Microseconds()), "direct-µs")
	b.ReportMetric(float64(t.Microseconds()), "through-µs")
	b.ReportMetric(float64((t - d).Microseconds()), "added-µs")
	b.ReportMetric(float64(t)/float64(d), "ratio")
}

// BenchmarkRequests measures completed short requests per second from many callers,
// directly and through the system.
func BenchmarkRequests(b *testing.B) {
	w := newBenchWorld(b)
	e := engd.New(engd.Switches{AnswerTokens: 2, Slots: 256})
	url := w.serve(e.Handler())
	side := w.side("engine-0", model, "model", url, "concurrent = 256")
	r := w.router("router-a")
	w.ready(r)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchStreams}}
	run := func(b *testing.B, base string) {
		b.SetParallelism(5)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				firstByte(b, client, base)
			}
		})
		b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	}
	b.Run("direct", func(b *testing.B) { run(b, url) })
	b.Run("through", func(b *testing.B) {
		before, beforeSide := r.cpu(), side.cpu()
		run(b, r.http)
		b.ReportMetric(float64((r.cpu()-before).Microseconds())/float64(b.N), "router-µs/request")
		b.ReportMetric(float64((side.cpu()-beforeSide).Microseconds())/float64(b.N), "side-µs/request")
	})
}

// BenchmarkStreamedTokens measures the CPU time per streamed token of the processes, at
// 5,000 tokens per second over 50 streams. b.N counts rounds of 50 streams of 500 tokens.
func BenchmarkStreamedTokens(b *testing.B) {
	w := newBenchWorld(b)
	e := engd.New(engd.Switches{AnswerTokens: benchResponse, Slots: 2 * benchStreams, TokenMicros: benchTokenMicros / (1 + benchStreams/25)})
	side := w.side("engine-0", model, "model", w.serve(e.Handler()))
	r := w.router("router-a")
	w.ready(r)
	routerCPU, sideCPU := r.cpu(), side.cpu()
	b.ResetTimer()
	for range b.N {
		var wg sync.WaitGroup
		for range benchStreams {
			wg.Go(func() {
				s, err := r.openStream("", "question", benchResponse)
				if err != nil {
					b.Error(err)
					return
				}
				s.rest()
			})
		}
		wg.Wait()
	}
	b.StopTimer()
	n := float64(b.N * benchStreams * benchResponse)
	routerCPU, sideCPU = r.cpu()-routerCPU, side.cpu()-sideCPU
	b.ReportMetric(n/b.Elapsed().Seconds(), "tokens/s")
	b.ReportMetric(float64(routerCPU.Microseconds())/n, "router-µs/token")
	b.ReportMetric(float64(sideCPU.Microseconds())/n, "side-µs/token")
	b.ReportMetric(routerCPU.Seconds()/b.Elapsed().Seconds(), "router-cores")
}

// newBenchWorld is newWorld with a budget that no benchmark exhausts.
func newBenchWorld(b *testing.B) *world {
	b.Helper()
	return newWorld(b, benchPaid)
}

// firstByte sends a streamed chat, returns the time to its first byte and reads
// the rest.
func firstByte(b *testing.B, client *http.Client, base string) time.Duration {
	req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, base+"/v1/chat/completions",
		strings.NewReader(chatBody("question", 2, true)))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var first [1]byte
	if _, err := io.ReadFull(resp.Body, first[:]); err != nil || resp.StatusCode != http.StatusOK {
		b.Errorf("got status %s, error %v; want 200 and a body", resp.Status, err)
		return 0
	}
	took := time.Since(start)
	_, _ = io.Copy(io.Discard, resp.Body)
	return took
}

func median(d []time.Duration) time.Duration {
	slices.Sort(d)
	return d[len(d)/2]
}

// cpu returns the CPU time that the process has used.
func (p *proc) cpu() time.Duration {
	p.t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	// The process name in brackets may contain blanks, so fields are counted after it.
	// User and system time are fields 14 and 15 of the whole line.
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	if err != nil {
		p.t.Fatal(err)
	}
	system, err := strconv.Atoi(fields[12])
	if err != nil {
		p.t.Fatal(err)
	}
	return time.Duration(user+system) * clockTick
}

// BenchmarkInForce measures the time from the acceptance of a catalogue change, which is
// when the log service responds to its append, until five entry instances apply it.
func BenchmarkInForce(b *testing.B) {
	w := newBenchWorld(b)
	var routers []*proc
	for i := range 5 {
		routers = append(routers, w.router(fmt.Sprintf("router-%d", i)))
	}
	w.ready(routers...)
	var took []time.Duration
	b.ResetTimer()
	for i := range b.N {
		key := fmt.Sprintf("key-%d", i)
		w.append(ledger.CatalogueStream, w.change(&catal.Budget{
			Name: key, Owner: "kowhai", Class: catal.Batch, KeyHashes: []catal.KeyHash{catal.HashKey(key)},
		}))
		start := time.Now()
		for _, r := range routers {
			for !r.acceptsKey(b, key) {
				time.Sleep(time.Millisecond)
			}
		}
		took = append(took, time.Since(start))
	}
	b.StopTimer()
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "median-ms")
	b.ReportMetric(float64(took[len(took)-1].Microseconds())/1000, "max-ms")
}

// acceptsKey reports whether the entry instance accepts the API key.
func (p *proc) acceptsKey(b *testing.B, key string) bool {
	req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, p.http+"/v1/chat/completions", strings.NewReader("{}"))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode != http.StatusUnauthorized
}
