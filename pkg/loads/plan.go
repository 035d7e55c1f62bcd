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
	// repeatAfter is the pause before an effect without a visible result is tried
	// again.
	repeatAfter = 5 * time.Second
	// retryAfter is the pause between a failed load and the next load request.
	retryAfter = 30 * time.Second
	// closedSideTimeout is how long a load request of a side that is not open may
	// be at the head of the queue before it is skipped. It is not 0 because the
	// fleet stream may be read later than the loads stream.
	closedSideTimeout = 5 * time.Second
	// reportTimeout is how long a target may send no report before its side skips
	// its own load request.
	reportTimeout = 15 * time.Second
	// skipStagger is how much longer each further side in the queue waits before
	// it skips the head. It keeps the sides from all proposing the same skip.
	skipStagger = 2 * time.Second
	// DefaultMaxLoads is the number of targets of a service that may load at the
	// same time if the catalogue does not set it.
	DefaultMaxLoads = 2
	// DefaultTimeout is how long a load request may be at the head of the queue
	// before it is skipped.
	DefaultTimeout = 10 * time.Minute
)

// Desired is the part of the catalogue entry of the side's service that concerns
// weights.
type Desired struct {
	Weights []string
	// Role is the role that the engine has to take. If it is empty, the engine keeps
	// its current role.
	Role     string
	MaxLoads int
	// Change is the offset of the entry's latest change.
	Change logsvc.Offset
}

// Report is a target's report of its own state.
type Report struct {
	// Models holds Loading, Loaded or Failed for each model.
	Models map[string]string `json:"models"`
	Role   string            `json:"role"`
	Fence  uint64            `json:"fence"`
}

// View is the input of one step of the planner.
type View struct {
	Desired Desired
	// Report is nil if the target did not respond.
	Report *Report
	// Queue is nil if the loads stream cannot be followed.
	Queue *State
	// Open reports whether a side is open in the fleet stream.
	Open func(ident.Incarnation) bool
	// InUse holds the models that runs in progress use.
	InUse map[string]bool
}

// Planner plans the actions by which a side process makes its target load the
// desired weights. Set the exported fields before use.
type Planner struct {
	Side    ident.Incarnation
	Slot    string
	Service string
	// Timeout is how long a load request may be at the head of the queue before it
	// is skipped; 0 means DefaultTimeout.
	Timeout time.Duration

	// serve is Decision.Serve of the latest step.
	serve []string
	// serveUnchanged means that the latest step with a report did not change
	// serve. While it is false, View.InUse may lack runs on other weights.
	serveUnchanged bool
	// lastReport is the time of the latest report, or of the first step if there
	// was none.
	lastReport time.Time
	// notBefore is the earliest time of the next try of each effect, by the key of
	// the effect.
	notBefore map[string]time.Time
	// lastOrdered maps each model to the offset of the load request under which the
	// target was last ordered to load it.
	lastOrdered map[string]logsvc.Offset
	// headSince is when each load request, by offset, was first seen at the head of
	// the queue.
	headSince map[logsvc.Offset]time.Time
}

// Step returns the decision for the current view.
func (p *Planner) Step(v View, now time.Time) Decision {
	if len(v.Desired.Weights) == 0 {
		p.serve = nil
		return Decision{}
	}
	if v.Desired.MaxLoads <= 0 {
		v.Desired.MaxLoads = DefaultMaxLoads
	}
	d := Decision{Managed: true}
	if v.Report != nil || p.lastReport.IsZero() {
		p.lastReport = now
	}
	if v.Report == nil {
		d.Serve = p.serve
		d.Effects = p.skipOwn(v, now)
		return d
	}
	p.chooseServe(v)
	d.Serve = p.serve
	d.Effects = append(p.setRole(v, now), p.updateWeights(v, now)...)
	d.Effects = append(d.Effects, p.skipHeads(v, now)...)
	return d
}

// chooseServe sets the weights to serve. It keeps the previous weights until the
// desired ones are all loaded. A new incarnation reads the previous weights from the
// log.
func (p *Planner) chooseServe(v View) {
	before := p.serve
	if p.serve == nil && v.Queue != nil {
		p.serve = v.Queue.LastLoaded(p.Slot)
	}
	switch {
	case v.Report.hasLoaded(v.Desired.Weights):
		p.serve = v.Desired.Weights
	case !v.Report.hasLoaded(p.serve):
		p.serve = nil
	}
	p.serveUnchanged = slices.Equal(before, p.serve)
}

// hasLoaded reports whether all of the weights are loaded.
func (r *Report) hasLoaded(weights []string) bool {
	for _, w := range weights {
		if r.Models[w] != Loaded {
			return false
		}
	}
	return true
}

// isLoading reports whether a load is in progress at the target.
func (r *Report) isLoading() bool {
	return slices.Contains(slices.Collect(maps.Values(r.Models)), Loading)
}

func (p *Planner) setRole(v View, now time.Time) []Effect {
	want := v.Desired.Role
	if want == "" || want == v.Report.Role || !p.tryNow("role "+want, now) {
		return nil
	}
	return []Effect{SetRole{Role: want}}
}

// updateWeights returns the effects that make the target load the desired weights.
// It returns none while a load is in progress. The load counts for its request in
// the queue until it ends, even if the catalogue has changed since.
func (p *Planner) updateWeights(v View, now time.Time) []Effect {
	if v.Report.isLoading() {
		return nil
	}
	if v.Report.hasLoaded(v.Desired.Weights) {
		return append(p.proposeDone(v, now), p.unload(v, now)...)
	}
	if v.Queue == nil {
		return nil
	}
	own, _, ok := v.Queue.Entry(p.Side)
	if !ok || own.Service != p.Service || !slices.Equal(own.Weights, v.Desired.Weights) {
		return p.proposeWant(v, now)
	}
	if !v.Queue.MayLoad(p.Side, v.Desired.MaxLoads) {
		return nil
	}
	if effects := p.unload(v, now); len(effects) > 0 {
		return effects
	}
	return p.load(v, own, now)
}

// proposeDone returns a proposal of a Done, or no effect if none is needed. A Done is
// needed while the log does not show that the target has the desired weights, or
// still has a load request of the side.
func (p *Planner) proposeDone(v View, now time.Time) []Effect {
	if v.Queue == nil {
		return nil
	}
	_, _, waits := v.Queue.Entry(p.Side)
	known := slices.Equal(v.Queue.LastLoaded(p.Slot), v.Desired.Weights)
	if known && !waits || !p.tryNow("done", now) {
		return nil
	}
	return []Effect{Propose{Done{Side: p.Side, Slot: p.Slot, Service: p.Service, Weights: v.Desired.Weights}}}
}

// unload returns orders to unload the models that are not desired, not served and not
// in use. The orders are in descending order of name, so an adapter is unloaded
// before the version that it is named after. The target therefore has at most two
// versions, even if the catalogue changes during a load.
func (p *Planner) unload(v View, now time.Time) []Effect {
	if !p.serveUnchanged || len(p.serve) == 0 {
		return nil
	}
	var effects []Effect
	for _, m := range slices.Backward(slices.Sorted(maps.Keys(v.Report.Models))) {
		if slices.Contains(v.Desired.Weights, m) || slices.Contains(p.serve, m) || v.InUse[m] || !p.tryNow("unload "+m, now) {
			continue
		}
		effects = append(effects, Unload{Model: m})
	}
	return effects
}

func (p *Planner) proposeWant(v View, now time.Time) []Effect {
	if !p.tryNow("want", now) {
		return nil
	}
	return []Effect{Propose{Request{
		Side: p.Side, Slot: p.Slot, Service: p.Service, Weights: v.Desired.Weights, Change: v.Desired.Change,
	}}}
}

// load returns the order to load the first missing weights. The others follow one by
// one, since a target has one transfer at a time. If a load fails, load returns a
// skip of the side's own request, so that a target that cannot load does not block
// the others.
func (p *Planner) load(v View, own QueueEntry, now time.Time) []Effect {
	i := slices.IndexFunc(v.Desired.Weights, func(w string) bool { return v.Report.Models[w] != Loaded })
	model := v.Desired.Weights[i]
	tried := p.lastOrdered[model] == own.At
	// The report may be older than the order, so it counts only after a wait.
	if !p.tryNow("load "+model, now) && tried {
		return nil
	}
	if tried && v.Report.Models[model] == Failed {
		p.postpone("want", now.Add(retryAfter))
		return []Effect{p.skip(own, fmt.Sprintf("load of %q failed", model))}
	}
	if p.lastOrdered == nil {
		p.lastOrdered = make(map[string]logsvc.Offset)
	}
	p.lastOrdered[model] = own.At
	return []Effect{Load{Model: model}}
}

// tryNow reports whether an effect may be tried now. If it returns true, it has
// postponed the next try by repeatAfter.
func (p *Planner) tryNow(key string, now time.Time) bool {
	if now.Before(p.notBefore[key]) {
		return false
	}
	maps.DeleteFunc(p.notBefore, func(_ string, at time.Time) bool { return !now.Before(at) })
	p.postpone(key, now.Add(repeatAfter))
	return true
}

// postpone prevents an effect from being tried before the given time.
func (p *Planner) postpone(key string, until time.Time) {
	if p.notBefore == nil {
		p.notBefore = make(map[string]time.Time)
	}
	p.notBefore[key] = until
}
