package side

import (
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// maxCharge is the largest charge, in tokens. The sum of maxCharges charges of this
// size does not overflow.
const maxCharge = ledger.Tokens(1) << 40

// meter counts the tokens of one model run.
type meter struct {
	// promptBound is the number of prompt tokens that were reserved.
	promptBound ledger.Tokens
	// maxOutput is the largest number of output tokens. It is the smaller of the
	// caller's bound and the part of the reservation that the prompt leaves.
	maxOutput ledger.Tokens
	// prompt is the engine's count of prompt tokens; 0 until it is known.
	prompt ledger.Tokens
	// output counts the output tokens that were accepted.
	output ledger.Tokens
}

// newMeter returns the meter of a run with the given bounds and reservation.
func newMeter(promptBound, outputBound, reserved ledger.Tokens) meter {
	return meter{promptBound: promptBound, maxOutput: min(outputBound, reserved-promptBound)}
}

// addOutput counts n output tokens and returns true. If the tokens would exceed the
// limit, it counts nothing and returns false, and the run must be cut off.
func (m *meter) addOutput(n ledger.Tokens) bool {
	if m.output+n > m.maxOutput {
		return false
	}
	m.output += n
	return true
}

// bill returns the tokens to bill for a complete response. If the engine reports
// no prompt count, or one above the reservation, the reserved prompt is billed.
func (m *meter) bill() ledger.Tokens {
	prompt := m.prompt
	if prompt <= 0 || prompt > m.promptBound {
		prompt = m.promptBound
	}
	return prompt + m.output
}

// billPartial returns the tokens to bill for a response that was interrupted. It
// is 0 if there was no output.
func (m *meter) billPartial() ledger.Tokens {
	if m.output == 0 {
		return 0
	}
	return m.bill()
}
