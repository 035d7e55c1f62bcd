// Package engd is a stand-in for a model engine, for tests. It implements continuous
// batching, streaming, a prefix cache and orders, and has switches for its speed and
// failures. Its responses repeat the words of the last message, so a test can tell which
// request a response belongs to.
package engd

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/toggle"
)

var (
	// errFenced is returned for a fencing number below the highest seen.
	errFenced = errors.New("fencing number is too low")
	// errNoModel is returned for a model that is not loaded.
	errNoModel = errors.New("model is not loaded")
	// errFull is returned if too many requests are waiting.
	errFull = errors.New("too many requests wait")
)

// Engine is the model engine. The zero value serves every model. It is safe for
// concurrent use.
type Engine struct {
	// Switches may be changed at any time.
	Switches toggle.Box[Switches]
	// Weights is the base URL of the weight store to load models from. If it is empty,
	// models are loaded at once. Set it before use.
	Weights string
	// HTTP fetches from the weight store; nil stands for http.DefaultClient.
	HTTP *http.Client

	mu      sync.Mutex
	waiting queue
	running []*run
	arrived uint64
	// looping is set while the goroutine of loop runs.
	looping bool
	// wakeLoop wakes the loop while the engine is silent.
	wakeLoop chan struct{}
	cache    prefixCache
	counts   counts
	fence    uint64
	models   models
	role     string
	report   Status
	// reported is the time of report.
	reported time.Time
}

// New returns an engine with the given switches.
func New(s Switches) *Engine {
	e := &Engine{}
	e.Switches.Set(s)
	return e
}

// Status is the load that the engine reports.
type Status struct {
	Running           int `json:"running"`
	Waiting           int `json:"waiting"`
	CacheUsedPermille int `json:"cache-used-permille"`
	// Models holds the state of each model that was ordered and not unloaded: "loading",
	// "loaded" or "failed".
	Models map[string]string `json:"models"`
	Role   string            `json:"role"`
	// Fence is the highest fencing number seen.
	Fence uint64 `json:"fence"`
}

// Status returns the load, up to StatusLagMS old.
func (e *Engine) Status() Status {
	sw := e.Switches.Get()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	lag := time.Duration(sw.StatusLagMS) * time.Millisecond
	if e.reported.IsZero() || now.Sub(e.reported) >= lag {
		e.reported = now
		e.report = Status{
			Running:           len(e.running),
			Waiting:           len(e.waiting),
			CacheUsedPermille: e.cache.usedPermille(sw),
			Models:            e.models.states(),
			Role:              e.role,
			Fence:             e.fence,
		}
	}
	return e.report
}

// Events returns the published cache events from the given id on.
func (e *Engine) Events(from uint64) []Event {
	sw := e.Switches.Get()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.since(from, sw, time.Now())
}

// Counts returns the counts so far.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts.snapshot()
}

// checkFence returns errFenced for a fencing number below the highest seen. Otherwise
// it records the number as the highest. It does nothing if the switch CheckFence is
// off. The caller holds the lock.
func (e *Engine) checkFence(fence uint64, sw Switches) error {
	if !sw.CheckFence {
		return nil
	}
	if fence < e.fence {
		return errFenced
	}
	e.fence = fence
	return nil
}

// crash ends all runs without a response and resets all state but the counts.
func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashLocked()
}

func (e *Engine) crashLocked() {
	for _, r := range append(e.running, e.waiting...) {
		r.end(cutOff)
	}
	e.running = nil
	e.waiting = nil
	e.cache = prefixCache{}
	e.models = models{}
	e.fence = 0
	e.role = ""
}
