package budget

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// TestQuietBudgetOutlivesRetention leaves a topped-up budget alone for a day of
// one-hour retention.
func TestQuietBudgetOutlivesRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logd.New(logd.Switches{RetainMS: int(time.Hour.Milliseconds())})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		batch := fold.Batch{Writer: "op~1", Seq: 1, Items: []fold.Item{
			ledger.Encode(ledger.TopUp{ID: "1", Budget: "b", Tokens: 1000, Operator: "op"}),
		}}
		data, err := json.Marshal(batch)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := log.Append(ctx, ledger.Stream(0), data); err != nil {
			t.Fatal(err)
		}
		go New(Options{Log: log, Instance: "r"}).Run(ctx)
		time.Sleep(24 * time.Hour)
		state := new(ledger.State)
		late := &fold.Follower{Log: log, Stream: ledger.Stream(0), Reader: fold.Reader{Machine: state}}
		if err := late.CatchUp(ctx); err != nil {
			t.Fatalf("a new reader after a day: %v", err)
		}
		if b, ok := state.Budget("b"); !ok || b.Paid != 1000 {
			t.Errorf("after a day the budget is %+v, known %t", b, ok)
		}
	})
}
