package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/origin"
	"github.com/beryllanding/beryllanding/pkg/roster"
	"github.com/beryllanding/beryllanding/pkg/table"
)

// setVersions lists the targets again with these versions.
func (w *testEnv) setVersions(versions ...string) {
	var list []roster.Target
	for i, v := range versions {
		id := fmt.Sprintf("t%d", i)
		t := w.engine.fleet.groups["s"].byName[roster.Target{ID: id}.Run()].Target
		t.Version = v
		list = append(list, t)
	}
	w.engine.fleet.update(list)
	w.engine.origins.see(w.engine.fleet.versions())
}

// breakAfter answers with the events after the last one, and breaks off after n of them.
func breakAfter(n int) script {
	return func(a receivedRequest, w io.Writer) bool {
		write(w, streamHead(a.id)+chunk(events(lastEvent(a)+1, lastEvent(a)+n)))
		return false
	}
}

// TestSwitchWithinAnAnswerKeepsTheVersion: a stream that breaks off goes on at a target of its
// version only. If there is none, the caller gets an incomplete response.
func TestSwitchWithinAnAnswerKeepsTheVersion(t *testing.T) {
	for range 10 {
		w := newTestEnv(t, breakAfter(2), breakAfter(2), breakAfter(2), breakAfter(2))
		w.setVersions("v1", "v2", "v1", "v2")
		w.ask("/resume/", fields, "x")
		got := w.received()
		for _, a := range got {
			if a.target[1]%2 != got[0].target[1]%2 {
				t.Fatalf("the stream began at %s and went on at %s, which has another version", got[0].target, a.target)
			}
		}
		if len(got) < 2 {
			t.Errorf("sent to %d targets, want it to go on at the other one of the version", len(got))
		}
	}
	w := newTestEnv(t, breakAfter(2), breakAfter(2))
	w.setVersions("v1", "v2")
	got := w.ask("/resume/", fields, "x")
	for _, a := range w.received() {
		if a.target != w.received()[0].target {
			t.Errorf("went on at %s", a.target)
		}
	}
	if got.err == nil {
		t.Errorf("got response %+v, want an incomplete one", got)
	}
}

// TestTakenUpStreamKeepsTheVersion: a caller that takes up a stream gets the rest from a target
// of the version that began it. A stream of another caller under the same id doesn't count,
// and one whose origin isn't known reaches no target.
func TestTakenUpStreamKeepsTheVersion(t *testing.T) {
	for range 10 {
		w := newTestEnv(t, breakAfter(2), breakAfter(2))
		w.setVersions("v1", "v2")
		w.engine.origins.note("paying/first", origin.Origin{Service: "s", Version: "v1"})
		got := w.ask("/resume/", fields+"Last-Event: 2\nResumes: first\n", "x")
		if got.status != 503 || len(w.received()) > 0 || got.head.Get("Retry-After") == nil {
			t.Fatalf("unknown: got status %d, sent to %d targets; want 503 with a time for a retry, and none", got.status, len(w.received()))
		}
		w.engine.origins.note("o/first", origin.Origin{Service: "s", Version: "v2"})
		got = w.ask("/resume/", fields+"Last-Event: 2\nResumes: first\n", "x")
		if got.status != 200 || !strings.HasPrefix(got.body, events(3, 4)) {
			t.Fatalf("got response %+v, want one that goes on with event 3", got)
		}
		for _, a := range w.received() {
			if a.target != "t1" {
				t.Fatalf("sent to %s, want only to t1, which has the version", a.target)
			}
		}
	}
}

// TestVersionIsGone: a stream whose version has no target any more is rejected at once.
func TestVersionIsGone(t *testing.T) {
	w := newTestEnv(t, breakAfter(2), breakAfter(2))
	w.setVersions("v2", "v2")
	w.engine.origins.note("o/first", origin.Origin{Service: "s", Version: "v1"})
	began := time.Now()
	got := w.ask("/resume/", fields+"Last-Event: 2\nResumes: first\n", "x")
	if got.status != 503 || len(w.received()) > 0 {
		t.Errorf("got status %d, sent to %d targets; want 503 and none", got.status, len(w.received()))
	}
	t.Logf("rejected after %v", time.Since(began))
}

// TestStreamOfASplitRoute: a stream that began at one service of a split route goes on there.
func TestStreamOfASplitRoute(t *testing.T) {
	w := newTestEnv(t, breakAfter(2))
	w.setVersions("v1")
	tbl := *w.engine.view.Load()
	tbl.Routes = []*table.Route{{
		Name: "split", Host: "h", Prefix: "/split/", Stream: true, Resumable: true, MaxTargets: 1, Timeout: 2 * time.Second,
		Shares: []table.Share{{Service: "s", Weight: 0.0001}, {Service: "other", Weight: 1}},
	}}
	w.setTable(&tbl)
	w.engine.origins.note("o/first", origin.Origin{Service: "s", Version: "v1"})
	w.engine.origins.note("o/gone", origin.Origin{Service: "third", Version: "v1"})
	if got := w.ask("/split/", fields+"Last-Event: 2\nResumes: first\n", "x"); got.status != 200 {
		t.Errorf("got status %d, want 200 from the service that began the stream", got.status)
	}
	if got := w.ask("/split/", fields+"Last-Event: 2\nResumes: gone\n", "x"); got.status != 503 {
		t.Errorf("the route doesn't lead to the service: got status %d, want 503", got.status)
	}
}

// peerNode is the part of an instance that tells and is asked where streams began.
type peerNode struct {
	origins
	server *grpc.Server
}

// newPeerNodes starts instances that know each other.
func newPeerNodes(t *testing.T, n int) []*peerNode {
	t.Helper()
	conns := newPeers()
	nodes, addresses := make([]*peerNode, n), make(map[string]string)
	for i := range nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		p := &peerNode{server: grpc.NewServer()}
		p.dial = conns.Client
		wire.RegisterPeerServer(p.server, &peerServer{origins: &p.origins})
		go func() { _ = p.server.Serve(l) }()
		t.Cleanup(p.server.Stop)
		nodes[i], addresses[fmt.Sprint("instance-", i)] = p, l.Addr().String()
	}
	t.Cleanup(conns.Close)
	for i, p := range nodes {
		peers := make(map[string]string)
		for name, addr := range addresses {
			if name != fmt.Sprint("instance-", i) {
				peers[name] = addr
			}
		}
		p.setPeers(peers)
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		go p.run(ctx)
	}
	return nodes
}

// TestOriginOutlivesItsInstance: where a stream began is known at any other instance after the
// one that forwarded it has ended, and after one of those that it told has ended too.
func TestOriginOutlivesItsInstance(t *testing.T) {
	const n = 8
	nodes := newPeerNodes(t, n)
	want := origin.Origin{Service: "s", Version: "v1"}
	for i := range 40 {
		nodes[0].note(fmt.Sprint("o/", i), want)
	}
	time.Sleep(3 * tellInterval)
	nodes[0].server.Stop()
	for _, dead := range []int{0, 1} {
		nodes[dead].server.Stop()
		for i := range 40 {
			for at := dead + 1; at < n; at++ {
				if got, ok := nodes[at].ask(t.Context(), fmt.Sprint("o/", i), "s"); !ok || got != want {
					t.Fatalf("instances up to %d have ended: stream %d at instance %d: got %+v, known %v; want %+v", dead, i, at, got, ok, want)
				}
			}
		}
	}
	if got, ok := nodes[5].ask(t.Context(), "o/none", "s"); ok {
		t.Errorf("a stream that nobody forwarded: got %+v, want it unknown", got)
	}
}

// followList lets an instance reach the store, which has no change of the target list.
func (o *origins) followList() {
	o.refresh = func(context.Context) { o.read(time.Now(), false, nil) }
}

// TestInstanceThatStartsLearnsOfOneVersion: an instance that can't know yet that a service has
// one version only learns it from others; of several, it guesses none.
func TestInstanceThatStartsLearnsOfOneVersion(t *testing.T) {
	nodes := newPeerNodes(t, 4)
	v1, v2 := origin.Origin{Service: "s", Version: "v1"}, origin.Origin{Service: "s", Version: "v2"}
	past := time.Now().Add(-45 * time.Second)
	for _, p := range nodes[1:] {
		p.versions.Read(past, past, true, []origin.Origin{v1})
		p.followList()
	}
	if got, ok := nodes[0].ask(t.Context(), "o/1", "s"); !ok || got != v1 {
		t.Errorf("one version: got %+v, known %v; want %+v", got, ok, v1)
	}
	for _, p := range nodes {
		p.see([]origin.Origin{v1, v2})
	}
	if got, ok := nodes[0].ask(t.Context(), "o/1", "s"); ok {
		t.Errorf("two versions: got %+v, want it unknown", got)
	}
}

// TestSecondVersionIsTold: streams that began while a service had one version are known to
// others once it has two.
func TestSecondVersionIsTold(t *testing.T) {
	nodes := newPeerNodes(t, 4)
	v1, v2 := origin.Origin{Service: "s", Version: "v1"}, origin.Origin{Service: "s", Version: "v2"}
	past := time.Now().Add(-45 * time.Second)
	nodes[0].versions.Read(past, past, true, []origin.Origin{v1})
	nodes[0].read(time.Now(), false, nil)
	nodes[0].note("o/1", v1)
	time.Sleep(2 * tellInterval)
	known := func() (n int) {
		for _, p := range nodes[1:] {
			if _, ok := p.find(t.Context(), "o/1", "s"); ok {
				n++
			}
		}
		return n
	}
	if n := known(); n != 0 {
		t.Errorf("one version: %d others were told, want none", n)
	}
	nodes[0].see([]origin.Origin{v1, v2})
	for end := time.Now().Add(5 * time.Second); known() < toldKeepers && time.Now().Before(end); {
		time.Sleep(tellInterval)
	}
	if n := known(); n != toldKeepers {
		t.Errorf("two versions: %d others were told, want %d", n, toldKeepers)
	}
}

// TestCallerThatLeavesSilencesNoPeer: a caller that leaves while its stream's origin is asked
// for doesn't make the asked instances count as silent.
func TestCallerThatLeavesSilencesNoPeer(t *testing.T) {
	nodes := newPeerNodes(t, 4)
	want := origin.Origin{Service: "s", Version: "v1"}
	gone, leave := context.WithCancel(t.Context())
	leave()
	nodes[0].askAll(gone, nodes[0].keepers("o/1"), "o/1", "s")
	nodes[1].note("o/1", want)
	if got, ok := nodes[0].ask(t.Context(), "o/1", "s"); !ok || got != want {
		t.Errorf("got %+v, known %v; want %+v", got, ok, want)
	}
}

// TestInstancesThatForgot guards against streams that go on at another version than the one that
// began them, after the instances that knew it are gone: an instance whose knowledge doesn't reach
// back names no version, and a request that takes such a stream up is rejected and not run.
func TestInstancesThatForgot(t *testing.T) {
	v1, v2 := origin.Origin{Service: "s", Version: "v1"}, origin.Origin{Service: "s", Version: "v2"}
	ago := func(seconds int) time.Time { return time.Now().Add(-time.Duration(seconds) * time.Second) }
	for name, prepare := range map[string]func(o *origins){
		"all have just started, two versions serve": func(o *origins) {
			o.read(time.Now(), true, []origin.Origin{v1, v2})
		},
		"all have just started, the old version has left": func(o *origins) {
			o.read(time.Now(), true, []origin.Origin{v2})
		},
		"started 20 s ago, for the second time": func(o *origins) {
			o.versions.Read(ago(20), ago(20), true, []origin.Origin{v2})
			o.read(time.Now(), false, nil)
		},
		"cut off for 10 s, knows the old version only": func(o *origins) {
			o.versions.Read(ago(45), ago(45), true, []origin.Origin{v2})
			o.versions.Read(ago(10), ago(10), false, nil)
			o.see([]origin.Origin{v2})
		},
		"read the whole list again after a cut": func(o *origins) {
			o.versions.Read(ago(45), ago(45), true, []origin.Origin{v2})
			o.read(time.Now(), true, []origin.Origin{v2})
		},
		"a version came and left during a cut": func(o *origins) {
			o.versions.Read(ago(45), ago(45), true, []origin.Origin{v2})
			o.read(time.Now(), false, []origin.Origin{v1})
			o.see([]origin.Origin{v2})
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t, breakAfter(2), breakAfter(2))
			w.setVersions("v2", "v2")
			w.engine.origins.versions = origin.Versions{}
			if !strings.HasPrefix(name, "cut off") {
				w.engine.origins.followList()
			}
			prepare(&w.engine.origins)
			got := w.ask("/resume/", fields+"Last-Event: 2\nResumes: first\n", "x")
			if got.status != 503 || len(w.received()) > 0 || got.head.Get("Retry-After") == nil {
				t.Errorf("got status %d, sent to %d targets; want 503 with a time for a retry, and none", got.status, len(w.received()))
			}
		})
	}
	w := newTestEnv(t, breakAfter(2))
	w.setVersions("v2")
	w.engine.origins.versions = origin.Versions{}
	w.engine.origins.versions.Read(ago(45), ago(45), true, []origin.Origin{v2})
	w.engine.origins.followList()
	if got := w.ask("/resume/", fields+"Last-Event: 2\nResumes: first\n", "x"); got.status != 200 {
		t.Errorf("one version for 45 s: got status %d, want 200", got.status)
	}
}

// TestPeerThatIsCutOffNamesNoVersion guards against a guess that an instance passes on as
// knowledge: the list of the instance that is asked lacks the version that began the stream.
func TestPeerThatIsCutOffNamesNoVersion(t *testing.T) {
	nodes := newPeerNodes(t, 4)
	v1 := origin.Origin{Service: "s", Version: "v1"}
	past := time.Now().Add(-45 * time.Second)
	for _, p := range nodes[1:] {
		p.versions.Read(past, past, true, []origin.Origin{v1})
		p.read(time.Now(), false, nil)
	}
	if got, ok := nodes[0].ask(t.Context(), "o/1", "s"); ok {
		t.Errorf("got %+v, want it unknown", got)
	}
}

// TestTakeUpsShareARefresh guards against a read of the target list for each request, when many
// streams are taken up at the same time.
func TestTakeUpsShareARefresh(t *testing.T) {
	var o origins
	calls := 0
	o.refresh = func(context.Context) {
		calls++
		time.Sleep(50 * time.Millisecond)
		o.read(time.Now().Add(-50*time.Millisecond), false, nil)
	}
	past := time.Now().Add(-45 * time.Second)
	o.versions.Read(past, past, true, []origin.Origin{{Service: "s", Version: "v1"}})
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() {
			if _, ok := o.find(t.Context(), "o/1", "s"); !ok {
				t.Error("the version is unknown, want the only one")
			}
		})
	}
	wg.Wait()
	if calls > 2 {
		t.Errorf("%d reads of the list, want at most 2", calls)
	}
}

// TestStartedInstanceCutOffFromPeers: an instance that started alone, beside others that know a
// stream but can't be reached, rejects it. It doesn't go by the version that it sees.
func TestStartedInstanceCutOffFromPeers(t *testing.T) {
	nodes := newPeerNodes(t, 4)
	v1, v2 := origin.Origin{Service: "s", Version: "v1"}, origin.Origin{Service: "s", Version: "v2"}
	for _, p := range nodes[1:] {
		p.note("o/1", v1)
		p.server.Stop()
	}
	nodes[0].followList()
	nodes[0].read(time.Now(), true, []origin.Origin{v2})
	if got, ok := nodes[0].ask(t.Context(), "o/1", "s"); ok {
		t.Errorf("got %+v, want it unknown", got)
	}
}
