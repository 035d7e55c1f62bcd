package edge

import (
	"time"

	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/route"
	"github.com/beryllanding/beryllanding/pkg/table"
)

// ColdBound bounds the requests that reach a cold target in any second, from all instances
// together: Excess times what the target tolerates, plus Spare. The zero value is no bound:
// cold targets are then used like others.
type ColdBound struct{ Excess, Spare float64 }

// staleList is the age of the list of targets above which a target that restarted may not
// be in it yet. The list is confirmed several times a second.
const staleList = 2 * time.Second

// coldState is what the fleet knows of cold targets and evacuated data centres. It is
// guarded by fleet.mu.
type coldState struct {
	bound     ColdBound
	services  map[string]table.Service
	evacuated map[string]bool
}

// limit returns the limit of cold targets of a service.
func (c *coldState) limit(service string) route.ColdLimit {
	rate := c.services[service].ColdRate
	if rate <= 0 || c.bound == (ColdBound{}) {
		return route.ColdLimit{}
	}
	return route.ColdLimit{Rate: rate, Most: rate*c.bound.Excess + c.bound.Spare}
}

// setColdLimits sets what cold targets tolerate, by service.
func (f *fleet) setColdLimits(services map[string]table.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cold.services = services
	f.noteCold(time.Now())
}

// noteCold records which targets are cold, by their entries. f.mu must be held.
func (f *fleet) noteCold(now time.Time) {
	for service, g := range f.groups {
		limit, n := f.cold.limit(service), 0
		for _, t := range g.byName {
			if t.ColdUntil.After(now) && g.picker.Cold(now, f.rnd, t.name, t.ColdUntil, limit) {
				n++
			}
		}
		if n > 0 && f.limits.logger != nil {
			f.limits.logger.Info("targets are cold; all instances together send them few requests a second", "service", service, "targets", n)
		}
	}
}

// mayHaveRestarted records that a connection to the target failed. While the list of targets
// is out of date, the target may have restarted and be cold. f.mu must be held.
func (f *fleet) mayHaveRestarted(now time.Time, g *group, name string) {
	if now.Sub(f.listConfirmed) > staleList {
		g.picker.Cold(now, f.rnd, name, now.Add(f.cold.services[g.name].ColdTime), f.cold.limit(g.name))
	}
}

// evacuate sets whether the targets of a data centre take new requests. When they do again,
// they may have become cold. It returns the number of targets there.
func (f *fleet) evacuate(dataCentre string, evacuated bool) (targets int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.cold.evacuated == nil {
		f.cold.evacuated = make(map[string]bool)
	}
	if evacuated {
		f.cold.evacuated[dataCentre] = true
	} else {
		delete(f.cold.evacuated, dataCentre)
	}
	for _, g := range f.groups {
		g.picker.Evacuate(dataCentre, evacuated)
		for _, t := range g.byName {
			if t.DataCentre != dataCentre {
				continue
			}
			targets++
			if !evacuated {
				g.picker.Cold(now, f.rnd, t.name, now.Add(f.cold.services[g.name].ColdTime), f.cold.limit(g.name))
			}
		}
	}
	return targets
}

// accepts reports whether the target of an attempt that was not sent yet still takes it.
func (f *fleet) accepts(service string, a *attempt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.group(service).picker.Accepts(time.Now(), a.target.name)
}

// unavailable returns the number of cold targets, and of those whose data centre is
// evacuated, by service.
func (f *fleet) unavailable() (cold, evacuated map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	cold, evacuated = make(map[string]int, len(f.groups)), make(map[string]int, len(f.groups))
	for service, g := range f.groups {
		cold[service], evacuated[service] = g.picker.Unavailable(now)
	}
	return cold, evacuated
}

// applyEvacuations applies changes of the evacuated data centres. current is set if the
// store has the newest known configuration.
func (n *Node) applyEvacuations(c keyed.Change, current bool) {
	var orders []table.Order
	for _, e := range c.Entries {
		dataCentre, ok := n.opts.Decoder.Evacuation(e.Key)
		if !ok {
			continue
		}
		if dataCentre == "" {
			n.logger("config").Warn("evacuation names no data centre; ignoring it", "key", e.Key, "offset", e.Offset)
			continue
		}
		orders = append(orders, table.Order{DataCentre: dataCentre, Exists: e.Value != nil})
	}
	begun, ended := n.evacuations.Apply(time.Now(), orders, c.Full, c.Restored, current)
	for _, dataCentre := range begun {
		targets := n.engine.fleet.evacuate(dataCentre, true)
		n.logger("config").Info("data centre is evacuated; its targets get no new requests", "data-centre", dataCentre, "targets", targets)
	}
	for _, dataCentre := range ended {
		targets := n.engine.fleet.evacuate(dataCentre, false)
		n.logger("config").Info("data centre is taken back; its targets count as cold at first", "data-centre", dataCentre, "targets", targets)
	}
}
