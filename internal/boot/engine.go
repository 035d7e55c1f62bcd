package boot

import (
	"github.com/beryllanding/beryllanding/internal/config"
	"github.com/beryllanding/beryllanding/internal/entry"
	"github.com/beryllanding/beryllanding/internal/front"
	"github.com/beryllanding/beryllanding/pkg/route"
	"github.com/beryllanding/beryllanding/pkg/slice"
)

// policy maps the settings to the policy of the slices.
func policy(b config.Budget) slice.Policy {
	weights := map[string]float64{"refusals": 0, "balanced": 0.5, "overspend": 1}
	return slice.Policy{Horizon: b.Horizon, LowWater: float64(b.LowWater), Weight: weights[b.Weight]}
}

// frontLimits maps the settings to the limits on callers.
func frontLimits(l config.Limits) front.Limits {
	return front.Limits{
		Body: int64(l.BodyBytes), HeaderBytes: int(l.HeaderBytes), HeaderRead: l.ReadTimeout,
		BodyRead: l.ReadTimeout, Streams: l.Streams,
	}
}

// queueLen maps the setting, where 0 lets nobody wait, to the queue's bound.
func queueLen(setting int) int {
	if setting == 0 {
		return -1
	}
	return setting
}

// newEngine returns the request path with its settings.
func (r *Router) newEngine() *entry.Engine {
	limits := r.Settings.Limits
	b := budgets{service: r.budget, deferred: &r.deferred}
	return &entry.Engine{
		DataCentre:  r.Settings.Instance.DataCentre,
		Catalogue:   r.catalogue,
		Budgets:     b,
		Targets:     r.members,
		Dialer:      r.conns,
		Orphans:     b,
		FleetOffset: func() uint64 { return uint64(r.fleet.Offset()) },
		Timeouts:    entry.Timeouts{FirstEvent: limits.FirstEventTimeout, Progress: limits.EventTimeout},
		Tracer:      r.tracing.Tracer("entry"),
		Services:    r.members.services,
		Ran:         r.ran,
		Retry:       route.RetryBudget{Share: float64(limits.RetryShare)},
		QueueLen:    queueLen(limits.Queue),
	}
}
