// Package loads folds the loads stream: which target of a service may load
// weights from the weight store now, and which has to wait. It also plans what
// a side process does about its target's weights.
//
// The queue only limits the transfers from the weight store; no guarantee depends
// on it. If it misjudges a side process, one more transfer than configured runs at
// the same time.
package loads

import (
	"encoding/json"
	"fmt"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// Item is a proposal in the loads stream: Request, Done or Skip.
type Item interface{ kind() string }

// Request requests a place in the service's queue. If the slot has an earlier request
// for the same service and weights, it takes its place. Otherwise an earlier request
// of the slot is removed and the new one is appended.
type Request struct {
	Side ident.Incarnation `json:"side"`
	// Slot identifies the target that the side process works for. Successive
	// incarnations of the side process share it.
	Slot    string `json:"slot"`
	Service string `json:"service"`
	// Weights are the weights that the catalogue lists for the target.
	Weights []string `json:"weights"`
	// Change is the offset of the catalogue change that the request is based on.
	Change logsvc.Offset `json:"change"`
}

// Done states that the slot's target holds all of the weights. It ends the request
// of the slot, unless that is of another side.
type Done struct {
	Side    ident.Incarnation `json:"side"`
	Slot    string            `json:"slot"`
	Service string            `json:"service"`
	Weights []string          `json:"weights"`
}

// Skip ends a request that makes no progress. Any side process may propose it. The
// skipped side may propose a new request, which is appended.
type Skip struct {
	Side ident.Incarnation `json:"side"`
	// Request is the offset of the request to end. It keeps a late skip from ending a
	// newer one.
	Request logsvc.Offset     `json:"want"`
	By      ident.Incarnation `json:"by"`
	Reason  string            `json:"reason"`
}

func (Request) kind() string { return "want" }
func (Done) kind() string    { return "done" }
func (Skip) kind() string    { return "skip" }

// Encode returns the item in its log form.
func Encode(item Item) fold.Item { return fold.NewItem(item.kind(), item) }

// Decode parses an item of the loads stream.
func Decode(item fold.Item) (Item, error) {
	switch item.Kind {
	case "want":
		return decodeAs[Request](item)
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
