package fold_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// names is a state machine that collects the bodies of its items.
type names struct{ All []string }

func (n *names) Apply(_ fold.Position, item fold.Item) { n.All = append(n.All, string(item.Body)) }
func (n *names) Snapshot() ([]byte, error)             { return json.Marshal(n) }
func (n *names) Restore(raw []byte) error {
	var fresh names
	err := json.Unmarshal(raw, &fresh)
	if err == nil {
		*n = fresh
	}
	return err
}

// TestQuietStreamOutlivesRetention appends nothing but checkpoints for many times
// the log's retention. A new reader must still recover the state. It would be lost
// if checkpoints were due only after a number of records.
func TestQuietStreamOutlivesRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const retention = time.Hour
		log := logd.New(logd.Switches{RetainMS: int(retention.Milliseconds())})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range 2 {
			f := &fold.Follower{Log: log, Stream: "s", Reader: fold.Reader{Machine: new(names)}}
			w := &fold.Writer{Log: log, Stream: "s", Name: fmt.Sprintf("w~%d", i)}
			k := &fold.Checkpointer{Follower: f, Writer: w}
			go f.Run(ctx)
			go w.Run(ctx)
			go k.Run(ctx)
			w.Propose(fold.NewItem("name", i), nil)
		}
		time.Sleep(24 * time.Hour)
		late := &fold.Follower{Log: log, Stream: "s", Reader: fold.Reader{Machine: new(names)}}
		if err := late.CatchUp(ctx); err != nil {
			t.Fatalf("new reader after a day: error is %v, want none", err)
		}
		if got := len(late.Reader.Machine.(*names).All); got != 2 {
			t.Errorf("new reader after a day has %d items, want 2", got)
		}
	})
}

func TestCheckpointSchedule(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	d := fold.CheckpointSchedule{Records: 100, Interval: time.Minute}
	steps := []struct {
		name         string
		after        time.Duration
		offset, last int
		want         bool
	}{
		{"nothing yet", time.Hour, 0, 0, false},
		{"few records", time.Hour + time.Second, 99, 0, false},
		{"enough records", time.Hour + 2*time.Second, 100, 0, true},
		{"requested checkpoint not read back yet", time.Hour + 3*time.Second, 99, 0, false},
		{"another reader's checkpoint", time.Hour + 59*time.Second, 101, 100, false},
		{"quiet since", time.Hour + 118*time.Second, 101, 100, false},
		{"quiet for the interval", time.Hour + 119*time.Second, 101, 100, true},
	}
	for _, s := range steps {
		got := d.Due(start.Add(s.after), logsvc.Offset(s.offset), logsvc.Offset(s.last))
		if got != s.want {
			t.Errorf("%s: Due is %t, want %t", s.name, got, s.want)
		}
	}
}
