package ledger

import (
	"crypto/sha256"
)

// billKeyBytes is the size of a request id's digest, in bytes. Finding two ids with the
// same digest takes some 2^48 trials.
const billKeyBytes = 12

// billKey is the digest of a request id. It bounds the memory for long ids.
type billKey [billKeyBytes]byte

// Bill is what a request was billed.
type Bill struct {
	// Tokens is the sum over Charges.
	Tokens Tokens
	// Charges holds what was billed to each lease. It must not be changed.
	Charges []Charge
}

// recentBills remembers the last billWindow bills.
type recentBills struct {
	bills map[billKey]Bill
	// order holds the keys by age. From billWindow keys on, it is a ring, and next is
	// the index of the oldest key.
	order []billKey
	next  int
}

func keyOf(request string) billKey {
	sum := sha256.Sum256([]byte(request))
	return billKey(sum[:billKeyBytes])
}

func (m *recentBills) get(request string) (Bill, bool) {
	b, ok := m.bills[keyOf(request)]
	return b, ok
}

func (m *recentBills) add(request string, b Bill) { m.addKey(keyOf(request), b) }

func (m *recentBills) addKey(k billKey, b Bill) {
	if m.bills == nil {
		m.bills = make(map[billKey]Bill)
	}
	m.bills[k] = b
	if len(m.order) < billWindow {
		m.order = append(m.order, k)
		return
	}
	delete(m.bills, m.order[m.next])
	m.order[m.next] = k
	m.next = (m.next + 1) % billWindow
}

// each calls fn for the bills from the oldest to the newest.
func (m *recentBills) each(fn func(k billKey, b Bill)) {
	for i := range m.order {
		k := m.order[(m.next+i)%len(m.order)]
		fn(k, m.bills[k])
	}
}
