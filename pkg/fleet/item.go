// Package fleet folds the fleet stream: which side processes may start work,
// which holders of budget slices are closed, and which closings are final.
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

// SideOpen registers a side process. It may start work only after the item is
// folded. The item's offset is the side's fencing number.
type SideOpen struct {
	Side ident.Incarnation `json:"side"`
	// Slot names the place beside one target. Successive incarnations of the
	// side process for that target share it.
	Slot    string `json:"slot"`
	Service string `json:"service"`
}

// SideFence reports that the target of the side's slot refuses every order with
// a lower fencing number than the side's. The side proposes it only after the
// target confirmed the order, since the number is known only once the SideOpen
// is folded. It proves that earlier sides of the slot can start no more work.
type SideFence struct {
	Side ident.Incarnation `json:"side"`
}

// SideClose ends a side process gracefully: its runs have ended, and its usage
// and its claims are on the log.
type SideClose struct {
	Side ident.Incarnation `json:"side"`
}

// SideGone states that a side process can start no more work. Nothing in the
// system checks it: an operator who proposes it vouches for it.
type SideGone struct {
	Side   ident.Incarnation `json:"side"`
	By     string            `json:"by"`
	Reason string            `json:"reason"`
}

// HolderClose ends a holder. No work may be started that is charged to it.
type HolderClose struct {
	Holder ident.Incarnation `json:"holder"`
	By     string            `json:"by"`
	Reason string            `json:"reason"`
}

// Ack states that the side process refuses work charged to the holder, that no
// such work is running there, and that all its usage is on the log.
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

// Encode returns the item as the log carries it.
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
