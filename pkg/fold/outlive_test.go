package fold

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// TestStateOutlivesRecords lets records expire by age or by number, in a stream that
// is busy at first and idle later. An instance that starts late must recover the
// state from a checkpoint.
func TestStateOutlivesRecords(t *testing.T) {
	for name, sw := range map[string]logd.Switches{
		"by age":    {RetainMS: int(time.Hour / time.Millisecond)},
		"by number": {RetainRecords: 100},
		"in a log service that fails": {
			RetainMS: int(time.Hour / time.Millisecond), LoseEvery: 3, DuplicateEvery: 2, AppendsPerSecond: 20,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := logd.New(sw)
				ctx, cancel := context.WithCancel(t.Context())
				var wg sync.WaitGroup
				var first *Follower
				for i, writer := range []string{"a~1", "b~1", "c~1"} {
					f := &Follower{Log: store, Stream: stream, Reader: Reader{Machine: &recorder{}}}
					w := &Writer{Log: store, Stream: stream, Name: writer, Folded: f.Folded}
					k := &Checkpointer{Follower: f, Writer: w, Schedule: CheckpointSchedule{Records: 30, Jitter: 0.1 + 0.2*float64(i)}}
					wg.Go(func() { f.Run(ctx) })
					wg.Go(func() { w.Run(ctx) })
					wg.Go(func() { k.Run(ctx) })
					for i := range 200 {
						w.Propose(NewItem("note", i), nil)
						time.Sleep(time.Second)
					}
					first = f
					startLate(t, store)
				}
				time.Sleep(6 * time.Hour)
				late := startLate(t, store)
				time.Sleep(readWait)
				cancel()
				wg.Wait()
				want, got := first.Reader.Machine.(*recorder).lines, late.Reader.Machine.(*recorder).lines
				if diff := cmp.Diff(want, got); diff != "" || len(want) != 600 {
					t.Errorf("reader of all records has %d items, want 600; items of the late reader (-want +got):\n%s", len(want), diff)
				}
				if n := first.Reader.Stats.CheckpointConflicts; n > 0 {
					t.Errorf("reader counts %d checkpoint conflicts, want 0", n)
				}
				// 600 notes, a checkpoint for each 30 records, and one each 10 minutes.
				if n, most := late.Offset(), logsvc.Offset(600+600/30+9*6); !strings.Contains(name, "fails") && n > most {
					t.Errorf("stream has %d records, want at most %d", n, most)
				}
			})
		})
	}
}

// startLate returns a new follower at the end of the stream.
func startLate(t *testing.T, log logsvc.Service) *Follower {
	t.Helper()
	f := &Follower{Log: log, Stream: stream, Reader: Reader{Machine: &recorder{}}}
	if err := f.CatchUp(t.Context()); err != nil {
		t.Errorf("late instance: error is %v, want none", err)
	}
	return f
}

// TestOneCheckpointWaits makes checkpoints due repeatedly while nothing is
// appended, as in an outage. Only one checkpoint may be queued at a time.
func TestOneCheckpointWaits(t *testing.T) {
	_, s := newNotes(t, 3)
	k := &Checkpointer{Follower: &Follower{Reader: *s.r}, Writer: &Writer{Name: "w"}}
	for hour := range 5 {
		k.Poll(time.Unix(0, 0).Add(time.Duration(hour) * time.Hour))
	}
	if n := k.Writer.Pending(); n != 1 {
		t.Errorf("%d chunks are pending, want 1", n)
	}
}

// TestCheckpointerOfBusyWriter checks that a checkpoint is queued although the writer has
// other items pending. A writer that always has pending items must not prevent
// checkpoints.
func TestCheckpointerOfBusyWriter(t *testing.T) {
	_, s := newNotes(t, 3)
	k := &Checkpointer{Follower: &Follower{Reader: *s.r}, Writer: &Writer{Name: "w"}}
	k.Poll(time.Unix(0, 0))
	k.Writer.Propose(NewItem("note", 1), nil)
	k.Poll(time.Unix(0, 0).Add(time.Hour))
	if n := k.Writer.Pending(); n != 2 {
		t.Errorf("%d items are pending, want 2: the note and a checkpoint", n)
	}
}

// TestCheckpointScheduleBeforeReadBack checks that no second checkpoint is due while the first
// has been requested but not yet read back.
func TestCheckpointScheduleBeforeReadBack(t *testing.T) {
	d := CheckpointSchedule{Records: 10}
	var due []bool
	for i, offset := range []logsvc.Offset{9, 10, 11, 19, 20} {
		due = append(due, d.Due(time.Unix(int64(i), 0), offset, 0))
	}
	if diff := cmp.Diff([]bool{false, true, false, false, true}, due); diff != "" {
		t.Error(diff)
	}
}
