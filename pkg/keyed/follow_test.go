package keyed_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/beryllanding/beryllanding/internal/stand/keyd"
	"github.com/beryllanding/beryllanding/pkg/keyed"
)

var partition = keyed.Partition{Topic: "t"}

// view is the state that a consumer builds from a follower's changes.
type view struct {
	mu   sync.Mutex
	keys map[string]string
	// failed holds one element per OnReachability call, true if it had an error.
	failed []bool
}

func (v *view) get(key string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.keys[key]
}

// follow returns a follower of the store and the view that it maintains.
func follow(store keyed.Store) (*keyed.Follower, *view) {
	v := &view{keys: make(map[string]string)}
	f := &keyed.Follower{Store: store, Partition: partition, OnChange: func(c keyed.Change) {
		v.mu.Lock()
		defer v.mu.Unlock()
		if c.Full {
			clear(v.keys)
		}
		for _, e := range c.Entries {
			if e.Value == nil {
				delete(v.keys, e.Key)
				continue
			}
			v.keys[e.Key] = string(e.Value)
		}
	}, OnReachability: func(err error) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.failed = append(v.failed, err != nil)
	}}
	return f, v
}

// put writes a record; an empty value deletes the key.
func put(t *testing.T, s *keyd.Store, key, value string) {
	t.Helper()
	e := keyed.Entry{Key: key}
	if value != "" {
		e.Value = []byte(value)
	}
	s.Put(partition, e)
}

func run(t *testing.T, f *keyed.Follower) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	go f.Run(ctx)
	t.Cleanup(cancel)
}

// want compares the keys of a view.
func want(t *testing.T, v *view, keys map[string]string) {
	t.Helper()
	v.mu.Lock()
	defer v.mu.Unlock()
	if diff := cmp.Diff(keys, v.keys); diff != "" {
		t.Error(diff)
	}
}

func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &keyd.Store{}
		put(t, store, "a", "1")
		f, v := follow(store)
		run(t, f)
		synctest.Wait()
		want(t, v, map[string]string{"a": "1"})
		put(t, store, "b", "2")
		put(t, store, "a", "")
		synctest.Wait()
		want(t, v, map[string]string{"b": "2"})
	})
}

// TestFollowHistoryLost trims the records that a follower has not read yet, during an
// outage. The follower must take a snapshot and drop the keys that were deleted.
func TestFollowHistoryLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &keyd.Store{}
		put(t, store, "a", "1")
		f, v := follow(store)
		run(t, f)
		synctest.Wait()
		store.Switches.Set(keyd.Switches{Down: true})
		time.Sleep(5 * time.Second)
		put(t, store, "b", "2")
		put(t, store, "a", "")
		store.Compact(partition)
		store.Switches.Set(keyd.Switches{})
		time.Sleep(2 * time.Second)
		want(t, v, map[string]string{"b": "2"})
		v.mu.Lock()
		defer v.mu.Unlock()
		if diff := cmp.Diff([]bool{true, false}, v.failed); diff != "" {
			t.Error("OnReachability calls, true if called with an error (-want +got):", diff)
		}
	})
}

func TestSnapshotPages(t *testing.T) {
	store := &keyd.Store{}
	for _, k := range []string{"a", "b", "c", "d", "e"} {
		put(t, store, k, "1")
	}
	store.Switches.Set(keyd.Switches{PageSize: 2})
	page, err := keyed.Snapshot(t.Context(), store, partition)
	if err != nil || len(page.Entries) != 5 || page.End != 5 {
		t.Errorf("snapshot has %d entries, end %d, error %v; want 5, 5 and no error", len(page.Entries), page.End, err)
	}
}

// lagging is a store that returns an old snapshot while one is set.
type lagging struct {
	keyd.Store
	old atomic.Pointer[keyed.Page]
}

func (l *lagging) Newest(ctx context.Context, p keyed.Partition, after string) (keyed.Page, error) {
	if old := l.old.Load(); old != nil {
		return *old, nil
	}
	return l.Store.Newest(ctx, p, after)
}

// TestSnapshotIsNeverOlder gives a follower that needs a new snapshot one that is
// older than the records it has read. The follower must not return to older values.
func TestSnapshotIsNeverOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &lagging{}
		put(t, &store.Store, "v", "1")
		old, err := store.Newest(t.Context(), partition, "")
		if err != nil {
			t.Fatal(err)
		}
		f, v := follow(store)
		run(t, f)
		synctest.Wait()
		put(t, &store.Store, "v", "2")
		synctest.Wait()
		want(t, v, map[string]string{"v": "2"})
		store.old.Store(&old)
		put(t, &store.Store, "v", "3")
		store.Compact(partition)
		time.Sleep(3 * time.Second)
		if v.get("v") == "1" {
			t.Error("value is 1 from the old snapshot, want 2 or 3")
		}
		store.old.Store(nil)
		time.Sleep(3 * time.Second)
		want(t, v, map[string]string{"v": "3"})
	})
}

// TestPostOrder checks that a writer's records take effect once and in order, and
// that a new epoch ends the previous one.
func TestPostOrder(t *testing.T) {
	store := &keyd.Store{}
	write := func(epoch, number int64) error {
		w := keyed.Writer{ID: "w", Epoch: epoch, Number: number}
		return store.Write(t.Context(), partition, w, keyed.Entry{Key: "a", Value: fmt.Append(nil, epoch, number)})
	}
	for _, c := range []struct {
		epoch, number int64
		want          error
	}{
		{1, 0, nil},
		{1, 1, nil},
		{1, 1, nil}, // the record is sent again
		{1, 3, keyed.ErrOutOfOrder},
		{2, 5, nil},
		{1, 2, keyed.ErrOutOfOrder},
		{2, 6, nil},
	} {
		if err := write(c.epoch, c.number); !errors.Is(err, c.want) {
			t.Errorf("write with epoch %d and number %d: error is %v, want %v", c.epoch, c.number, err, c.want)
		}
	}
	page, err := store.Read(t.Context(), partition, 0, 0)
	var got []string
	for _, e := range page.Entries {
		got = append(got, string(e.Value))
	}
	if diff := cmp.Diff([]string{"1 0", "1 1", "2 5", "2 6"}, got); err != nil || diff != "" {
		t.Error(err, diff)
	}
}

// pageStore returns at most a number of records from each read.
type pageStore struct {
	*keyd.Store
	most int
}

// Read implements keyed.Store.
func (s pageStore) Read(ctx context.Context, p keyed.Partition, from keyed.Offset, wait time.Duration) (keyed.Page, error) {
	page, err := s.Store.Read(ctx, p, from, wait)
	if len(page.Entries) > s.most {
		page.Entries, page.More = page.Entries[:s.most], true
		page.End = page.Entries[s.most-1].Offset + 1
	}
	return page, err
}

// TestFollowPartialRead guards against a follower that counts as up to date although a read
// returned only a part of the new records: a request would be refused by an old
// configuration. The follower then takes a snapshot, which has the newest record of each key.
func TestFollowPartialRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &keyd.Store{}
		put(t, store, "config", "0")
		f, v := follow(pageStore{store, 2})
		f.ReadInterval = time.Second
		apply := f.OnChange
		var changes []keyed.Change
		f.OnChange = func(c keyed.Change) {
			changes = append(changes, c)
			apply(c)
		}
		run(t, f)
		synctest.Wait()
		before := time.Now()
		for i := range 5 {
			put(t, store, "config", fmt.Sprint(i+1))
		}
		time.Sleep(3 * time.Second)
		synctest.Wait()
		want(t, v, map[string]string{"config": "5"})
		for i, c := range changes {
			for _, e := range c.Entries {
				if string(e.Value) != "0" && string(e.Value) != "5" && c.RequestedAt.After(before) {
					t.Errorf("change %d with the old value %s says that it is current", i, e.Value)
				}
			}
		}
		if last := changes[len(changes)-1]; !last.RequestedAt.After(before) {
			t.Errorf("the last change is from %v, want it current", last.RequestedAt)
		}
	})
}
