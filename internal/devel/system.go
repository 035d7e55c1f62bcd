// Package devel runs a whole system in one process, on loopback and with stand-ins for
// the platform, for development. It is not for production: all state is lost at the end.
package devel

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"go.uber.org/fx"

	"github.com/beryllanding/beryllanding/internal/boot"
	"github.com/beryllanding/beryllanding/internal/config"
	"github.com/beryllanding/beryllanding/internal/logs"
	"github.com/beryllanding/beryllanding/internal/stand/appd"
	"github.com/beryllanding/beryllanding/internal/stand/engd"
	"github.com/beryllanding/beryllanding/internal/stand/instd"
	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/internal/trace"
	"github.com/beryllanding/beryllanding/pkg/catal"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/pause"
)

// The names of the sample services.
const (
	Model = "assist-llm"
	App   = "stores-app"
)

const (
	// targetsPerService is the number of targets of each sample service.
	targetsPerService = 3
	// tokenMicros is the time per token at the engines, in microseconds.
	tokenMicros = 5000
	// callPrice is the price of a call to the sample application, in tokens.
	callPrice = 10
	// headerTimeout bounds the time that a stand-in waits for the headers of a request.
	headerTimeout = 5 * time.Second
	// readyPoll is the time between two checks whether the system is ready.
	readyPoll = 20 * time.Millisecond
)

// Account is the budget and the API key of a sample organisation. Tokens are prepaid.
type Account struct {
	Organisation string
	Budget       string
	Key          string
	Tokens       ledger.Tokens
}

// Accounts are the sample organisations: one with a large budget and one whose budget is
// soon spent.
var Accounts = []Account{
	{Organisation: "kowhai", Budget: "kowhai/parts-desk", Key: "demo-kowhai-key", Tokens: 1_000_000},
	{Organisation: "norrbomull", Budget: "norrbomull/dossiers", Key: "demo-norrbomull-key", Tokens: 2_000},
}

// Options configures the system. The zero value works.
type Options struct {
	// HTTP is the address that callers connect to. If it is empty, a free port on
	// loopback is used.
	HTTP string
	// Logs receives the log lines; nil discards them.
	Logs io.Writer
}

// System is a running system. Create it with Start and end it with Stop.
type System struct {
	// URL is the base URL for callers.
	URL string
	// Log is the log service's stand-in.
	Log *logd.Store
	// LogURL and ListURL are the base URLs of the stand-ins of the log service and of
	// the instance list.
	LogURL, ListURL string

	apps    []*fx.App
	servers []*http.Server
	router  *boot.Router
}

// Start starts the stand-ins, the side processes and one entry instance, and publishes
// the samples. It returns when all targets are reachable. It returns an error if ctx
// ends before that.
func Start(ctx context.Context, opts Options) (*System, error) {
	s := &System{Log: logd.New(logd.Switches{})}
	err := s.start(ctx, opts)
	if err != nil {
		return nil, errors.Join(err, s.Stop(ctx))
	}
	return s, nil
}

func (s *System) start(ctx context.Context, opts Options) error {
	var err error
	if s.LogURL, err = s.serve(s.Log.Handler()); err != nil {
		return err
	}
	if s.ListURL, err = s.serve(instd.New(instd.Switches{}).Handler()); err != nil {
		return err
	}
	set, err := loggers(opts.Logs)
	if err != nil {
		return err
	}
	if err := s.startTargets(ctx, set); err != nil {
		return err
	}
	if err := s.startRouter(ctx, set, opts.HTTP); err != nil {
		return err
	}
	if err := s.publish(ctx); err != nil {
		return err
	}
	return s.awaitReady(ctx)
}

// loggers returns loggers that write to w, or discard their lines if w is nil.
func loggers(w io.Writer) (*logs.Set, error) {
	if w == nil {
		return new(logs.Set), nil
	}
	return logs.New(w, config.Defaults[config.Router]().Log)
}

// serve serves a stand-in on a free port and returns its base URL.
func (s *System) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

// startTargets starts the targets of the sample services, each with its side process.
func (s *System) startTargets(ctx context.Context, set *logs.Set) error {
	for i := range targetsPerService {
		engine := engd.New(engd.Switches{TokenMicros: tokenMicros, CheckFence: true})
		if err := s.startSide(ctx, set, Model, "model", i, engine.Handler()); err != nil {
			return err
		}
		if err := s.startSide(ctx, set, App, "app", i, appd.New(appd.Switches{}).Handler()); err != nil {
			return err
		}
	}
	return nil
}

// startSide starts one target with its side process.
func (s *System) startSide(ctx context.Context, set *logs.Set, service, kind string, i int, target http.Handler) error {
	url, err := s.serve(target)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s-%d", service, i)
	settings := config.Defaults[config.Side]()
	settings.Instance = config.Instance{Name: name, DataCentre: "dev-a", Region: "dev"}
	settings.Listen.GRPC, settings.Listen.Debug = "127.0.0.1:0", "127.0.0.1:0"
	settings.Platform.LogService, settings.Platform.InstanceList = s.LogURL, s.ListURL
	settings.Target.URL, settings.Target.Slot = url, name
	settings.Target.Service, settings.Target.Kind = service, kind
	settings.Target.FenceChecked = kind == "model"
	return s.startApp(ctx, set, boot.SideCore(settings))
}

// startRouter starts the entry instance.
func (s *System) startRouter(ctx context.Context, set *logs.Set, addr string) error {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	settings := config.Defaults[config.Router]()
	settings.Instance = config.Instance{Name: "router-0", DataCentre: "dev-a", Region: "dev"}
	settings.Listen = config.RouterListen{HTTP: addr, GRPC: "127.0.0.1:0", Debug: "127.0.0.1:0"}
	settings.Platform.LogService, settings.Platform.InstanceList = s.LogURL, s.ListURL
	err := s.startApp(ctx, set, fx.Options(boot.RouterCore(settings), fx.Populate(&s.router)))
	if err == nil {
		s.URL = "http://" + s.router.CallersAddr()
	}
	return err
}

// startApp starts one program's parts within this process.
func (s *System) startApp(ctx context.Context, set *logs.Set, parts fx.Option) error {
	app := fx.New(parts, fx.Supply(set, new(trace.Tracing)), fx.NopLogger, fx.StopTimeout(boot.StopTimeout))
	if err := app.Start(ctx); err != nil {
		return err
	}
	s.apps = append(s.apps, app)
	return nil
}

// publish publishes the samples in the catalogue and tops up the budgets.
func (s *System) publish(ctx context.Context) error {
	var entries, topUps []fold.Item
	for i, entry := range samples() {
		entries = append(entries, catal.Encode(catal.Change{ID: fmt.Sprintf("dev-%d", i), Entry: entry, Operator: "dev"}))
	}
	for _, a := range Accounts {
		topUps = append(topUps, ledger.Encode(ledger.TopUp{ID: "dev-" + a.Budget, Budget: a.Budget, Tokens: a.Tokens, Operator: "dev"}))
	}
	if err := s.append(ctx, ledger.CatalogueStream, entries); err != nil {
		return err
	}
	return s.append(ctx, ledger.Stream(0), topUps)
}

// append appends the items to a stream of the log service, as a new writer.
func (s *System) append(ctx context.Context, stream string, items []fold.Item) error {
	writer := string(ident.NewIncarnation("dev"))
	data, err := json.Marshal(fold.Batch{Writer: writer, Seq: 1, Items: items})
	if err != nil {
		return err
	}
	_, err = s.Log.Append(ctx, stream, data)
	return err
}

// samples returns the sample entries of the catalogue.
func samples() []catal.Entry {
	entries := []catal.Entry{
		&catal.Service{
			Name: Model, Owner: "platform", Class: catal.Interactive, Kind: catal.Model,
			PromptBytesPerToken: 1, MaxOutput: 1024, DefaultOutput: 128, FenceChecked: true,
		},
		&catal.Service{
			Name: App, Owner: "platform", Class: catal.Interactive, Kind: catal.App,
			Price: callPrice, IdempotentPaths: []string{"/stock"},
		},
	}
	for _, a := range Accounts {
		entries = append(entries, &catal.Budget{
			Name: a.Budget, Owner: a.Organisation, Class: catal.Interactive,
			KeyHashes: []catal.KeyHash{catal.HashKey(a.Key)},
		})
	}
	return entries
}

// awaitReady waits until the entry instance is ready and sees all targets of both
// services.
func (s *System) awaitReady(ctx context.Context) error {
	for {
		fleet := s.router.TargetCount(Model) + s.router.TargetCount(App)
		if fleet == 2*targetsPerService && s.router.Ready() {
			return nil
		}
		if !pause.For(ctx, readyPoll) {
			return fmt.Errorf("the system is not ready: %w", ctx.Err())
		}
	}
}

// Stop stops the entry instance, then the side processes, then the stand-ins.
func (s *System) Stop(ctx context.Context) error {
	var errs []error
	for i := len(s.apps) - 1; i >= 0; i-- {
		errs = append(errs, s.apps[i].Stop(ctx))
	}
	for _, server := range s.servers {
		errs = append(errs, server.Close())
	}
	return errors.Join(errs...)
}

// Ledger returns the state of a budget according to the log.
func (s *System) Ledger(ctx context.Context, budget string) (ledger.Budget, error) {
	state := new(ledger.State)
	f := &fold.Follower{Log: s.Log, Stream: ledger.Stream(0), Reader: fold.Reader{Machine: state}}
	if err := f.CatchUp(ctx); err != nil {
		return ledger.Budget{}, err
	}
	b, ok := state.Budget(budget)
	if !ok {
		return b, fmt.Errorf("budget %q does not exist", budget)
	}
	return b, nil
}

// Banner returns example commands for using the system.
func (s *System) Banner() string {
	key := Accounts[0].Key
	return strings.Join([]string{
		"A whole system runs in this process, on loopback; its state is lost when it ends.",
		"",
		"  curl -s " + s.URL + "/v1/chat/completions -H 'Authorization: Bearer " + key + "' \\",
		`    -d '{"model": "` + Model + `", "messages": [{"role": "user", "content": "which bogie fits"}]}'`,
		"",
		"  curl -s " + s.URL + "/apps/" + App + "/reservations -H 'Authorization: Bearer " + key + "' \\",
		`    -H 'Idempotency-Key: order-1' -H 'Content-Type: application/json' -d '{"part": "brake-block", "qty": 2}'`,
		"",
		"  beryl budget show --log-service " + s.LogURL + " --instance-list " + s.ListURL,
		"",
	}, "\n")
}
