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

// maxCharges bounds the charges of one request.
const maxCharges = 64

// maxID bounds the length of the ids in a request, in bytes.
const maxID = 512

// maxFingerprint bounds the fingerprint of a request, in bytes.
const maxFingerprint = 64

// readyAfter is when a caller may come back to a side that is not registered.
const readyAfter = 500 * time.Millisecond

// checkRequest checks a request by itself. Nothing was run where it refuses.
func (s *Server) checkRequest(req *wire.RunRequest) *refuse.Refusal {
	if problem := requestProblem(req); problem != "" {
		return notRun(refuse.CodeBadRequest, 0, problem)
	}
	if req.GetSide() != "" && req.GetSide() != string(s.opts.Incarnation) {
		return notRun(refuse.CodeNoTarget, 0, fmt.Sprintf("the request is for side %q, this is %q", req.GetSide(), s.opts.Incarnation))
	}
	if req.GetService() != s.opts.Service {
		return notRun(refuse.CodeUnknownService, 0, fmt.Sprintf("service %q is not served here, but %q", req.GetService(), s.opts.Service))
	}
	if s.opts.ModelsOnly && req.GetCall() != nil {
		return notRun(refuse.CodeBadRequest, 0, fmt.Sprintf("service %q is a model and takes no calls", s.opts.Service))
	}
	size := len(req.GetModel().GetBody()) + len(req.GetCall().GetBody())
	if size > s.opts.MaxBody {
		return notRun(refuse.CodeTooLarge, 0, fmt.Sprintf("body of %d bytes exceeds the limit of %d", size, s.opts.MaxBody))
	}
	return nil
}

// requestProblem names what is wrong with a request, or nothing.
func requestProblem(req *wire.RunRequest) string {
	if n := len(req.GetRequestId()); n == 0 || n > maxID {
		return fmt.Sprintf("request id has %d bytes, it needs 1 to %d", n, maxID)
	}
	if n := len(req.GetAttemptId()); n == 0 || n > maxID {
		return fmt.Sprintf("attempt id has %d bytes, it needs 1 to %d", n, maxID)
	}
	if n := len(req.GetFingerprint()); n > maxFingerprint {
		return fmt.Sprintf("fingerprint has %d bytes, the limit is %d", n, maxFingerprint)
	}
	if n := len(req.GetCharges()); n > maxCharges {
		return fmt.Sprintf("%d charges exceed the limit of %d", n, maxCharges)
	}
	for _, c := range req.GetCharges() {
		if c.GetHolder() == "" || c.GetTokens() < 0 || c.GetTokens() > maxCharge {
			return fmt.Sprintf("charge of %d tokens on holder %q is not valid", c.GetTokens(), c.GetHolder())
		}
	}
	reserved := wire.SumCharges(wire.ChargesOf(req.GetCharges()))
	switch work := req.GetWork().(type) {
	case *wire.RunRequest_Model:
		return modelProblem(work.Model, req.GetOnce(), reserved)
	case *wire.RunRequest_Call:
		return callProblem(work.Call, reserved)
	}
	return "request has no work"
}

func modelProblem(m *wire.ModelWork, once bool, reserved ledger.Tokens) string {
	if once {
		return "a model request cannot be non-idempotent"
	}
	if m.GetPromptBound() < 0 || m.GetOutputBound() < 1 || m.GetPromptBound() >= reserved {
		return fmt.Sprintf("prompt bound %d and output bound %d do not fit the %d tokens reserved", m.GetPromptBound(), m.GetOutputBound(), reserved)
	}
	return ""
}

func callProblem(c *wire.CallWork, reserved ledger.Tokens) string {
	if c.GetPrice() < 0 || c.GetPrice() > reserved {
		return fmt.Sprintf("price of %d tokens is not within the %d reserved", c.GetPrice(), reserved)
	}
	for _, h := range c.GetHeaders() {
		if !httpguts.ValidHeaderFieldName(h.GetName()) || !httpguts.ValidHeaderFieldValue(h.GetValue()) {
			return fmt.Sprintf("header %q is not valid", h.GetName())
		}
	}
	return ""
}

// attemptOf returns the attempt that a request stands for.
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

// admission is what the fleet stream says about a run that asks to start.
type admission struct {
	// registered: the side has its fencing number.
	registered bool
	// stale: the fleet state is behind a gap.
	stale bool
	// open: the side has not been closed or declared gone.
	open bool
	// closed is a charged holder that is closed, if there is one.
	closed ident.Incarnation
}

// decide returns the refusal that the admission state calls for, if any.
func (st admission) decide(leaving bool) *refuse.Refusal {
	switch {
	case leaving:
		return notRun(refuse.CodeLeaving, 0, "the target is leaving")
	case !st.registered:
		return notRun(refuse.CodeLogDown, readyAfter, "the side process is not registered yet")
	case !st.open:
		return notRun(refuse.CodeLeaving, 0, "the side process was declared gone")
	case st.stale:
		return notRun(refuse.CodeLogDown, readyAfter, "the fleet state is behind a gap in the log")
	case st.closed != "":
		r := notRun(refuse.CodeHolderClosed, 0, fmt.Sprintf("holder %q is closed", st.closed))
		r.Holder = string(st.closed)
		return r
	}
	return nil
}

// admit decides whether a run may start. The run is in the table already.
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
	return st.decide(s.leaving.Load())
}
