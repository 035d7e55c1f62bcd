// Package fleet folds the fleet stream. The stream decides which side processes may
// start work, which holders of leases are closed, and which closings are final.
package fleet

import (
	"encoding/json"
	"fmt"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
)

// Item is a proposal in the fleet stream: SideOpen, SideFence, SideClose,
// SideGone, HolderClose or Ack.
type Item interface{ kind() string }

// SideOpen registers a side process. The side process may start work only after the
// item is folded. The item's offset is the side's fencing number.
type SideOpen struct {
	Side ident.Incarnation `json:"side"`
	// Slot identifies the target that the side process works for. Successive
	// incarnations of the side process share it.
	Slot    string `json:"slot"`
	Service string `json:"service"`
}

// SideFence reports that the target of the side's slot rejects every order with
// a lower fencing number than the side's. It proves that earlier sides of the slot
// can start no more work. The side proposes it only after two steps: it has read its
// number from the folded SideOpen, and the target has confirmed an order with this
// number.
type SideFence struct {
	Side ident.Incarnation `json:"side"`
}

// SideClose ends a side process gracefully. The side proposes it after its runs have
// ended and its usage and claims are in the log.
type SideClose struct {
	Side ident.Incarnation `json:"side"`
}

// SideGone states that a side process can start no more work. The system does not
// verify the statement, so the operator who proposes it has to be certain.
type SideGone struct {
	Side   ident.Incarnation `json:"side"`
	By     string            `json:"by"`
	Reason string            `json:"reason"`
}

// HolderClose closes a holder. No more work that is charged to the holder may start.
type HolderClose struct {
	Holder ident.Incarnation `json:"holder"`
	By     string            `json:"by"`
	Reason string            `json:"reason"`
}

// Ack states that the side process refuses work charged to the holder, that no
// such work is running there, and that the usage of all such work is in the log.
type Ack struct {
	Side   ident.Incarnation `json:"side"`
	Holder ident.Incarnation `json:"holder"`
}

func (SideOpen) kind() string    { return "side-open" }
func (SideFence) kind() string   { return "side-fence" }
func (SideClose) kind() string   { return "side-close" }
func (SideGone) kind() string    { return "side-gone" }
func (HolderClose) kind() string { return "holder-close" }
func (Ack) kind() string         { return "ack" }

// Encode returns the item in its log form.
func Encode(item Item) fold.Item { return fold.NewItem(item.kind(), item) }

// Decode parses an item of the fleet stream.
func Decode(item fold.Item) (Item, error) {
	switch item.Kind {
	case "side-open":
		return decodeAs[SideOpen](item)
	case "side-fence":
		return decodeAs[SideFence](item)
	case "side-close":
		return decodeAs[SideClose](item)
	case "side-gone":
		return decodeAs[SideGone](item)
	case "holder-close":
		return decodeAs[HolderClose](item)
	case "ack":
		return decodeAs[Ack](item)
	}
	return nil, fmt.Errorf("kind %q does not exist in the fleet stream", item.Kind)
}

func decodeAs[T Item](item fold.Item) (Item, error) {
	var v T
	if err := json.Unmarshal(item.Body, &v); err != nil {
		return nil, fmt.Errorf("item of kind %q: %w", item.Kind, err)
	}
	return v, nil
}
