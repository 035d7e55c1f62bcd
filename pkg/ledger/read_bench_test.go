package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// countConn counts the bytes that a client receives and sends.
type countConn struct {
	net.Conn
	received, sent *atomic.Int64
}

func (c countConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

func (c countConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// counted returns a client of the log over HTTP, and the counters of the bytes that it
// receives and sends.
func counted(b *testing.B, store *logd.Store) (*logsvc.Client, *atomic.Int64, *atomic.Int64) {
	server := httptest.NewServer(store.Handler())
	b.Cleanup(server.Close)
	var received, sent atomic.Int64
	tr := &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		return countConn{Conn: c, received: &received, sent: &sent}, err
	}}
	b.Cleanup(tr.CloseIdleConnections)
	return &logsvc.Client{Addr: server.URL, HTTP: &http.Client{Transport: tr}}, &received, &sent
}

// BenchmarkReadUsage reads usages as a follower at the end of a stream does, one record
// per poll. One operation is one usage.
func BenchmarkReadUsage(b *testing.B) {
	for _, group := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("group=%d", group), func(b *testing.B) {
			store := logd.New(logd.Switches{})
			client, received, sent := counted(b, store)
			records := 0
			for i := 0; i < b.N; i += group {
				records++
				appendUsages(b, store, uint64(records), i, group)
			}
			f := &fold.Follower{Log: onePerPage{client}, Stream: Stream(0), Reader: fold.Reader{Machine: &State{}}}
			b.ReportAllocs()
			b.ResetTimer()
			for range records {
				if err := f.Poll(b.Context(), 0); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(received.Load())/float64(records*group), "received-B/usage")
			b.ReportMetric(float64(sent.Load())/float64(records*group), "sent-B/usage")
		})
	}
}

// onePerPage reads one record at a time.
type onePerPage struct{ logsvc.Service }

func (o onePerPage) Read(ctx context.Context, stream string, from logsvc.Offset, _ int, wait time.Duration) (logsvc.Page, error) {
	return o.Service.Read(ctx, stream, from, 1, wait)
}

// appendUsages appends one record of n usages.
func appendUsages(b *testing.B, store *logd.Store, seq uint64, from, n int) {
	batch := fold.Batch{Writer: "chc-a-e1~9f2c01d4e8aa/budgets-0", Seq: seq}
	for i := range n {
		u := bill(from+i, 1000, 4)
		u.At = 1_796_336_284
		batch.Items = append(batch.Items, Encode(u))
	}
	appendBatch(b, store, batch)
}

func appendBatch(b *testing.B, store *logd.Store, batch fold.Batch) {
	data, err := json.Marshal(batch)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := store.Append(b.Context(), Stream(0), data); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkEmptyPoll polls the end of a stream that gets no new records.
func BenchmarkEmptyPoll(b *testing.B) {
	store := logd.New(logd.Switches{})
	client, received, sent := counted(b, store)
	appendUsages(b, store, 1, 0, 1)
	f := &fold.Follower{Log: client, Stream: Stream(0), Reader: fold.Reader{Machine: &State{}}}
	if err := f.CatchUp(b.Context()); err != nil {
		b.Fatal(err)
	}
	received.Store(0)
	sent.Store(0)
	for b.Loop() {
		if err := f.Poll(b.Context(), 0); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(received.Load())/float64(b.N), "received-B/poll")
	b.ReportMetric(float64(sent.Load())/float64(b.N), "sent-B/poll")
}

// BenchmarkCatchUp starts a reader on a stream whose beginning has expired. It reads a
// checkpoint and the records after it.
func BenchmarkCatchUp(b *testing.B) {
	const tail = fold.DefaultCheckpointRecords
	for _, budgets := range []int{1000, 10_000, 52_000} {
		b.Run(fmt.Sprintf("budgets=%d", budgets), func(b *testing.B) {
			client, received := expired(b, budgets, tail)
			b.ReportAllocs()
			for b.Loop() {
				f := &fold.Follower{Log: client, Stream: Stream(0), Reader: fold.Reader{Machine: &State{}}}
				if err := f.CatchUp(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(received.Load())/float64(b.N), "received-B")
		})
	}
}

// expired returns a log whose first record, which created the budgets, has expired. It
// holds a checkpoint and, after that, tail usage records.
func expired(b *testing.B, budgets, tail int) (*logsvc.Client, *atomic.Int64) {
	source := fold.Reader{Machine: filled(budgets, 4, 1<<14)}
	first := logsvc.Record{Offset: 1, Data: []byte(`{"writer":"w","seq":1,"items":[]}`)}
	if err := source.Feed(logsvc.Page{First: 1, Next: 2, Records: []logsvc.Record{first}}); err != nil {
		b.Fatal(err)
	}
	cp, err := source.Checkpoint()
	if err != nil {
		b.Fatal(err)
	}
	chunks, err := cp.Chunks()
	if err != nil {
		b.Fatal(err)
	}
	store := logd.New(logd.Switches{RetainRecords: len(chunks) + tail})
	appendBatch(b, store, fold.Batch{Writer: "w", Seq: 1})
	for i, c := range chunks {
		appendBatch(b, store, fold.Batch{Writer: "c", Seq: uint64(i + 1), Items: []fold.Item{c}})
	}
	for i := range tail {
		appendUsages(b, store, uint64(i+1), 1<<20+i, 1)
	}
	client, received, _ := counted(b, store)
	return client, received
}
