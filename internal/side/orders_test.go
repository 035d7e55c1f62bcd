package side

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/engd"
	"github.com/beryllanding/beryllanding/internal/stand/wghtd"
	"github.com/beryllanding/beryllanding/pkg/catal"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// weightsBed is a service of several targets that load from one weight store.
type weightsBed struct {
	t       *testing.T
	log     fakeLog
	store   *wghtd.Store
	engines []*engd.Engine
	sides   []*Server
	asked   int
	changes int
}

// put changes the service's entry to the given weights.
func (b *weightsBed) put(weights ...string) {
	b.t.Helper()
	change := catal.Change{ID: weights[0], Base: logsvc.Offset(b.changes), Operator: "o", Entry: &catal.Service{
		Name: "svc", Owner: "o", Class: catal.Interactive, Kind: catal.Model, PromptBytesPerToken: 1,
		MaxOutput: 100, DefaultOutput: 10, Weights: weights, Role: "decode", MaxLoads: 2,
	}}
	b.changes++
	data, err := json.Marshal(fold.Batch{Writer: "op", Seq: uint64(b.changes), Items: []fold.Item{catal.Encode(change)}})
	if err != nil {
		b.t.Fatal(err)
	}
	if _, err := b.log.Append(b.t.Context(), ledger.CatalogueStream, data); err != nil {
		b.t.Fatal(err)
	}
}

// start adds n targets with their sides.
func (b *weightsBed) start(n int) {
	for i := range n {
		e := engd.New(engd.Switches{CheckFence: true, TokenMicros: 100})
		e.Weights, e.HTTP = "http://store", &http.Client{Transport: direct{handler: b.store.Handler()}}
		b.engines = append(b.engines, e)
		b.sides = append(b.sides, newServer(b.t, &b.log, fmt.Sprintf("s%d~1", i), e.Handler(), func(o *Options) {
			o.FollowWeights, o.EngineChecksFence = true, true
		}))
	}
}

// ask returns the model that a request to the side ran on, or the refusal.
func (b *weightsBed) ask(i int) string {
	b.t.Helper()
	b.asked++
	req := modelRequest(fmt.Sprintf("o/%d", b.asked), fmt.Sprintf("a%d", b.asked), false, 5)
	req.GetModel().Body = []byte(`{"model":"svc","messages":[{"role":"user","content":"x"}]}`)
	events := try(b.t.Context(), b.sides[i], req)
	if r := last(events).GetRefused(); r != nil {
		return r.GetCode() + " " + r.GetOutcome()
	}
	var out struct{ Model string }
	if err := json.Unmarshal([]byte(answerOf(b.t, req.GetAttemptId(), events)), &out); err != nil {
		b.t.Fatal(err)
	}
	return out.Model
}

// settle asks every side again and again until all run on the model, and fails
// where one answers otherwise than before or after.
func (b *weightsBed) settle(before, after string) {
	b.t.Helper()
	for range 1200 {
		time.Sleep(100 * time.Millisecond)
		done := 0
		for i := range b.sides {
			got := b.ask(i)
			if got != before && got != after {
				b.t.Fatalf("side %d answered %q, want %q or %q", i, got, before, after)
			}
			if models := b.engines[i].Status().Models; len(models) > 3 {
				b.t.Fatalf("target %d holds %v, want two versions at most", i, models)
			}
			if got == after {
				done++
			}
		}
		if done == len(b.sides) {
			return
		}
	}
	b.t.Fatalf("not all sides run on %q", after)
}

func TestWeightsFollowTheCatalogue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &weightsBed{t: t, store: wghtd.New(wghtd.Switches{BytesPerSecond: 256 << 10})}
		b.put("m@v6")
		b.start(5)
		defer func() {
			for _, s := range b.sides {
				stop(t, s)
			}
		}()
		lacking := string(refuse.CodeNoTarget) + " " + string(refuse.NotRun)
		if got := b.ask(4); got != lacking || !b.sides[4].status().GetLeaving() {
			t.Errorf("side without weights answered %q and leaving is %v", got, b.sides[4].status().GetLeaving())
		}
		b.settle(lacking, "m@v6")
		b.put("m@v7", "m@v7+lora")
		time.Sleep(6 * time.Second) // two targets are loading
		b.put("m@v8", "m@v8+lora")
		b.settle("m@v6", "m@v8+lora")
		time.Sleep(time.Minute)
		e := b.engines[2]
		if err := e.Do(engd.Order{Action: "unload", Model: "m@v8+lora", Fence: e.Status().Fence}); err != nil {
			t.Fatal(err)
		}
		if got := b.ask(2); got != lacking {
			t.Errorf("side whose target lost its weights answered %q, want %q", got, lacking)
		}
		time.Sleep(time.Minute)
		for i, e := range b.engines {
			if st := e.Status(); len(st.Models) != 2 || st.Models["m@v8"] != "loaded" || st.Role != "decode" {
				t.Errorf("engine %d reports %v and role %q", i, st.Models, st.Role)
			}
		}
		if c := b.store.Counts(); c.Peak != 2 || c.Transfers != 18 {
			t.Errorf("store had %d transfers, %d at one time, want 18 and 2", c.Transfers, c.Peak)
		}
		if n := len(slices.DeleteFunc(itemsOf(t, &b.log, ledger.LoadsStream), func(it fold.Item) bool {
			return it.Kind != "want" && it.Kind != "done"
		})); n != 27 {
			t.Errorf("%d wants and ends on the log, want 27", n)
		}

		// Later side processes take over: one whose number the target checks, and
		// one that is seen on the fleet stream only.
		if err := b.engines[0].Do(engd.Order{Action: "fence", Fence: 1 << 40}); err != nil {
			t.Fatal(err)
		}
		b.engines[1].Switches.Update(func(sw *engd.Switches) { sw.CheckFence = false })
		b.sides = append(b.sides, newServer(t, &b.log, "s1~2", b.engines[1].Handler(), func(o *Options) {
			o.FollowWeights, o.Slot = true, b.sides[1].opts.Slot
		}))
		b.put("m@v9")
		time.Sleep(time.Minute)
		for i, s := range b.sides {
			if s.Leaving() != (i < 2) {
				t.Errorf("side %d leaving: %v", i, s.Leaving())
			}
		}
	})
}
