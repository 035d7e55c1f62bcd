package engd

import "time"

const (
	// defaultSlots is the number of requests decoded together.
	defaultSlots = 16
	// defaultCacheBlocks is the size of the prefix cache in blocks.
	defaultCacheBlocks = 4096
	// batchCost is the part of a token's time that each further request in the
	// batch adds to a step.
	batchCost = 0.04
)

// Switches are the speed and the failures of the engine. The zero value has no
// failures and decodes as fast as the machine allows.
type Switches struct {
	// Slots bounds the requests decoded together; 0 stands for 16.
	Slots int `json:"slots"`
	// MaxWaiting bounds the requests that wait for a slot; the next is refused
	// with 429. 0 is no bound.
	MaxWaiting int `json:"max-waiting"`
	// TokenMicros is the time of a decoding step for one request, in
	// microseconds. Each further request in the batch adds a twenty-fifth.
	TokenMicros int `json:"token-micros"`
	// PrefillMicros is the time for each prompt token that the prefix cache does
	// not hold, in microseconds.
	PrefillMicros int `json:"prefill-micros"`
	// CacheBlocks bounds the prefix cache, in blocks of 16 tokens; 0 stands for
	// 4096.
	CacheBlocks int `json:"cache-blocks"`
	// AnswerTokens is the natural length of answers; 0 stands for twice the
	// words of the last message.
	AnswerTokens int `json:"answer-tokens"`
	// SlowFactor multiplies the time of every step; 0 stands for 1.
	SlowFactor float64 `json:"slow-factor"`
	// Silent accepts requests and never answers them. Streams in progress get no
	// further token.
	Silent bool `json:"silent"`
	// Die cuts all connections, refuses new ones and forgets everything but the
	// counts.
	Die bool `json:"die"`
	// CheckFence refuses requests and orders with a fencing number below the
	// highest seen. Without it the number is ignored.
	CheckFence bool `json:"check-fence"`
	// StatusLagMS is how old the reported load may be, in milliseconds.
	StatusLagMS int `json:"status-lag-ms"`
	// EventsLateMS is how late cache events are published, in milliseconds.
	EventsLateMS int `json:"events-late-ms"`
	// EventsGapEvery leaves out every n-th cache event; 0 none.
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

// step returns the time of one decoding step of a batch, in which prefill
// prompt tokens are processed as well.
func (s Switches) step(batch, prefill int) time.Duration {
	slow := s.SlowFactor
	if slow <= 0 {
		slow = 1
	}
	decode := float64(s.TokenMicros) * (1 + batchCost*float64(max(0, batch-1)))
	micros := slow * (decode + float64(s.PrefillMicros*prefill))
	return time.Duration(micros * float64(time.Microsecond))
}
