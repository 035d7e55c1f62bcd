package opsvc

import (
	"context"
	"fmt"

	"github.com/beryllanding/beryllanding/pkg/catal"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// Change asks for a change of the catalogue.
type Change struct {
	// ID makes repetition safe; empty stands for a new one.
	ID string
	// Base is the offset that the change is based on; nil stands for the
	// entry's latest.
	Base *logsvc.Offset
	// Entry is the new entry; nil where Delete is set.
	Entry catal.Entry
	// Delete names the entry to remove.
	Delete string
}

// ChangeResult says what became of a change.
type ChangeResult struct {
	ID      string        `json:"id"`
	Name    string        `json:"name"`
	Base    logsvc.Offset `json:"base"`
	Outcome Outcome       `json:"outcome"`
	// At is the offset from which the entry is in force: that of this change
	// where it was accepted, that of the winner in a conflict.
	At logsvc.Offset `json:"at,omitempty"`
	// Winner and WinnerOperator name the change that is in force instead.
	Winner         string   `json:"winner,omitempty"`
	WinnerOperator string   `json:"winner-operator,omitempty"`
	Faults         []string `json:"faults,omitempty"`
}

// Change proposes a change and waits until it is decided or the context ends.
// The error is about what came before the proposal: nothing was changed then.
func (s *Service) Change(ctx context.Context, ask Change) (ChangeResult, error) {
	var state catal.State
	f, err := s.catchUp(ctx, ledger.CatalogueStream, &state)
	if err != nil {
		return ChangeResult{}, err
	}
	c, err := s.prepare(ask, &state, f.Offset())
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

// prepare completes the change from the state that was read.
func (s *Service) prepare(ask Change, state *catal.State, seen logsvc.Offset) (catal.Change, error) {
	c := catal.Change{ID: ask.ID, Seen: seen, Entry: ask.Entry, Delete: ask.Delete, Operator: s.Operator}
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
	if ask.Base != nil {
		c.Base = *ask.Base
	}
	return c, nil
}

// fill takes the outcome from the verdict, if there is one.
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
