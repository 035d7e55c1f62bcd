package lease

import (
	"errors"
	"time"

	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// ErrPaced reports that pacing refused a request. The budget is short after a loss of
// tokens, so only some of its requests are served.
var ErrPaced = errors.New("request refused by pacing: budget is short after a loss of tokens")

// paced reports whether pacing refuses a request.
//
// Instances that lose power lose the tokens they hold, which can leave a budget short
// at once. Without pacing, the organisation would be served in full for some seconds
// and then not at all until it pays for more. Pacing starts once the remaining tokens
// last for less than PaceThreshold at the present demand. They are then released at a
// rate of left/PaceTime, where left falls as tokens are used. A request passes once
// enough tokens for it have accumulated. This favours small requests, so that the
// remaining tokens serve as many callers as possible.
func (p Policy) paced(b *budgetState, tokens ledger.Tokens, now time.Time) bool {
	if p.PaceTime == 0 || !p.lossPaces(b) {
		return false
	}
	part := 1.0
	own := b.demand.rateNow(p.rateTime(), p.RateTime > 0, now)
	if all := own + float64(b.seen.OthersPerSecond); all > 0 {
		part = own / all
	}
	left := part*float64(b.seen.Free) + float64(b.free)
	if left > b.demand.requestRateNow(p.rateTime(), now)*p.PaceThreshold.Seconds() {
		b.paceAt, b.paceTokens = time.Time{}, 0
		return false
	}
	if !b.paceAt.IsZero() {
		b.paceTokens += left / p.PaceTime.Seconds() * max(0, now.Sub(b.paceAt).Seconds())
	}
	b.paceAt = now
	return b.paceTokens < float64(tokens)
}

// lossPaces reports whether machines were lost with so many tokens that what is left is rationed.
func (p Policy) lossPaces(b *budgetState) bool {
	return b.seen.Lost > 0 && float64(b.seen.Lost) >= p.PaceShare*float64(b.seen.Paid)
}

// spendPace subtracts a reservation from the tokens that pacing has released.
func (b *budgetState) spendPace(tokens ledger.Tokens) {
	b.paceTokens = max(0, b.paceTokens-float64(tokens))
}
