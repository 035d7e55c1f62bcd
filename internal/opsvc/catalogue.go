package opsvc

import (
	"context"
	"fmt"

	"github.com/beryllanding/beryllanding/pkg/catal"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// Entry is a catalogue entry with its latest accepted change.
type Entry struct {
	Name string `json:"name"`
	// At is the offset of the latest accepted change, and the base of the next.
	At       logsvc.Offset `json:"at"`
	Change   string        `json:"change"`
	Operator string        `json:"operator"`
	// Exactly one of Service and Budget is set.
	Service *catal.Service `json:"service,omitempty"`
	Budget  *catal.Budget  `json:"budget,omitempty"`
}

// Catalogue returns the current entries, ordered by name.
func (s *Service) Catalogue(ctx context.Context) ([]Entry, error) {
	var state catal.State
	if _, err := s.catchUp(ctx, ledger.CatalogueStream, &state); err != nil {
		return nil, err
	}
	list := make([]Entry, 0)
	for _, r := range state.All() {
		list = append(list, newEntry(r))
	}
	return list, nil
}

// CatalogueEntry returns the current entry with the name, or ErrNotFound.
func (s *Service) CatalogueEntry(ctx context.Context, name string) (Entry, error) {
	var state catal.State
	if _, err := s.catchUp(ctx, ledger.CatalogueStream, &state); err != nil {
		return Entry{}, err
	}
	r, _ := state.Get(name)
	if r.Entry == nil {
		return Entry{}, fmt.Errorf("catalogue entry %q: %w", name, ErrNotFound)
	}
	return newEntry(r), nil
}

func newEntry(r catal.Record) Entry {
	e := Entry{Name: r.Name, At: r.At, Change: r.Change, Operator: r.Operator}
	switch v := r.Entry.(type) {
	case *catal.Service:
		e.Service = v
	case *catal.Budget:
		e.Budget = v
	}
	return e
}
