package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/beryllanding/beryllanding/internal/stand/check"
	"github.com/beryllanding/beryllanding/internal/stand/keyd"
	"github.com/beryllanding/beryllanding/pkg/acct"
	"github.com/beryllanding/beryllanding/pkg/drain"
	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/poison"
	"github.com/beryllanding/beryllanding/pkg/roster"
	"github.com/beryllanding/beryllanding/pkg/table"
)

// nodeEnv runs a complete node against a stand-in of the store.
type nodeEnv struct {
	*testEnv
	store *keyd.Store
	opts  Options
	node  *Node
	stop  context.CancelFunc
	ended chan error
}

// setAddresses gives the node free addresses.
func (n *nodeEnv) setAddresses() {
	n.t.Helper()
	check.FreeAddresses(n.t, &n.opts.Listen, &n.opts.ReadyListen, &n.opts.MetricsListen)
	n.addr = n.opts.Listen
}

func (n *nodeEnv) put(topic, key string, v any) {
	n.t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		n.t.Fatal(err)
	}
	n.store.Put(keyed.Partition{Topic: topic}, keyed.Entry{Key: key, Value: data})
}

// newNode starts a node with one target for each script, and waits until it is ready.
func newNode(t *testing.T, scripts ...script) *nodeEnv {
	t.Helper()
	n := prepareNode(t, scripts...)
	n.start()
	return n
}

// prepareNode fills a store with one target for each script, and returns a node that has
// not been started.
func prepareNode(t *testing.T, scripts ...script) *nodeEnv {
	t.Helper()
	w := newTestEnv(t, scripts...)
	n := &nodeEnv{testEnv: w, store: &keyd.Store{}, ended: make(chan error, 1)}
	for _, target := range w.engine.fleet.groups["s"].byName {
		n.put("targets", target.ID, target.Target)
	}
	tbl := *w.engine.view.Load()
	tbl.Organisations = []*table.Organisation{tbl.Keys["p"]}
	for _, r := range tbl.Routes {
		r.Timeout = 10 * time.Second
	}
	n.put("tables", "config", &tbl)
	n.opts = Options{
		Instance: "i", DataCentre: "here", Machine: "m", ReadyPath: "/ready", MetricsPath: "/metrics", Grace: 6 * time.Second,
		Retries: Retries{Window: 10 * time.Second, Share: 0.2, Burst: 32}, Dialect: testDialect, Store: n.store, Decoder: keyd.Records{},
		Tables: keyed.Partition{Topic: "tables"}, Targets: keyed.Partition{Topic: "targets"}, Budgets: "budgets", Pledges: "pledges",
		Board: keyed.Partition{Topic: "board"},
		// The tests share the processor with others.
		ServeAll: true,
		Logger:   log.New(io.Discard),
	}
	n.setAddresses()
	return n
}

func (n *nodeEnv) start() {
	n.t.Helper()
	n.run()
	for range 200 {
		if n.ready() == http.StatusOK {
			return
		}
		select {
		case err := <-n.ended:
			n.t.Fatalf("the node ended before it was ready: %v", err)
		case <-time.After(20 * time.Millisecond):
		}
	}
	n.t.Fatal("the node is not ready after 4 s")
}

// run starts the node without waiting until it is ready.
func (n *nodeEnv) run() {
	ctx, cancel := context.WithCancel(context.Background())
	n.node, n.stop = New(n.opts), cancel
	n.t.Cleanup(cancel)
	go func() { n.ended <- n.node.Run(ctx) }()
}

// TestRequestsAtStart: requests that arrive before a node has read anything wait for the
// first reading and are served. If the store does not respond, they are refused with a
// time for a retry.
func TestRequestsAtStart(t *testing.T) {
	n := newNode(t, respondOK)
	n.stop()
	<-n.ended
	for _, c := range []struct {
		delay  time.Duration
		status int
	}{{startWait / 4, 200}, {4 * startWait, 503}} {
		n.store.Switches.Set(keyd.Switches{Delay: c.delay})
		n.run()
		for c, err := net.Dial("tcp", n.addr); ; c, err = net.Dial("tcp", n.addr) {
			if err == nil {
				_ = c.Close()
				break
			}
		}
		got := n.ask("/once/", "Request-Id: r\nKey: k\n", "x")
		if got.status != c.status || (got.status == 503) != (got.head.Get("Retry-After") != nil) {
			t.Errorf("store answers after %v: got response %+v, want status %d", c.delay, got, c.status)
		}
		n.stop()
		<-n.ended
	}
}

func (n *nodeEnv) get(url string) (int, string) {
	resp, err := http.Get(url)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

func (n *nodeEnv) ready() int {
	status, _ := n.get("http://" + n.opts.ReadyListen + "/ready")
	return status
}

// tableVersion returns the version of the configuration in force.
func (n *nodeEnv) tableVersion() int64 { return n.node.engine.view.Load().Version }

// TestNodeStoreRestored: a store comes back as a copy that lacks the newest
// configuration and a target that joined, and shows a draining target as ready. Until the
// operators and targets have written their records again, the node goes on with what it
// knew.
func TestNodeStoreRestored(t *testing.T) {
	const copyAge, rewrite = 500 * time.Millisecond, 1500 * time.Millisecond
	n := newNode(t, respondOK, respondOK)
	targets := n.engine.fleet.groups["s"].byName
	byID := make(map[string]roster.Target)
	for _, target := range targets {
		e := target.Target
		e.Born, e.Sequence = 1, 1
		byID[e.ID] = e
	}
	n.put("targets", "t0", byID["t0"])
	n.store.Put(keyed.Partition{Topic: "targets"}, keyed.Entry{Key: "t1"})
	time.Sleep(copyAge)

	// All of this is lost.
	leaving := byID["t0"]
	leaving.Sequence, leaving.Draining = 2, true
	n.put("targets", "t0", leaving)
	n.put("targets", "t1", byID["t1"])
	next := *n.node.engine.view.Load()
	next.Version++
	next.Routes = append(append([]*table.Route(nil), next.Routes...),
		&table.Route{Name: "new", Host: "h", Prefix: "/new/", MaxTargets: 1, Public: true, Timeout: time.Second, Shares: []table.Share{{Service: "s"}}})
	n.put("tables", "config", &next)
	for n.tableVersion() != next.Version || n.node.engine.fleet.targetCount() != 2 {
		time.Sleep(10 * time.Millisecond)
	}
	n.store.Restore(copyAge/2, rewrite)
	restored := time.Now()
	before := n.countAt("t0")
	for time.Since(restored) < rewrite+time.Second {
		got := n.ask("/new/", "Request-Id: r\n", "x")
		if got.status != 200 {
			t.Fatalf("%v after the restore: got response %+v, want status 200 on the newest route", time.Since(restored), got)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if got := n.countAt("t0"); got != before {
		t.Errorf("the draining target got %d requests after the restore, want none", got-before)
	}
	if n.tableVersion() != next.Version || n.node.engine.stale() {
		t.Errorf("version %d in force, stale %v; want %d, not stale", n.tableVersion(), n.node.engine.stale(), next.Version)
	}
}

// TestNode: a node becomes ready from the records in the store, follows changes of
// routes and targets, keeps serving while the store is down, and serves its metrics.
func TestNode(t *testing.T) {
	n := newNode(t, respondOK)
	if got := n.ask("/once/", fields, "x"); got.status != 200 {
		t.Fatalf("got response %+v, want status 200", got)
	}
	tbl := *n.node.engine.view.Load()
	tbl.Version = 2
	tbl.Routes = tbl.Routes[1:]
	n.put("tables", "config", &tbl)
	old := tbl
	old.Version = 1
	n.put("tables", "config", &old) // An older version must be ignored.
	time.Sleep(300 * time.Millisecond)
	if got := n.ask("/once/", fields, "x"); got.status != 404 {
		t.Errorf("removed route: got response %+v, want status 404", got)
	}
	n.store.Switches.Set(keyd.Switches{Down: true})
	time.Sleep(1500 * time.Millisecond)
	if got := n.ask("/idem/", fields, "x"); got.status != 200 || n.ready() != http.StatusOK {
		t.Errorf("while the store is down: got response %+v, readiness %d; want status 200 for both", got, n.ready())
	}
	n.store.Switches.Set(keyd.Switches{})
	n.store.Put(keyed.Partition{Topic: "targets"}, keyed.Entry{Key: "t0"})
	want := "beryl_requests_total{outcome=\"answered\",status=\"200\"} 2\n" +
		"beryl_requests_total{outcome=\"denied\",status=\"404\"} 1\n"
	text := ""
	// A request is counted after its response was written.
	for end := time.Now().Add(5 * time.Second); !strings.Contains(text, want); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("metrics lack\n%sgot:\n%s", want, text)
		}
		_, text = n.get("http://" + n.opts.MetricsListen + "/metrics")
	}
}

// TestNodeStops: a stopping instance becomes unready at once, lets a stream end and
// still serves new requests. After drain.DeregisterDelay it denies new streams. It returns its
// tokens and ends within the grace period.
func TestNodeStops(t *testing.T) {
	begun, finish := make(chan struct{}), make(chan struct{})
	n := newNode(t, func(a receivedRequest, w io.Writer) bool {
		if !strings.Contains(a.head, "/stream/") {
			return respondOK(a, w)
		}
		write(w, streamHead(a.id)+chunk(event(1)))
		close(begun)
		<-finish
		return write(w, chunk(event(2))+"0\r\n\r\n")
	})
	stream := make(chan reply, 1)
	go func() { stream <- n.ask("/stream/", "Request-Id: r\nKey: p\nTokens: 100,50\n", "x") }()
	select {
	case <-begun:
	case got := <-stream:
		t.Fatalf("the stream ended before its first event was sent: %+v", got)
	}
	n.stop()
	time.Sleep(100 * time.Millisecond)
	if status := n.ready(); status != http.StatusServiceUnavailable {
		t.Errorf("got readiness %d while stopping, want 503", status)
	}
	if got := n.ask("/once/", fields, "x"); got.status != 200 || !got.head.Close {
		t.Errorf("request while stopping: got response %+v, want status 200 and Connection: close", got)
	}
	time.Sleep(drain.DeregisterDelay)
	if got := n.ask("/stream/", fields, "x"); got.status != 503 || len(got.head.Get("Retry-After")) == 0 {
		t.Errorf("new stream after DeregisterDelay: got response %+v, want status 503 with Retry-After", got)
	}
	close(finish)
	if got := <-stream; got.err != nil || got.body != events(1, 2) {
		t.Errorf("the stream in progress: got response %+v, want events 1 and 2", got)
	}
	select {
	case err := <-n.ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(n.opts.Grace):
		t.Fatal("the node did not end within the grace period")
	}
	page, err := n.store.Newest(t.Context(), keyed.Partition{Topic: "budgets"}, "")
	if err != nil || len(page.Entries) != 1 {
		t.Fatalf("budgets topic: got page %+v, error %v; want one account", page, err)
	}
	account, err := acct.DecodeAccount(page.Entries[0].Value)
	if err != nil {
		t.Fatal(err)
	}
	// Of 1000 tokens, the prompt and two events of ten tokens were used.
	if l := account.Line("paying"); l.Held() != 120 || l.Spent != 0 || l.Total != 1000 {
		t.Errorf("account after the stop: got %+v, want 120 held and 0 spent of 1000", account)
	}
}

// TestNodeRestarts: a node that replaces a killed one of the same name can use the
// tokens of its account.
func TestNodeRestarts(t *testing.T) {
	n := newNode(t, func(a receivedRequest, w io.Writer) bool {
		return write(w, streamHead(a.id)+chunk(events(1, 2))+"0\r\n\r\n")
	})
	for i := range 3 {
		if got := n.ask("/stream/", fmt.Sprintf("Request-Id: r%d\nKey: p\nTokens: 100,50\n", i), "x"); got.status != 200 {
			t.Fatalf("got response %+v, want status 200", got)
		}
	}
	before := n.node.engine.Budgets.Holdings()
	if len(before) != 1 || before[0].Free == 0 {
		t.Fatalf("got holdings %+v, want one with free tokens", before)
	}
	n.setAddresses()
	n.start() // Starts a new incarnation of the instance. The first one then counts as dead.
	got := n.ask("/stream/", "Request-Id: again\nKey: p\nTokens: 100,50\n", "x")
	if got.status != 200 {
		t.Errorf("after the restart: got response %+v, want status 200", got)
	}
}

// slowBoard is a store that takes longer for the shared records than for the rest.
type slowBoard struct{ *keyd.Store }

// Newest waits for half of startWait before it returns shared records.
func (s slowBoard) Newest(ctx context.Context, p keyed.Partition, after string) (keyed.Page, error) {
	if p.Topic == "board" {
		time.Sleep(startWait / 2)
	}
	return s.Store.Newest(ctx, p, after)
}

// TestQuarantineIsReadAtStart: an instance that starts refuses its first request with a part
// that the others hold in quarantine.
func TestQuarantineIsReadAtStart(t *testing.T) {
	n := newNode(t, respondOK)
	n.stop()
	<-n.ended
	part := poison.Part{Service: "s", ID: "bad"}
	record := poison.Record{Ended: []string{"t7/0"}, Until: time.Now().Add(time.Hour).UnixMilli(), Terms: 1}
	n.store.Put(n.opts.Board, keyed.Entry{Key: part.Key(), Value: record.Encode()})
	n.opts.Store = slowBoard{n.store}
	n.run()
	for {
		if c, err := net.Dial("tcp", n.addr); err == nil {
			_ = c.Close()
			break
		}
		time.Sleep(time.Millisecond)
	}
	if got := n.ask("/once/", promptFields("q1", "bad"), "x"); got.status != 503 || len(n.received()) > 0 {
		t.Errorf("got status %d, %d requests at targets; want 503 and none", got.status, len(n.received()))
	}
}
