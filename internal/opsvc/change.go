package opsvc

import (
	"context"
	"fmt"

	"github.com/beryllanding/beryllanding/pkg/catal"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// Change is a request to change the catalogue.
type Change struct {
	// ID makes the request idempotent. If it is empty, a new id is created.
	ID string
	// Base is the offset of the change that this one is based on; nil stands for
	// the entry's latest change.
	Base *logsvc.Offset
	// Entry is the new entry; nil if Delete is set.
	Entry catal.Entry
	// Delete names the entry to remove.
	Delete string
}

// ChangeResult is the outcome of a change.
type ChangeResult struct {
	ID      string        `json:"id"`
	Name    string        `json:"name"`
	Base    logsvc.Offset `json:"base"`
	Outcome Outcome       `json:"outcome"`
	// At is the offset of the entry's latest accepted change: this change if it
	// was accepted, or the winner of a conflict.
	At logsvc.Offset `json:"at,omitempty"`
	// Winner is the id of the change that won a conflict, and WinnerOperator its
	// operator.
	Winner         string   `json:"winner,omitempty"`
	WinnerOperator string   `json:"winner-operator,omitempty"`
	Faults         []string `json:"faults,omitempty"`
}

// Change proposes a change and waits until it is decided or the context ends. It
// returns an error only if it failed before the proposal. In that case nothing was
// changed.
func (s *Service) Change(ctx context.Context, req Change) (ChangeResult, error) {
	var state catal.State
	f, err := s.catchUp(ctx, ledger.CatalogueStream, &state)
	if err != nil {
		return ChangeResult{}, err
	}
	c, err := s.prepare(req, &state, f.Offset())
	if err != nil {
		return ChangeResult{}, err
	}
	result := ChangeResult{ID: c.ID, Name: c.Name(), Base: c.Base}
	if v := state.Verdict(c.ID); v != nil {
		result.fill(v)
		return result, nil
	}
	result.Outcome = s.decide(ctx, f, catal.Encode(c), func() bool { return state.Verdict(c.ID) != nil })
	f.View(func(*fold.Reader) { result.fill(state.Verdict(c.ID)) })
	return result, nil
}

// prepare validates the request and returns its change, based on the state that
// was read up to the offset seen.
func (s *Service) prepare(req Change, state *catal.State, seen logsvc.Offset) (catal.Change, error) {
	c := catal.Change{ID: req.ID, Seen: seen, Entry: req.Entry, Delete: req.Delete, Operator: s.Operator}
	if c.ID == "" {
		c.ID = s.newID()
	}
	if len(c.ID) > catal.MaxIDLen {
		return c, fmt.Errorf("id of the change has %d bytes, expected up to %d", len(c.ID), catal.MaxIDLen)
	}
	if c.Entry != nil {
		if err := catal.Validate(c.Entry); err != nil {
			return c, err
		}
	}
	r, _ := state.Get(c.Name())
	if c.Entry == nil && r.Entry == nil && state.Verdict(c.ID) == nil {
		return c, fmt.Errorf("catalogue entry %q: %w", c.Name(), ErrNotFound)
	}
	c.Base = r.At
	if req.Base != nil {
		c.Base = *req.Base
	}
	return c, nil
}

// fill sets the outcome from the verdict, which may be nil.
func (r *ChangeResult) fill(v catal.Verdict) {
	switch v := v.(type) {
	case catal.Accepted:
		r.Outcome, r.At = Accepted, v.At
	case catal.Conflict:
		r.Outcome, r.At = Conflict, v.At
		r.Winner, r.WinnerOperator = v.Winner, v.Operator
	case catal.Invalid:
		r.Outcome, r.Faults = Invalid, v.Faults
	}
}
