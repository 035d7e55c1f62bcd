// Package ledger folds the budget streams: the tokens paid, granted to holders, billed
// and returned.
package ledger

import (
	"encoding/json"
	"fmt"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// Tokens counts model tokens, the unit of all budgets.
type Tokens = int64

// Item is a proposal for a budget: TopUp, Grant, Return, Usage or Reclaim.
type Item interface{ kind() string }

// TopUp adds prepaid tokens to a budget, and creates the budget if it is new.
type TopUp struct {
	// ID is chosen by the operator's client. Another top-up with the same ID has no
	// effect.
	ID     string `json:"id"`
	Budget string `json:"budget"`
	// Tokens may be negative, to correct a mistake. Such a top-up takes effect only if
	// at least that many tokens are not yet granted.
	Tokens   Tokens `json:"tokens"`
	Operator string `json:"operator"`
}

// Grant moves tokens of a budget into a holder's lease. It takes effect only if the
// tokens granted, less those returned and reclaimed, do not exceed those paid.
type Grant struct {
	Budget string            `json:"budget"`
	Holder ident.Incarnation `json:"holder"`
	Tokens Tokens            `json:"tokens"`
}

// Return moves unspent tokens of a lease back to its budget, up to what the lease has
// left. The holder debits its lease before it proposes the return.
type Return struct {
	Budget string            `json:"budget"`
	Holder ident.Incarnation `json:"holder"`
	Tokens Tokens            `json:"tokens"`
}

// Charge is the part of a request's cost that is charged to one holder's lease.
type Charge struct {
	Holder ident.Incarnation `json:"holder"`
	Tokens Tokens            `json:"tokens"`
}

// Usage bills a request. Only the first usage with a request id takes effect.
type Usage struct {
	Budget string `json:"budget"`
	// Request is the organisation and the caller's idempotency key, or an id that the
	// entry instance generated.
	Request string   `json:"request"`
	Charges []Charge `json:"charges"`
	Service string   `json:"service"`
	// At is the time of settlement in Unix seconds, for reports only.
	At int64 `json:"at"`
}

// Reclaim releases what is left of a closed holder's leases. It may be proposed only
// after the fleet stream shows that the closing is final: no target runs or will run
// work charged to the holder, and all its usage is on the log.
type Reclaim struct {
	Holder ident.Incarnation `json:"holder"`
	// Fleet is the offset in the fleet stream at which the closing became final.
	Fleet logsvc.Offset `json:"fleet"`
}

func (TopUp) kind() string   { return "top-up" }
func (Grant) kind() string   { return "grant" }
func (Return) kind() string  { return "return" }
func (Usage) kind() string   { return "usage" }
func (Reclaim) kind() string { return "reclaim" }

// Encode returns the item in the form in which the log carries it.
func Encode(item Item) fold.Item { return fold.NewItem(item.kind(), item) }

// Decode parses an item of a budget stream.
func Decode(item fold.Item) (Item, error) {
	switch item.Kind {
	case "top-up":
		return decodeAs[TopUp](item)
	case "grant":
		return decodeAs[Grant](item)
	case "return":
		return decodeAs[Return](item)
	case "usage":
		return decodeAs[Usage](item)
	case "reclaim":
		return decodeAs[Reclaim](item)
	}
	return nil, fmt.Errorf("unknown kind %q of an item in a budget stream", item.Kind)
}

func decodeAs[T Item](item fold.Item) (Item, error) {
	var v T
	if err := json.Unmarshal(item.Body, &v); err != nil {
		return nil, fmt.Errorf("item of kind %q: %w", item.Kind, err)
	}
	return v, nil
}

// The streams of the log service that the system uses.
const (
	// CatalogueStream carries the operators' catalogue changes.
	CatalogueStream = "catalogue"
	// FleetStream carries registrations of side processes and closings of holders.
	FleetStream = "fleet"
	// ClaimsStream carries the claims of non-idempotent requests.
	ClaimsStream = "claims"
	// LoadsStream carries the queues of targets that load model weights.
	LoadsStream = "loads"
	// budgetStreamPrefix is followed by the shard's number.
	budgetStreamPrefix = "budgets-"
)

// Stream returns the name of the budget stream of a shard.
func Stream(shard int) string { return fmt.Sprintf("%s%d", budgetStreamPrefix, shard) }
