package opsvc

import (
	"context"
	"fmt"

	"github.com/beryllanding/beryllanding/pkg/catal"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// maxTopUpID is the maximum length of the id of a top-up, in bytes. It is limited
// because ids are kept forever.
const maxTopUpID = 128

// TopUp is a request to add tokens to a budget.
type TopUp struct {
	// ID makes the request idempotent. If it is empty, a new id is created.
	ID     string
	Budget string
	// Tokens may be negative, to correct a mistake.
	Tokens ledger.Tokens
	// Unlisted allows a budget that is not in the catalogue.
	Unlisted bool
}

// TopUpResult is the outcome of a top-up.
type TopUpResult struct {
	ID      string        `json:"id"`
	Budget  string        `json:"budget"`
	Tokens  ledger.Tokens `json:"tokens"`
	Outcome Outcome       `json:"outcome"`
	// Repeated means that the top-up had been accepted before, and nothing was
	// added now.
	Repeated bool `json:"repeated,omitempty"`
	// Reason is the reason why a top-up is invalid or in conflict.
	Reason string `json:"reason,omitempty"`
	// Paid is the sum of the budget's top-ups. It is set if the outcome is known.
	Paid ledger.Tokens `json:"paid,omitempty"`
}

// TopUp proposes a top-up and waits until it is decided or the context ends. It
// returns an error only if it failed before the proposal. In that case nothing was
// changed.
func (s *Service) TopUp(ctx context.Context, req TopUp) (TopUpResult, error) {
	if err := s.checkListed(ctx, req); err != nil {
		return TopUpResult{}, err
	}
	item := ledger.TopUp{ID: req.ID, Budget: req.Budget, Tokens: req.Tokens, Operator: s.Operator}
	if item.ID == "" {
		item.ID = s.newID()
	}
	if len(item.ID) > maxTopUpID {
		return TopUpResult{}, fmt.Errorf("id of the top-up has %d bytes, expected up to %d", len(item.ID), maxTopUpID)
	}
	result := TopUpResult{ID: item.ID, Budget: item.Budget, Tokens: item.Tokens}
	tracker := topUpTracker{want: item}
	state := &ledger.State{OnDecision: tracker.record}
	f, err := s.catchUp(ctx, s.budgetStream(item.Budget), state)
	if err != nil {
		return TopUpResult{}, err
	}
	if !tracker.decided {
		tracker.proposed = true
		result.Outcome = s.decide(ctx, f, ledger.Encode(item), func() bool { return tracker.decided })
	}
	f.View(func(*fold.Reader) {
		b, _ := state.Budget(item.Budget)
		tracker.fill(&result, b.Paid)
	})
	return result, nil
}

// checkListed returns ErrNotFound if the budget is not in the catalogue, because its
// name may be misspelt.
func (s *Service) checkListed(ctx context.Context, req TopUp) error {
	if req.Unlisted {
		return nil
	}
	var state catal.State
	if _, err := s.catchUp(ctx, ledger.CatalogueStream, &state); err != nil {
		return err
	}
	if _, ok := state.BudgetEntry(req.Budget); !ok {
		return fmt.Errorf("catalogue entry of budget %q: %w; put it first, or allow an unlisted budget", req.Budget, ErrNotFound)
	}
	return nil
}

// topUpTracker records the decision of the fold on one top-up. A refused top-up may
// be proposed again with the same id, so a refusal counts only after the proposal.
type topUpTracker struct {
	want     ledger.TopUp
	proposed bool

	decided bool
	// same is false if the id was used for another top-up.
	same     bool
	repeated bool
	reason   ledger.Reason
}

// record handles one decision of the fold.
func (w *topUpTracker) record(d ledger.Decision) {
	it, ok := d.Item.(ledger.TopUp)
	if !ok || it.ID != w.want.ID {
		return
	}
	if !w.proposed && !d.Applied {
		return
	}
	if w.decided {
		return
	}
	w.decided = true
	w.same = it.Budget == w.want.Budget && it.Tokens == w.want.Tokens
	w.repeated = !w.proposed || d.Reason == ledger.ReasonRepeated
	w.reason = d.Reason
}

// fill completes the result if the fold has decided the top-up.
func (w *topUpTracker) fill(r *TopUpResult, paid ledger.Tokens) {
	if !w.decided {
		return
	}
	r.Paid = paid
	switch {
	case !w.same:
		r.Outcome, r.Reason = Conflict, "the id was used for another top-up"
	case w.repeated:
		r.Outcome, r.Repeated = Accepted, true
	case w.reason != ledger.ReasonNone:
		r.Outcome, r.Reason = Invalid, string(w.reason)
	default:
		r.Outcome = Accepted
	}
}
