package fold

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// stream is the name of the stream under test.
const stream = "s"

// outcomes records the calls of the done callbacks of numbered items.
type outcomes struct {
	mu sync.Mutex
	// at and ok hold the arguments of the last call for each item. calls holds the
	// number of calls.
	at    map[int]Position
	ok    map[int]bool
	calls map[int]int
}

func newOutcomes() *outcomes {
	return &outcomes{at: make(map[int]Position), ok: make(map[int]bool), calls: make(map[int]int)}
}

// done returns the callback of item i.
func (o *outcomes) done(i int) func(Position, bool) {
	return func(at Position, ok bool) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.at[i], o.ok[i] = at, ok
		o.calls[i]++
	}
}

// calledOnce returns the ok argument of each callback that was called exactly once.
func (o *outcomes) calledOnce() map[int]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	ok := make(map[int]bool)
	for i, n := range o.calls {
		if n == 1 {
			ok[i] = o.ok[i]
		}
	}
	return ok
}

// step is a period with given failures of the log service.
type step struct {
	duration time.Duration
	sw       logd.Switches
}

// runWriter proposes n items, one per interval. The log service fails as the steps
// specify, and works after the last step. runWriter returns the folded items in
// order, the outcomes and the follower.
func runWriter(t *testing.T, n int, interval time.Duration, steps []step) (folded []string, o *outcomes, f *Follower) {
	store := &logd.Store{}
	o = newOutcomes()
	f = &Follower{Log: store, Stream: stream, Reader: Reader{Machine: &recorder{}}}
	w := &Writer{Log: store, Stream: stream, Name: "w~1", Folded: f.Folded}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	wg.Go(func() { w.Run(ctx) })
	wg.Go(func() {
		for i := range n {
			w.Propose(NewItem("note", i), o.done(i))
			time.Sleep(interval)
		}
	})
	for _, s := range steps {
		store.Switches.Set(s.sw)
		time.Sleep(s.duration)
	}
	store.Switches.Set(logd.Switches{})
	time.Sleep(time.Duration(n)*interval + time.Minute)
	if err := w.Flush(ctx); err != nil {
		t.Error(err)
	}
	time.Sleep(readWait)
	cancel()
	wg.Wait()
	for _, line := range f.Reader.Machine.(*recorder).lines {
		folded = append(folded, line[strings.LastIndexByte(line, ' ')+1:])
	}
	return folded, o, f
}

// checkRun returns a description of what is wrong with a run, or "" if it is
// correct. Each item must be folded once and in order. Its callback must be called
// once, with true and an offset that is at or after the item and was folded.
func checkRun(n int, folded []string, o *outcomes, f *Follower) string {
	want := make([]string, n)
	for i := range want {
		want[i] = fmt.Sprint(i)
	}
	if diff := cmp.Diff(want, folded); diff != "" {
		return "items folded (-want +got):\n" + diff
	}
	for i, line := range f.Reader.Machine.(*recorder).lines {
		var at Position
		_, _ = fmt.Sscanf(line, "%d.%d", &at.Offset, &at.Index)
		if o.calls[i] != 1 || !o.ok[i] {
			return fmt.Sprintf("callback of item %d was called %d times, last with ok %v; want once with ok true", i, o.calls[i], o.ok[i])
		}
		if got := o.at[i]; got.Offset < at.Offset || got.Index != at.Index || got.Offset > f.Offset() {
			return fmt.Sprintf("callback of item %d got position %+v, want one at or after %+v that was folded", i, got, at)
		}
	}
	return ""
}

// TestWriterThroughFailures writes while the log service fails in different ways.
// No item may be lost, reordered or folded twice.
func TestWriterThroughFailures(t *testing.T) {
	for name, steps := range map[string][]step{
		"outage":      {{time.Hour, logd.Switches{Outage: true}}},
		"rate limit":  {{time.Minute, logd.Switches{AppendsPerSecond: 2}}},
		"lost answer": {{time.Minute, logd.Switches{LoseEvery: 2}}},
		"all lost":    {{time.Minute, logd.Switches{LoseEvery: 1}}},
		"slow":        {{time.Minute, logd.Switches{SlowMS: 1500}}},
		"very slow":   {{time.Hour, logd.Switches{SlowMS: 5000}}},
		"duplicates":  {{time.Minute, logd.Switches{DuplicateEvery: 1, DuplicateAfterMS: 700}}},
		"silent":      {{time.Minute, logd.Switches{Silent: true}}},
		"two at once": {{time.Minute, logd.Switches{LoseEvery: 2, AppendsPerSecond: 3, DuplicateEvery: 3}}, {time.Minute, logd.Switches{Outage: true}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				folded, o, f := runWriter(t, 200, 37*time.Millisecond, steps)
				if p := checkRun(200, folded, o, f); p != "" {
					t.Error(p)
				}
			})
		})
	}
}

// TestWriterRandomFailures is TestWriterThroughFailures with random failures.
func TestWriterRandomFailures(t *testing.T) {
	switches := rapid.Custom(func(t *rapid.T) step {
		return step{
			duration: time.Duration(rapid.IntRange(1, 60_000).Draw(t, "ms")) * time.Millisecond,
			sw: logd.Switches{
				Outage:           rapid.IntRange(0, 4).Draw(t, "outage") == 4,
				Silent:           rapid.IntRange(0, 8).Draw(t, "silent") == 8,
				SlowMS:           rapid.SampledFrom([]int{0, 0, 30, 2500, 9000}).Draw(t, "slow"),
				AppendsPerSecond: rapid.SampledFrom([]float64{0, 0, 1, 5}).Draw(t, "rate"),
				LoseEvery:        rapid.IntRange(0, 3).Draw(t, "lose"),
				DuplicateEvery:   rapid.IntRange(0, 3).Draw(t, "duplicate"),
				DuplicateAfterMS: rapid.SampledFrom([]int{0, 10, 5000}).Draw(t, "duplicate after"),
			},
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(switches, 1, 5).Draw(rt, "steps")
		interval := time.Duration(rapid.IntRange(1, 2000).Draw(rt, "interval")) * time.Millisecond
		var problem string
		synctest.Test(t, func(t *testing.T) {
			folded, o, f := runWriter(t, 60, interval, steps)
			problem = checkRun(60, folded, o, f)
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// TestWriterAnswersLostForEver loses the response to every append. The writer must
// read its batch back from the stream instead of sending it without end.
func TestWriterAnswersLostForEver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logd.New(logd.Switches{LoseEvery: 1})
		f := &Follower{Log: store, Stream: stream, Reader: Reader{Machine: &recorder{}}}
		w := &Writer{Log: store, Stream: stream, Name: "w~1", Folded: f.Folded}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.Run(ctx)
		go w.Run(ctx)
		ask, stop := context.WithTimeout(ctx, time.Minute)
		defer stop()
		at, err := w.ProposeWait(ask, NewItem("note", 1))
		if err != nil || at.Offset == 0 {
			t.Errorf("ProposeWait returned position %+v and error %v, want an offset and no error", at, err)
		}
		time.Sleep(time.Hour)
		if n := f.Offset(); n > 2 {
			t.Errorf("writer appended %d copies of the batch, want at most 2", n)
		}
		cancel()
		synctest.Wait()
	})
}

// TestWriterEnds proposes items to a writer whose queue is full, and to one that has
// ended. Each callback must be called once, with false.
func TestWriterEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logd.New(logd.Switches{Outage: true})
		w := &Writer{Log: store, Stream: stream, Name: "w~1", MaxPending: 3}
		o := newOutcomes()
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { w.Run(ctx) })
		for i := range 4 {
			w.Propose(NewItem("note", i), o.done(i))
		}
		synctest.Wait()
		if diff := cmp.Diff(map[int]bool{3: false}, o.calledOnce()); diff != "" || w.Pending() != 3 {
			t.Errorf("%d items are pending, want 3; callbacks (-want +got):\n%s", w.Pending(), diff)
		}
		cancel()
		wg.Wait()
		w.Propose(NewItem("note", 4), o.done(4))
		synctest.Wait()
		if diff := cmp.Diff(map[int]bool{0: false, 1: false, 2: false, 3: false, 4: false}, o.calledOnce()); diff != "" {
			t.Error(diff)
		}
		if _, err := w.ProposeWait(t.Context(), NewItem("note", 5)); !errors.Is(err, ErrNotAppended) {
			t.Errorf("error is %v, want ErrNotAppended", err)
		}
	})
}

// TestWriterBadItems proposes items that cannot be appended, since they are too large
// or malformed. The other items must still be appended.
func TestWriterBadItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &logd.Store{}
		w := &Writer{Log: store, Stream: stream, Name: "w~1"}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		o := newOutcomes()
		w.Propose(NewItem("note", 0), o.done(0))
		w.Propose(NewItem("note", strings.Repeat("x", logsvc.MaxRecord)), o.done(1))
		w.Propose(Item{Kind: "note", Body: []byte("{")}, o.done(2))
		w.Propose(NewItem("note", 3), o.done(3))
		go w.Run(ctx)
		time.Sleep(time.Second)
		if diff := cmp.Diff(map[int]bool{0: true, 1: false, 2: false, 3: true}, o.calledOnce()); diff != "" {
			t.Error(diff)
		}
		cancel()
		synctest.Wait()
	})
}

// TestWithdraw ends the contexts of two ProposeWait calls. The item that was never
// sent must be withdrawn. The outcome of the item in flight is unknown.
func TestWithdraw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logd.New(logd.Switches{Silent: true})
		w := &Writer{Log: store, Stream: stream, Name: "w~1"}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go w.Run(ctx)
		inFlight, stopInFlight := context.WithTimeout(ctx, time.Second)
		defer stopInFlight()
		go func() {
			time.Sleep(500 * time.Millisecond)
			waiting, stop := context.WithTimeout(ctx, 100*time.Millisecond)
			defer stop()
			if _, err := w.ProposeWait(waiting, NewItem("note", 2)); !errors.Is(err, ErrNotAppended) {
				t.Errorf("queued item: error is %v, want ErrNotAppended", err)
			}
		}()
		if _, err := w.ProposeWait(inFlight, NewItem("note", 1)); !errors.Is(err, logsvc.ErrOutcomeUnknown) {
			t.Errorf("item in flight: error is %v, want ErrOutcomeUnknown", err)
		}
		store.Switches.Set(logd.Switches{})
		time.Sleep(time.Minute)
		page, err := store.Read(ctx, stream, 1, 10, 0)
		if err != nil || len(page.Records) != 1 {
			t.Errorf("stream has %d records, error %v; want only the record that was in flight", len(page.Records), err)
		}
		cancel()
		synctest.Wait()
	})
}

// TestWriterEndsInFlight ends a writer with a batch in flight. The error may be
// ErrNotAppended only if no attempt had an effect.
func TestWriterEndsInFlight(t *testing.T) {
	for name, c := range map[string]struct {
		sw   logd.Switches
		want error
	}{
		"outage": {logd.Switches{Outage: true}, ErrNotAppended},
		"silent": {logd.Switches{Silent: true}, logsvc.ErrOutcomeUnknown},
		"lost":   {logd.Switches{LoseEvery: 1}, logsvc.ErrOutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &Writer{Log: logd.New(c.sw), Stream: stream, Name: "w~1"}
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				go w.Run(ctx)
				_, err := w.ProposeWait(t.Context(), NewItem("note", 1))
				if !errors.Is(err, c.want) {
					t.Errorf("error is %v, want %v", err, c.want)
				}
			})
		})
	}
}
