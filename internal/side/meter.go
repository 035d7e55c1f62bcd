package side

import (
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// maxCharge bounds one charge, so that sums of charges cannot overflow.
const maxCharge = ledger.Tokens(1) << 40

// meter counts the tokens of one model run.
type meter struct {
	// promptBound is the upper bound of the prompt that was reserved.
	promptBound ledger.Tokens
	// allowed is the number of output tokens that the reservation covers.
	allowed ledger.Tokens
	// prompt is the engine's own count; 0 while it is not known.
	prompt ledger.Tokens
	// output counts the output tokens passed on.
	output ledger.Tokens
}

// newMeter returns the meter of a run with the given bounds and reservation.
func newMeter(promptBound, outputBound, reserved ledger.Tokens) meter {
	return meter{promptBound: promptBound, allowed: min(outputBound, reserved-promptBound)}
}

// admit counts n output tokens, and is false where they exceed the reservation.
// Nothing is counted then, and the run must be cut.
func (m *meter) admit(n ledger.Tokens) bool {
	if m.output+n > m.allowed {
		return false
	}
	m.output += n
	return true
}

// bill returns the tokens to bill for a whole answer. An engine that reports more
// prompt tokens than were reserved is not believed.
func (m *meter) bill() ledger.Tokens {
	prompt := m.prompt
	if prompt <= 0 || prompt > m.promptBound {
		prompt = m.promptBound
	}
	return prompt + m.output
}

// billPart returns the tokens to bill for an answer that was interrupted. One of
// which nothing was put out costs nothing.
func (m *meter) billPart() ledger.Tokens {
	if m.output == 0 {
		return 0
	}
	return m.bill()
}
