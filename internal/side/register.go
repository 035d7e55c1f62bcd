package side

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/beryllanding/beryllanding/pkg/fleet"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/pause"
)

// orderRetryPause is the pause before an order to the target, or a read of the
// catalogue, is retried.
const orderRetryPause = 200 * time.Millisecond

// orderTimeout limits one order to the target, one cancellation and one read of
// the target's load report.
const orderTimeout = 2 * time.Second

// register proposes the side's SideOpen on the fleet stream, and admits runs once
// the SideOpen is folded. The closings of holders that do not wait for this side
// precede its SideOpen in the stream, so the side has read all of them by then.
func (s *Server) register(ctx context.Context) {
	s.fleetWriter.Propose(fleet.Encode(fleet.SideOpen{
		Side: s.opts.Incarnation, Slot: s.opts.Slot, Service: s.opts.Service,
	}), nil)
	var own fleet.Side
	err := s.fleet.Wait(ctx, func(r *fold.Reader) bool {
		var ok bool
		own, ok = s.fleetState.Lookup(s.opts.Incarnation)
		return ok && !r.Stale()
	})
	if err != nil {
		return
	}
	if !s.awaitCatalogue(ctx) {
		return
	}
	if s.opts.TargetChecksFence {
		if !s.sendFence(ctx, uint64(own.Fence)) {
			return
		}
		s.fleetWriter.Propose(fleet.Encode(fleet.SideFence{Side: s.opts.Incarnation}), nil)
	}
	s.fence.Store(uint64(own.Fence))
}

// sendFence sends the side's fencing number to the engine until the engine
// confirms it. It returns false if the context ends, or if the engine has received
// a higher number. In the second case a later side process has taken over, and this
// one refuses new work.
func (s *Server) sendFence(ctx context.Context, fence uint64) bool {
	for {
		status, err := s.postOrder(ctx, fence, struct {
			Action string `json:"action"`
			Fence  uint64 `json:"fence"`
		}{Action: "fence", Fence: fence})
		if err == nil && status == http.StatusOK {
			return true
		}
		if err == nil && (status == http.StatusConflict || status == http.StatusPreconditionFailed) {
			s.SetDraining()
			return false
		}
		if !pause.For(ctx, orderRetryPause) {
			return false
		}
	}
}

// SendOrder sends an order to the engine with the side's fencing number, and returns
// the engine's HTTP status. It returns an error if the side is not registered yet.
func (s *Server) SendOrder(ctx context.Context, body any) (int, error) {
	fence := s.fence.Load()
	if fence == 0 {
		return 0, fmt.Errorf("side %q is not registered yet", s.opts.Incarnation)
	}
	return s.postOrder(ctx, fence, body)
}

// postOrder posts one order to the target.
func (s *Server) postOrder(ctx context.Context, fence uint64, body any) (int, error) {
	return s.postJSON(ctx, s.client, "/orders", fence, body)
}

// postJSON posts a JSON body to a path of the target and returns the HTTP status.
func (s *Server) postJSON(ctx context.Context, client *http.Client, path string, fence uint64, body any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.opts.Target+path, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	setFence(req.Header, fence)
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}
