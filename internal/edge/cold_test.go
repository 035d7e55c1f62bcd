package edge

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/keyd"
	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/roster"
	"github.com/beryllanding/beryllanding/pkg/table"
)

// awaitStatus asks until a request gets the status.
func (n *nodeEnv) awaitStatus(status int) reply {
	n.t.Helper()
	for range 200 {
		if got := n.ask("/once/", fields, "x"); got.status == status {
			return got
		}
		time.Sleep(20 * time.Millisecond)
	}
	n.t.Fatalf("no request got status %d within 4 s", status)
	return reply{}
}

// evacuate writes or deletes the order to evacuate a data centre.
func (n *nodeEnv) evacuate(dataCentre string, on bool) {
	e := keyed.Entry{Key: keyd.EvacuationPrefix + dataCentre}
	if on {
		e.Value = []byte("{}")
	}
	n.store.Put(n.opts.Tables, e)
}

// TestEvacuatedDataCentre guards against requests that reach targets of an evacuated data
// centre: from a running instance, from one that starts meanwhile, and during an outage of the
// store. When the data centre is taken back, it is used again.
func TestEvacuatedDataCentre(t *testing.T) {
	n := newNode(t, respondOK)
	n.evacuate("elsewhere", true)
	n.evacuate("", true)
	if got := n.ask("/once/", fields, "x"); got.status != 200 {
		t.Fatalf("got status %d, want 200: another data centre is evacuated", got.status)
	}
	n.evacuate("here", true)
	got := n.awaitStatus(503)
	if got.head.Get("Retry-After") == nil {
		t.Error("the refusal has no Retry-After")
	}
	before := len(n.received())
	n.evacuate("here", true)
	n.store.Switches.Set(keyd.Switches{Down: true})
	if statuses := n.askMany("/idem/", 20); statuses[503] != 20 {
		t.Errorf("statuses are %v while the store is away, want 503 only", statuses)
	}
	n.store.Switches.Set(keyd.Switches{})
	n.stop()
	<-n.ended
	n.start()
	if statuses := n.askMany("/once/", 20); statuses[503] != 20 || len(n.received()) != before {
		t.Errorf("after a restart, statuses are %v and the target got %d requests; want 503 only and none", statuses, len(n.received())-before)
	}
	n.evacuate("here", false)
	n.awaitStatus(200)
}

// TestStreamOutlivesEvacuation: a stream that is open when its data centre is evacuated
// reaches its caller whole, and its target gets no further request.
func TestStreamOutlivesEvacuation(t *testing.T) {
	evacuated := make(chan struct{})
	w := newTestEnv(t, func(a receivedRequest, w io.Writer) bool {
		if !write(w, "HTTP/1.1 200 OK\r\nRequest-Id: "+a.id+"\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(event(1))) {
			return false
		}
		<-evacuated
		return write(w, chunk(event(2))+"0\r\n\r\n")
	})
	done := make(chan reply, 1)
	go func() { done <- w.ask("/stream/", fields, "x") }()
	for len(w.received()) == 0 {
		time.Sleep(time.Millisecond)
	}
	w.engine.fleet.evacuate("here", true)
	close(evacuated)
	if got := <-done; got.status != 200 || got.body != events(1, 2) || got.err != nil {
		t.Errorf("got %+v, want both events", got)
	}
	if got := w.ask("/once/", fields, "x"); got.status != 503 || len(w.received()) != 1 {
		t.Errorf("status %d, and the target got %d requests in all; want 503 and one", got.status, len(w.received()))
	}
}

// TestWithdrawnBeforeSending guards against requests that are sent by an old decision: a
// target that is evacuated, drains or leaves the list after it was chosen gets nothing, and
// the request goes to another one.
func TestWithdrawnBeforeSending(t *testing.T) {
	for name, withdraw := range map[string]func(w *testEnv, target roster.Target){
		"evacuated": func(w *testEnv, target roster.Target) { w.engine.fleet.evacuate(target.DataCentre, true) },
		"draining": func(w *testEnv, target roster.Target) {
			target.Draining = true
			w.engine.fleet.update([]roster.Target{target})
		},
		"gone": func(w *testEnv, _ roster.Target) { w.engine.fleet.update(nil) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t, respondOK)
			x := &exchange{e: w.engine, ctx: t.Context(), service: "s", deadline: time.Now().Add(time.Second)}
			a, err := w.engine.fleet.pick("s", x.pickRequest)
			if err != nil {
				t.Fatal(err)
			}
			withdraw(w, a.target.Target)
			result, ok := x.attempt(a).(notRun)
			if !ok || result.sent || len(w.received()) > 0 {
				t.Errorf("result is %+v, and the target got %d requests; want a proof that it was not sent, and none", result, len(w.received()))
			}
			w.engine.fleet.done("s", a, result)
		})
	}
}

// TestColdByEntry: a target whose entry says that it is cold gets no more than it tolerates;
// impossible times do no harm. When its data centre is taken back, it counts as cold too.
func TestColdByEntry(t *testing.T) {
	n := newNode(t, respondOK)
	n.stop()
	<-n.ended
	n.opts.Cold = ColdBound{Excess: 1.5, Spare: 1}
	target := n.engine.fleet.groups["s"].byName["t0/0"].Target
	tbl := *n.engine.view.Load()
	tbl.Version++
	tbl.Services = map[string]table.Service{"s": {Name: "s", ColdTime: time.Minute, ColdRate: 2}}
	n.put("tables", "config", &tbl)
	target.ColdLeft = time.Hour
	n.put("targets", target.ID, target)
	n.start()
	began := time.Now()
	statuses := n.askMany("/idem/", 200)
	if most := 2 + 2*time.Since(began).Seconds(); float64(statuses[200]) > most || statuses[200]+statuses[503] != 200 {
		t.Errorf("statuses are %v after %v, want at most %v served and 503 for the others", statuses, time.Since(began), most)
	}
	for _, left := range []time.Duration{-time.Hour, 0} {
		n.stop()
		<-n.ended
		target.ColdLeft = left
		n.put("targets", target.ID, target)
		n.start()
		if statuses := n.askMany("/once/", 20); statuses[200] != 20 {
			t.Errorf("cold for %v: statuses are %v, want 200 only", left, statuses)
		}
	}
	n.evacuate("here", true)
	n.awaitStatus(503)
	n.evacuate("here", false)
	n.awaitStatus(200)
	if statuses := n.askMany("/once/", 50); statuses[503] < 40 {
		t.Errorf("statuses are %v after the data centre was taken back, want most refused while the target may be cold", statuses)
	}
}

// TestColdAfterRestartInOutage: while the list of targets is out of date, a target whose
// connections fail may have restarted, and counts as cold.
func TestColdAfterRestartInOutage(t *testing.T) {
	for _, age := range []time.Duration{0, 2 * staleList} {
		t.Run(fmt.Sprint(age), func(t *testing.T) {
			w := newTestEnv(t, respondOK, respondOK)
			w.aloneInFleet()
			f := w.engine.fleet
			f.cold.bound = ColdBound{Excess: 1, Spare: 1}
			f.setColdLimits(map[string]table.Service{"s": {ColdTime: time.Minute, ColdRate: 2}})
			f.confirm(time.Now().Add(-age))
			w.end("t0")
			w.askMany("/once/", 20)
			want := 0
			if age > 0 {
				want = 1
			}
			if cold, _ := f.unavailable(); cold["s"] != want {
				t.Errorf("%d targets are cold, want %d", cold["s"], want)
			}
		})
	}
}
