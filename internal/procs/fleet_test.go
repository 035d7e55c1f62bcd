package procs

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	// The programs under test are built from these packages. The imports make
	// the results that "go test" caches depend on them.
	_ "github.com/beryllanding/beryllanding/internal/boot"
	_ "github.com/beryllanding/beryllanding/internal/cmds"
	"github.com/beryllanding/beryllanding/internal/stand/appd"
	"github.com/beryllanding/beryllanding/internal/stand/engd"
	"github.com/beryllanding/beryllanding/internal/stand/instd"
	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/pkg/catal"
	"github.com/beryllanding/beryllanding/pkg/fleet"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/insts"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

const (
	// waitTimeout bounds each wait for an expected condition.
	waitTimeout = 60 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	// model, app and account name the sample entries of the catalogue.
	model   = "assist-llm"
	app     = "stores-app"
	account = "kowhai/desk"
	apiKey  = "test-key"
	// callPrice is the price of a call to the application, in tokens.
	callPrice = 10
	// testIntervals are shorter than the defaults, to make the tests faster.
	testIntervals = "announce-every = 300ms\nlist-every = 200ms\n"
)

// binaries is the directory with the programs built by TestMain.
var binaries string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "beryl-procs")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	args := append([]string{"build", "-o", dir + "/"}, buildFlags...)
	args = append(args, "../../cmd/beryl", "../../cmd/beryl-router", "../../cmd/beryl-side")
	build := exec.Command("go", args...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", out, err)
		return 1
	}
	binaries = dir
	return m.Run()
}

// world is the system under test: the platform's stand-ins, in this process, and the
// processes of the fleet.
type world struct {
	t    testing.TB
	dir  string
	log  *logd.Store
	list *instd.List

	logURL, listURL string
	// writers is the number of writers that append has used.
	writers int
	// advertise is the address that side processes started from now on announce. If
	// empty, they announce their own.
	advertise string
	// intervals are the platform's intervals in the settings of processes started
	// from now on. If empty, they are testIntervals.
	intervals string
}

// newWorld starts the platform and publishes the sample entries and a top-up.
func newWorld(t testing.TB, paid ledger.Tokens) *world {
	w := &world{t: t, dir: t.TempDir(), log: logd.New(logd.Switches{}), list: instd.New(instd.Switches{TTLMS: 2000})}
	w.logURL = w.serve(w.log.Handler())
	w.listURL = w.serve(w.list.Handler())
	w.append(ledger.CatalogueStream,
		w.change(&catal.Service{
			Name: model, Owner: "platform", Class: catal.Interactive, Kind: catal.Model,
			PromptBytesPerToken: 1, MaxOutput: 4096, DefaultOutput: 64,
		}),
		w.change(&catal.Service{Name: app, Owner: "platform", Class: catal.Interactive, Kind: catal.App, Price: callPrice}),
		w.change(&catal.Budget{
			Name: account, Owner: "kowhai", Class: catal.Interactive,
			KeyHashes: []catal.KeyHash{catal.HashKey(apiKey)},
		}),
	)
	w.topUp(paid)
	return w
}

func (w *world) change(e catal.Entry) fold.Item {
	return catal.Encode(catal.Change{ID: ident.NewRequestID(), Entry: e, Operator: "test"})
}

func (w *world) topUp(tokens ledger.Tokens) {
	w.append(ledger.Stream(0), ledger.Encode(ledger.TopUp{ID: ident.NewRequestID(), Budget: account, Tokens: tokens, Operator: "test"}))
}

// append appends items to a stream, each time as a new writer. The switches of the log
// service apply to it.
func (w *world) append(stream string, items ...fold.Item) {
	w.t.Helper()
	w.writers++
	data, err := json.Marshal(fold.Batch{Writer: fmt.Sprintf("test~%d", w.writers), Seq: 1, Items: items})
	if err != nil {
		w.t.Fatal(err)
	}
	if _, err := w.log.Append(w.t.Context(), stream, data); err != nil {
		w.t.Fatal(err)
	}
}

// serve serves a stand-in until the end of the test and returns its URL.
func (w *world) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	w.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.URL
}

// proc is a process of the fleet.
type proc struct {
	t    testing.TB
	name string
	cmd  *exec.Cmd
	// http, grpc and debug are the addresses that it serves.
	http, grpc, debug string
	// exited is closed when the process has ended. err is set before.
	exited chan struct{}
	err    error

	mu   sync.Mutex
	logs strings.Builder
}

// router starts an entry instance.
func (w *world) router(name string, extra ...string) *proc {
	return w.start("beryl-router", name,
		"[listen]\nhttp = 127.0.0.1:0\ngrpc = 127.0.0.1:0\ndebug = 127.0.0.1:0\n"+
			"[fleet]\nclose-after = 1s\nstagger = 1s\n"+strings.Join(extra, "\n"))
}

// side starts a side process for a target, and waits until it is on the instance list.
func (w *world) side(name, service, kind, target string, extra ...string) *proc {
	listen := "[listen]\ngrpc = 127.0.0.1:0\ndebug = 127.0.0.1:0\n"
	if w.advertise != "" {
		listen += "advertise = " + w.advertise + "\n"
	}
	p := w.start("beryl-side", name, listen+fmt.Sprintf(
		"[target]\nurl = %s\nslot = %s\nservice = %s\nkind = %s\n%s",
		target, name, service, kind, strings.Join(extra, "\n")))
	w.eventually(name+" is listed", func() bool {
		list, err := w.list.Instances()
		return err == nil && slices.ContainsFunc(list, func(inst insts.Instance) bool { return inst.Name == name })
	})
	return p
}

// engine starts an engine and its side process.
func (w *world) engine(name string, s engd.Switches) (*engd.Engine, *proc) {
	e := engd.New(s)
	return e, w.side(name, model, "model", w.serve(e.Handler()))
}

// application starts an application instance and its side process.
func (w *world) application(name string, s appd.Switches) (*appd.App, *proc) {
	a := appd.New(s)
	return a, w.side(name, app, "app", w.serve(a.Handler()))
}

// start writes the settings, starts the program and waits until it serves.
func (w *world) start(program, name, settings string) *proc {
	w.t.Helper()
	platform := fmt.Sprintf("[instance]\nname = %s\ndata-centre = dc\n"+
		"[platform]\nlog-service = %s\ninstance-list = %s\n%s"+
		"[log]\nformat = json\n", name, w.logURL, w.listURL, cmp.Or(w.intervals, testIntervals))
	file := filepath.Join(w.dir, name+".ini")
	if err := os.WriteFile(file, []byte(platform+settings), 0o600); err != nil {
		w.t.Fatal(err)
	}
	p := &proc{t: w.t, name: name, exited: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(binaries, program), "--settings", file)
	// The kernel kills stopped processes whose process group becomes orphaned, for
	// example when the shell that started the tests ends. A separate group avoids it.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		w.t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		w.t.Fatal(err)
	}
	serving := make(chan struct{})
	go p.follow(stderr, serving)
	w.t.Cleanup(p.end)
	select {
	case <-serving:
	case <-p.exited:
		w.t.Fatalf("%s ended while starting: %v\n%s", name, p.err, p.output())
	case <-time.After(waitTimeout):
		w.t.Fatalf("%s is not serving\n%s", name, p.output())
	}
	return p
}

// follow collects the log lines and closes serving at the one that names the addresses.
func (p *proc) follow(stderr io.Reader, serving chan struct{}) {
	lines := bufio.NewScanner(stderr)
	for lines.Scan() {
		p.mu.Lock()
		p.logs.WriteString(lines.Text() + "\n")
		p.mu.Unlock()
		var line struct{ Msg, HTTP, GRPC, Debug string }
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == "serving" {
			p.http, p.grpc, p.debug = "http://"+line.HTTP, line.GRPC, "http://"+line.Debug
			close(serving)
		}
	}
	p.err = p.cmd.Wait()
	close(p.exited)
}

func (p *proc) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.logs.String()
}

// end kills the process if it still runs, reports data races, and prints its log lines
// if the test has failed.
func (p *proc) end() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.exited
	if strings.Contains(p.output(), "WARNING: DATA RACE") {
		p.t.Errorf("%s has a data race", p.name)
	}
	if p.t.Failed() {
		p.t.Logf("log of %s:\n%s", p.name, p.output())
	}
}

// signal sends the process a signal.
func (p *proc) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("%s: %v", p.name, err)
	}
}

// kill kills the process and waits for its end.
func (p *proc) kill() {
	p.t.Helper()
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// terminate starts a planned stop of the process and waits for its end.
func (p *proc) terminate() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	p.await()
}

// await waits until the process has ended, and checks that it succeeded.
func (p *proc) await() {
	p.t.Helper()
	select {
	case <-p.exited:
		if p.err != nil {
			p.t.Errorf("%s: got %v at the end, want success\n%s", p.name, p.err, p.output())
		}
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s has not stopped\n%s", p.name, p.output())
	}
}

// eventually waits until ok returns true, for at most waitTimeout.
func (w *world) eventually(what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			w.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// budget returns the sample budget according to the log.
func (w *world) budget() ledger.Budget {
	w.t.Helper()
	state := new(ledger.State)
	w.foldStream(ledger.Stream(0), state)
	b, _ := state.Budget(account)
	return b
}

// fleet returns the state of the fleet according to the log.
func (w *world) fleet() *fleet.State {
	w.t.Helper()
	state := new(fleet.State)
	w.foldStream(ledger.FleetStream, state)
	return state
}

// claims returns the number of records on the claims stream.
func (w *world) claims() int {
	w.t.Helper()
	page, err := w.log.Read(w.t.Context(), ledger.ClaimsStream, 1, 1000, 0)
	if err != nil {
		w.t.Fatal(err)
	}
	return len(page.Records)
}

func (w *world) foldStream(stream string, m fold.StateMachine) {
	w.t.Helper()
	f := &fold.Follower{Log: w.log, Stream: stream, Reader: fold.Reader{Machine: m}}
	if err := f.CatchUp(context.Background()); err != nil {
		w.t.Fatal(err)
	}
}
