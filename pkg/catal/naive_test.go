package catal

import (
	"fmt"
	"slices"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// naive is the catalogue as a list of all changes in the order of the log,
// walked from its start for each question.
type naive struct {
	memory  int
	changes []placed
}

// placed is a change with its offset.
type placed struct {
	at logsvc.Offset
	Change
}

// naiveEntry is the latest accepted change of a name.
type naiveEntry struct {
	placed
	// index counts the changes, several of which may have one offset.
	index     int
	forgotten bool
}

// naiveState is what the walk comes to.
type naiveState struct {
	latest   map[string]naiveEntry
	ids      []string
	verdicts map[string]Verdict
}

func (n *naive) walk() naiveState {
	st := naiveState{latest: map[string]naiveEntry{}, verdicts: map[string]Verdict{}}
	for i, c := range n.changes {
		if st.verdicts[c.ID] != nil {
			continue
		}
		st.verdicts[c.ID] = st.judge(c)
		st.ids = append(st.ids, c.ID)
		if st.verdicts[c.ID] == Verdict(Accepted{At: c.at}) {
			st.latest[c.Name()] = naiveEntry{placed: c, index: i}
		}
		st.forgetDeletions(n.memory)
		if len(st.ids) > n.memory {
			delete(st.verdicts, st.ids[0])
			st.ids = st.ids[1:]
		}
	}
	return st
}

// judge is the rules, one after the other.
func (st naiveState) judge(c placed) Verdict {
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

// owner names the budget that holds the key.
func (st naiveState) owner(h KeyHash) string {
	for name, e := range st.latest {
		if b, ok := e.Entry.(*Budget); ok && slices.Contains(b.KeyHashes, h) {
			return name
		}
	}
	return ""
}

// floor is the offset of the latest deletion that is forgotten. A name that was
// put again keeps none.
func (st naiveState) floor() logsvc.Offset {
	return st.latest[""].at
}

// forgetDeletions forgets the oldest deletions above the limit. The floor is
// kept under the empty name.
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
		st.latest[""] = naiveEntry{placed: placed{at: max(st.floor(), e.at)}, forgotten: true}
	}
}
