package emul

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/beryllanding/beryllanding/internal/stand/keyd"
	"github.com/beryllanding/beryllanding/internal/stand/modeld"
	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/pause"
	"github.com/beryllanding/beryllanding/pkg/table"
)

const (
	service = "model"
	// storeDelay is the duration of a call to the store without faults.
	storeDelay = 4 * time.Millisecond
	// readyPoll is the interval between checks whether a starting instance is
	// ready, and readyTimeout the longest wait for it.
	readyPoll    = 10 * time.Millisecond
	readyTimeout = 10 * time.Second
	// stopGrace is the time that an instance has to finish its requests when it
	// stops.
	stopGrace = 5 * time.Second
	// retryWindow, retryShare and retrySpare bound retries. All instances together
	// may make, in one window, a share of the requests plus a fixed number.
	retryWindow = 10 * time.Second
	retryShare  = 0.2
	retrySpare  = 50
)

// errNotReady is returned if an instance is not ready within readyTimeout or when
// the context ends.
var errNotReady = errors.New("instance did not become ready")

// fleet is the running store, targets and instances of a scenario.
type fleet struct {
	s         Scenario
	logger    *log.Logger
	store     *keyd.Store
	targets   []*replica
	instances []*instance

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
	// senders, crashes and limits collect what the audit needs to know of requests.
	senders senders
	crashes crashes
	limits  limits
	places  places
}

// start starts the store, the targets and the instances, and waits until they are
// ready. The caller stops them with close.
func start(ctx context.Context, s Scenario, logs io.Writer) (*fleet, error) {
	f := &fleet{s: s, store: &keyd.Store{}, logger: log.NewWithOptions(logs, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true})}
	f.store.Switches.Set(keyd.Switches{Delay: storeDelay})
	f.places.evacuated = make(map[string]time.Time)
	f.ctx, f.stop = context.WithCancel(ctx)
	err := errors.Join(f.startTargets(), f.put("tables", "table", f.table()))
	if err == nil {
		err = f.startInstances()
	}
	if err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// close stops the instances, then the targets.
func (f *fleet) close() {
	f.stop()
	f.wg.Wait()
	for _, r := range f.targets {
		r.close()
	}
}

func (f *fleet) put(topic, key string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	f.store.Put(keyed.Partition{Topic: topic}, keyed.Entry{Key: key, Value: data})
	return nil
}

// table returns the configuration. It has a route for each kind, and for each
// organisation a key equal to its name.
func (f *fleet) table() *table.Table {
	t := &table.Table{
		Version: 1, NeedsKey: true, Keys: make(map[string]*table.Organisation),
		Services: map[string]table.Service{service: {Name: service, EventTokens: f.s.EventTokens, ColdTime: f.s.ColdTime, ColdRate: f.s.ColdRate}},
		Limits:   table.Limits{HeadBytes: 16 << 10, BodyBytes: 1 << 20, HeadTimeout: 5 * time.Second, IdleTimeout: time.Minute},
	}
	for i, k := range f.s.Kinds {
		repeat := table.Once
		if k.Plain && k.Repeatable {
			repeat = table.Idempotent
		}
		t.Routes = append(t.Routes, &table.Route{
			Name: k.Name, Host: "model.example", Prefix: "/" + k.Name + "/", Stream: !k.Plain, Resumable: !k.Plain && k.Repeatable, Repeat: repeat,
			Timeout: k.Deadline, Goal: k.Goal, MaxTargets: k.Targets, Priority: i, Shares: []table.Share{{Service: service, Weight: 1}},
		})
	}
	for _, o := range f.s.Organisations {
		org := &table.Organisation{Name: o.Name, Prepaid: o.Tokens, Limited: true}
		t.Organisations = append(t.Organisations, org)
		t.Keys[o.Name] = org
	}
	return t
}

// freeAddress returns a loopback address with a free port. Another process may take
// the port before it is used.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// injectFaults injects the scenario's faults until the context ends. began is the
// start of the scenario.
func (f *fleet) injectFaults(ctx context.Context, began time.Time) {
	var wg sync.WaitGroup
	for _, t := range f.s.Faults {
		wg.Go(func() {
			if !pause.For(ctx, time.Until(began.Add(t.At))) {
				return
			}
			f.set(t, true)
			pause.For(ctx, t.For)
			f.set(t, false)
		})
	}
	wg.Wait()
}

// set turns a fault on or off. If two faults overlap at the same store or target,
// the last change wins, so the end of one also ends the other.
func (f *fleet) set(t Fault, on bool) {
	f.logger.Info("fault", "at", t.At, "on", on, "store", t.Store != nil, "count", t.Count)
	if t.Store != nil {
		now := keyd.Switches{Delay: storeDelay}
		if on {
			now = *t.Store
		}
		f.store.Switches.Set(now)
		if !on && t.Copy > 0 {
			f.store.Restore(t.Copy, rewriteDelay)
		}
		return
	}
	switch dataCentre := f.s.dataCentre(t.DataCentre); {
	case t.Evacuate:
		f.evacuate(dataCentre, on)
		return
	case t.ReturnCold:
		f.returnCold(dataCentre, on)
		return
	}
	if t.Target == nil {
		for _, i := range f.instances[:min(t.Count, len(f.instances))] {
			i.set(t, on)
		}
		return
	}
	now := modeld.Switches{}
	if on {
		now = *t.Target
	}
	for _, r := range f.targets[:min(t.Count, len(f.targets))] {
		r.engine().Switches.Set(now)
	}
}
