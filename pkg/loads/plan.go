package loads

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// States of a model in a target's report.
const (
	Loading = "loading"
	Loaded  = "loaded"
	Failed  = "failed"
)

const (
	// repeatAfter is the pause before an effect that shows no result is tried
	// again.
	repeatAfter = 5 * time.Second
	// retryAfter is the pause between a failed load and the next want.
	retryAfter = 30 * time.Second
	// goneAfter is how long a head is left alone whose side is not open on the
	// fleet stream, since the fleet stream may be read later than this one.
	goneAfter = 5 * time.Second
	// silentAfter is how long a target may give no report before its side gives
	// the place in the queue up.
	silentAfter = 15 * time.Second
	// stagger is how much longer each further side in the queue waits before it
	// skips the head, so that one of them proposes it and not all.
	stagger = 2 * time.Second
	// DefaultMaxLoads is the number of targets of a service that load at one
	// time where the catalogue names none.
	DefaultMaxLoads = 2
	// DefaultTimeout is how long a head may take before it is skipped.
	DefaultTimeout = 10 * time.Minute
)

// Wanted is what the catalogue says about the side's service.
type Wanted struct {
	Weights []string
	// Role is the engine's role; empty leaves it as it is.
	Role     string
	MaxLoads int
	// Change is the offset of the entry's latest change.
	Change logsvc.Offset
}

// Report is what the target says of itself.
type Report struct {
	// Models holds Loading, Loaded or Failed for each model.
	Models map[string]string `json:"models"`
	Role   string            `json:"role"`
	Fence  uint64            `json:"fence"`
}

// View is what a step looks at.
type View struct {
	Wanted Wanted
	// Report is nil where the target did not answer.
	Report *Report
	// Queue is nil where its stream can't be followed.
	Queue *State
	// Open reports whether a side is open on the fleet stream.
	Open func(ident.Incarnation) bool
	// InUse holds the models that runs in progress need.
	InUse map[string]bool
}

// Planner decides what a side process does about its target's weights. Set the
// exported fields before use.
type Planner struct {
	Side    ident.Incarnation
	Slot    string
	Service string
	// Timeout is how long a head may take; 0 stands for DefaultTimeout.
	Timeout time.Duration

	serve []string
	// settled says that serve is what it was before this step. Only then is
	// View.InUse certain to hold all runs on other weights.
	settled bool
	// reported is when the target last gave a report, or the first step.
	reported time.Time
	// next is when an effect of a kind may be repeated.
	next map[string]time.Time
	// ordered holds the want in whose turn each model was ordered last.
	ordered map[string]logsvc.Offset
	// heads holds since when each want is seen at the head.
	heads map[logsvc.Offset]time.Time
}

// Step decides on the view as it is now.
func (p *Planner) Step(v View, now time.Time) Decision {
	if len(v.Wanted.Weights) == 0 {
		p.serve = nil
		return Decision{}
	}
	if v.Wanted.MaxLoads <= 0 {
		v.Wanted.MaxLoads = DefaultMaxLoads
	}
	d := Decision{Managed: true}
	if v.Report != nil || p.reported.IsZero() {
		p.reported = now
	}
	if v.Report == nil {
		d.Serve = p.serve
		d.Effects = p.silent(v, now)
		return d
	}
	p.chooseServe(v)
	d.Serve = p.serve
	d.Effects = append(p.role(v, now), p.weights(v, now)...)
	d.Effects = append(d.Effects, p.skips(v, now)...)
	return d
}

// chooseServe keeps to the weights served so far until those wanted are loaded
// in full. A new incarnation learns from the log what was served before.
func (p *Planner) chooseServe(v View) {
	before := p.serve
	if p.serve == nil && v.Queue != nil {
		p.serve = v.Queue.Held(p.Slot)
	}
	switch {
	case v.Report.holds(v.Wanted.Weights):
		p.serve = v.Wanted.Weights
	case !v.Report.holds(p.serve):
		p.serve = nil
	}
	p.settled = slices.Equal(before, p.serve)
}

// holds reports whether all weights are loaded.
func (r *Report) holds(weights []string) bool {
	for _, w := range weights {
		if r.Models[w] != Loaded {
			return false
		}
	}
	return true
}

// loading reports whether the target loads anything.
func (r *Report) loading() bool {
	return slices.Contains(slices.Collect(maps.Values(r.Models)), Loading)
}

func (p *Planner) role(v View, now time.Time) []Effect {
	want := v.Wanted.Role
	if want == "" || want == v.Report.Role || !p.may("role "+want, now) {
		return nil
	}
	return []Effect{SetRole{Role: want}}
}

// weights brings the target's weights to those wanted. While the target loads
// anything, nothing is done: the place in the queue that the load counts for is
// kept, also where the catalogue changed since.
func (p *Planner) weights(v View, now time.Time) []Effect {
	if v.Report.loading() {
		return nil
	}
	if v.Report.holds(v.Wanted.Weights) {
		return append(p.finish(v, now), p.unload(v, now)...)
	}
	if v.Queue == nil {
		return nil
	}
	own, _, ok := v.Queue.Own(p.Side)
	if !ok || own.Service != p.Service || !slices.Equal(own.Weights, v.Wanted.Weights) {
		return p.want(v, now)
	}
	if !v.Queue.Turn(p.Side, v.Wanted.MaxLoads) {
		return nil
	}
	if effects := p.unload(v, now); len(effects) > 0 {
		return effects
	}
	return p.load(v, own, now)
}

// finish states what the target holds where the log does not show it.
func (p *Planner) finish(v View, now time.Time) []Effect {
	if v.Queue == nil {
		return nil
	}
	_, _, waits := v.Queue.Own(p.Side)
	known := slices.Equal(v.Queue.Held(p.Slot), v.Wanted.Weights)
	if known && !waits || !p.may("done", now) {
		return nil
	}
	return []Effect{Propose{Done{Side: p.Side, Slot: p.Slot, Service: p.Service, Weights: v.Wanted.Weights}}}
}

// unload gives up what is neither wanted nor served nor in use, and an adapter
// before the version that it is named after. So the target holds two versions at
// most, also where the catalogue changes before a load has ended.
func (p *Planner) unload(v View, now time.Time) []Effect {
	if !p.settled || len(p.serve) == 0 {
		return nil
	}
	var effects []Effect
	for _, m := range slices.Backward(slices.Sorted(maps.Keys(v.Report.Models))) {
		if slices.Contains(v.Wanted.Weights, m) || slices.Contains(p.serve, m) || v.InUse[m] || !p.may("unload "+m, now) {
			continue
		}
		effects = append(effects, Unload{Model: m})
	}
	return effects
}

func (p *Planner) want(v View, now time.Time) []Effect {
	if !p.may("want", now) {
		return nil
	}
	return []Effect{Propose{Want{
		Side: p.Side, Slot: p.Slot, Service: p.Service, Weights: v.Wanted.Weights, Change: v.Wanted.Change,
	}}}
}

// load orders the first weights that are missing; the others follow one by one,
// so that a turn is one transfer at a time. A load that failed in this turn ends
// the turn, so that a target that can't load doesn't hold up the others.
func (p *Planner) load(v View, own Place, now time.Time) []Effect {
	i := slices.IndexFunc(v.Wanted.Weights, func(w string) bool { return v.Report.Models[w] != Loaded })
	model := v.Wanted.Weights[i]
	tried := p.ordered[model] == own.At
	// A report may be older than the order, so it is not believed at once.
	if !p.may("load "+model, now) && tried {
		return nil
	}
	if tried && v.Report.Models[model] == Failed {
		p.hold("want", now.Add(retryAfter))
		return []Effect{p.skip(own, fmt.Sprintf("load of %q failed", model))}
	}
	if p.ordered == nil {
		p.ordered = make(map[string]logsvc.Offset)
	}
	p.ordered[model] = own.At
	return []Effect{Load{Model: model}}
}

// may reports whether an effect may be tried now, and notes that it is.
func (p *Planner) may(key string, now time.Time) bool {
	if now.Before(p.next[key]) {
		return false
	}
	maps.DeleteFunc(p.next, func(_ string, at time.Time) bool { return !now.Before(at) })
	p.hold(key, now.Add(repeatAfter))
	return true
}

// hold keeps an effect from being tried before the given time.
func (p *Planner) hold(key string, until time.Time) {
	if p.next == nil {
		p.next = make(map[string]time.Time)
	}
	p.next[key] = until
}
