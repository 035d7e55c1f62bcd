// Package sheet is the state of prepaid budgets as one account for each instance, on a
// store that keeps the newest record of each key and puts all records in one order.
//
// An instance writes its own account, with the tokens that it claims, whenever it wants
// to. The order decides what a claim gets: what the accounts before it leave of the
// total. The instance finds out by reading up to its own record, and uses nothing of the
// claim before. So does every reader who knows what all accounts before it got; to others
// a claim counts as granted. What instances may use therefore never exceeds what is paid,
// however many write at a time. The package has no input or output.
package sheet

import (
	"time"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// Account is what an instance has of the budgets of one partition.
type Account struct {
	// Holder is the incarnation of the instance that wrote the account.
	Holder ident.Incarnation `cbor:"1,keyasint"`
	// Epoch and Serial number the writes under the account's key: each incarnation has
	// an epoch above that of the one before, and counts its writes in Serial.
	Epoch  int64 `cbor:"5,keyasint"`
	Serial int64 `cbor:"2,keyasint"`
	// Peer is where other instances ask the holder for tokens. It may be empty.
	Peer string `cbor:"3,keyasint,omitempty"`
	// Lines are the budgets of which tokens were granted, in the order of their
	// names, one each.
	Lines []Line `cbor:"4,keyasint"`
}

// Line is an account's part of one budget.
type Line struct {
	Budget string `cbor:"1,keyasint"`
	// Version is that of the configuration with Total, which is what is paid.
	Version int64         `cbor:"2,keyasint,omitempty"`
	Total   ledger.Tokens `cbor:"3,keyasint,omitempty"`
	// Spent is what ended incarnations of the instance count as having used, and
	// Lost the part of it that they had probably not used.
	Spent ledger.Tokens `cbor:"4,keyasint,omitempty"`
	Lost  ledger.Tokens `cbor:"5,keyasint,omitempty"`
	// Granted and Returned are the holder's, since it started. Granted is never less
	// than Returned, and has Claim, which the account asks for.
	Granted  ledger.Tokens `cbor:"6,keyasint,omitempty"`
	Returned ledger.Tokens `cbor:"7,keyasint,omitempty"`
	Claim    ledger.Tokens `cbor:"9,keyasint,omitempty"`
	// PerSecond is the rate of the demand at the holder.
	PerSecond ledger.Tokens `cbor:"8,keyasint,omitempty"`
}

// Held returns the tokens that the holder has of the budget, used or not.
func (l Line) Held() ledger.Tokens { return l.Granted - l.Returned }

// Pledges are what a holder promises not to exceed until it writes the next ones.
// They bind from the moment at which the store has them.
type Pledges struct {
	Holder ident.Incarnation `cbor:"1,keyasint"`
	// Clock is a clock of the machine that goes on over suspensions and restarts of
	// the process; Machine tells the machine's starts apart.
	Clock   time.Duration `cbor:"2,keyasint"`
	Machine string        `cbor:"3,keyasint"`
	Lines   []Pledge      `cbor:"4,keyasint"`
}

// Pledge bounds what a holder uses of its tokens of one budget: at most Base+Head at
// first, PerSecond more for each second up to After, and LatePerSecond for each second
// beyond. A successor tells from it what was not used. The two rates keep what is
// lost with a holder that ends small, and let one that cannot reach the store go on.
type Pledge struct {
	Budget string `cbor:"1,keyasint"`
	// Base is what the holder has used or reserved.
	Base      ledger.Tokens `cbor:"2,keyasint,omitempty"`
	Head      ledger.Tokens `cbor:"3,keyasint,omitempty"`
	PerSecond ledger.Tokens `cbor:"4,keyasint,omitempty"`
	// After is when the second rate begins.
	After         time.Duration `cbor:"5,keyasint,omitempty"`
	LatePerSecond ledger.Tokens `cbor:"6,keyasint,omitempty"`
}

// Total is what is paid for a budget in all, as of a version of the configuration.
type Total struct {
	Version int64
	Tokens  ledger.Tokens
}
