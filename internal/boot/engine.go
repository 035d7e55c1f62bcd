package boot

import (
	"github.com/beryllanding/beryllanding/internal/config"
	"github.com/beryllanding/beryllanding/internal/entry"
	"github.com/beryllanding/beryllanding/internal/front"
	"github.com/beryllanding/beryllanding/pkg/lease"
	"github.com/beryllanding/beryllanding/pkg/route"
)

// policy converts the settings to a lease policy.
func policy(b config.Budget) lease.Policy {
	weights := map[string]float64{"refusals": 0, "balanced": 0.5, "overspend": 1}
	return lease.Policy{Horizon: b.Horizon, LowWater: float64(b.LowWater), Weight: weights[b.Weight]}
}

// frontLimits returns the limits on callers for the settings.
func frontLimits(l config.Limits) front.Limits {
	return front.Limits{
		Body: int64(l.BodyBytes), HeaderBytes: int(l.HeaderBytes), HeaderRead: l.ReadTimeout,
		BodyRead: l.ReadTimeout, MaxInProgress: l.Streams,
	}
}

// queueLen converts the setting to the option of the queue. The setting 0 means
// that no request waits. In the option this is -1, because 0 stands for the
// default length there.
func queueLen(setting int) int {
	if setting == 0 {
		return -1
	}
	return setting
}

// newEngine returns the engine of the request path.
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
		LoggedRun:   r.mayHaveRun,
		Retry:       route.RetryBudget{Share: float64(limits.RetryShare)},
		QueueLen:    queueLen(limits.Queue),
	}
}
