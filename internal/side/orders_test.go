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

// lacking is the answer of a side whose target holds no weights.
const lacking = "no-target not-run"

// weightsBed is a service of several targets that load from one weight store.
type weightsBed struct {
	*testing.T
	log            logd.Store
	engines        []*engd.Engine
	sides          []*Server
	asked, changes int
}

// put changes the service's entry to the given weights.
func (b *weightsBed) put(weights ...string) {
	change := catal.Encode(catal.Change{ID: weights[0], Base: logsvc.Offset(b.changes), Entry: &catal.Service{
		Name: "svc", Owner: "o", Class: catal.Interactive, Kind: catal.Model, PromptBytesPerToken: 1,
		MaxOutput: 100, DefaultOutput: 10, Weights: weights, Role: "decode", MaxLoads: 2,
	}})
	b.changes++
	data, _ := json.Marshal(fold.Batch{Writer: "op", Seq: uint64(b.changes), Items: []fold.Item{change}})
	_, _ = b.log.Append(b.Context(), ledger.CatalogueStream, data)
}

// ask returns the model that a request to the side ran on, or the refusal.
func (b *weightsBed) ask(i int) string {
	b.asked++
	req := modelRequest(fmt.Sprint("o/", b.asked), fmt.Sprint("a", b.asked), false, 5)
	req.GetModel().Body = []byte(`{"model":"svc","messages":[{"role":"user","content":"x"}]}`)
	events := try(b.Context(), b.sides[i], req)
	if r := last(events).GetRefused(); r != nil {
		return r.GetCode() + " " + r.GetOutcome()
	}
	var out struct{ Model string }
	_ = json.Unmarshal([]byte(answerOf(b.T, req.GetAttemptId(), events)), &out)
	return out.Model
}

// settle asks every side until all run on the model after, and fails where one
// answers otherwise than before or after, or holds more than two versions.
func (b *weightsBed) settle(before, after string) {
	for done, rounds := 0, 0; done < len(b.sides); rounds++ {
		time.Sleep(100 * time.Millisecond)
		done = 0
		for i, e := range b.engines {
			got := b.ask(i)
			if got == after {
				done++
			} else if got != before || rounds > 1000 {
				b.Fatalf("side %d answered %q, want %q or %q", i, got, before, after)
			}
			if models := e.Status().Models; len(models) > 3 {
				b.Fatalf("target %d holds %v, want two versions at most", i, models)
			}
		}
	}
}

func TestQueueStartsAnewAfterAllWasForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &weightsBed{T: t}
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

func TestWeightsFollowTheCatalogue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := wghtd.New(wghtd.Switches{BytesPerSecond: 256 << 10})
		b := &weightsBed{T: t}
		b.put("m@v6")
		for i := range 5 {
			e := engd.New(engd.Switches{CheckFence: true})
			e.Weights, e.HTTP = "http://store", &http.Client{Transport: memnet.Transport{Handler: store.Handler()}}
			b.engines = append(b.engines, e)
			s := newServer(t, &b.log, fmt.Sprintf("s%d~1", i), e.Handler(), func(o *Options) { o.FollowWeights, o.EngineChecksFence = true, true })
			b.sides = append(b.sides, s)
		}
		if got := b.ask(4); got != lacking || !b.sides[4].status().GetLeaving() {
			t.Errorf("side without weights answered %q", got)
		}
		b.settle(lacking, "m@v6")
		b.put("m@v7", "m@v7+lora")
		time.Sleep(6 * time.Second) // two targets are loading
		b.put("m@v8", "m@v8+lora")
		b.settle("m@v6", "m@v8+lora")
		time.Sleep(time.Minute)
		e := b.engines[2]
		if err := e.Do(engd.Order{Action: "unload", Model: "m@v8+lora", Fence: e.Status().Fence}); err != nil || b.ask(2) != lacking {
			t.Errorf("a target that lost its weights was not taken for lacking them (%v)", err)
		}
		time.Sleep(time.Minute)
		for i, e := range b.engines {
			if st := e.Status(); len(st.Models) != 2 || st.Models["m@v8"] != "loaded" || st.Role != "decode" {
				t.Errorf("engine %d reports %v and role %q", i, st.Models, st.Role)
			}
		}
		if c := store.Counts(); c.Peak != 2 || c.Transfers != 18 {
			t.Errorf("store had %d transfers, %d at one time, want 18 and 2", c.Transfers, c.Peak)
		}

		// Later side processes take over: one whose number the target checks, and
		// one that is seen on the fleet stream only.
		_ = b.engines[0].Do(engd.Order{Action: "fence", Fence: 1 << 40})
		b.engines[1].Switches.Update(func(sw *engd.Switches) { sw.CheckFence = false })
		b.sides = append(b.sides, newServer(t, &b.log, "s1~2", b.engines[1].Handler(), func(o *Options) { o.FollowWeights, o.Slot = true, "slot-s1~1" }))
		b.put("m@v9")
		time.Sleep(time.Minute)
		for i, s := range b.sides {
			if s.Leaving() != (i < 2) {
				t.Errorf("side %d leaving: %v", i, s.Leaving())
			}
			stop(t, s)
		}
	})
}
