// Package loads folds the loads stream: which target of a service may load
// weights from the weight store now, and which has to wait. It also plans what
// a side process does about its target's weights.
//
// The queue paces; no promise rests on it. Where it guesses wrong about a side
// process, the weight store has one more transfer at a time than was asked for.
package loads

import (
	"encoding/json"
	"fmt"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// Item is a proposal in the loads stream: Want, Done or Skip.
type Item interface{ kind() string }

// Want asks for a place in the service's queue. It takes the place of an
// earlier want of the same slot where the service and the weights are the same,
// and else stands last.
type Want struct {
	Side ident.Incarnation `json:"side"`
	// Slot names the place beside one target. Successive incarnations of the
	// side process share it.
	Slot    string `json:"slot"`
	Service string `json:"service"`
	// Weights are what the target is to hold, as the catalogue names them.
	Weights []string `json:"weights"`
	// Change is the offset of the catalogue change that the want follows.
	Change logsvc.Offset `json:"change"`
}

// Done states that the slot's target holds the weights in full. It ends the
// slot's want.
type Done struct {
	Side    ident.Incarnation `json:"side"`
	Slot    string            `json:"slot"`
	Service string            `json:"service"`
	Weights []string          `json:"weights"`
}

// Skip ends a want that makes no progress. Any side process may propose it. The
// side that is skipped may want again, and then stands last.
type Skip struct {
	Side ident.Incarnation `json:"side"`
	// Want is the offset of the want that is meant, so that a late skip does
	// not end a newer one.
	Want   logsvc.Offset     `json:"want"`
	By     ident.Incarnation `json:"by"`
	Reason string            `json:"reason"`
}

func (Want) kind() string { return "want" }
func (Done) kind() string { return "done" }
func (Skip) kind() string { return "skip" }

// Encode returns the item as the log carries it.
func Encode(item Item) fold.Item { return fold.NewItem(item.kind(), item) }

// Decode parses an item of the loads stream.
func Decode(item fold.Item) (Item, error) {
	switch item.Kind {
	case "want":
		return decodeAs[Want](item)
	case "done":
		return decodeAs[Done](item)
	case "skip":
		return decodeAs[Skip](item)
	}
	return nil, fmt.Errorf("kind %q does not exist in the loads stream", item.Kind)
}

func decodeAs[T Item](item fold.Item) (Item, error) {
	var v T
	if err := json.Unmarshal(item.Body, &v); err != nil {
		return nil, fmt.Errorf("item of kind %q: %w", item.Kind, err)
	}
	return v, nil
}
