package opsvc

import (
	"context"
	"fmt"

	"github.com/beryllanding/beryllanding/pkg/catal"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// maxTopUpID bounds the id of a top-up, in bytes. Ids are kept for good.
const maxTopUpID = 128

// TopUp asks for tokens to be added to a budget.
type TopUp struct {
	// ID makes repetition safe; empty stands for a new one.
	ID     string
	Budget string
	// Tokens may be negative, to correct a mistake.
	Tokens ledger.Tokens
	// Unlisted allows a budget that is not in the catalogue.
	Unlisted bool
}

// TopUpResult says what became of a top-up.
type TopUpResult struct {
	ID      string        `json:"id"`
	Budget  string        `json:"budget"`
	Tokens  ledger.Tokens `json:"tokens"`
	Outcome Outcome       `json:"outcome"`
	// Repeated says that the top-up was in force before: nothing was added now.
	Repeated bool `json:"repeated,omitempty"`
	// Reason says why a top-up is invalid or in conflict.
	Reason string `json:"reason,omitempty"`
	// Paid is the sum of the budget's top-ups, where the outcome is known.
	Paid ledger.Tokens `json:"paid,omitempty"`
}

// TopUp proposes a top-up and waits until it is decided or the context ends. The
// error is about what came before the proposal: nothing was changed then.
func (s *Service) TopUp(ctx context.Context, ask TopUp) (TopUpResult, error) {
	if err := s.checkListed(ctx, ask); err != nil {
		return TopUpResult{}, err
	}
	item := ledger.TopUp{ID: ask.ID, Budget: ask.Budget, Tokens: ask.Tokens, Operator: s.Operator}
	if item.ID == "" {
		item.ID = s.newID()
	}
	if len(item.ID) > maxTopUpID {
		return TopUpResult{}, fmt.Errorf("id of the top-up has %d bytes, expected up to %d", len(item.ID), maxTopUpID)
	}
	result := TopUpResult{ID: item.ID, Budget: item.Budget, Tokens: item.Tokens}
	watch := topUpWatch{want: item}
	state := &ledger.State{OnDecision: watch.note}
	f, err := s.catchUp(ctx, s.budgetStream(item.Budget), state)
	if err != nil {
		return TopUpResult{}, err
	}
	if !watch.decided {
		watch.proposed = true
		result.Outcome = s.decide(ctx, f, ledger.Encode(item), func() bool { return watch.decided })
	}
	f.View(func(*fold.Reader) {
		b, _ := state.Budget(item.Budget)
		watch.fill(&result, b.Paid)
	})
	return result, nil
}

// checkListed returns an error where the budget is not in the catalogue, so that
// a misspelt name gets no tokens.
func (s *Service) checkListed(ctx context.Context, ask TopUp) error {
	if ask.Unlisted {
		return nil
	}
	var state catal.State
	if _, err := s.catchUp(ctx, ledger.CatalogueStream, &state); err != nil {
		return err
	}
	if _, ok := state.BudgetEntry(ask.Budget); !ok {
		return fmt.Errorf("catalogue entry of budget %q: %w; put it first, or allow an unlisted budget", ask.Budget, ErrNotFound)
	}
	return nil
}

// topUpWatch notes what the fold decides about one top-up. A refused one may be
// proposed again under its id, so that only what comes after the proposal counts
// for it.
type topUpWatch struct {
	want     ledger.TopUp
	proposed bool

	decided bool
	// same is false where the id was used for another top-up.
	same     bool
	repeated bool
	reason   ledger.Reason
}

// note looks at one decision of the fold.
func (w *topUpWatch) note(d ledger.Decision) {
	it, ok := d.Item.(ledger.TopUp)
	if !ok || it.ID != w.want.ID {
		return
	}
	if !w.proposed && !d.Held {
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

// fill completes the result where the fold has decided.
func (w *topUpWatch) fill(r *TopUpResult, paid ledger.Tokens) {
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
