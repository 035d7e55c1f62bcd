package side

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/beryllanding/beryllanding/pkg/loads"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// weightsRetryAfter is the retry delay of a request to a target that has not loaded
// its weights.
const weightsRetryAfter = time.Second

// servedWeights holds the weights that new runs use, and counts the runs on each.
// It is set before the side is registered, that is before runs are admitted.
type servedWeights struct {
	mu      sync.Mutex
	managed bool
	weights []string
	uses    map[string]int
}

// set applies the planner's decision.
func (sw *servedWeights) set(d loads.Decision) {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.managed, sw.weights = d.Managed, d.Serve
}

// acquire returns the model that a run must use. The model is empty if the
// catalogue names no weights. The weights count as in use until release is called.
// If the target has not loaded its weights, acquire returns a refusal.
func (sw *servedWeights) acquire() (model string, release func(), refusal *refuse.Refusal) {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	switch {
	case !sw.managed:
		return "", func() {}, nil
	case len(sw.weights) == 0:
		return "", nil, notRun(refuse.CodeNoTarget, weightsRetryAfter, "the target has not loaded its weights yet")
	}
	weights := sw.weights
	sw.addUses(weights, 1)
	return weights[len(weights)-1], func() {
		sw.mu.Lock()
		defer sw.mu.Unlock()
		sw.addUses(weights, -1)
	}, nil
}

// addUses adds n to the use count of each of the weights. The caller holds the
// lock.
func (sw *servedWeights) addUses(weights []string, n int) {
	if sw.uses == nil {
		sw.uses = make(map[string]int)
	}
	for _, w := range weights {
		sw.uses[w] += n
		if sw.uses[w] == 0 {
			delete(sw.uses, w)
		}
	}
}

// inUse returns the weights that runs in progress need.
func (sw *servedWeights) inUse() map[string]bool {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	used := make(map[string]bool, len(sw.uses))
	for w := range maps.Keys(sw.uses) {
		used[w] = true
	}
	return used
}

// names returns the weights that new runs need. The model that they use is the last one.
func (sw *servedWeights) names() []string {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	return slices.Clone(sw.weights)
}

// acquireWeights returns the model that a run must use, like
// servedWeights.acquire. The model is empty if the side has no reconciler.
func (s *Server) acquireWeights() (model string, release func(), refusal *refuse.Refusal) {
	if s.reconciler == nil {
		return "", func() {}, nil
	}
	return s.reconciler.served.acquire()
}

// lacksWeights reports whether the target has to load weights before it can
// serve.
func (s *Server) lacksWeights() bool {
	if s.reconciler == nil {
		return false
	}
	sw := &s.reconciler.served
	sw.mu.Lock()
	defer sw.mu.Unlock()
	return sw.managed && len(sw.weights) == 0
}
