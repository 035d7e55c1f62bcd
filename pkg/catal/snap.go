package catal

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"unique"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// snapshot is the encoded form of a State.
type snapshot struct {
	Latest logsvc.Offset `json:"latest"`
	Floor  logsvc.Offset `json:"floor"`
	// Records are ordered by name.
	Records []recordBody `json:"records,omitempty"`
	// Tombstones and Verdicts are in log order.
	Tombstones []string      `json:"tombstones,omitempty"`
	Verdicts   []verdictBody `json:"verdicts,omitempty"`
}

// recordBody is the JSON form of a Record in a snapshot.
type recordBody struct {
	Name     string        `json:"name"`
	At       logsvc.Offset `json:"at"`
	Change   string        `json:"change"`
	Operator string        `json:"operator"`
	Service  *Service      `json:"service,omitempty"`
	Budget   *Budget       `json:"budget,omitempty"`
}

// verdictBody is the JSON form of a Verdict in a snapshot. Exactly one of its
// pointers is set.
type verdictBody struct {
	ID       string    `json:"id"`
	Accepted *Accepted `json:"accepted,omitempty"`
	Conflict *Conflict `json:"conflict,omitempty"`
	Invalid  *Invalid  `json:"invalid,omitempty"`
}

// Snapshot encodes the state. Equal states encode to equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{Latest: s.Latest(), Floor: s.floor, Tombstones: s.tombstones}
	s.ensureTables().names.each(func(_ string, r *Record) {
		snap.Records = append(snap.Records, encodeRecord(r))
	})
	slices.SortFunc(snap.Records, func(a, b recordBody) int { return cmp.Compare(a.Name, b.Name) })
	for _, id := range s.verdicts.order {
		snap.Verdicts = append(snap.Verdicts, encodeVerdict(id, s.verdicts.byID[id]))
	}
	return json.Marshal(snap)
}

// Restore replaces the state with a snapshot. If the snapshot is older than the state
// or inconsistent, Restore returns an error and leaves the state unchanged.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		return fmt.Errorf("catalogue snapshot: %w", err)
	}
	if snap.Latest < s.Latest() {
		return fmt.Errorf("catalogue snapshot at offset %d is older than the state at offset %d", snap.Latest, s.Latest())
	}
	t, err := snap.tables()
	if err != nil {
		return err
	}
	v, err := snap.verdicts()
	if err != nil {
		return err
	}
	s.tables.Store(t)
	s.verdicts.replace(v)
	s.tombstones = snap.Tombstones
	s.floor = snap.Floor
	s.latest.Store(uint64(snap.Latest))
	return nil
}

// tables returns the indexes of the records, or an error if the records are
// inconsistent.
func (snap *snapshot) tables() (*tables, error) {
	t := new(tables)
	deleted := 0
	for i := range snap.Records {
		r, err := snap.Records[i].record()
		if err != nil {
			return nil, err
		}
		if r.At > snap.Latest || t.names.get(r.Name) != nil {
			return nil, fmt.Errorf("catalogue snapshot has entry %q twice, or has it at an offset after the snapshot's latest change", r.Name)
		}
		if err := t.add(r); err != nil {
			return nil, err
		}
		if r.Entry == nil {
			deleted++
		}
	}
	return t, snap.checkTombstones(t, deleted)
}

// add adds a record of a snapshot to the indexes.
func (t *tables) add(r *Record) error {
	t.names.set(r.Name, r)
	for _, h := range keysOf(r) {
		if other := t.keys.get(h); other != nil {
			return fmt.Errorf("catalogue snapshot has key hash %s in %q and in %q", h, other.Name, r.Name)
		}
		t.keys.set(h, r)
	}
	return nil
}

// checkTombstones checks that the tombstones list each deleted record once.
func (snap *snapshot) checkTombstones(t *tables, deleted int) error {
	seen := make(map[string]bool, len(snap.Tombstones))
	for _, name := range snap.Tombstones {
		if r := t.names.get(name); r == nil || r.Entry != nil || seen[name] {
			return fmt.Errorf("catalogue snapshot lists %q as deleted, but has no such record, or lists it twice", name)
		}
		seen[name] = true
	}
	if deleted != len(seen) {
		return fmt.Errorf("catalogue snapshot has %d deleted records, but lists %d deletions", deleted, len(seen))
	}
	return nil
}

func (snap *snapshot) verdicts() (*verdicts, error) {
	var v verdicts
	for _, body := range snap.Verdicts {
		verdict := body.verdict()
		if verdict == nil || v.get(body.ID) != nil {
			return nil, fmt.Errorf("catalogue snapshot has no verdict for change %q, or more than one", body.ID)
		}
		v.add(body.ID, verdict, len(snap.Verdicts))
	}
	return &v, nil
}

func encodeRecord(r *Record) recordBody {
	body := recordBody{Name: r.Name, At: r.At, Change: r.Change, Operator: r.Operator}
	switch e := r.Entry.(type) {
	case *Service:
		body.Service = e
	case *Budget:
		body.Budget = e
	}
	return body
}

// record converts the body to a Record. It fails if the entry has another name than
// the record, or if the body has both a service and a budget.
func (b *recordBody) record() (*Record, error) {
	r := &Record{Name: b.Name, At: b.At, Change: b.Change, Operator: unique.Make(b.Operator).Value()}
	if b.Service != nil {
		r.Entry = intern(b.Service)
	}
	if b.Budget != nil {
		r.Entry = intern(b.Budget)
	}
	if b.Service != nil && b.Budget != nil || r.Entry != nil && r.Entry.EntryName() != r.Name {
		return nil, fmt.Errorf("catalogue snapshot has a record %q whose entry has a different name, or is both a service and a budget", r.Name)
	}
	return r, nil
}

func encodeVerdict(id string, v Verdict) verdictBody {
	body := verdictBody{ID: id}
	switch v := v.(type) {
	case Accepted:
		body.Accepted = &v
	case Conflict:
		body.Conflict = &v
	case Invalid:
		body.Invalid = &v
	}
	return body
}

func (b *verdictBody) verdict() Verdict {
	switch {
	case b.Accepted != nil:
		return *b.Accepted
	case b.Conflict != nil:
		return *b.Conflict
	case b.Invalid != nil:
		return *b.Invalid
	}
	return nil
}
