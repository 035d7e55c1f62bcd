package loads

import (
	"fmt"
	"time"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// silent gives the place up for a target that gives no report. A later report
// leads to a new want, at the end of the queue.
func (p *Planner) silent(v View, now time.Time) []Effect {
	if v.Queue == nil || now.Sub(p.reported) < silentAfter {
		return nil
	}
	own, _, ok := v.Queue.Own(p.Side)
	if !ok || !p.may("skip own", now) {
		return nil
	}
	return []Effect{p.skip(own, "target gives no report")}
}

// skips ends the wants at the head that make no progress, where this side waits
// behind them. A head's time runs on this side's clock from when it was first
// seen there.
func (p *Planner) skips(v View, now time.Time) []Effect {
	if v.Queue == nil {
		return nil
	}
	queue := v.Queue.Queue(p.Service)
	heads := queue[:min(len(queue), v.Wanted.MaxLoads)]
	p.noteHeads(heads, now)
	_, index, ok := v.Queue.Own(p.Side)
	if !ok || index < len(heads) {
		return nil
	}
	patience := time.Duration(index-len(heads)) * stagger
	var effects []Effect
	for _, h := range heads {
		limit, reason := p.timeout(), "no progress in time"
		if !v.Open(h.Side) {
			limit, reason = goneAfter, "side is not open"
		}
		if now.Sub(p.heads[h.At]) < limit+patience || !p.may(fmt.Sprintf("skip %d", h.At), now) {
			continue
		}
		effects = append(effects, p.skip(h, reason))
	}
	return effects
}

func (p *Planner) skip(place Place, reason string) Effect {
	return Propose{Skip{Side: place.Side, Want: place.At, By: p.Side, Reason: reason}}
}

// noteHeads notes since when each want is at the head.
func (p *Planner) noteHeads(heads []Place, now time.Time) {
	seen := make(map[logsvc.Offset]time.Time, len(heads))
	for _, h := range heads {
		since, ok := p.heads[h.At]
		if !ok {
			since = now
		}
		seen[h.At] = since
	}
	p.heads = seen
}

func (p *Planner) timeout() time.Duration {
	if p.Timeout > 0 {
		return p.Timeout
	}
	return DefaultTimeout
}
