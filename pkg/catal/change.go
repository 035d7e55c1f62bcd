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

// MaxIDLen bounds the id of a change, in bytes.
const MaxIDLen = 128

// Change is an operator's proposal to create, replace or delete one entry.
type Change struct {
	// ID is chosen by the operator's client and has 1 to MaxIDLen bytes. A later
	// change with the same ID has no effect and gets the verdict of the first.
	ID string
	// Base is the offset of the entry's latest accepted change, which may be a
	// deletion. It is 0 if the catalogue has no record of the name.
	Base logsvc.Offset
	// Seen is the catalogue offset up to which the client has read. It is
	// checked only if the catalogue has no record of the name. The change is a
	// conflict if a deletion after Seen has been forgotten, since the deleted
	// entry may have had this name.
	Seen logsvc.Offset
	// Entry is the new entry; nil if Delete is set.
	Entry Entry
	// Delete names the entry to remove; empty if Entry is set.
	Delete   string
	Operator string
}

// Name returns the name of the entry that the change writes or deletes.
func (c *Change) Name() string {
	if c.Entry != nil {
		return c.Entry.EntryName()
	}
	return c.Delete
}

// changeBody is the JSON form of a Change in the log.
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

// ErrMalformed is returned by Decode for an item that is not a valid change.
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

// change converts the body to a Change. It fails unless exactly one of service,
// budget and delete is set and the ID has 1 to MaxIDLen bytes.
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
	if parts != 1 || b.ID == "" || len(b.ID) > MaxIDLen {
		return Change{}, fmt.Errorf("%w: expected an id of 1 to %d bytes and exactly one of service, budget and delete", ErrMalformed, MaxIDLen)
	}
	return c, nil
}

// Verdict is the outcome of a change: Accepted, Conflict or Invalid.
type Verdict interface{ verdict() }

// Accepted means that the change takes effect at the offset At.
type Accepted struct {
	At logsvc.Offset `json:"at"`
}

// Conflict means that the change was not based on the entry's latest accepted
// change and had no effect.
type Conflict struct {
	// Winner is the id of the entry's latest accepted change. It is empty if the
	// catalogue has no record of the name, for example because the entry was
	// deleted and the deletion has been forgotten.
	Winner string `json:"winner"`
	// Operator made the winning change.
	Operator string `json:"operator"`
	// At is the offset of the winning change, to be used as the Base of a retry.
	At logsvc.Offset `json:"at"`
}

// Invalid means that the change broke an invariant and had no effect. Only the
// first maxFaults faults are kept, each truncated to maxFaultLen bytes.
type Invalid struct {
	Faults []string `json:"faults"`
}

func (Accepted) verdict() {}
func (Conflict) verdict() {}
func (Invalid) verdict()  {}
