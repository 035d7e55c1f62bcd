package catal

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// snapshot is the encoded form of a State.
type snapshot struct {
	Latest logsvc.Offset `json:"latest"`
	Floor  logsvc.Offset `json:"floor"`
	// Records are ordered by name.
	Records []recordBody `json:"records,omitempty"`
	// Tombstones and Verdicts are in the order of the log.
	Tombstones []string      `json:"tombstones,omitempty"`
	Verdicts   []verdictBody `json:"verdicts,omitempty"`
}

// recordBody is a Record as a snapshot carries it.
type recordBody struct {
	Name     string        `json:"name"`
	At       logsvc.Offset `json:"at"`
	Change   string        `json:"change"`
	Operator string        `json:"operator"`
	Service  *Service      `json:"service,omitempty"`
	Budget   *Budget       `json:"budget,omitempty"`
}

// verdictBody is a Verdict as a snapshot carries it. One field is set.
type verdictBody struct {
	ID       string    `json:"id"`
	Accepted *Accepted `json:"accepted,omitempty"`
	Conflict *Conflict `json:"conflict,omitempty"`
	Invalid  *Invalid  `json:"invalid,omitempty"`
}

// Snapshot encodes the state. Equal states encode to equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{Latest: s.Latest(), Floor: s.floor, Tombstones: s.tombstones}
	s.load().names.each(func(_ string, r *Record) {
		snap.Records = append(snap.Records, encodeRecord(r))
	})
	slices.SortFunc(snap.Records, func(a, b recordBody) int { return cmp.Compare(a.Name, b.Name) })
	for _, id := range s.verdicts.order {
		snap.Verdicts = append(snap.Verdicts, encodeVerdict(id, s.verdicts.byID[id]))
	}
	return json.Marshal(snap)
}

// Restore replaces the state by a snapshot. It refuses a snapshot that is behind
// the state, and one that is not whole; the state is unchanged then.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		return fmt.Errorf("catalogue snapshot: %w", err)
	}
	if snap.Latest < s.Latest() {
		return fmt.Errorf("catalogue snapshot at offset %d is behind the state at %d", snap.Latest, s.Latest())
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

// tables rebuilds the index of the records.
func (snap *snapshot) tables() (*tables, error) {
	t := new(tables)
	deleted := 0
	for i := range snap.Records {
		r := snap.Records[i].record()
		t.names.set(r.Name, r)
		for _, h := range keysOf(r) {
			t.keys.set(h, r)
		}
		if r.Entry == nil {
			deleted++
		}
	}
	for _, name := range snap.Tombstones {
		if r := t.names.get(name); r == nil || r.Entry != nil {
			return nil, fmt.Errorf("catalogue snapshot lists %q as deleted, but has no such record", name)
		}
	}
	if deleted != len(snap.Tombstones) {
		return nil, fmt.Errorf("catalogue snapshot has %d deleted records, but lists %d", deleted, len(snap.Tombstones))
	}
	return t, nil
}

func (snap *snapshot) verdicts() (*verdicts, error) {
	var v verdicts
	for _, body := range snap.Verdicts {
		verdict := body.verdict()
		if verdict == nil {
			return nil, fmt.Errorf("catalogue snapshot has no verdict for change %q", body.ID)
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

func (b *recordBody) record() *Record {
	r := &Record{Name: b.Name, At: b.At, Change: b.Change, Operator: b.Operator}
	if b.Service != nil {
		r.Entry = interned(b.Service)
	}
	if b.Budget != nil {
		r.Entry = interned(b.Budget)
	}
	return r
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
