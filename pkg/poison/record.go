// Package poison finds what crashes targets, and keeps it in quarantine: a part of prompts,
// whatever else the requests hold, or a request that its caller sends again and again.
//
// When a target ends under requests, all that each of them consists of is suspected. A
// subject gets into quarantine after several targets ended under it, one after the other,
// without an answer in between. An answer clears it. After a quarantine, requests are let
// through one by one. Instances exchange what they see as records that merge in any order.
// The package does no input or output.
package poison

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"time"
)

// ErrRecord reports a key or a value that is not a valid record.
var ErrRecord = errors.New("record of a suspect is invalid")

const (
	// maxEnded bounds the runs that a record names.
	maxEnded = 8
	// maxRun bounds the name of a run, in bytes.
	maxRun = 200
	// maxWitnesses bounds the witnesses that a record names.
	maxWitnesses = 8
	// maxKey bounds the key of a record, in bytes.
	maxKey = 240
)

// Record is what instances know against a subject. Merge joins the records of two
// instances.
type Record struct {
	// Round is the number of times that an answer, or an operator, cleared the subject. A
	// record of a higher round replaces those of lower ones.
	Round int64 `json:"round"`
	// Ended names the runs of targets that ended under the subject, in this round. It is
	// sorted and holds maxEnded names at most.
	Ended []string `json:"ended,omitempty"`
	// Witnesses are the requests under which they ended, each as a hash of its caller, a dot
	// and a hash of itself; see Part and CallerPart. It is sorted and holds maxWitnesses at
	// most. Records of an Exact have none.
	Witnesses []string `json:"witnesses,omitempty"`
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
		r.Ended, r.Witnesses = slices.Clone(r.Ended), slices.Clone(r.Witnesses)
		return r
	}
	return Record{
		Round: r.Round, Ended: union(r.Ended, o.Ended, maxEnded), Witnesses: union(r.Witnesses, o.Witnesses, maxWitnesses),
		Apart: max(r.Apart, o.Apart), Until: max(r.Until, o.Until), Terms: max(r.Terms, o.Terms),
	}
}

// union returns the first names of both lists, sorted.
func union(a, b []string, most int) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(most, len(all)):min(most, len(all))]
}

// hash returns the hash under which a record names a caller or a request.
func hash(of string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(of)) // A hash returns no errors.
	return strconv.FormatUint(uint64(h.Sum32()), 16)
}

// Equal reports whether both records say the same.
func (r Record) Equal(o Record) bool {
	return r.Round == o.Round && r.Apart == o.Apart && r.Until == o.Until && r.Terms == o.Terms && slices.Equal(r.Ended, o.Ended) && slices.Equal(r.Witnesses, o.Witnesses)
}

// Quarantined reports whether the subject is in quarantine at a time.
func (r Record) Quarantined(now time.Time) bool { return now.UnixMilli() < r.Until }

// Cleared returns the record after the subject was cleared.
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
	r.Ended, r.Witnesses = union(r.Ended, nil, len(r.Ended)), union(r.Witnesses, nil, maxWitnesses)
	if r.Round < 0 || r.Apart < 0 || r.Until < 0 || r.Terms < 0 || len(r.Ended) > maxEnded ||
		slices.ContainsFunc(r.Ended, func(run string) bool { return run == "" || len(run) > maxRun }) ||
		slices.ContainsFunc(r.Witnesses, func(w string) bool { return w == "" || len(w) > maxRun }) {
		return Record{}, fmt.Errorf("%w: a value is out of range", ErrRecord)
	}
	return r, nil
}
