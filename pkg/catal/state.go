package catal

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"unique"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// defaultMaxHistory is the default of State.maxHistory.
const defaultMaxHistory = 4096

const (
	// maxOperatorLen is the maximum length of the operator of a change, in bytes.
	maxOperatorLen = 128
	// maxFaults is the maximum number of faults kept in a verdict. maxFaultLen is
	// the maximum length of each fault, in bytes.
	maxFaults   = 20
	maxFaultLen = 300
)

// State is the catalogue. It implements fold.StateMachine. The zero value is an empty
// catalogue. Apply, Snapshot and Restore must not run concurrently; the follower's
// lock ensures this. Queries may run at any time, also while a change is applied.
type State struct {
	tables   atomic.Pointer[tables]
	verdicts verdicts
	// latest is the offset of the latest accepted change. It never decreases.
	latest atomic.Uint64
	// tombstones are the names of deleted entries, in order of deletion.
	tombstones []string
	// floor is the offset of the latest deletion that has been forgotten.
	floor logsvc.Offset
	// maxHistory is the number of verdicts that are kept, and also the number of
	// deletions. 0 means defaultMaxHistory. The oldest are forgotten first, in log
	// order. All states of a stream must have the same value.
	maxHistory int
}

func (s *State) historyLimit() int {
	if s.maxHistory > 0 {
		return s.maxHistory
	}
	return defaultMaxHistory
}

// tables are the indexes of the records.
type tables struct {
	// names maps names to records, including the deletions that are kept.
	names shards[string]
	// keys maps each key hash to the record of its budget.
	keys shards[KeyHash]
}

// ensureTables returns the tables, and creates them at the first call. Only Apply and
// Snapshot call it, and these do not run concurrently.
func (s *State) ensureTables() *tables {
	if t := s.tables.Load(); t != nil {
		return t
	}
	s.tables.CompareAndSwap(nil, new(tables))
	return s.tables.Load()
}

// Apply folds one change. An item that is not a change, and a change whose ID
// already has a verdict, have no effect.
func (s *State) Apply(at fold.Position, item fold.Item) {
	c, err := Decode(item)
	if err != nil {
		return
	}
	if s.verdicts.get(c.ID) != nil {
		return
	}
	s.verdicts.add(c.ID, s.decide(at.Offset, &c), s.historyLimit())
}

// decide returns the verdict on a change, and applies the change if it is
// accepted.
func (s *State) decide(at logsvc.Offset, c *Change) Verdict {
	t := s.ensureTables()
	old := t.names.get(c.Name())
	// The change was already accepted, and its verdict has been forgotten.
	if old != nil && old.Change == c.ID {
		return Accepted{At: old.At}
	}
	if v := s.checkBase(old, c); v != nil {
		return v
	}
	if faults := s.check(at, old, c); len(faults) > 0 {
		return Invalid{Faults: truncateFaults(faults)}
	}
	s.put(old, &Record{
		Name:     c.Name(),
		At:       at,
		Change:   c.ID,
		Operator: unique.Make(c.Operator).Value(),
		Entry:    intern(c.Entry),
	})
	return Accepted{At: at}
}

// checkBase returns a Conflict if the change is not based on the entry's latest
// accepted change.
func (s *State) checkBase(old *Record, c *Change) Verdict {
	if old == nil {
		// Below the floor, the client may have missed a deletion of the entry.
		if c.Base != 0 || c.Seen < s.floor {
			return Conflict{}
		}
		return nil
	}
	if c.Base != old.At {
		return Conflict{Winner: old.Change, Operator: old.Operator, At: old.At}
	}
	return nil
}

// check returns the faults of a change that is based on the entry's latest change.
func (s *State) check(at logsvc.Offset, old *Record, c *Change) []string {
	// The changes of one log record share its offset.
	if old != nil && old.At >= at {
		return []string{fmt.Sprintf("base %d is not an offset before the change", c.Base)}
	}
	faults := checkOperator(c.Operator)
	if c.Entry == nil {
		return append(faults, checkDelete(old, c.Delete)...)
	}
	var invalid *InvalidError
	if errors.As(Validate(c.Entry), &invalid) {
		faults = append(faults, invalid.Faults...)
	}
	if b, ok := c.Entry.(*Budget); ok {
		faults = append(faults, s.checkKeys(b)...)
	}
	return faults
}

// checkOperator returns a fault if the name of the operator is too long. Every record
// keeps this name.
func checkOperator(operator string) []string {
	if len(operator) <= maxOperatorLen {
		return nil
	}
	return []string{fmt.Sprintf("operator has %d bytes, expected up to %d", len(operator), maxOperatorLen)}
}

// truncateFaults returns at most maxFaults faults, each truncated to maxFaultLen
// bytes, and a last one with the number of faults that were dropped.
func truncateFaults(faults []string) []string {
	if more := len(faults) - maxFaults; more > 0 {
		faults = append(faults[:maxFaults:maxFaults], fmt.Sprintf("and %d more", more))
	}
	for i, f := range faults {
		if len(f) > maxFaultLen {
			faults[i] = strings.ToValidUTF8(f[:maxFaultLen], "") + "..."
		}
	}
	return faults
}

func checkDelete(old *Record, name string) []string {
	if old == nil || old.Entry == nil {
		return []string{fmt.Sprintf("entry %q does not exist", name)}
	}
	return nil
}

// checkKeys returns a fault for each key that belongs to another budget.
func (s *State) checkKeys(b *Budget) []string {
	var faults []string
	for _, h := range b.KeyHashes {
		if owner := s.ensureTables().keys.get(h); owner != nil && owner.Name != b.Name {
			faults = append(faults, fmt.Sprintf("key hash %s belongs to budget %q", h, owner.Name))
		}
	}
	return faults
}

// put replaces the old record, which may be nil, with r. A key hash that both records
// have is found by concurrent queries at any time.
func (s *State) put(old, r *Record) {
	t := s.ensureTables()
	t.names.set(r.Name, r)
	keys := keysOf(r)
	for _, h := range keys {
		t.keys.set(h, r)
	}
	for _, h := range keysOf(old) {
		if !slices.Contains(keys, h) {
			t.keys.remove(h)
		}
	}
	s.updateTombstones(old, r)
	s.latest.Store(max(s.latest.Load(), uint64(r.At)))
}

// updateTombstones updates the list of deletions after r replaced old. If the list is
// over the limit, it forgets the oldest deletion.
func (s *State) updateTombstones(old, r *Record) {
	if old != nil && old.Entry == nil {
		i := slices.Index(s.tombstones, r.Name)
		s.tombstones = slices.Delete(s.tombstones, i, i+1)
	}
	if r.Entry == nil {
		s.tombstones = append(s.tombstones, r.Name)
	}
	if len(s.tombstones) > s.historyLimit() {
		s.forgetDeletion(s.tombstones[0])
		s.tombstones = slices.Delete(s.tombstones, 0, 1)
	}
}

func (s *State) forgetDeletion(name string) {
	t := s.ensureTables()
	s.floor = max(s.floor, t.names.get(name).At)
	t.names.remove(name)
}

// keysOf returns the key hashes of the record's budget, if it has one.
func keysOf(r *Record) []KeyHash {
	if r == nil {
		return nil
	}
	if b, ok := r.Entry.(*Budget); ok {
		return b.KeyHashes
	}
	return nil
}

// intern returns the entry with its common strings deduplicated. Many entries have
// the same owner or class, so this saves memory.
func intern(e Entry) Entry {
	switch e := e.(type) {
	case *Service:
		e.Owner = unique.Make(e.Owner).Value()
		e.Class = unique.Make(e.Class).Value()
	case *Budget:
		e.Owner = unique.Make(e.Owner).Value()
		e.Class = unique.Make(e.Class).Value()
	}
	return e
}
