package logd

// Switches are the failures of the log service. The zero value has none.
type Switches struct {
	// Outage refuses every call without effect.
	Outage bool `json:"outage"`
	// Silent accepts calls and never answers them. They have no effect.
	Silent bool `json:"silent"`
	// SlowMS delays every answer, in milliseconds. An append takes effect
	// before the delay.
	SlowMS int `json:"slow-ms"`
	// AppendsPerSecond is the rate limit for all streams together; 0 is no limit.
	AppendsPerSecond float64 `json:"appends-per-second"`
	// RetainRecords bounds the records kept of each stream; 0 is no bound.
	RetainRecords int `json:"retain-records"`
	// RetainMS bounds the age of the records kept, in milliseconds; 0 is no
	// bound.
	RetainMS int `json:"retain-ms"`
	// LoseEvery loses the answer of every n-th append after it took effect; 0
	// loses none.
	LoseEvery int `json:"lose-every"`
	// DuplicateEvery appends the record of every n-th append a second time; 0
	// duplicates none.
	DuplicateEvery int `json:"duplicate-every"`
	// DuplicateAfterMS is the time from the first copy to the second, in milliseconds;
	// with 0 the second copy follows at once.
	DuplicateAfterMS int `json:"duplicate-after-ms"`
}
