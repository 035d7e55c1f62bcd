package catal

import (
	"fmt"
	"slices"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// naive is a reference model of the catalogue: the list of all changes in log
// order, replayed from the start for each query.
type naive struct {
	maxHistory int
	changes    []loggedChange
}

// loggedChange is a change with its log offset.
type loggedChange struct {
	at logsvc.Offset
	Change
}

// naiveEntry is the latest accepted change of a name.
type naiveEntry struct {
	loggedChange
	// index is the index in naive.changes. Several changes may have one offset.
	index     int
	forgotten bool
}

// naiveState is the result of a replay.
type naiveState struct {
	latest   map[string]naiveEntry
	ids      []string
	verdicts map[string]Verdict
}

func (n *naive) replay() naiveState {
	st := naiveState{latest: map[string]naiveEntry{}, verdicts: map[string]Verdict{}}
	for i, c := range n.changes {
		if st.verdicts[c.ID] != nil {
			continue
		}
		st.verdicts[c.ID] = st.decide(c)
		st.ids = append(st.ids, c.ID)
		if st.verdicts[c.ID] == Verdict(Accepted{At: c.at}) {
			st.latest[c.Name()] = naiveEntry{loggedChange: c, index: i}
		}
		st.forgetDeletions(n.maxHistory)
		if len(st.ids) > n.maxHistory {
			delete(st.verdicts, st.ids[0])
			st.ids = st.ids[1:]
		}
	}
	return st
}

// decide returns the verdict on a change. It applies the rules one after the other.
func (st naiveState) decide(c loggedChange) Verdict {
	old, known := st.latest[c.Name()]
	known = known && !old.forgotten
	if known && old.ID == c.ID {
		return Accepted{At: old.at}
	}
	if known && c.Base != old.at {
		return Conflict{Winner: old.ID, Operator: old.Operator, At: old.at}
	}
	if !known && (c.Base != 0 || c.Seen < st.floor()) {
		return Conflict{}
	}
	var faults []string
	if known && old.at == c.at {
		return Invalid{Faults: []string{fmt.Sprintf("base %d is not an offset before the change", c.Base)}}
	}
	if c.Entry == nil && (!known || old.Entry == nil) {
		faults = append(faults, fmt.Sprintf("entry %q does not exist", c.Delete))
	}
	if b, ok := c.Entry.(*Budget); ok {
		if b.Owner == "" {
			faults = append(faults, `owner is "", expected 1 to 128 bytes`)
		}
		for _, h := range b.KeyHashes {
			if owner := st.owner(h); owner != "" && owner != b.Name {
				faults = append(faults, fmt.Sprintf("key hash %s belongs to budget %q", h, owner))
			}
		}
	}
	if len(faults) > 0 {
		return Invalid{Faults: faults}
	}
	return Accepted{At: c.at}
}

// owner returns the name of the budget that has the key hash, or "".
func (st naiveState) owner(h KeyHash) string {
	for name, e := range st.latest {
		if b, ok := e.Entry.(*Budget); ok && slices.Contains(b.KeyHashes, h) {
			return name
		}
	}
	return ""
}

// floor returns the offset of the latest forgotten deletion, which the model keeps
// under the empty name. A deletion is not forgotten if the name was created again.
func (st naiveState) floor() logsvc.Offset {
	return st.latest[""].at
}

// forgetDeletions forgets the oldest deletions above the limit, and updates the
// floor.
func (st naiveState) forgetDeletions(limit int) {
	var deleted []naiveEntry
	for name, e := range st.latest {
		if name != "" && e.Entry == nil && !e.forgotten {
			deleted = append(deleted, e)
		}
	}
	slices.SortFunc(deleted, func(a, b naiveEntry) int { return a.index - b.index })
	for _, e := range deleted[:max(0, len(deleted)-limit)] {
		e.forgotten = true
		st.latest[e.Name()] = e
		st.latest[""] = naiveEntry{loggedChange: loggedChange{at: max(st.floor(), e.at)}, forgotten: true}
	}
}
