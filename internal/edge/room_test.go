package edge

import (
	"context"
	"io"
	"net/http"
	"runtime/metrics"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/room"
)

// overload makes the instance believe that its work waits for the processor, for some samples.
func (r *ownRoom) overload(delay time.Duration, samples int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Now()
	for range samples {
		at = at.Add(roomInterval)
		r.gate.Observe(room.Sample{At: at, Delay: delay})
	}
	r.eventHold.Store(int64(r.gate.Hold(r.hold)))
}

// TestOverloadedInstance guards against requests that wait in an overloaded instance until
// their callers give up: most are refused at once, as not run, with a time for a retry at
// another instance, and reach no target. A caller without time for a return is served.
func TestOverloadedInstance(t *testing.T) {
	w := newTestEnv(t, respondOK)
	w.engine.room.overload(time.Second, 50)
	statuses := w.askMany("/once/", 200)
	if statuses[503] < 150 || statuses[200] == 0 || statuses[200]+statuses[503] != 200 {
		t.Errorf("statuses are %v, want most 503 and the others 200", statuses)
	}
	if n := len(w.received()); n != statuses[200] {
		t.Errorf("the target got %d requests, want the %d that were served", n, statuses[200])
	}
	for {
		got := w.ask("/once/", fields, "x")
		if got.status != 503 {
			continue
		}
		after, err := strconv.ParseFloat(string(got.head.Get("Retry-After")), 64)
		if err != nil || after <= 0 || after > 0.1 || !strings.Contains(got.body, "overloaded") || got.head.Close {
			t.Errorf("got Retry-After %v (%v), body %s, close %v; want a retry within 0.1 s, the reason, and an open connection", after, err, got.body, got.head.Close)
		}
		break
	}
	for range 20 {
		if got := w.ask("/once/", "Request-Id: r\nDeadline: 120\nKey: k\n", "x"); got.status != 200 {
			t.Errorf("status %d for a caller without time for a return, want 200", got.status)
		}
	}
	w.engine.room.overload(0, 100)
	if statuses := w.askMany("/once/", 50); statuses[200] != 50 {
		t.Errorf("statuses are %v after the overload, want 200 only", statuses)
	}
}

// TestEventsInGroups: while the instance's work waits, events that follow each other are
// written together, whole and in order; else each is forwarded as it arrives.
func TestEventsInGroups(t *testing.T) {
	for _, delay := range []time.Duration{0, 30 * time.Millisecond} {
		w := newTestEnv(t, func(a receivedRequest, w io.Writer) bool {
			if !write(w, "HTTP/1.1 200 OK\r\nRequest-Id: "+a.id+"\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(event(1))) {
				return false
			}
			for n := 2; n <= 21; n++ {
				time.Sleep(2 * time.Millisecond)
				if !write(w, chunk(event(n))) {
					return false
				}
			}
			return write(w, "0\r\n\r\n")
		})
		w.engine.room.hold = 200 * time.Millisecond
		w.engine.room.overload(delay, 3)
		w.engine.room.out.Store(0)
		got := w.ask("/stream/", fields, "x")
		if got.status != 200 || got.body != events(1, 21) || got.err != nil {
			t.Errorf("delay %v: got %+v, want 21 events", delay, got)
		}
		packets := float64(w.engine.room.out.Load()-int64(len(got.body))) / packetBytes
		if delay > 0 && packets > 14 || delay == 0 && packets < 20 {
			t.Errorf("delay %v: about %.0f packets, want at most 14 while events are held back and at least 20 otherwise", delay, packets)
		}
	}
}

// TestRotationIsShown: an overloaded instance of a large fleet is not ready, tells the others
// so, and is ready again later. While too many others are out, it stays.
func TestRotationIsShown(t *testing.T) {
	n := newNode(t, respondOK)
	peersOut := func(out int) {
		var c keyed.Change
		for i := range 30 {
			c.Entries = append(c.Entries, keyed.Entry{Key: room.Key("p" + strconv.Itoa(i)), Value: room.Value("here", i < out)})
		}
		n.node.engine.room.apply(c)
	}
	r := &n.node.engine.room
	observe := func(link float64, samples int) {
		r.mu.Lock()
		defer r.mu.Unlock()
		at := time.Now()
		for range samples {
			at = at.Add(roomInterval)
			r.rotation.Observe(room.Sample{At: at}, link, r.peers.Others(time.Now(), r.self, r.dataCentre))
		}
	}
	peersOut(3)
	observe(1, 20)
	if n.ready() != http.StatusOK {
		t.Error("the instance left the rotation although three of 31 are out")
	}
	peersOut(0)
	observe(1, 20)
	if n.ready() == http.StatusOK {
		t.Error("the overloaded instance is ready")
	}
	if got := n.askMany("/once/", 10); got[200] != 10 {
		t.Errorf("statuses are %v out of the rotation, want 200 only", got)
	}
	observe(0, 60)
	if n.ready() != http.StatusOK {
		t.Error("the instance did not return")
	}
}

// TestRunDelay checks that the delay of the instance's work is read from the runtime: the
// tenth that waits longest.
func TestRunDelay(t *testing.T) {
	var r ownRoom
	h := &metrics.Float64Histogram{Counts: []uint64{5, 0, 0}, Buckets: []float64{0, 0.001, 0.1, 1}}
	r.slowest(h)
	h.Counts = []uint64{85, 0, 20}
	if got := r.slowest(h); got != 100*time.Millisecond {
		t.Errorf("20 of 100 waited 0.1 s or more: got %v, want 100ms", got)
	}
	h.Counts = []uint64{185, 0, 21}
	if got := r.slowest(h); got != 0 {
		t.Errorf("one of 101 waited 0.1 s or more: got %v, want 0", got)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*roomInterval)
	defer cancel()
	r.share, r.linkRate = func(bool) {}, 1000
	r.in.Store(1 << 20)
	r.run(ctx, func() bool { return true })
	if _, link, _ := r.state(); link < 0 {
		t.Errorf("use of the link is %v, want 0 or more", link)
	}
}
