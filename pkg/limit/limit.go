// Package limit holds what instances tell each other of the limits that targets name, and
// of themselves. A limit counts the requests of all instances together, so each instance
// needs to know the limit and the other instances. The package does no input or output.
package limit

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// ErrRecord reports a key or a value that is not a valid record.
var ErrRecord = errors.New("record of a limit is invalid")

// Prefixes of the keys of records.
const (
	limitPrefix  = "limit/"
	memberPrefix = "instance/"
)

// Record is the limit that a run of a target names. The zero value is no limit.
type Record struct {
	// Seq is the number of changes of the limit that instances have seen.
	Seq int64 `json:"seq"`
	// Rate is the number of requests a second for all instances together, or 0 for no
	// limit.
	Rate float64 `json:"rate"`
}

// Merge returns the newer record. Of two that are equally new, it is the stricter one.
func (r Record) Merge(o Record) Record {
	switch {
	case r.Seq != o.Seq:
		if r.Seq < o.Seq {
			return o
		}
	case r.Rate == 0 || (o.Rate > 0 && o.Rate < r.Rate):
		return o
	}
	return r
}

// Encode returns the value under which the record is shared.
func (r Record) Encode() []byte {
	data, _ := json.Marshal(r) // A Record has no field that cannot be encoded.
	return data
}

// Decode decodes a shared value. The error is ErrRecord.
func Decode(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errors.Join(ErrRecord, err)
	}
	if r.Seq < 0 || r.Rate < 0 || math.IsNaN(r.Rate) || math.IsInf(r.Rate, 0) {
		return Record{}, fmt.Errorf("%w: a value is out of range", ErrRecord)
	}
	return r, nil
}

// Key returns the key of the limit of a run of a target.
func Key(run string) string { return limitPrefix + run }

// ParseKey returns the run of a target that a key names, and whether it names one.
func ParseKey(key string) (run string, ok bool) {
	run, ok = strings.CutPrefix(key, limitPrefix)
	return run, ok && run != ""
}

// MemberKey returns the key of an instance.
func MemberKey(instance string) string { return memberPrefix + instance }

// ParseMemberKey returns the instance that a key names, and whether it names one.
func ParseMemberKey(key string) (instance string, ok bool) {
	instance, ok = strings.CutPrefix(key, memberPrefix)
	return instance, ok && instance != ""
}

// noAddress is the value of the record of an instance that can't be asked.
const noAddress = "1"

// MemberValue returns the value of an instance's record. address is where other instances can
// ask it, or "" if they can't.
func MemberValue(address string) []byte { return []byte(cmp.Or(address, noAddress)) }

// ParseMember returns the address in an instance's record, or "" if it has none.
func ParseMember(value []byte) (address string) {
	if _, err := netip.ParseAddrPort(string(value)); err != nil {
		return ""
	}
	return string(value)
}

const (
	// RefreshInterval is the interval at which an instance writes its record again.
	RefreshInterval = 10 * time.Minute
	// memberTTL is the time after its last record at which an instance counts as gone.
	memberTTL = 25 * time.Minute
	// maxMembers bounds the instances that are known.
	maxMembers = 4096
)

// Members is the list of instances. The zero value is an empty list.
type Members struct {
	seen map[string]member
}

// member is one instance.
type member struct {
	// at is when its record was last seen.
	at time.Time
	// address is where it can be asked, or "" if it can't.
	address string
}

// See records that an instance has written its record, with the address where it can be
// asked, or "". It reports whether the instance is new.
func (m *Members) See(now time.Time, instance, address string) bool {
	if m.seen == nil {
		m.seen = make(map[string]member)
	}
	_, known := m.seen[instance]
	if !known && len(m.seen) >= maxMembers {
		return false
	}
	m.seen[instance] = member{now, address}
	return !known
}

// Gone records that an instance has ended. It reports whether it was known.
func (m *Members) Gone(instance string) bool {
	_, known := m.seen[instance]
	delete(m.seen, instance)
	return known
}

// Expire removes the instances that have not written their record for memberTTL, and returns
// them.
func (m *Members) Expire(now time.Time) (gone []string) {
	for instance, known := range m.seen {
		if now.Sub(known.at) > memberTTL {
			delete(m.seen, instance)
			gone = append(gone, instance)
		}
	}
	return gone
}

// Len returns the number of instances.
func (m *Members) Len() int { return len(m.seen) }

// Addresses returns the addresses of the instances that can be asked, by their names.
func (m *Members) Addresses() map[string]string {
	addresses := make(map[string]string, len(m.seen))
	for instance, known := range m.seen {
		if known.address != "" {
			addresses[instance] = known.address
		}
	}
	return addresses
}

// Names returns the instances in order.
func (m *Members) Names() []string { return slices.Sorted(maps.Keys(m.seen)) }
