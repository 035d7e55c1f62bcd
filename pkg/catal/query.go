package catal

import (
	"cmp"
	"crypto/subtle"
	"slices"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// ServiceEntry returns the service in force under the name.
func (s *State) ServiceEntry(name string) (*Service, bool) {
	r, _ := s.Get(name)
	e, ok := r.Entry.(*Service)
	return e, ok
}

// BudgetEntry returns the budget in force under the name.
func (s *State) BudgetEntry(name string) (*Budget, bool) {
	r, _ := s.Get(name)
	e, ok := r.Entry.(*Budget)
	return e, ok
}

// Authenticate returns the budget that the caller's key draws on. The key is
// compared by its hash, in constant time.
func (s *State) Authenticate(key string) (*Budget, bool) {
	t := s.tables.Load()
	if t == nil {
		return nil, false
	}
	h := HashKey(key)
	r := t.keys.get(h)
	if r == nil {
		return nil, false
	}
	b, ok := r.Entry.(*Budget)
	if !ok || !holds(b, h) {
		return nil, false
	}
	return b, true
}

// holds compares all key hashes of the budget, so that the time taken does not
// tell which one matched.
func holds(b *Budget, h KeyHash) bool {
	found := 0
	for i := range b.KeyHashes {
		found |= subtle.ConstantTimeCompare(b.KeyHashes[i][:], h[:])
	}
	return found == 1
}

// Get returns what is known under the name. The entry of the record is nil where
// it was deleted; ok is false where the name is unknown.
func (s *State) Get(name string) (record Record, ok bool) {
	t := s.tables.Load()
	if t == nil {
		return Record{}, false
	}
	r := t.names.get(name)
	if r == nil {
		return Record{}, false
	}
	return *r, true
}

// All returns the entries in force, ordered by name.
func (s *State) All() []Record {
	t := s.tables.Load()
	if t == nil {
		return nil
	}
	var list []Record
	t.names.each(func(_ string, r *Record) {
		if r.Entry != nil {
			list = append(list, *r)
		}
	})
	slices.SortFunc(list, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Verdict returns what was decided about a change. It is nil where the change
// was not folded, or so long ago that its verdict is forgotten.
func (s *State) Verdict(changeID string) Verdict { return s.verdicts.get(changeID) }

// Latest returns the offset of the latest accepted change. It never decreases.
func (s *State) Latest() logsvc.Offset { return logsvc.Offset(s.latest.Load()) }
