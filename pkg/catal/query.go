package catal

import (
	"cmp"
	"crypto/subtle"
	"slices"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// ServiceEntry returns the current service with the name, and whether there is one.
func (s *State) ServiceEntry(name string) (*Service, bool) {
	r, _ := s.Get(name)
	e, ok := r.Entry.(*Service)
	return e, ok
}

// BudgetEntry returns the current budget with the name, and whether there is one.
func (s *State) BudgetEntry(name string) (*Budget, bool) {
	r, _ := s.Get(name)
	e, ok := r.Entry.(*Budget)
	return e, ok
}

// Authenticate returns the budget that the caller's key draws on, and whether there
// is one. The hash of the key is compared in constant time.
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
	if !ok || !hasKeyHash(b, h) {
		return nil, false
	}
	return b, true
}

// hasKeyHash reports whether the budget has the key hash. It compares all key hashes
// of the budget, so the duration of the call does not reveal which one matched.
func hasKeyHash(b *Budget, h KeyHash) bool {
	found := 0
	for i := range b.KeyHashes {
		found |= subtle.ConstantTimeCompare(b.KeyHashes[i][:], h[:])
	}
	return found == 1
}

// Get returns the record of the name. Its Entry is nil if the entry was deleted.
// ok is false if there is no record.
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

// All returns the records of the current entries, ordered by name.
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

// Verdict returns the verdict on a change. The verdict is nil if the change has not
// been folded, or if the verdict has been forgotten because of its age.
func (s *State) Verdict(changeID string) Verdict { return s.verdicts.get(changeID) }

// Latest returns the offset of the latest accepted change. It never decreases.
func (s *State) Latest() logsvc.Offset { return logsvc.Offset(s.latest.Load()) }
