package keyed_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/beryllanding/beryllanding/internal/stand/keyd"
	"github.com/beryllanding/beryllanding/pkg/keyed"
)

// TestEpochTracker checks what each response of a sequence means.
func TestEpochTracker(t *testing.T) {
	const same, restored, old = keyed.EpochSame, keyed.EpochRestored, keyed.EpochOld
	for _, c := range []struct {
		name   string
		epochs []keyed.LogEpoch
		want   []keyed.EpochChange
	}{
		{"first", []keyed.LogEpoch{7, 7}, []keyed.EpochChange{same, same}},
		{"restored", []keyed.LogEpoch{7, 8, 8, 10}, []keyed.EpochChange{same, restored, same, restored}},
		{"late responses", []keyed.LogEpoch{7, 8, 7, 8, 7, 7, 8}, []keyed.EpochChange{same, restored, old, same, old, old, same}},
		{"missing", []keyed.LogEpoch{7, 0, -1, 7, 0}, []keyed.EpochChange{same, same, same, same, same}},
		{"known late", []keyed.LogEpoch{0, 0, 3}, []keyed.EpochChange{same, same, restored}},
		{"one wrong high epoch", []keyed.LogEpoch{7, 900, 7, 7, 7, 7, 8}, []keyed.EpochChange{same, restored, old, old, restored, same, restored}},
		{"different lower epochs", []keyed.LogEpoch{9, 1, 2, 1, 2}, []keyed.EpochChange{same, old, old, old, old}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var tracker keyed.EpochTracker
			var got []keyed.EpochChange
			for _, e := range c.epochs {
				got = append(got, tracker.Observe(e))
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("changes (-want +got):\n%s", diff)
			}
		})
	}
}

// TestFollowRestored puts a store back to an older copy while a follower reads it. New
// records get the offsets of the lost ones. The follower must miss none of them, and its
// first change after the restore must say so.
func TestFollowRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &keyd.Store{}
		put(t, store, "a", "1")
		time.Sleep(10 * time.Second)
		for _, key := range []string{"a", "b", "c"} {
			put(t, store, key, "lost")
		}
		f, v := follow(store)
		var changes []keyed.Change
		apply := f.OnChange
		f.OnChange = func(c keyed.Change) {
			changes = append(changes, keyed.Change{Full: c.Full, Restored: c.Restored, LogEpoch: c.LogEpoch})
			apply(c)
		}
		run(t, f)
		synctest.Wait()
		want(t, v, map[string]string{"a": "lost", "b": "lost", "c": "lost"})
		store.Restore(5*time.Second, time.Hour)
		put(t, store, "b", "2")
		put(t, store, "c", "2")
		put(t, store, "d", "2")
		put(t, store, "e", "2") // The store is now longer than the follower has read.
		time.Sleep(3 * time.Second)
		want(t, v, map[string]string{"a": "1", "b": "2", "c": "2", "d": "2", "e": "2"})
		if diff := cmp.Diff([]keyed.Change{{Full: true}, {Full: true, Restored: true, LogEpoch: 1}}, changes[:2]); diff != "" {
			t.Errorf("first changes (-want +got):\n%s", diff)
		}
		for _, c := range changes[2:] {
			if c.Restored {
				t.Error("a later change is marked as restored, want the first one only")
			}
		}
	})
}

// lateStore holds back the response to one read until it is released.
type lateStore struct {
	keyd.Store
	mu   sync.Mutex
	held []keyed.Page
}

// Read returns a held page once, if there is one.
func (l *lateStore) Read(ctx context.Context, p keyed.Partition, from keyed.Offset, wait time.Duration) (keyed.Page, error) {
	l.mu.Lock()
	if len(l.held) > 0 {
		page := l.held[0]
		l.held = l.held[1:]
		l.mu.Unlock()
		return page, nil
	}
	l.mu.Unlock()
	return l.Store.Read(ctx, p, from, wait)
}

// TestLateResponseOfEarlierEpoch gives a follower a response from before a restore that
// it knows of. The response must change nothing.
func TestLateResponseOfEarlierEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &lateStore{}
		put(t, &store.Store, "a", "1")
		f, v := follow(store)
		run(t, f)
		store.Restore(0, time.Hour)
		store.Restore(0, time.Hour)
		time.Sleep(3 * time.Second)
		store.mu.Lock()
		store.held = []keyed.Page{{Entries: []keyed.Entry{{Key: "a", Value: []byte("old"), Offset: 1}}, End: 2, LogEpoch: 1}}
		store.mu.Unlock()
		time.Sleep(3 * time.Second)
		want(t, v, map[string]string{"a": "1"})
		put(t, &store.Store, "a", "2")
		time.Sleep(3 * time.Second)
		want(t, v, map[string]string{"a": "2"})
	})
}

// storeStep is one step of a history: it changes the store, or lets time pass.
type storeStep func(*keyd.Store)

// drawStep draws a step. n distinguishes the values that the steps of a history write.
func drawStep(rt *rapid.T, n int) (step storeStep, restore bool) {
	ms := func(label string, most int) time.Duration {
		return time.Duration(rapid.IntRange(1, most).Draw(rt, label)) * time.Millisecond
	}
	key := fmt.Sprint("k", rapid.IntRange(0, 4).Draw(rt, "key"))
	switch rapid.IntRange(0, 8).Draw(rt, "step") {
	case 0:
		return func(s *keyd.Store) { s.Put(partition, keyed.Entry{Key: key}) }, false
	case 1:
		age, rewrite := ms("copy-ms", 3000), ms("rewrite-ms", 2000)
		return func(s *keyd.Store) { s.Restore(age, rewrite) }, true
	case 2:
		sw := keyd.Switches{Down: rapid.Bool().Draw(rt, "down"), PageSize: rapid.IntRange(0, 3).Draw(rt, "page-size")}
		return func(s *keyd.Store) { s.Switches.Set(sw) }, false
	case 3:
		return func(s *keyd.Store) { s.Compact(partition) }, false
	case 4, 5:
		d := ms("sleep-ms", 1500)
		return func(*keyd.Store) { time.Sleep(d) }, false
	}
	return func(s *keyd.Store) { s.Put(partition, keyed.Entry{Key: key, Value: fmt.Append(nil, n)}) }, false
}

// TestFollowerHistories plays random histories of writes, deletions, restores, outages
// and compactions. At the end of each, a follower that started first and one that started
// in between must show exactly what the store has.
func TestFollowerHistories(t *testing.T) {
	restores := 0
	rapid.Check(t, func(rt *rapid.T) {
		var steps []storeStep
		for n := range rapid.IntRange(1, 40).Draw(rt, "steps") {
			step, restore := drawStep(rt, n)
			steps = append(steps, step)
			if restore {
				restores++
			}
		}
		lateStart := rapid.IntRange(0, len(steps)-1).Draw(rt, "late-start")
		var diff string
		synctest.Test(t, func(t *testing.T) { diff = playHistory(t, steps, lateStart) })
		if diff != "" {
			rt.Error(diff)
		}
	})
	if restores == 0 {
		t.Error("no history had a restore")
	}
}

// playHistory plays steps and returns how the views of two followers differ from the
// store at the end. One starts before the first step, the other before step lateStart.
func playHistory(t *testing.T, steps []storeStep, lateStart int) (diff string) {
	store := &keyd.Store{}
	ctx, cancel := context.WithCancel(t.Context())
	early, earlyView := follow(store)
	late, lateView := follow(store)
	go early.Run(ctx)
	for i, step := range steps {
		if i == lateStart {
			go late.Run(ctx)
		}
		step(store)
	}
	store.Switches.Set(keyd.Switches{})
	time.Sleep(20 * time.Second)
	cancel()
	synctest.Wait()
	page, err := keyed.Snapshot(t.Context(), store, partition)
	if err != nil {
		return err.Error()
	}
	keys := make(map[string]string)
	for _, e := range page.Entries {
		keys[e.Key] = string(e.Value)
	}
	for name, v := range map[string]*view{"early": earlyView, "late": lateView} {
		if d := cmp.Diff(keys, v.keys); d != "" {
			diff += fmt.Sprintf("%s follower (-store +follower):\n%s", name, d)
		}
	}
	return diff
}
