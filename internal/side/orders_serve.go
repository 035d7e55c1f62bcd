package side

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/beryllanding/beryllanding/pkg/loads"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// weightsAfter is when a caller may come back to a target that has not loaded
// its weights.
const weightsAfter = time.Second

// serving holds the weights that runs start on. It is set before the side is
// registered and lets runs in.
type serving struct {
	mu      sync.Mutex
	managed bool
	weights []string
	uses    map[string]int
}

// set notes what the planner decided.
func (g *serving) set(d loads.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.managed, g.weights = d.Managed, d.Serve
}

// begin returns the model that a run is to use, empty where the catalogue names
// none. The weights stay in use until release is called.
func (g *serving) begin() (model string, release func(), refusal *refuse.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.managed:
		return "", func() {}, nil
	case len(g.weights) == 0:
		return "", nil, notRun(refuse.CodeNoTarget, weightsAfter, "the target has not loaded its weights yet")
	}
	weights := g.weights
	g.use(weights, 1)
	return weights[len(weights)-1], func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.use(weights, -1)
	}, nil
}

// use counts a run in or out. The caller holds the lock.
func (g *serving) use(weights []string, n int) {
	if g.uses == nil {
		g.uses = make(map[string]int)
	}
	for _, w := range weights {
		g.uses[w] += n
		if g.uses[w] == 0 {
			delete(g.uses, w)
		}
	}
}

// inUse returns the weights that runs in progress need.
func (g *serving) inUse() map[string]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	used := make(map[string]bool, len(g.uses))
	for w := range maps.Keys(g.uses) {
		used[w] = true
	}
	return used
}

// names returns the weights that runs start on.
func (g *serving) names() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.weights)
}

// beginModel is serving.begin for a side that may follow no weights.
func (s *Server) beginModel() (model string, release func(), refusal *refuse.Refusal) {
	if s.orders == nil {
		return "", func() {}, nil
	}
	return s.orders.serving.begin()
}

// lacksWeights reports whether the target has to load weights before it can
// serve.
func (s *Server) lacksWeights() bool {
	if s.orders == nil {
		return false
	}
	g := &s.orders.serving
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.managed && len(g.weights) == 0
}
