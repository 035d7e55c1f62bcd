package room

import (
	"strings"
	"time"
)

// recordPrefix begins the keys of the records by which instances tell each other their data
// centre and whether they are out of the rotation.
const recordPrefix = "room/"

// Values of records, before the data centre.
const (
	inValue  = "in "
	outValue = "out "
)

// Key returns the key of an instance's record.
func Key(instance string) string { return recordPrefix + instance }

// ParseKey returns the instance that a key names, and whether it names one.
func ParseKey(key string) (instance string, ok bool) {
	instance, ok = strings.CutPrefix(key, recordPrefix)
	return instance, ok && instance != ""
}

// Value returns the value of an instance's record.
func Value(dataCentre string, out bool) []byte {
	if out {
		return []byte(outValue + dataCentre)
	}
	return []byte(inValue + dataCentre)
}

// Peers is what an instance knows of the others by their records. The zero value knows none.
type Peers struct{ known map[string]peer }

// peer is another instance. outSince is when it was last seen leaving, or zero.
type peer struct {
	dataCentre string
	outSince   time.Time
}

// maxPeers bounds the instances that are known.
const maxPeers = 4096

// See records the value of an instance's record, or its deletion by nil. Values of an
// unknown form are ignored.
func (p *Peers) See(now time.Time, instance string, value []byte) {
	if value == nil {
		delete(p.known, instance)
		return
	}
	if _, ok := p.known[instance]; !ok && len(p.known) >= maxPeers {
		return
	}
	if p.known == nil {
		p.known = make(map[string]peer)
	}
	if dataCentre, ok := strings.CutPrefix(string(value), inValue); ok {
		p.known[instance] = peer{dataCentre: dataCentre}
	} else if dataCentre, ok := strings.CutPrefix(string(value), outValue); ok {
		p.known[instance] = peer{dataCentre, now}
	}
}

// Retain forgets the instances that keep does not hold.
func (p *Peers) Retain(keep func(instance string) bool) {
	for instance := range p.known {
		if !keep(instance) {
			delete(p.known, instance)
		}
	}
}

// Others counts the instances for one in the given data centre, which is known too. One that
// has been out for longer than any stays out has ended, and counts as in.
func (p *Peers) Others(now time.Time, self, dataCentre string) Others {
	var o Others
	for instance, k := range p.known {
		out := instance != self && !k.outSince.IsZero() && now.Sub(k.outSince) < 2*longestOut
		o.All++
		if out {
			o.Out++
		}
		if k.dataCentre == dataCentre {
			o.Here++
			if out {
				o.OutHere++
			}
		}
	}
	return o
}
