package catal

import (
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"unique"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// defaultMemory bounds the verdicts, and the deletions, that are remembered.
// Older ones are forgotten in the order of the log.
const defaultMemory = 4096

const (
	// maxIDLen bounds the id of a change, in bytes.
	maxIDLen = 128
	// maxOperatorLen bounds the operator of a change, in bytes.
	maxOperatorLen = 128
)

// State is the catalogue. It is a fold.Machine; the zero value is empty. Apply,
// Snapshot and Restore exclude one another, as the follower's lock makes them;
// queries may run at any time, also while a change is applied.
type State struct {
	tables   atomic.Pointer[tables]
	verdicts verdicts
	// latest is the offset of the latest accepted change. It never decreases.
	latest atomic.Uint64
	// tombstones are the names of deleted entries in the order of deletion.
	tombstones []string
	// floor is the offset of the latest deletion that was forgotten.
	floor logsvc.Offset
	// memory stands for defaultMemory where it is 0. All states of a stream
	// must have the same.
	memory int
}

func (s *State) remembered() int {
	if s.memory > 0 {
		return s.memory
	}
	return defaultMemory
}

// tables index the records.
type tables struct {
	// names holds every entry, and the deletions that are remembered.
	names shards[string]
	// keys holds the record of the budget that each key hash belongs to.
	keys shards[KeyHash]
}

// load returns the tables. The first call must not race with others; Apply and
// Restore make it.
func (s *State) load() *tables {
	if t := s.tables.Load(); t != nil {
		return t
	}
	s.tables.CompareAndSwap(nil, new(tables))
	return s.tables.Load()
}

// Apply folds one change. An item that is not a change has no effect.
func (s *State) Apply(at fold.Position, item fold.Item) {
	c, err := Decode(item)
	if err != nil {
		return
	}
	if s.verdicts.get(c.ID) != nil {
		return
	}
	s.verdicts.add(c.ID, s.decide(at.Offset, &c), s.remembered())
}

// decide returns the verdict on a change, and puts it in force where it is
// accepted.
func (s *State) decide(at logsvc.Offset, c *Change) Verdict {
	t := s.load()
	old := t.names.get(c.Name())
	if old != nil && old.Change == c.ID {
		return Accepted{At: old.At}
	}
	if v := s.checkBase(old, c); v != nil {
		return v
	}
	if faults := s.check(at, old, c); len(faults) > 0 {
		return Invalid{Faults: faults}
	}
	s.put(old, &Record{
		Name:     c.Name(),
		At:       at,
		Change:   c.ID,
		Operator: unique.Make(c.Operator).Value(),
		Entry:    interned(c.Entry),
	})
	return Accepted{At: at}
}

// checkBase returns a Conflict where the change was not based on the entry's
// latest accepted change.
func (s *State) checkBase(old *Record, c *Change) Verdict {
	if old == nil {
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

// check returns the faults of a change that is based on the latest state.
func (s *State) check(at logsvc.Offset, old *Record, c *Change) []string {
	if old != nil && old.At >= at {
		return []string{fmt.Sprintf("base %d is not an offset before the change", c.Base)}
	}
	faults := checkLengths(c)
	if c.Entry == nil {
		return append(faults, checkDelete(old, c.Delete)...)
	}
	var invalid *InvalidError
	if errors.As(Validate(c.Entry), &invalid) {
		faults = invalid.Faults
	}
	if b, ok := c.Entry.(*Budget); ok {
		faults = append(faults, s.checkKeys(b)...)
	}
	return faults
}

// checkLengths bounds the strings that are kept for every record.
func checkLengths(c *Change) []string {
	var faults []string
	if len(c.ID) > maxIDLen {
		faults = append(faults, fmt.Sprintf("change id has %d bytes, expected up to %d", len(c.ID), maxIDLen))
	}
	if len(c.Operator) > maxOperatorLen {
		faults = append(faults, fmt.Sprintf("operator has %d bytes, expected up to %d", len(c.Operator), maxOperatorLen))
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
		if owner := s.load().keys.get(h); owner != nil && owner.Name != b.Name {
			faults = append(faults, fmt.Sprintf("key hash %s belongs to budget %q", h, owner.Name))
		}
	}
	return faults
}

// put replaces the old record, which may be nil, by a new one. A key that both
// hold is found at every moment.
func (s *State) put(old, r *Record) {
	t := s.load()
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
	s.moveTombstone(old, r)
	s.latest.Store(max(s.latest.Load(), uint64(r.At)))
}

// moveTombstone keeps the list of deletions, and forgets the oldest.
func (s *State) moveTombstone(old, r *Record) {
	if old != nil && old.Entry == nil {
		i := slices.Index(s.tombstones, r.Name)
		s.tombstones = slices.Delete(s.tombstones, i, i+1)
	}
	if r.Entry == nil {
		s.tombstones = append(s.tombstones, r.Name)
	}
	if len(s.tombstones) > s.remembered() {
		s.forget(s.tombstones[0])
		s.tombstones = slices.Delete(s.tombstones, 0, 1)
	}
}

func (s *State) forget(name string) {
	t := s.load()
	s.floor = max(s.floor, t.names.get(name).At)
	t.names.remove(name)
}

// keysOf returns the key hashes of a budget's record.
func keysOf(r *Record) []KeyHash {
	if r == nil {
		return nil
	}
	if b, ok := r.Entry.(*Budget); ok {
		return b.KeyHashes
	}
	return nil
}

// interned shares the strings that many entries have in common.
func interned(e Entry) Entry {
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
