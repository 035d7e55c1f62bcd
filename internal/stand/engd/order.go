package engd

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
)

// Order is an order to the engine. Fence is the fencing number of the sender, which
// grows with each new sender.
type Order struct {
	// Action is "load", "unload", "role" or "fence".
	Action string `json:"action"`
	Model  string `json:"model,omitempty"`
	// Role is the new role if the action is "role".
	Role  string `json:"role,omitempty"`
	Fence uint64 `json:"fence"`
}

// States of a model.
const (
	stateLoading = "loading"
	stateLoaded  = "loaded"
	stateFailed  = "failed"
)

// models holds the state of each model that was ordered. The zero value serves every
// model, until the first order to load or unload one.
type models struct{ state map[string]string }

func (m *models) serves(name string) bool {
	return m.state == nil || m.state[name] == stateLoaded
}

func (m *models) set(name, state string) {
	if m.state == nil {
		m.state = make(map[string]string)
	}
	m.state[name] = state
}

func (m *models) unset(name string) {
	if m.state == nil {
		m.state = make(map[string]string)
	}
	delete(m.state, name)
}

func (m *models) states() map[string]string {
	states := maps.Clone(m.state)
	if states == nil {
		states = map[string]string{}
	}
	return states
}

// Execute executes an order. A load from the weight store continues after Execute has
// returned. The error is errFenced for an outdated fencing number, or names the invalid
// field.
func (e *Engine) Execute(o Order) error {
	sw := e.Switches.Get()
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := o.check(); err != nil {
		return err
	}
	if err := e.checkFence(o.Fence, sw); err != nil {
		return fmt.Errorf("%w: order has %d, the highest seen is %d", err, o.Fence, e.fence)
	}
	switch o.Action {
	case "load":
		e.load(o.Model)
	case "unload":
		e.models.unset(o.Model)
	case "role":
		e.role = o.Role
	}
	return nil
}

// check returns an error that names the invalid field.
func (o Order) check() error {
	switch o.Action {
	case "load", "unload":
		if o.Model == "" {
			return fmt.Errorf("order %q names no model", o.Action)
		}
	case "role":
		if o.Role == "" {
			return fmt.Errorf("order %q names no role", o.Action)
		}
	case "fence":
	default:
		return fmt.Errorf("action %q does not exist", o.Action)
	}
	return nil
}

// load loads a model. It fetches from the weight store, if there is one, in the
// background. The caller holds the lock.
func (e *Engine) load(model string) {
	if e.Weights == "" {
		e.models.set(model, stateLoaded)
		return
	}
	if s := e.models.state[model]; s == stateLoading || s == stateLoaded {
		return
	}
	e.models.set(model, stateLoading)
	go func() {
		state := stateLoaded
		if e.fetch(model) != nil {
			state = stateFailed
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.models.state[model] == stateLoading {
			e.models.set(model, state)
		}
	}()
}

// fetch downloads and discards a model's weights from the weight store.
func (e *Engine) fetch(model string) error {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, e.Weights+"/weights/"+url.PathEscape(model), nil)
	if err != nil {
		return err
	}
	client := e.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("weights of %q: status %d", model, resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
