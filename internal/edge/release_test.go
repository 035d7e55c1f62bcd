package edge

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/keyd"
	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/origin"
)

// listStore is a store whose waiting reads of the target list can be held back, as if the
// process that waits stood still.
type listStore struct {
	*keyd.Store
	still atomic.Bool
}

// Read holds back the response to a waiting read of the target list.
func (s *listStore) Read(ctx context.Context, p keyed.Partition, from keyed.Offset, wait time.Duration) (keyed.Page, error) {
	page, err := s.Store.Read(ctx, p, from, wait)
	for p.Topic == "targets" && wait > 0 && s.still.Load() && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	return page, err
}

// TestTakeUpDuringARelease guards against a stream that goes on at another version, at an
// instance whose list lacks the targets of the version that began it. The instance was cut
// off from the store, or stood still, when these joined.
func TestTakeUpDuringARelease(t *testing.T) {
	for name, c := range map[string]struct {
		cutOff, still, joins bool
		status               int
	}{
		"cut off":                                 {cutOff: true, joins: true, status: 503},
		"standing still":                          {still: true, joins: true, status: 503},
		"no other version":                        {status: 200},
		"standing still, no other version":        {still: true, status: 200},
		"cut off, where others may have appeared": {cutOff: true, status: 503},
	} {
		t.Run(name, func(t *testing.T) {
			n := prepareNode(t, breakAfter(2), breakAfter(2))
			store := &listStore{Store: n.store}
			n.opts.Store = store
			targets := n.engine.fleet.groups["s"].byName
			t0, t1 := targets["t0/0"].Target, targets["t1/0"].Target
			t0.Version, t1.Version = "v1", "v2"
			n.put("targets", "t0", t0)
			n.store.Put(keyed.Partition{Topic: "targets"}, keyed.Entry{Key: "t1"})
			n.start()
			// The instance has followed the list for long.
			o := &n.node.engine.origins
			past := time.Now().Add(-45 * time.Second)
			o.mu.Lock()
			o.versions = origin.Versions{}
			o.versions.Read(past, past, true, []origin.Origin{{Service: "s", Version: "v1"}})
			o.mu.Unlock()
			time.Sleep(2 * (targetsWait + targetsPause))

			store.still.Store(c.still)
			if c.cutOff {
				n.store.Switches.Set(keyd.Switches{Down: true})
			}
			if c.joins {
				n.put("targets", "t1", t1)
			}
			before := len(n.received())
			got := n.ask("/resume/", fields+"Last-Event: 2\nResumes: elsewhere\n", "x")
			if got.status != c.status {
				t.Errorf("got status %d, want %d", got.status, c.status)
			}
			if got.status == 503 && len(n.received()) > before {
				t.Errorf("%d requests reached targets, want none", len(n.received())-before)
			}
		})
	}
}

// TestTakeUpWithoutAName guards against streams that are joined from two versions because their
// callers don't say which stream they take up: all of one organisation then share a name.
// While two versions serve, such a request is refused; with one it is served.
func TestTakeUpWithoutAName(t *testing.T) {
	w := newTestEnv(t, breakAfter(2), breakAfter(2))
	w.setVersions("v1", "v1")
	past := time.Now().Add(-45 * time.Second)
	o := &w.engine.origins
	o.versions = origin.Versions{}
	o.versions.Read(past, past, true, []origin.Origin{{Service: "s", Version: "v1"}})
	o.followList()
	for i := range 3 {
		if got := w.ask("/resume/", fields+"Last-Event: 2\n", "x"); got.status != 200 {
			t.Errorf("one version, take-up %d: got status %d, want 200", i, got.status)
		}
	}
	w.setVersions("v1", "v2")
	before := len(w.received())
	for i := range 3 {
		got := w.ask("/resume/", fields+"Last-Event: 2\n", "x")
		if got.status != 503 || got.head.Get("Retry-After") == nil {
			t.Errorf("two versions, take-up %d: got status %d, want 503 with a time for a retry", i, got.status)
		}
	}
	if got := len(w.received()) - before; got > 0 {
		t.Errorf("two versions: %d requests reached targets, want none", got)
	}
}
