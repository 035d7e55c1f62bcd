package loads

import (
	"fmt"
	"time"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// skipOwn skips the side's own load request if its target has sent no report for
// reportTimeout. After a later report, the side makes a new request, which is
// appended to the queue.
func (p *Planner) skipOwn(v View, now time.Time) []Effect {
	if v.Queue == nil || now.Sub(p.lastReport) < reportTimeout {
		return nil
	}
	own, _, ok := v.Queue.Entry(p.Side)
	if !ok || !p.tryNow("skip own", now) {
		return nil
	}
	return []Effect{p.skip(own, "target gives no report")}
}

// skipHeads skips load requests that make no progress at the head of the queue, if
// this side waits behind them. Their time at the head is measured by this side's
// clock, from when this side first saw them there.
func (p *Planner) skipHeads(v View, now time.Time) []Effect {
	if v.Queue == nil {
		return nil
	}
	queue := v.Queue.Queue(p.Service)
	heads := queue[:min(len(queue), v.Desired.MaxLoads)]
	p.updateHeads(heads, now)
	_, index, ok := v.Queue.Entry(p.Side)
	if !ok || index < len(heads) {
		return nil
	}
	extraWait := time.Duration(index-len(heads)) * skipStagger
	var effects []Effect
	for _, h := range heads {
		limit, reason := p.timeout(), "no progress in time"
		if !v.Open(h.Side) {
			limit, reason = closedSideTimeout, "side is not open"
		}
		if now.Sub(p.headSince[h.At]) < limit+extraWait || !p.tryNow(fmt.Sprintf("skip %d", h.At), now) {
			continue
		}
		effects = append(effects, p.skip(h, reason))
	}
	return effects
}

func (p *Planner) skip(entry QueueEntry, reason string) Effect {
	return Propose{Skip{Side: entry.Side, Request: entry.At, By: p.Side, Reason: reason}}
}

// updateHeads updates the times since which load requests are at the head of the
// queue.
func (p *Planner) updateHeads(heads []QueueEntry, now time.Time) {
	seen := make(map[logsvc.Offset]time.Time, len(heads))
	for _, h := range heads {
		since, ok := p.headSince[h.At]
		if !ok {
			since = now
		}
		seen[h.At] = since
	}
	p.headSince = seen
}

func (p *Planner) timeout() time.Duration {
	if p.Timeout > 0 {
		return p.Timeout
	}
	return DefaultTimeout
}
