package emul

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/beryllanding/beryllanding/internal/edge"
	"github.com/beryllanding/beryllanding/internal/stand/keyd"
	"github.com/beryllanding/beryllanding/internal/stand/toggle"
	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/pause"
)

// instance is one entry instance. It may be stopped and started again.
type instance struct {
	f       *fleet
	options edge.Options
	link    *link
	stop    context.CancelFunc
	// ended is closed when the present process has ended. err is its error, set before.
	ended chan struct{}
	err   error
}

// link is an instance's path to the store. It fails all calls while it is cut.
type link struct {
	*keyd.Store
	cut toggle.Box[cutState]
}

// cutState tells whether a link is cut, and when that last changed.
type cutState struct {
	cut     bool
	changed time.Time
}

// errCut is returned for calls on a link that is cut.
var errCut = errors.New("instance is partitioned from the store")

func (l *link) check() error {
	if l.cut.Get().cut {
		return errors.Join(keyed.ErrUnavailable, errCut)
	}
	return nil
}

// Newest calls the store.
func (l *link) Newest(ctx context.Context, p keyed.Partition, after string) (keyed.Page, error) {
	if err := l.check(); err != nil {
		return keyed.Page{}, err
	}
	return l.Store.Newest(ctx, p, after)
}

// Read calls the store. The response is lost if the link is cut meanwhile.
func (l *link) Read(ctx context.Context, p keyed.Partition, from keyed.Offset, wait time.Duration) (keyed.Page, error) {
	if err := l.check(); err != nil {
		return keyed.Page{}, err
	}
	page, err := l.Store.Read(ctx, p, from, wait)
	if err := l.check(); err != nil {
		return keyed.Page{}, err
	}
	return page, err
}

// Write calls the store.
func (l *link) Write(ctx context.Context, p keyed.Partition, w keyed.Writer, e keyed.Entry) error {
	if err := l.check(); err != nil {
		return err
	}
	return l.Store.Write(ctx, p, w, e)
}

// Append calls the store.
func (l *link) Append(ctx context.Context, p keyed.Partition, entries []keyed.Entry) error {
	if err := l.check(); err != nil {
		return err
	}
	return l.Store.Append(ctx, p, entries)
}

func (f *fleet) startInstances() error {
	for i := range f.s.Instances {
		listen, err := freeAddress()
		if err != nil {
			return err
		}
		ready, err := freeAddress()
		if err != nil {
			return err
		}
		peers, err := freeAddress()
		if err != nil {
			return err
		}
		l := &link{Store: f.store}
		in := &instance{f: f, link: l, options: edge.Options{
			Instance: fmt.Sprintf("instance-%d", i), DataCentre: f.s.dataCentre(i), Machine: fmt.Sprintf("machine-%d", i),
			Listen: listen, ReadyListen: ready, PeerListen: peers, ReadyPath: "/ready", MetricsPath: "/metrics", Grace: stopGrace,
			Retries: edge.Retries{Window: retryWindow, Share: retryShare, Burst: retrySpare},
			Cold:    edge.ColdBound{Excess: coldExcess, Spare: coldSpare},
			// All instances share one process, so none can tell how long its own work waits.
			ServeAll: true,
			Dialect:  dialect, Store: l, Decoder: keyd.Records{},
			Tables: keyed.Partition{Topic: "tables"}, Targets: keyed.Partition{Topic: "targets"}, Budgets: "budgets", Pledges: "pledges",
			Board:  keyed.Partition{Topic: "board"},
			Logger: f.logger.With("instance", i),
		}}
		f.instances = append(f.instances, in)
		if err := in.startFirst(); err != nil {
			return err
		}
	}
	return nil
}

// start starts a process of the instance.
func (i *instance) start() *edge.Node {
	var ctx context.Context
	ctx, i.stop = context.WithCancel(i.f.ctx)
	node, ended := edge.New(i.options), make(chan struct{})
	i.ended = ended
	i.f.wg.Go(func() {
		defer close(ended)
		if err := node.Run(ctx); err != nil {
			i.err = err
			i.f.logger.Error("instance ended", "instance", i.options.Instance, "err", err)
		}
	})
	return node
}

// addressTries bounds the tries to start an instance whose addresses another process takes.
const addressTries = 5

// startFirst starts the first process of the instance, and waits until it is ready. If one of
// its addresses was taken since it was chosen, it takes others.
func (i *instance) startFirst() error {
	for try := 1; ; try++ {
		err := i.awaitReady(i.start())
		if !errors.Is(err, syscall.EADDRINUSE) || try == addressTries {
			return err
		}
		for _, address := range []*string{&i.options.Listen, &i.options.ReadyListen, &i.options.PeerListen} {
			if *address, err = freeAddress(); err != nil {
				return err
			}
		}
	}
}

// set begins or ends a fault of the instance.
func (i *instance) set(t Fault, on bool) {
	switch {
	case t.Cut:
		i.link.cut.Set(cutState{cut: on, changed: time.Now()})
	case on:
		i.stop()
	default:
		<-i.ended
		i.start()
	}
}

// inTouch reports whether the instance has reached the store for Scenario.Settle.
func (i *instance) inTouch() bool {
	state := i.link.cut.Get()
	return !state.cut && time.Since(state.changed) > i.f.s.Settle
}

// awaitReady waits until the node is ready. The error says why its process has ended, if it has.
func (i *instance) awaitReady(node *edge.Node) error {
	for end := time.Now().Add(readyTimeout); !node.Ready(); {
		select {
		case <-i.ended:
			return errors.Join(errNotReady, i.err)
		default:
		}
		if time.Now().After(end) || !pause.For(i.f.ctx, readyPoll) {
			return errNotReady
		}
	}
	return nil
}
