package acct

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// ErrRecord reports a record that is not a valid account or not valid pledges.
var ErrRecord = errors.New("invalid record of an account or of pledges")

// Encode returns the CBOR encoding of the account.
func (a *Account) Encode() ([]byte, error) { return cbor.Marshal(a) }

// DecodeAccount decodes an account. It returns ErrRecord if the data are not CBOR, or if
// the account breaks a rule that the sums over accounts rely on.
func DecodeAccount(data []byte) (*Account, error) {
	a := &Account{}
	if err := cbor.Unmarshal(data, a); err != nil {
		return nil, errors.Join(ErrRecord, err)
	}
	if a.Holder == "" || a.Epoch < 1 || a.Serial < 0 {
		return nil, fmt.Errorf("%w: holder %q, epoch %d, serial %d", ErrRecord, a.Holder, a.Epoch, a.Serial)
	}
	if err := checkLines(a.Lines); err != nil {
		return nil, err
	}
	for _, k := range a.Known {
		if err := checkLines(k.Lines); err != nil {
			return nil, fmt.Errorf("known account %q: %w", k.Key, err)
		}
	}
	return a, nil
}

// checkLines returns ErrRecord if an amount of a line is invalid or so large that sums over
// accounts may overflow, or if the lines are not sorted.
func checkLines(lines []Line) error {
	for i, l := range lines {
		if l.Spent < 0 || l.Lost < 0 || l.Returned < 0 || l.Granted < l.Returned || l.Total < 0 ||
			l.Pending < 0 || l.Pending > l.Held() || l.PerSecond < 0 ||
			max(l.Spent, l.Lost, l.Granted, l.PerSecond) > ledger.MaxTokens {
			return fmt.Errorf("%w: invalid amounts in line %+v", ErrRecord, l)
		}
		if i > 0 && lines[i-1].Budget >= l.Budget {
			return fmt.Errorf("%w: lines are not sorted: budget %q comes after %q", ErrRecord, l.Budget, lines[i-1].Budget)
		}
	}
	return nil
}

// Encode returns the CBOR encoding of the pledges.
func (p *Pledges) Encode() ([]byte, error) { return cbor.Marshal(p) }

// DecodePledges decodes pledges. It returns ErrRecord if the data are not CBOR, or if an
// amount is negative.
func DecodePledges(data []byte) (*Pledges, error) {
	p := &Pledges{}
	if err := cbor.Unmarshal(data, p); err != nil {
		return nil, errors.Join(ErrRecord, err)
	}
	for _, l := range p.Lines {
		if l.Base < 0 || l.Burst < 0 || l.PerSecond < 0 || l.After < 0 || l.LatePerSecond < 0 {
			return nil, fmt.Errorf("%w: negative amount in pledge %+v", ErrRecord, l)
		}
	}
	return p, nil
}
