package fold

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// TestCatchUpAllExpired reads a stream whose records have all expired. CatchUp must
// fail with ErrGap, or with the context's error once the context has ended.
func TestCatchUpAllExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logd.New(logd.Switches{RetainMS: 1000})
		for range 3 {
			if _, err := store.Append(t.Context(), "s", []byte("{}")); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(2 * time.Second)
		f := &Follower{Log: store, Stream: "s", Reader: Reader{Machine: &recorder{}}}
		if err := f.CatchUp(t.Context()); !errors.Is(err, ErrGap) {
			t.Errorf("error is %v, want ErrGap", err)
		}
		if !f.FreshAt().IsZero() {
			t.Error("FreshAt of a stale follower is set, want the zero time")
		}
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		if err := f.CatchUp(ended); !errors.Is(err, context.Canceled) {
			t.Errorf("error is %v, want Canceled", err)
		}
	})
}

// TestFreshAt reads a stream of two pages. Only a read that reaches the end of the
// stream may set FreshAt.
func TestFreshAt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &logd.Store{}
		for range readLimit + 1 {
			if _, err := store.Append(t.Context(), "s", []byte("{}")); err != nil {
				t.Fatal(err)
			}
		}
		f := &Follower{Log: store, Stream: "s", Reader: Reader{Machine: &recorder{}}}
		for _, want := range []time.Time{{}, time.Now()} {
			if err := f.Poll(t.Context(), 0); err != nil {
				t.Fatal(err)
			}
			if got := f.FreshAt(); !got.Equal(want) {
				t.Errorf("at offset %d: FreshAt is %v, want %v", f.Offset(), got, want)
			}
		}
		time.Sleep(time.Second)
		if got := time.Since(f.FreshAt()); got != time.Second {
			t.Errorf("FreshAt is %v ago, want 1s", got)
		}
	})
}

// TestSlowService uses a log service that is slower than the first timeout. The
// follower and the writer must raise their timeouts until responses arrive.
func TestSlowService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logd.New(logd.Switches{SlowMS: 9000})
		f := &Follower{Log: store, Stream: stream, Reader: Reader{Machine: &recorder{}}}
		w := &Writer{Log: store, Stream: stream, Name: "w~1"}
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
		defer cancel()
		go w.Run(ctx)
		go f.Run(ctx)
		if _, err := w.ProposeWait(ctx, NewItem("note", 1)); err != nil {
			t.Error(err)
		}
		if err := f.Wait(ctx, func(r *Reader) bool { return r.Folded("w~1") == 1 }); err != nil {
			t.Error(err)
		}
		cancel()
		synctest.Wait()
	})
}

// readCounter counts the reads from a log service.
type readCounter struct {
	logsvc.Service
	reads atomic.Int64
}

// Read counts the call and forwards it.
func (c *readCounter) Read(ctx context.Context, stream string, from logsvc.Offset, limit int, wait time.Duration) (logsvc.Page, error) {
	c.reads.Add(1)
	return c.Service.Read(ctx, stream, from, limit, wait)
}

// TestFollowerInOutage bounds the number of reads in an outage, and the time that
// the follower takes to become current afterwards.
func TestFollowerInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logd.New(logd.Switches{Outage: true})
		log := &readCounter{Service: store}
		f := &Follower{Log: log, Stream: stream, Reader: Reader{Machine: &recorder{}}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.Run(ctx)
		time.Sleep(time.Hour)
		if n := log.reads.Load(); n > 1805 {
			t.Errorf("follower made %d reads in an outage of an hour, want at most one in 2 s", n)
		}
		store.Switches.Set(logd.Switches{})
		if _, err := store.Append(ctx, stream, []byte("x")); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		if err := f.Wait(ctx, func(r *Reader) bool { return r.Offset() == 1 }); err != nil || time.Since(start) > maxReadBackoff {
			t.Errorf("follower is current %v after the outage, error %v; want at most maxReadBackoff", time.Since(start), err)
		}
		cancel()
		synctest.Wait()
	})
}
