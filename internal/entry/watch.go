package entry

import (
	"context"
	"sync"
	"time"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/route"
)

const (
	// watchInterval is the time between two rounds of status queries.
	watchInterval = time.Second
	// targetsPerRound is the number of targets of each service queried per round.
	targetsPerRound = 4
)

// Watch queries targets for their status until the context ends. Each round queries a
// few targets, starting with those that were heard from least recently. Targets with
// traffic report their status with their responses and are rarely queried. Through
// Watch, the engine learns that a target without traffic is draining or can take work
// again.
func (e *Engine) Watch(ctx context.Context) {
	e.init()
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		e.watchOnce(ctx, targetsPerRound)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// connPruner is a Dialer that can close the connections to removed targets.
type connPruner interface {
	Retain(addresses map[string]bool)
}

// watchOnce queries up to n targets of each service.
func (e *Engine) watchOnce(ctx context.Context, n int) {
	var asked sync.WaitGroup
	live := make(map[string]bool)
	for _, d := range e.dispatchers() {
		d.lockAndRefresh(e.Targets)
		d.addresses(live)
		for _, t := range d.stalest(n) {
			asked.Go(func() { e.queryStatus(ctx, d, t) })
		}
	}
	asked.Wait()
	if k, ok := e.Dialer.(connPruner); ok {
		k.Retain(live)
	}
}

// queryStatus queries the status of one target. A target that does not respond is not
// marked as failed. Only requests that fail there do that.
func (e *Engine) queryStatus(ctx context.Context, d *dispatcher, t route.Target) {
	ctx, cancel := context.WithTimeout(ctx, e.Timeouts.Probe)
	defer cancel()
	client, err := e.Dialer.Side(t)
	if err != nil {
		return
	}
	status, err := client.Status(ctx, &wire.StatusRequest{CatalogueOffset: e.Catalogue.Offset()})
	if err != nil {
		_, _ = e.Dialer.Reconnect(t, client) // for the next query
		return
	}
	d.recordStatus(t.Name, status)
}

// dispatchers returns the dispatchers of all known services.
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
