package fold

import (
	"encoding/json"
	"fmt"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// Batch is the content of one log record. It contains the items of one append by
// one writer.
type Batch struct {
	// Writer is the writer's name. It is unique to the incarnation and not
	// reused after a restart.
	Writer string `json:"writer"`
	// Seq counts the writer's batches in this stream from 1. A batch appended
	// twice has the same Seq twice, and only its first copy is folded.
	Seq   uint64 `json:"seq"`
	Items []Item `json:"items"`
}

// valid reports whether the batch has a writer and a sequence number.
func (b Batch) valid() bool { return b.Writer != "" && b.Seq > 0 }

// Item is one proposal in a batch. The fold decides whether it takes effect.
type Item struct {
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// NewItem encodes body as an item of the given kind. It panics if body
// cannot be encoded, which is a programming error.
func NewItem(kind string, body any) Item {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("fold: item %q cannot be encoded: %v", kind, err))
	}
	return Item{Kind: kind, Body: raw}
}

// Position locates an item in its stream.
type Position struct {
	Offset logsvc.Offset `json:"offset"`
	// Index counts the items of the record from 0.
	Index int `json:"index"`
	// Writer is the writer of the batch that holds the item.
	Writer string `json:"writer"`
}

// StateMachine is a deterministic state machine driven by the items of one stream.
// Two machines that applied the same items hold the same state.
type StateMachine interface {
	// Apply folds one item and never fails. An item that is malformed, unknown
	// or not allowed at its position has no effect.
	Apply(at Position, item Item)
	// Snapshot encodes the state. Equal states encode to equal bytes.
	Snapshot() ([]byte, error)
	// Restore replaces the state with a snapshot. On error the state is unchanged.
	Restore(snapshot []byte) error
}
