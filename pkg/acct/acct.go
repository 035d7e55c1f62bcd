// Package acct represents the state of prepaid budgets as one account for each
// instance. The accounts are records in a store that keeps the newest record of each
// key and puts all records in one order.
//
// An instance writes only its own account, at any time, with the grants that it asks
// for. The order decides what such a pending grant gets: at most what the accounts
// before it leave of the total. The instance learns the result by reading up to its own
// record, and uses nothing of a pending grant before then. A reader that knows what all
// earlier accounts got computes the same result. For any other reader, the pending
// grant counts in full. What instances may use therefore never exceeds what is paid,
// however many of them write concurrently. The package does no input or output.
package acct

import (
	"time"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// Account is what an instance has of the budgets of one partition.
type Account struct {
	// Holder is the incarnation of the instance that wrote the account.
	Holder ident.Incarnation `cbor:"1,keyasint"`
	// Epoch and Serial identify the write under the account's key. Each incarnation has
	// a higher Epoch than the one before it, and counts its writes in Serial.
	Epoch  int64 `cbor:"5,keyasint"`
	Serial int64 `cbor:"2,keyasint"`
	// Peer is the holder's own address, at which other instances ask it for tokens. It
	// may be empty.
	Peer string `cbor:"3,keyasint,omitempty"`
	// Lines holds one line for each budget with granted or spent tokens, sorted by the
	// budgets' names.
	Lines []Line `cbor:"4,keyasint"`
	// LogEpoch is the epoch of the log that the holder had read when it wrote the
	// account.
	LogEpoch int64 `cbor:"6,keyasint,omitempty"`
	// Asks is set by a holder that started after a restore of the store and asks the others
	// what the copy lacks. It is granted nothing until they have answered.
	Asks bool `cbor:"7,keyasint,omitempty"`
	// Assumed is set if the lines rest on what the copy shows of an earlier holder. It is set
	// only with Asks, and the account is not confirmed.
	Assumed bool `cbor:"8,keyasint,omitempty"`
	// Answers lists the holders that Known is an answer to, sorted.
	Answers []ident.Incarnation `cbor:"9,keyasint,omitempty"`
	// KnowsMore is set if the holder knows of more tokens in other accounts than the store
	// shows, since it read them before a restore. Known holds these accounts, sorted by
	// their keys, while others ask for them.
	KnowsMore bool    `cbor:"10,keyasint,omitempty"`
	Known     []Known `cbor:"11,keyasint,omitempty"`
}

// Known is what a holder knows of another account beyond what the store shows.
type Known struct {
	Key string `cbor:"1,keyasint"`
	// Lines have only Spent, which is all that is committed, and PerSecond. They are sorted
	// by the budgets' names.
	Lines []Line `cbor:"2,keyasint"`
}

// Line is an account's part of one budget. Amounts are in tokens.
type Line struct {
	Budget string `cbor:"1,keyasint"`
	// Total is the sum paid for the budget. Version is the version of the configuration
	// that Total is from.
	Version int64         `cbor:"2,keyasint,omitempty"`
	Total   ledger.Tokens `cbor:"3,keyasint,omitempty"`
	// Spent is what counts as used by ended incarnations of the instance. Lost is the
	// part of Spent that those incarnations had probably not used.
	Spent ledger.Tokens `cbor:"4,keyasint,omitempty"`
	Lost  ledger.Tokens `cbor:"5,keyasint,omitempty"`
	// Granted and Returned are cumulative since the holder started. Returned never
	// exceeds Granted. Granted includes Pending: tokens that are asked for in this
	// write and not yet decided.
	Granted  ledger.Tokens `cbor:"6,keyasint,omitempty"`
	Returned ledger.Tokens `cbor:"7,keyasint,omitempty"`
	Pending  ledger.Tokens `cbor:"9,keyasint,omitempty" json:"Claim"`
	// PerSecond is the demand at the holder, in tokens per second.
	PerSecond ledger.Tokens `cbor:"8,keyasint,omitempty"`
}

// Held returns the tokens that the holder was granted and has not returned, used or not.
func (l Line) Held() ledger.Tokens { return l.Granted - l.Returned }

// Pledges are the bounds that a holder keeps to until it writes the next ones. They bind
// from the moment at which the store has them.
type Pledges struct {
	Holder ident.Incarnation `cbor:"1,keyasint"`
	// Clock is a reading of a clock of the machine. That clock continues while the
	// machine is suspended and while the process restarts. BootID identifies one boot
	// of the machine.
	Clock  time.Duration `cbor:"2,keyasint"`
	BootID string        `cbor:"3,keyasint"`
	Lines  []Pledge      `cbor:"4,keyasint"`
	// LogEpoch is the epoch of the log that the holder had read when it wrote the
	// pledges.
	LogEpoch int64 `cbor:"6,keyasint,omitempty"`
}

// Pledge bounds what a holder uses of its tokens of one budget: at most Base+Burst at
// first, PerSecond more for each second up to After, and LatePerSecond more for each
// second after that. If the holder ends, its successor counts what the pledge allowed
// as used and frees the rest. PerSecond keeps the loss of unused tokens small.
// LatePerSecond lets a holder continue while it cannot reach the store.
type Pledge struct {
	Budget string `cbor:"1,keyasint"`
	// Base is what the holder has used or reserved, plus what waiting reservations ask for.
	Base      ledger.Tokens `cbor:"2,keyasint,omitempty"`
	Burst     ledger.Tokens `cbor:"3,keyasint,omitempty"`
	PerSecond ledger.Tokens `cbor:"4,keyasint,omitempty"`
	// After is the age of the pledge from which LatePerSecond applies.
	After         time.Duration `cbor:"5,keyasint,omitempty"`
	LatePerSecond ledger.Tokens `cbor:"6,keyasint,omitempty"`
}

// Total is the sum paid for a budget, according to one version of the configuration.
type Total struct {
	Version int64
	Tokens  ledger.Tokens
}
