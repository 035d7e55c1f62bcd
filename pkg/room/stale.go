package room

import "time"

const (
	// staleFrom is the age, as a share of the bound, from which an input of an overloaded
	// instance counts as held up by its own load, and staleFor for how long. By then, refusals
	// have made room for the reads, unless the store is out of reach; other instances may know no
	// more then.
	staleFrom = 0.5
	staleFor  = time.Second
	// overloadMemory is how long an overload counts after its last sample.
	overloadMemory = time.Second
)

// Input is something that an instance reads from the store again and again.
type Input struct {
	// Age is the time since it was last known to be the newest.
	Age time.Duration
	// Bound is the time within which a change must be in force; 0 if it is not known.
	Bound time.Duration
}

// heldUp reports whether the age is likely due to the instance's own load.
func (i Input) heldUp() bool {
	from := time.Duration(staleFrom * float64(i.Bound))
	return i.Bound > 0 && i.Age >= from && i.Age < from+staleFor
}

// Overload remembers when the instance was last overloaded. The zero value never was.
type Overload struct{ last time.Time }

// Observe records a sample of the processor and of the link.
func (o *Overload) Observe(s Sample, link float64) {
	if max(s.pressure(), link/LinkGoal) > 1 {
		o.last = s.At
	}
}

// HoldsUp reports whether new requests are refused because the instance is overloaded and what
// it would decide them by is old. It answers requests that fill the link on which the list of
// targets and the configuration arrive: others have newer ones.
func (o *Overload) HoldsUp(now time.Time, inputs ...Input) bool {
	if o.last.IsZero() || now.Sub(o.last) > overloadMemory {
		return false
	}
	for _, i := range inputs {
		if i.heldUp() {
			return true
		}
	}
	return false
}
