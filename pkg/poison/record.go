// Package poison finds parts of prompts that crash targets, and keeps them in quarantine.
// Requests with such a part are harmful whatever else they hold, while sound requests
// share their other parts.
//
// A part is suspected once a target ended when it began to answer a prompt with it. It
// gets into quarantine after several targets ended so, one after the other, without an
// answer to any prompt with the part in between. An answer clears it. Instances exchange
// what they see as records that merge in any order. The package does no input or output.
package poison

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"
)

// ErrRecord reports a key or a value that is not a valid record.
var ErrRecord = errors.New("record of a prompt part is invalid")

// Part names a part of the prompts of a service.
type Part struct{ Service, ID string }

// keyPrefix begins the key of each record.
const keyPrefix = "part/"

// Key returns the key under which the part's record is shared.
func (p Part) Key() string {
	return keyPrefix + url.PathEscape(p.Service) + "/" + url.PathEscape(p.ID)
}

// IsKey reports whether a key is that of a part's record, valid or not.
func IsKey(key string) bool { return strings.HasPrefix(key, keyPrefix) }

// ParseKey returns the part that a key names. The error is ErrRecord.
func ParseKey(key string) (Part, error) {
	rest, ok := strings.CutPrefix(key, keyPrefix)
	service, id, cut := strings.Cut(rest, "/")
	if !ok || !cut {
		return Part{}, fmt.Errorf("%w: key %q, want %sSERVICE/ID", ErrRecord, key, keyPrefix)
	}
	var p Part
	var errs [2]error
	p.Service, errs[0] = url.PathUnescape(service)
	p.ID, errs[1] = url.PathUnescape(id)
	if err := errors.Join(errs[:]...); err != nil || p.ID == "" {
		return Part{}, errors.Join(fmt.Errorf("%w: key %q", ErrRecord, key), err)
	}
	return p, nil
}

const (
	// maxEnded bounds the runs that a record names.
	maxEnded = 8
	// maxRun bounds the name of a run, in bytes.
	maxRun = 200
)

// Record is what instances know against a part. Merge joins the records of two instances.
type Record struct {
	// Round is the number of times that an answer, or an operator, cleared the part. A
	// record of a higher round replaces those of lower ones.
	Round int64 `json:"round"`
	// Ended names the runs of targets that ended when they began to answer a prompt with
	// the part, in this round. It is sorted and holds maxEnded names at most.
	Ended []string `json:"ended,omitempty"`
	// Apart is the number of these ends that count apart. It is lower than their number if
	// targets ended together.
	Apart int `json:"apart,omitempty"`
	// Until is the end of the quarantine, in Unix milliseconds. It is 0 before the first
	// quarantine of the round.
	Until int64 `json:"until,omitempty"`
	// Terms is the number of quarantines in this round.
	Terms int `json:"terms,omitempty"`
}

// Merge returns what both records together say. It is commutative, associative and
// idempotent.
func (r Record) Merge(o Record) Record {
	if r.Round != o.Round {
		if r.Round < o.Round {
			r = o
		}
		r.Ended = slices.Clone(r.Ended)
		return r
	}
	ended := slices.Concat(r.Ended, o.Ended)
	slices.Sort(ended)
	ended = slices.Compact(ended)
	return Record{
		Round: r.Round, Ended: ended[:min(maxEnded, len(ended)):min(maxEnded, len(ended))],
		Apart: max(r.Apart, o.Apart), Until: max(r.Until, o.Until), Terms: max(r.Terms, o.Terms),
	}
}

// Equal reports whether both records say the same.
func (r Record) Equal(o Record) bool {
	return r.Round == o.Round && r.Apart == o.Apart && r.Until == o.Until && r.Terms == o.Terms && slices.Equal(r.Ended, o.Ended)
}

// Quarantined reports whether the part is in quarantine at a time.
func (r Record) Quarantined(now time.Time) bool { return now.UnixMilli() < r.Until }

// Cleared returns the record after the part was cleared.
func (r Record) Cleared() Record { return Record{Round: r.Round + 1} }

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
	slices.Sort(r.Ended)
	r.Ended = slices.Compact(r.Ended)
	if r.Round < 0 || r.Apart < 0 || r.Until < 0 || r.Terms < 0 || len(r.Ended) > maxEnded ||
		slices.ContainsFunc(r.Ended, func(run string) bool { return run == "" || len(run) > maxRun }) {
		return Record{}, fmt.Errorf("%w: a value is out of range", ErrRecord)
	}
	return r, nil
}
