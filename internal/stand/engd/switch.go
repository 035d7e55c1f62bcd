package engd

import "time"

const (
	// defaultSlots is the default of Switches.Slots.
	defaultSlots = 16
	// defaultCacheBlocks is the default of Switches.CacheBlocks.
	defaultCacheBlocks = 4096
	// batchCost is the part of TokenMicros that each further request in the batch adds
	// to a step.
	batchCost = 0.04
)

// Switches are the speed and the failures of the engine. The zero value has no
// failures and decodes as fast as the machine allows.
type Switches struct {
	// Slots bounds the requests in a batch; 0 stands for 16.
	Slots int `json:"slots"`
	// MaxWaiting bounds the requests that wait for a slot. Further ones are refused with
	// status 429; 0 is no bound.
	MaxWaiting int `json:"max-waiting"`
	// TokenMicros is the time of a decoding step for one request, in
	// microseconds. Each further request in the batch adds 4% to it.
	TokenMicros int `json:"token-micros"`
	// PrefillMicros is the time for each prompt token that is not in the prefix cache,
	// in microseconds.
	PrefillMicros int `json:"prefill-micros"`
	// CacheBlocks is the size of the prefix cache, in blocks of 16 tokens; 0 stands for
	// 4096.
	CacheBlocks int `json:"cache-blocks"`
	// AnswerTokens is the length of responses without a token limit, in tokens; 0 stands
	// for twice the words of the last message.
	AnswerTokens int `json:"answer-tokens"`
	// SlowFactor multiplies the duration of every step; 0 stands for 1.
	SlowFactor float64 `json:"slow-factor"`
	// Silent accepts requests and does not respond to them. Streams in progress get no
	// further tokens until it is switched off.
	Silent bool `json:"silent"`
	// Die cuts all connections, refuses new ones and resets all state but the counts.
	Die bool `json:"die"`
	// CheckFence refuses requests and orders with a fencing number below the highest
	// seen. If it is off, fencing numbers are ignored.
	CheckFence bool `json:"check-fence"`
	// StatusLagMS is the maximum age of the reported load, in milliseconds.
	StatusLagMS int `json:"status-lag-ms"`
	// EventsLateMS is the delay of the publication of cache events, in milliseconds.
	EventsLateMS int `json:"events-late-ms"`
	// EventsGapEvery omits every n-th cache event; 0 omits none.
	EventsGapEvery int `json:"events-gap-every"`
}

func (s Switches) slots() int {
	if s.Slots <= 0 {
		return defaultSlots
	}
	return s.Slots
}

func (s Switches) cacheBlocks() int {
	if s.CacheBlocks <= 0 {
		return defaultCacheBlocks
	}
	return s.CacheBlocks
}

// step returns the duration of a decoding step of a batch that also processes prefill
// prompt tokens.
func (s Switches) step(batch, prefill int) time.Duration {
	slow := s.SlowFactor
	if slow <= 0 {
		slow = 1
	}
	decode := float64(s.TokenMicros) * (1 + batchCost*float64(max(0, batch-1)))
	micros := slow * (decode + float64(s.PrefillMicros*prefill))
	return time.Duration(micros * float64(time.Microsecond))
}
