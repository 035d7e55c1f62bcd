package catal

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// changeKind is the kind of a change's item in the catalogue stream.
const changeKind = "change"

// Change is an operator's proposal to create, replace or delete one entry.
type Change struct {
	// ID is chosen by the operator's client. A second change with the same ID
	// has no effect, and the first one's verdict stands for both.
	ID string
	// Base is the offset of the entry's latest accepted change, which may be
	// its deletion. It is 0 for a name that the catalogue does not know.
	Base logsvc.Offset
	// Seen is the catalogue offset up to which the client had read. It matters
	// only for a name that the catalogue does not know: where the deletion of
	// an entry may have been forgotten since, the change is in conflict.
	Seen logsvc.Offset
	// Entry is the new entry; nil where Delete is set.
	Entry Entry
	// Delete names the entry to remove; empty where Entry is set.
	Delete   string
	Operator string
}

// Name returns the name of the entry that the change is about.
func (c *Change) Name() string {
	if c.Entry != nil {
		return c.Entry.EntryName()
	}
	return c.Delete
}

// changeBody is a change as the log carries it.
type changeBody struct {
	ID       string        `json:"id"`
	Base     logsvc.Offset `json:"base,omitempty"`
	Seen     logsvc.Offset `json:"seen,omitempty"`
	Service  *Service      `json:"service,omitempty"`
	Budget   *Budget       `json:"budget,omitempty"`
	Delete   string        `json:"delete,omitempty"`
	Operator string        `json:"operator"`
}

// Encode returns the change as an item of the catalogue stream.
func Encode(c Change) fold.Item {
	body := changeBody{ID: c.ID, Base: c.Base, Seen: c.Seen, Delete: c.Delete, Operator: c.Operator}
	switch e := c.Entry.(type) {
	case *Service:
		body.Service = e
	case *Budget:
		body.Budget = e
	}
	return fold.NewItem(changeKind, body)
}

// ErrMalformed reports an item that is not a change.
var ErrMalformed = errors.New("malformed catalogue change")

// Decode parses an item of the catalogue stream.
func Decode(item fold.Item) (Change, error) {
	if item.Kind != changeKind {
		return Change{}, fmt.Errorf("%w: kind %q does not exist in the catalogue stream", ErrMalformed, item.Kind)
	}
	var body changeBody
	if err := json.Unmarshal(item.Body, &body); err != nil {
		return Change{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return body.change()
}

// change checks that the body names one change to one entry.
func (b *changeBody) change() (Change, error) {
	c := Change{ID: b.ID, Base: b.Base, Seen: b.Seen, Delete: b.Delete, Operator: b.Operator}
	parts := 0
	if b.Service != nil {
		c.Entry = b.Service
		parts++
	}
	if b.Budget != nil {
		c.Entry = b.Budget
		parts++
	}
	if b.Delete != "" {
		parts++
	}
	if parts != 1 || b.ID == "" {
		return Change{}, fmt.Errorf("%w: expected an id and one of service, budget and delete", ErrMalformed)
	}
	return c, nil
}

// Verdict is what the fold decided about a change: Accepted, Conflict or
// Invalid.
type Verdict interface{ verdict() }

// Accepted says that the change is in force from the offset At on.
type Accepted struct {
	At logsvc.Offset `json:"at"`
}

// Conflict says that the change was based on an older state of the entry and
// had no effect.
type Conflict struct {
	// Winner is the id of the entry's latest accepted change. It is empty where
	// the entry was deleted so long ago that its last change is forgotten.
	Winner string `json:"winner"`
	// Operator made the winning change.
	Operator string `json:"operator"`
	// At is the offset of the winning change, and the base for another try.
	At logsvc.Offset `json:"at"`
}

// Invalid says that the change broke an invariant and had no effect.
type Invalid struct {
	Faults []string `json:"faults"`
}

func (Accepted) verdict() {}
func (Conflict) verdict() {}
func (Invalid) verdict()  {}
