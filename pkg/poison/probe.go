package poison

import (
	"cmp"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// probeTurn is the time between two steps in which more instances may try a subject again
// after its quarantine. It exceeds the time in which the end of a target becomes known.
const probeTurn = 15 * time.Second

// probe reports whether this instance may let a request through whose subject's quarantine is
// over, but which was not answered since. In the first turn one instance may, chosen by its
// hash, and in each further one twice as many; each lets one request through in a turn.
// Otherwise probe returns the time until the next turn. If begin is set, the request is sent.
func (t *Tracker) probe(now time.Time, subject Subject, s *suspect, begin bool) (wait time.Duration, ok bool) {
	since := now.Sub(time.UnixMilli(s.Until))
	turn := int(since / probeTurn)
	if s.probed == turn+1 || !t.mayProbe(subject, s.Terms, turn) {
		return probeTurn - since%probeTurn, false
	}
	if begin {
		s.probed = turn + 1
	}
	return 0, true
}

// mayProbe reports whether this instance is among those that may try in a turn.
func (t *Tracker) mayProbe(subject Subject, term, turn int) bool {
	if turn >= 16 || 1<<turn > len(t.Instances) { // Larger shifts could overflow.
		return true
	}
	key := subject.Key() + "/" + strconv.Itoa(term) + "/"
	rank := func(instance string) uint64 { return xxhash.Sum64String(key + instance) }
	own, ahead := rank(t.Self), 0
	for _, other := range t.Instances {
		if cmp.Or(cmp.Compare(rank(other), own), cmp.Compare(other, t.Self)) < 0 {
			ahead++
		}
	}
	return ahead < 1<<turn
}
