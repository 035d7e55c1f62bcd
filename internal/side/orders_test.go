package side

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/engd"
	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/internal/stand/memnet"
	"github.com/beryllanding/beryllanding/internal/stand/wghtd"
	"github.com/beryllanding/beryllanding/pkg/catal"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// noWeights is the refusal of a side whose target has loaded no weights.
const noWeights = "no-target not-run"

// weightsFixture is a service whose targets load from one weight store.
type weightsFixture struct {
	*testing.T
	log            logd.Store
	engines        []*engd.Engine
	sides          []*Server
	asked, changes int
}

// put sets the weights in the service's catalogue entry.
func (b *weightsFixture) put(weights ...string) {
	change := catal.Encode(catal.Change{ID: weights[0], Base: logsvc.Offset(b.changes), Entry: &catal.Service{
		Name: "svc", Owner: "o", Class: catal.Interactive, Kind: catal.Model, PromptBytesPerToken: 1,
		MaxOutput: 100, DefaultOutput: 10, Weights: weights, Role: "decode", MaxLoads: 2,
	}})
	b.changes++
	data, _ := json.Marshal(fold.Batch{Writer: "op", Seq: uint64(b.changes), Items: []fold.Item{change}})
	_, _ = b.log.Append(b.Context(), ledger.CatalogueStream, data)
}

// ask returns the model that a request to the side ran on, or the refusal.
func (b *weightsFixture) ask(i int) string {
	b.asked++
	req := modelRequest(fmt.Sprint("o/", b.asked), fmt.Sprint("a", b.asked), false, 5)
	req.GetModel().Body = []byte(`{"model":"svc","messages":[{"role":"user","content":"x"}]}`)
	events := runAttempt(b.Context(), b.sides[i], req)
	if r := last(events).GetRefused(); r != nil {
		return r.GetCode() + " " + r.GetOutcome()
	}
	var out struct{ Model string }
	_ = json.Unmarshal([]byte(responseOf(b.T, req.GetAttemptId(), events)), &out)
	return out.Model
}

// settle sends requests to all sides until each side runs on the model after. It
// fails if a side responds with neither before nor after, or if a target has more
// than 3 models, which means more than two versions.
func (b *weightsFixture) settle(before, after string) {
	for done, rounds := 0, 0; done < len(b.sides); rounds++ {
		time.Sleep(100 * time.Millisecond)
		done = 0
		for i, e := range b.engines {
			got := b.ask(i)
			if got == after {
				done++
			} else if got != before || rounds > 1000 {
				b.Fatalf("side %d responded with %q, want %q or %q", i, got, before, after)
			}
			if models := e.Status().Models; len(models) > 3 {
				b.Fatalf("target %d has models %v, want at most 3", i, models)
			}
		}
	}
}

// TestLoadsQueueIsResetAfterItsRecordsExpired guards against targets that never load
// again. If the records of the loads stream expire without a checkpoint while no side
// process runs, the queue's state stays stale until it is reset.
func TestLoadsQueueIsResetAfterItsRecordsExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &weightsFixture{T: t}
		b.put("m@v6")
		for range 5 {
			_, _ = b.log.Append(t.Context(), ledger.LoadsStream, []byte("{}"))
		}
		b.log.Expire(ledger.LoadsStream, 2)
		for i := range 3 {
			b.engines = append(b.engines, engd.New(engd.Switches{}))
			b.sides = append(b.sides, newServer(t, &b.log, fmt.Sprintf("s%d~1", i), b.engines[i].Handler(), func(o *Options) { o.FollowWeights = true }))
			defer stop(t, b.sides[i])
		}
		time.Sleep(5 * time.Minute)
		b.settle("m@v6", "m@v6")
	})
}

// TestWeightsFollowTheCatalogue guards against four faults: runs on other weights
// than the catalogue's old or new ones, more concurrent loads than MaxLoads, targets
// that keep old weights, and side processes that keep working for a target that a
// later side process has taken over.
func TestWeightsFollowTheCatalogue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := wghtd.New(wghtd.Switches{BytesPerSecond: 256 << 10})
		b := &weightsFixture{T: t}
		b.put("m@v6")
		for i := range 5 {
			e := engd.New(engd.Switches{CheckFence: true})
			e.Weights, e.HTTP = "http://store", &http.Client{Transport: memnet.Transport{Handler: store.Handler()}}
			b.engines = append(b.engines, e)
			s := newServer(t, &b.log, fmt.Sprintf("s%d~1", i), e.Handler(), func(o *Options) { o.FollowWeights, o.TargetChecksFence = true, true })
			b.sides = append(b.sides, s)
		}
		if got := b.ask(4); got != noWeights || !b.sides[4].status().GetLeaving() {
			t.Errorf("side without weights responded with %q, want %q and a status with leaving set", got, noWeights)
		}
		b.settle(noWeights, "m@v6")
		b.put("m@v7", "m@v7+lora")
		time.Sleep(6 * time.Second) // two targets are loading
		b.put("m@v8", "m@v8+lora")
		b.settle("m@v6", "m@v8+lora")
		time.Sleep(time.Minute)
		e := b.engines[2]
		if err := e.Execute(engd.Order{Action: "unload", Model: "m@v8+lora", Fence: e.Status().Fence}); err != nil || b.ask(2) != noWeights {
			t.Errorf("side of a target that unloaded its weights did not refuse with %q (unload error %v)", noWeights, err)
		}
		time.Sleep(time.Minute)
		for i, e := range b.engines {
			if st := e.Status(); len(st.Models) != 2 || st.Models["m@v8"] != "loaded" || st.Role != "decode" {
				t.Errorf("engine %d reports %v and role %q, want 2 models with m@v8 loaded and role decode", i, st.Models, st.Role)
			}
		}
		if c := store.Counts(); c.Peak != 2 || c.Transfers != 18 {
			t.Errorf("store had %d transfers, at most %d at a time, want 18 and 2", c.Transfers, c.Peak)
		}

		// Later side processes take over two targets. Target 0 checks fencing
		// numbers and refuses its first side. Target 1 does not, so its first side
		// must see the later one on the fleet stream.
		_ = b.engines[0].Execute(engd.Order{Action: "fence", Fence: 1 << 40})
		b.engines[1].Switches.Update(func(sw *engd.Switches) { sw.CheckFence = false })
		b.sides = append(b.sides, newServer(t, &b.log, "s1~2", b.engines[1].Handler(), func(o *Options) { o.FollowWeights, o.Slot = true, "slot-s1~1" }))
		b.put("m@v9")
		time.Sleep(time.Minute)
		for i, s := range b.sides {
			if s.Draining() != (i < 2) {
				t.Errorf("side %d is draining: %v, want %v", i, s.Draining(), i < 2)
			}
			stop(t, s)
		}
	})
}
