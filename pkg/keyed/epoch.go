package keyed

// LogEpoch is the number of times that the store was restored from an older copy of
// itself. A restore loses the newest records, and their offsets are given to other
// records later. Offsets, writers' numbers and acknowledgements of different epochs must
// not be compared. 0 means that the response did not tell the epoch.
type LogEpoch int64

// EpochChange is what the epoch of a response means to a reader.
type EpochChange int

// The changes of an epoch.
const (
	// EpochSame: the response belongs to the epoch of those before it.
	EpochSame EpochChange = iota
	// EpochRestored: the store was restored. What was read before may be lost.
	EpochRestored
	// EpochOld: the response is from before a restore that the reader knows of. It must
	// be ignored.
	EpochOld
)

// lowerEpochLimit is the number of responses in a row with the same lower epoch after
// which a reader accepts that epoch. Without it, one response with a wrong high epoch
// would stop the reader for good.
const lowerEpochLimit = 3

// EpochTracker tracks the epoch of a store by its responses. The zero value has seen
// none. It is for one reader, which sends each call after the response to the one before.
type EpochTracker struct {
	// Current is the epoch of the newest response, or 0 if no response told it.
	Current LogEpoch

	seen       bool
	lower      LogEpoch
	lowerCount int
}

// Observe returns what the epoch of a response means. A response without an epoch counts
// as one of the current epoch. An epoch that becomes known after responses without one,
// and one that is lower than the current one in lowerEpochLimit responses in a row,
// count as restores.
func (t *EpochTracker) Observe(got LogEpoch) EpochChange {
	first := !t.seen
	t.seen = true
	switch {
	case got <= 0 || got == t.Current:
		t.lowerCount = 0
		return EpochSame
	case got < t.Current:
		if got != t.lower {
			t.lower, t.lowerCount = got, 0
		}
		t.lowerCount++
		if t.lowerCount < lowerEpochLimit {
			return EpochOld
		}
	}
	t.Current, t.lowerCount = got, 0
	if first {
		return EpochSame
	}
	return EpochRestored
}
