// Package loads folds the loads stream. The stream has a queue of load requests for
// each service and decides which targets may load weights from the weight store now.
// The package also plans the orders of a side process for its target's weights.
//
// The queue only limits the transfers from the weight store; no guarantee depends
// on it. If a load request is skipped although its target is still loading, one more
// transfer than configured runs at the same time.
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

// Request is a request to load weights. It gets a place in the service's queue. If the
// slot has an earlier request for the same service and weights, the new request takes
// the place of the earlier one. If the slot has an earlier request for another
// service or other weights, this request is removed and the new one is appended.
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

// Done states that the slot's target has loaded all of the weights. It ends the load
// request of the slot, unless another side made the request.
type Done struct {
	Side    ident.Incarnation `json:"side"`
	Slot    string            `json:"slot"`
	Service string            `json:"service"`
	Weights []string          `json:"weights"`
}

// Skip ends a load request that makes no progress. Any side process may propose it.
// The skipped side may make a new request, which is appended to the queue.
type Skip struct {
	Side ident.Incarnation `json:"side"`
	// Request is the offset of the request to end. It keeps a late Skip from ending a
	// newer request.
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
