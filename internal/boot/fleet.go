package boot

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/beryllanding/beryllanding/internal/config"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/insts"
	"github.com/beryllanding/beryllanding/pkg/route"
)

// listTimeout bounds one call to the instance list, or to a peer.
const listTimeout = 2 * time.Second

// members reads the instance list at an interval, and keeps this process
// announced on it.
type members struct {
	client *insts.Client
	// listEvery and announceEvery are the intervals of the reads and of the
	// announcements.
	listEvery, announceEvery time.Duration

	mu   sync.Mutex
	self insts.Instance
	view insts.View
	// onChange is called after each successful read, even if the list has not
	// changed. It is optional.
	onChange func()
}

// newMembers returns members that announce self.
func newMembers(platform config.Platform, self insts.Instance) *members {
	return &members{
		client:        &insts.Client{Addr: platform.InstanceList},
		listEvery:     platform.ListEvery,
		announceEvery: platform.AnnounceEvery,
		self:          self,
	}
}

// run reads the list and announces this instance until the context ends.
func (m *members) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { every(ctx, m.listEvery, m.read) })
	wg.Go(func() { every(ctx, m.announceEvery, m.announce) })
	wg.Wait()
}

// read updates the view. A failed read leaves the view unchanged.
func (m *members) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := m.client.List(ctx)
	if err != nil {
		return
	}
	m.mu.Lock()
	m.view.Update(time.Now(), list)
	m.mu.Unlock()
	if m.onChange != nil {
		m.onChange()
	}
}

// announce puts this instance on the list, or keeps it there.
func (m *members) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	m.mu.Lock()
	self := m.self
	m.mu.Unlock()
	_ = m.client.Announce(ctx, self) // The next announcement makes up for a failed one.
}

// announceDraining announces that this instance takes no new work.
func (m *members) announceDraining(ctx context.Context) {
	m.mu.Lock()
	m.self.State = insts.Draining
	m.mu.Unlock()
	m.announce(ctx)
}

// setAddr sets the address that is announced: advertise, or the listener's
// address if advertise is empty.
func (m *members) setAddr(advertised string, listener net.Listener) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Addr = cmp.Or(advertised, listener.Addr().String())
}

// setIncarnation sets the incarnation that is announced, and reports whether it
// has changed.
func (m *members) setIncarnation(incarnation ident.Incarnation) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self.Incarnation == incarnation {
		return false
	}
	m.self.Incarnation = incarnation
	return true
}

// withdraw takes this instance off the list.
func (m *members) withdraw(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	m.mu.Lock()
	name := m.self.Name
	m.mu.Unlock()
	_ = m.client.Withdraw(ctx, name) // If this fails, the list drops the instance once its announcements end.
}

// Targets returns the targets of a service on the list.
func (m *members) Targets(service string) []route.Target {
	m.mu.Lock()
	defer m.mu.Unlock()
	sides := m.view.Sides(service)
	targets := make([]route.Target, 0, len(sides))
	for _, s := range sides {
		targets = append(targets, route.Target{
			Name:        s.Name,
			DataCentre:  s.DataCentre,
			Address:     s.Addr,
			Incarnation: string(s.Incarnation),
			Draining:    s.State == insts.Draining,
		})
	}
	return targets
}

// services returns the services that have listed targets.
func (m *members) services() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for _, inst := range m.view.All() {
		if inst.Role == insts.Side && !slices.Contains(names, inst.Service) {
			names = append(names, inst.Service)
		}
	}
	return names
}

// routers returns the entry instances on the list, and the time of the last
// successful read.
func (m *members) routers() ([]insts.Instance, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Routers(), m.view.At
}

// addresses returns the addresses of all listed instances of a role.
func (m *members) addresses(role insts.Role) map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	addrs := make(map[string]bool)
	for _, inst := range m.view.All() {
		if inst.Role == role {
			addrs[inst.Addr] = true
		}
	}
	return addrs
}

// every calls fn at once and then at each interval until the context ends.
func every(ctx context.Context, interval time.Duration, fn func(context.Context)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		fn(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}
