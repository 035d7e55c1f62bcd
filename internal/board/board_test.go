package board_test

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllanding/beryllanding/internal/board"
	"github.com/beryllanding/beryllanding/internal/stand/keyd"
	"github.com/beryllanding/beryllanding/pkg/keyed"
)

var partition = keyed.Partition{Topic: "board"}

// reader is a board that keeps the newest values that it read.
type reader struct {
	board.Board
	mu     sync.Mutex
	values map[string]string
	reads  int
}

func start(ctx context.Context, store keyed.Store) *reader {
	r := &reader{values: make(map[string]string)}
	r.Board = board.Board{Store: store, Partition: partition, OnChange: func(c keyed.Change) {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, e := range c.Entries {
			r.reads++
			if r.values[e.Key] = string(e.Value); e.Value == nil {
				delete(r.values, e.Key)
			}
		}
	}}
	go r.Run(ctx)
	return r
}

func (r *reader) known() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.values)
}

// TestRecordsReachOthers: records reach the other instances, also those written while the
// store is down, whose answer is lost, or in large numbers; a canceled one doesn't.
func TestRecordsReachOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		store := &keyd.Store{}
		a, b := start(ctx, store), start(ctx, store)
		a.Write("k", []byte("1"), 0)
		a.Write("gone", []byte("1"), 0)
		a.Write("canceled", []byte("1"), time.Second)
		a.Cancel("canceled")
		time.Sleep(time.Second)
		store.Switches.Set(keyd.Switches{Down: true})
		a.Write("k", []byte("2"), 0)
		a.Write("gone", nil, 0)
		time.Sleep(5 * time.Second)
		store.Switches.Set(keyd.Switches{Lost: 0.5, Late: time.Second})
		for i := range 1000 {
			b.Write(fmt.Sprint("many", i), []byte("x"), time.Duration(i)*time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		if got := b.known(); len(got) != 1001 || got["k"] != "2" {
			t.Errorf("got %d records, k = %q; want 1001 and \"2\"", len(got), got["k"])
		}
		if got := a.known(); len(got) != 1001 {
			t.Errorf("got %d records at the first instance, want 1001", len(got))
		}
	})
}

// TestLaterWriteReplaces: of several writes of a key before the first is made, only the last
// reaches the store, at the time of the first.
func TestLaterWriteReplaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		r := start(ctx, &keyd.Store{})
		for i := range 100 {
			r.Write("k", fmt.Append(nil, i), time.Second+time.Duration(i)*time.Second)
		}
		time.Sleep(1500 * time.Millisecond)
		if got := r.known(); got["k"] != "99" || r.reads != 1 {
			t.Errorf("got k = %q after %d records, want \"99\" after 1", got["k"], r.reads)
		}
	})
}

// countingStore counts the reads.
type countingStore struct {
	keyd.Store
	reads atomic.Int64
}

// Read counts the call.
func (s *countingStore) Read(ctx context.Context, p keyed.Partition, from keyed.Offset, wait time.Duration) (keyed.Page, error) {
	s.reads.Add(1)
	return s.Store.Read(ctx, p, from, wait)
}

// TestFewReads: an instance reads a quiet board every two seconds, one with many records every
// 200 ms, and during an outage of the store, after the first second, every half second at the
// most.
func TestFewReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		store := &countingStore{}
		r := start(ctx, store)
		const length = 20 * time.Second
		for name, c := range map[string]struct {
			write bool
			down  bool
			most  int64
		}{
			"quiet": {most: 11}, "busy": {write: true, most: 101}, "outage": {down: true, most: 45},
		} {
			store.Switches.Set(keyd.Switches{Down: c.down})
			before := store.reads.Load()
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if c.write {
					r.Write(fmt.Sprint(time.Now()), []byte("x"), 0)
				}
			}
			if reads := store.reads.Load() - before; reads > c.most {
				t.Errorf("%s: %d reads in %v, want at most %d", name, reads, length, c.most)
			}
		}
	})
}

// TestLongKeyHoldsUpNothing: a record whose key is too long for the store isn't shared, and the
// others are; a nil board shares nothing.
func TestLongKeyHoldsUpNothing(t *testing.T) {
	var none *board.Board
	none.Write("k", nil, 0)
	none.Cancel("k")
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		r := start(ctx, &keyd.Store{})
		r.Write(strings.Repeat("k", 241), []byte("1"), 0)
		r.Write(strings.Repeat("k", 240), []byte("1"), 0)
		time.Sleep(time.Second)
		if got := r.known(); len(got) != 1 || got[strings.Repeat("k", 240)] == "" {
			t.Errorf("got %d records, want the one whose key has 240 bytes", len(got))
		}
	})
}
