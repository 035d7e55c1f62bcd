package ledger

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// errTruncatedBills reports a snapshot whose block of bills is truncated.
var errTruncatedBills = errors.New("block of bills is truncated")

// snapshot is the encoded form of a State. Its lists are either sorted or in the order
// of the stream, so that equal states encode to equal bytes.
type snapshot struct {
	Stats   Stats               `json:"stats"`
	Budgets []snapshotBudget    `json:"budgets"`
	TopUps  []string            `json:"top-ups"`
	Closed  []snapshotClosed    `json:"closed"`
	Holders []ident.Incarnation `json:"holders"`
	// Bills holds the remembered bills from the oldest to the newest. Each bill
	// consists of the key, the number of charges and, for each charge, the index in
	// Holders and the tokens. The numbers are unsigned varints.
	Bills []byte `json:"bills"`
}

type snapshotBudget struct {
	Name   string                      `json:"name"`
	Paid   Tokens                      `json:"paid"`
	Net    Tokens                      `json:"net"`
	Billed Tokens                      `json:"billed"`
	Leases map[ident.Incarnation]Lease `json:"slices,omitempty"`
}

type snapshotClosed struct {
	Holder ident.Incarnation `json:"holder"`
	Fleet  logsvc.Offset     `json:"fleet"`
}

// Snapshot encodes the state. Equal states encode to equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{Stats: s.Stats, TopUps: slices.Sorted(maps.Keys(s.topUps))}
	for _, name := range s.Budgets() {
		a := s.budgets[name]
		snap.Budgets = append(snap.Budgets, snapshotBudget{
			Name: name, Paid: a.paid, Net: a.netGranted, Billed: a.billed, Leases: a.leases,
		})
	}
	for _, h := range s.closed.order {
		snap.Closed = append(snap.Closed, snapshotClosed{Holder: h, Fleet: s.closed.offsets[h]})
	}
	snap.encodeBills(&s.bills)
	return json.Marshal(snap)
}

func (snap *snapshot) encodeBills(m *recentBills) {
	index := make(map[ident.Incarnation]uint64)
	m.each(func(k billKey, b Bill) {
		snap.Bills = append(snap.Bills, k[:]...)
		snap.Bills = binary.AppendUvarint(snap.Bills, uint64(len(b.Charges)))
		for _, c := range b.Charges {
			i, ok := index[c.Holder]
			if !ok {
				i = uint64(len(snap.Holders))
				index[c.Holder] = i
				snap.Holders = append(snap.Holders, c.Holder)
			}
			snap.Bills = binary.AppendUvarint(snap.Bills, i)
			snap.Bills = binary.AppendUvarint(snap.Bills, uint64(c.Tokens))
		}
	})
}

// Restore replaces the state by a snapshot and keeps OnDecision. On error the state is
// unchanged.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		return fmt.Errorf("ledger snapshot: %w", err)
	}
	next := State{OnDecision: s.OnDecision, Stats: snap.Stats}
	if err := next.restoreBills(snap); err != nil {
		return fmt.Errorf("ledger snapshot: %w", err)
	}
	for _, b := range snap.Budgets {
		if b.Billed < 0 || b.Billed > b.Net || b.Net > b.Paid {
			return fmt.Errorf("ledger snapshot: budget %q has %d tokens paid, %d granted and %d billed, want paid >= granted >= billed >= 0", b.Name, b.Paid, b.Net, b.Billed)
		}
	}
	next.topUps = make(map[string]struct{}, len(snap.TopUps))
	next.budgets = make(map[string]*account, len(snap.Budgets))
	for _, id := range snap.TopUps {
		next.topUps[id] = struct{}{}
	}
	for _, c := range snap.Closed {
		next.closed.add(c.Holder, c.Fleet)
	}
	for _, b := range snap.Budgets {
		a := &account{paid: b.Paid, netGranted: b.Net, billed: b.Billed}
		for holder, lease := range b.Leases {
			a.set(holder, lease)
		}
		next.budgets[b.Name] = a
	}
	*s = next
	return nil
}

// restoreBills decodes the block of bills.
func (s *State) restoreBills(snap snapshot) error {
	rest := snap.Bills
	for len(rest) > 0 {
		if len(rest) < billKeyBytes {
			return errTruncatedBills
		}
		k := billKey(rest[:billKeyBytes])
		var b Bill
		var err error
		b, rest, err = decodeBill(rest[billKeyBytes:], snap.Holders)
		if err != nil {
			return err
		}
		s.bills.addKey(k, b)
	}
	return nil
}

// decodeBill decodes the part of a bill that follows its key. It returns the bill and
// the bytes after it.
func decodeBill(data []byte, holders []ident.Incarnation) (Bill, []byte, error) {
	count, data, err := uvarint(data)
	if err != nil {
		return Bill{}, nil, err
	}
	var b Bill
	for range count {
		var i, n uint64
		if i, data, err = uvarint(data); err != nil {
			return Bill{}, nil, err
		}
		if n, data, err = uvarint(data); err != nil {
			return Bill{}, nil, err
		}
		if i >= uint64(len(holders)) {
			return Bill{}, nil, fmt.Errorf("bill refers to holder index %d, but the snapshot has %d holders", i, len(holders))
		}
		b.Charges = append(b.Charges, Charge{Holder: holders[i], Tokens: Tokens(n)})
		b.Tokens += Tokens(n)
	}
	return b, data, nil
}

func uvarint(data []byte) (uint64, []byte, error) {
	v, n := binary.Uvarint(data)
	if n <= 0 {
		return 0, nil, errTruncatedBills
	}
	return v, data[n:], nil
}
