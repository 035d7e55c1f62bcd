package entry

import (
	"context"
	"sync"
	"time"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/route"
)

const (
	// watchEvery is the pause between two rounds of status questions.
	watchEvery = time.Second
	// watchTargets is the targets of each service that are asked in a round.
	watchTargets = 4
)

// Watch asks targets for their status until the context ends: a few at a time,
// those first that were silent longest. Targets with traffic report on their
// answers and are hardly asked. It is how a target without traffic becomes
// known as leaving, or as fit for traffic again.
func (e *Engine) Watch(ctx context.Context) {
	e.init()
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		e.watchOnce(ctx, watchTargets)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// keeper is a Dialer that drops connections to targets that are gone.
type keeper interface {
	Keep(addresses map[string]bool)
}

// watchOnce asks up to n targets of each service.
func (e *Engine) watchOnce(ctx context.Context, n int) {
	var asked sync.WaitGroup
	live := make(map[string]bool)
	for _, d := range e.dispatchers() {
		d.refreshNow(e.Targets)
		d.addresses(live)
		for _, t := range d.stalest(n) {
			asked.Go(func() { e.askStatus(ctx, d, t) })
		}
	}
	asked.Wait()
	if k, ok := e.Dialer.(keeper); ok {
		k.Keep(live)
	}
}

// askStatus asks one target. One that does not answer is blamed only by the
// requests that fail there.
func (e *Engine) askStatus(ctx context.Context, d *dispatcher, t route.Target) {
	ctx, cancel := context.WithTimeout(ctx, e.Timeouts.Probe)
	defer cancel()
	client, err := e.Dialer.Side(t)
	if err != nil {
		return
	}
	status, err := client.Status(ctx, &wire.StatusRequest{CatalogueOffset: e.Catalogue.Offset()})
	if err != nil {
		_, _ = e.Dialer.Fresh(t, client) // for the next round
		return
	}
	d.report(t.Name, status)
}

// dispatchers returns the dispatchers of all services known.
func (e *Engine) dispatchers() []*dispatcher {
	if e.Services != nil {
		for _, name := range e.Services() {
			e.dispatcher(name)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]*dispatcher, 0, len(e.services))
	for _, d := range e.services {
		list = append(list, d)
	}
	return list
}
