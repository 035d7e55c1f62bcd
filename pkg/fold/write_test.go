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

// stream is the stream that the writers under test write to.
const stream = "s"

// outcomes collects what the proposers of numbered items were told.
type outcomes struct {
	mu  sync.Mutex
	at  map[int]Position
	ok  map[int]bool
	ran map[int]int
}

func newOutcomes() *outcomes {
	return &outcomes{at: make(map[int]Position), ok: make(map[int]bool), ran: make(map[int]int)}
}

func (o *outcomes) done(i int) func(Position, bool) {
	return func(at Position, ok bool) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.at[i], o.ok[i] = at, ok
		o.ran[i]++
	}
}

// told returns for each proposer that was told once what it was told.
func (o *outcomes) told() map[int]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	told := make(map[int]bool)
	for i, n := range o.ran {
		if n == 1 {
			told[i] = o.ok[i]
		}
	}
	return told
}

// step is a time with given failures of the log service.
type step struct {
	lasts time.Duration
	sw    logd.Switches
}

// runWriter proposes n items, one each interval, while the log service goes
// through the steps and then works. It returns the items folded, in order, and
// what the proposers were told.
func runWriter(t *testing.T, n int, interval time.Duration, steps []step) (folded []string, o *outcomes, f *Follower) {
	store := &logd.Store{}
	o = newOutcomes()
	f = &Follower{Log: store, Stream: stream, Reader: Reader{Machine: &journal{}}}
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
		time.Sleep(s.lasts)
	}
	store.Switches.Set(logd.Switches{})
	time.Sleep(time.Duration(n)*interval + time.Minute)
	if err := w.Flush(ctx); err != nil {
		t.Error(err)
	}
	time.Sleep(readWait)
	cancel()
	wg.Wait()
	for _, line := range f.Reader.Machine.(*journal).lines {
		folded = append(folded, line[strings.LastIndexByte(line, ' ')+1:])
	}
	return folded, o, f
}

// problem returns what is wrong with the outcome of a run: each item must be
// folded once and in order, and its proposer told so once, with an offset by
// which it is folded.
func problem(n int, folded []string, o *outcomes, f *Follower) string {
	want := make([]string, n)
	for i := range want {
		want[i] = fmt.Sprint(i)
	}
	if diff := cmp.Diff(want, folded); diff != "" {
		return "items folded (-want +got):\n" + diff
	}
	for i, line := range f.Reader.Machine.(*journal).lines {
		var at Position
		_, _ = fmt.Sscanf(line, "%d.%d", &at.Offset, &at.Index)
		if o.ran[i] != 1 || !o.ok[i] {
			return fmt.Sprintf("proposer of item %d was told %d times, last %v", i, o.ran[i], o.ok[i])
		}
		if told := o.at[i]; told.Offset < at.Offset || told.Index != at.Index || told.Offset > f.Offset() {
			return fmt.Sprintf("proposer of item %d was told %+v, the item is at %+v", i, told, at)
		}
	}
	return ""
}

// TestWriterThroughFailures writes through failures of the log service.
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
				if p := problem(200, folded, o, f); p != "" {
					t.Error(p)
				}
			})
		})
	}
}

// TestWriterRandomFailures writes through random sequences of failures.
func TestWriterRandomFailures(t *testing.T) {
	switches := rapid.Custom(func(t *rapid.T) step {
		return step{
			lasts: time.Duration(rapid.IntRange(1, 60_000).Draw(t, "ms")) * time.Millisecond,
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
		var found string
		synctest.Test(t, func(t *testing.T) {
			folded, o, f := runWriter(t, 60, interval, steps)
			found = problem(60, folded, o, f)
		})
		if found != "" {
			rt.Fatal(found)
		}
	})
}

// TestWriterAnswersLostForEver shows that a batch whose answers are all lost is
// not sent for ever: it is read back from the stream.
func TestWriterAnswersLostForEver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logd.New(logd.Switches{LoseEvery: 1})
		f := &Follower{Log: store, Stream: stream, Reader: Reader{Machine: &journal{}}}
		w := &Writer{Log: store, Stream: stream, Name: "w~1", Folded: f.Folded}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.Run(ctx)
		go w.Run(ctx)
		ask, stop := context.WithTimeout(ctx, time.Minute)
		defer stop()
		at, err := w.ProposeWait(ask, NewItem("note", 1))
		if err != nil || at.Offset == 0 {
			t.Errorf("position %+v, %v", at, err)
		}
		time.Sleep(time.Hour)
		if n := f.Offset(); n > 2 {
			t.Errorf("%d copies were appended, want at most 2", n)
		}
		cancel()
		synctest.Wait()
	})
}

// TestWriterEnds shows what proposers are told by a writer that has ended, is
// full, or is given an item that can't be appended.
func TestWriterEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logd.New(logd.Switches{Outage: true})
		w := &Writer{Log: store, Stream: stream, Name: "w~1", Queue: 3}
		o := newOutcomes()
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { w.Run(ctx) })
		for i := range 4 {
			w.Propose(NewItem("note", i), o.done(i))
		}
		synctest.Wait()
		if diff := cmp.Diff(map[int]bool{3: false}, o.told()); diff != "" || w.Pending() != 3 {
			t.Errorf("%d are pending, proposers were told (-want +got):\n%s", w.Pending(), diff)
		}
		cancel()
		wg.Wait()
		w.Propose(NewItem("note", 4), o.done(4))
		synctest.Wait()
		if diff := cmp.Diff(map[int]bool{0: false, 1: false, 2: false, 3: false, 4: false}, o.told()); diff != "" {
			t.Error(diff)
		}
		if _, err := w.ProposeWait(t.Context(), NewItem("note", 5)); !errors.Is(err, ErrNotAppended) {
			t.Errorf("error is %v, want ErrNotAppended", err)
		}
	})
}

// TestWriterBadItems shows that an item that can't be appended spoils no other.
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
		if diff := cmp.Diff(map[int]bool{0: true, 1: false, 2: false, 3: true}, o.told()); diff != "" {
			t.Error(diff)
		}
		cancel()
		synctest.Wait()
	})
}

// TestWithdraw shows that an item that was never sent is withdrawn with its
// proposer's context, and that the outcome of one in flight is unknown.
func TestWithdraw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logd.New(logd.Switches{Silent: true})
		w := &Writer{Log: store, Stream: stream, Name: "w~1"}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go w.Run(ctx)
		flying, stopFlying := context.WithTimeout(ctx, time.Second)
		defer stopFlying()
		go func() {
			time.Sleep(500 * time.Millisecond)
			waiting, stop := context.WithTimeout(ctx, 100*time.Millisecond)
			defer stop()
			if _, err := w.ProposeWait(waiting, NewItem("note", 2)); !errors.Is(err, ErrNotAppended) {
				t.Errorf("waiting item: error is %v, want ErrNotAppended", err)
			}
		}()
		if _, err := w.ProposeWait(flying, NewItem("note", 1)); !errors.Is(err, logsvc.ErrOutcomeUnknown) {
			t.Errorf("item in flight: error is %v, want ErrOutcomeUnknown", err)
		}
		store.Switches.Set(logd.Switches{})
		time.Sleep(time.Minute)
		page, err := store.Read(ctx, stream, 1, 10, 0)
		if err != nil || len(page.Records) != 1 {
			t.Errorf("%d records, want the one that was in flight; %v", len(page.Records), err)
		}
		cancel()
		synctest.Wait()
	})
}

// TestWriterEndsInFlight ends a writer with a batch in flight. The item is known
// not to be on the log only where every attempt had no effect.
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
