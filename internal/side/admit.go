package side

import (
	"fmt"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// maxCharges is the largest number of charges in one request.
const maxCharges = 64

// maxID is the largest length of a request id or an attempt id, in bytes.
const maxID = 512

// maxFingerprint is the largest length of a request's fingerprint, in bytes.
const maxFingerprint = 64

// registerRetryAfter is the retry delay of a request to a side process that is not
// registered, or whose fleet state is stale.
const registerRetryAfter = 500 * time.Millisecond

// checkRequest validates a request without looking at any state. It returns nil
// if the request is valid, else a refusal with outcome "not run".
func (s *Server) checkRequest(req *wire.RunRequest) *refuse.Refusal {
	if problem := requestProblem(req); problem != "" {
		return notRun(refuse.CodeBadRequest, 0, problem)
	}
	if req.GetSide() != "" && req.GetSide() != string(s.opts.Incarnation) {
		return notRun(refuse.CodeNoTarget, 0, fmt.Sprintf("the request is for side %q, but this is side %q", req.GetSide(), s.opts.Incarnation))
	}
	if req.GetService() != s.opts.Service {
		return notRun(refuse.CodeUnknownService, 0, fmt.Sprintf("service %q is not served here; this side process serves %q", req.GetService(), s.opts.Service))
	}
	if s.opts.ModelsOnly && req.GetCall() != nil {
		return notRun(refuse.CodeBadRequest, 0, fmt.Sprintf("service %q is a model and takes no calls", s.opts.Service))
	}
	size := len(req.GetModel().GetBody()) + len(req.GetCall().GetBody())
	if size > s.opts.MaxBody {
		return notRun(refuse.CodeTooLarge, 0, fmt.Sprintf("body of %d bytes exceeds the limit of %d bytes", size, s.opts.MaxBody))
	}
	return nil
}

// requestProblem returns a description of what is wrong with a request. The
// description is empty if the request is valid.
func requestProblem(req *wire.RunRequest) string {
	if n := len(req.GetRequestId()); n == 0 || n > maxID {
		return fmt.Sprintf("request id has %d bytes, want 1 to %d", n, maxID)
	}
	if n := len(req.GetAttemptId()); n == 0 || n > maxID {
		return fmt.Sprintf("attempt id has %d bytes, want 1 to %d", n, maxID)
	}
	if n := len(req.GetFingerprint()); n > maxFingerprint {
		return fmt.Sprintf("fingerprint has %d bytes, the limit is %d", n, maxFingerprint)
	}
	if n := len(req.GetCharges()); n > maxCharges {
		return fmt.Sprintf("%d charges exceed the limit of %d", n, maxCharges)
	}
	for _, c := range req.GetCharges() {
		if c.GetHolder() == "" || c.GetTokens() < 0 || c.GetTokens() > maxCharge {
			return fmt.Sprintf("charge of %d tokens on holder %q is not valid: want a holder and 0 to %d tokens", c.GetTokens(), c.GetHolder(), maxCharge)
		}
	}
	reserved := wire.SumCharges(wire.ChargesOf(req.GetCharges()))
	switch work := req.GetWork().(type) {
	case *wire.RunRequest_Model:
		return modelProblem(work.Model, req.GetOnce(), reserved)
	case *wire.RunRequest_Call:
		return callProblem(work.Call, reserved)
	}
	return "request has neither a model request nor a call"
}

func modelProblem(m *wire.ModelWork, once bool, reserved ledger.Tokens) string {
	if once {
		return "a model request cannot be non-idempotent"
	}
	if m.GetPromptBound() < 0 || m.GetOutputBound() < 1 || m.GetPromptBound() >= reserved {
		return fmt.Sprintf("prompt bound %d and output bound %d do not fit in the %d tokens reserved", m.GetPromptBound(), m.GetOutputBound(), reserved)
	}
	return ""
}

func callProblem(c *wire.CallWork, reserved ledger.Tokens) string {
	if c.GetPrice() < 0 || c.GetPrice() > reserved {
		return fmt.Sprintf("price of %d tokens is not between 0 and the %d tokens reserved", c.GetPrice(), reserved)
	}
	for _, h := range c.GetHeaders() {
		if !httpguts.ValidHeaderFieldName(h.GetName()) || !httpguts.ValidHeaderFieldValue(h.GetValue()) {
			return fmt.Sprintf("header %q has an invalid name or value", h.GetName())
		}
	}
	return ""
}

// attemptOf returns the attempt that a request describes.
func attemptOf(req *wire.RunRequest) attempt {
	return attempt{
		id:          req.GetAttemptId(),
		request:     req.GetRequestId(),
		fingerprint: req.GetFingerprint(),
		budget:      req.GetBudget(),
		charges:     wire.ChargesOf(req.GetCharges()),
		keyed:       req.GetKeyed(),
		once:        req.GetOnce(),
		joinOnly:    req.GetJoin(),
	}
}

// admission is the state that decides whether a run may start. It comes from the
// fleet stream.
type admission struct {
	// registered reports whether the side has its fencing number.
	registered bool
	// stale reports whether the fleet state is incomplete because log records
	// expired before they were read.
	stale bool
	// open reports whether the side is registered and has not ended. A side ends when
	// it is closed, is declared gone, or is fenced by a later side of its slot.
	open bool
	// closed is a closed holder that the run is charged to. It is empty if all
	// holders of the run are open.
	closed ident.Incarnation
}

// refusal returns why the run may not start, or nil if it may.
func (st admission) refusal(draining bool) *refuse.Refusal {
	switch {
	case draining:
		return notRun(refuse.CodeDraining, 0, "the target is draining")
	case !st.registered:
		return notRun(refuse.CodeLogUnavailable, registerRetryAfter, "the side process is not registered yet")
	case !st.open:
		return notRun(refuse.CodeDraining, 0, "the side process has ended: it was closed, declared gone, or replaced by a later one of its slot")
	case st.stale:
		return notRun(refuse.CodeLogUnavailable, registerRetryAfter, "the fleet state is incomplete: log records expired before they were read")
	case st.closed != "":
		r := notRun(refuse.CodeHolderClosed, 0, fmt.Sprintf("holder %q is closed", st.closed))
		r.Holder = string(st.closed)
		return r
	}
	return nil
}

// admit returns why a run may not start, or nil if it may. The run must be in the
// table already; see launch.
func (s *Server) admit(r *run) *refuse.Refusal {
	st := admission{registered: s.fence.Load() != 0}
	s.fleet.View(func(reader *fold.Reader) {
		st.stale = reader.Stale()
		st.open = s.fleetState.Open(s.opts.Incarnation)
		for _, c := range r.charges {
			if s.fleetState.Closed(c.Holder) {
				st.closed = c.Holder
			}
		}
	})
	return st.refusal(s.draining.Load())
}
