package budget

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// TestQuietBudgetOutlivesRetention guards against the loss of a topped-up budget whose
// stream gets no records for longer than the log's retention. The stream stays idle for
// a day, and the log retains records for one hour. Checkpoints must keep the budget on
// the log.
func TestQuietBudgetOutlivesRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logd.New(logd.Switches{RetainMS: int(time.Hour.Milliseconds())})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		appendItem(t, log, ledger.TopUp{ID: "1", Budget: "b", Tokens: 1000, Operator: "op"})
		go New(Options{Log: log, Instance: "r"}).Run(ctx)
		time.Sleep(24 * time.Hour)
		state := new(ledger.State)
		late := &fold.Follower{Log: log, Stream: ledger.Stream(0), Reader: fold.Reader{Machine: state}}
		if err := late.CatchUp(ctx); err != nil {
			t.Fatalf("reading the stream with a new reader after a day: %v", err)
		}
		if b, ok := state.Budget("b"); !ok || b.Paid != 1000 {
			t.Errorf("after a day: got budget %+v, known %t; want 1000 paid, known", b, ok)
		}
	})
}

// TestMissingBillIsAppended guards against usage that is never billed because the side
// process died before it appended the usage. One request has a side process that dies,
// another has one that does not. Both requests must be billed once.
func TestMissingBillIsAppended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logd.New(logd.Switches{})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		appendItem(t, log, ledger.TopUp{ID: "1", Budget: "b", Tokens: 1000, Operator: "op"})
		s := New(Options{Log: log, Instance: "r"})
		go s.Run(ctx)
		time.Sleep(time.Second)
		for _, request := range []string{"o/dead", "o/alive"} {
			reservation, err := s.Reserve(ctx, "b", 100)
			if err != nil {
				t.Fatal(err)
			}
			used := []ledger.Charge{{Holder: s.Holder(), Tokens: 30}}
			s.SettleReported(reservation, ledger.Usage{Request: request, Service: "m", Charges: used})
			if request == "o/alive" {
				appendItem(t, log, ledger.Usage{Budget: "b", Request: request, Service: "m", Charges: used})
			}
		}
		time.Sleep(5 * DefaultBillTimeout)
		s.Query("b", func(state *ledger.State) {
			if b, _ := state.Budget("b"); b.Billed != 60 || state.Stats.Repeated != 0 {
				t.Errorf("got %d tokens billed and %d repeated usages, want 60 and 0", b.Billed, state.Stats.Repeated)
			}
		})
	})
}

// appendItem appends an item to the first budget stream, with a new writer.
func appendItem(t *testing.T, log *logd.Store, item ledger.Item) {
	t.Helper()
	batch := fold.Batch{Writer: ident.NewRequestID(), Seq: 1, Items: []fold.Item{ledger.Encode(item)}}
	data, err := json.Marshal(batch)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(t.Context(), ledger.Stream(0), data); err != nil {
		t.Fatal(err)
	}
}
