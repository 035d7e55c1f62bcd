package wire

import (
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// ChargesOf converts the charges of a message to those of package ledger.
func ChargesOf(list []*Charge) []ledger.Charge {
	charges := make([]ledger.Charge, 0, len(list))
	for _, c := range list {
		charges = append(charges, ledger.Charge{Holder: ident.Incarnation(c.GetHolder()), Tokens: c.GetTokens()})
	}
	return charges
}

// NewCharges converts charges of package ledger to those of a message.
func NewCharges(list []ledger.Charge) []*Charge {
	charges := make([]*Charge, 0, len(list))
	for _, c := range list {
		charges = append(charges, &Charge{Holder: string(c.Holder), Tokens: c.Tokens})
	}
	return charges
}

// SumCharges returns the tokens of all charges.
func SumCharges(charges []ledger.Charge) ledger.Tokens {
	var sum ledger.Tokens
	for _, c := range charges {
		sum += c.Tokens
	}
	return sum
}

// FirstCharges returns charges for the first tokens of the given charges, in their
// order. If the given charges have fewer tokens, the result has all of them. It
// contains no charge of 0 tokens.
func FirstCharges(charges []ledger.Charge, tokens ledger.Tokens) []ledger.Charge {
	var taken []ledger.Charge
	for _, c := range charges {
		n := min(c.Tokens, tokens)
		if n <= 0 {
			continue
		}
		taken = append(taken, ledger.Charge{Holder: c.Holder, Tokens: n})
		tokens -= n
	}
	return taken
}
