// Package keyed defines the interface to a store of keyed, partitioned topics. The
// store keeps at least the newest record of each key, orders the records of a
// partition, and applies each writer's records once and in order. Readers can
// follow a partition.
package keyed

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of a Store. Test for them with errors.Is.
var (
	// ErrTrimmed reports that the requested records are no longer kept. The newest
	// record of each key is still kept.
	ErrTrimmed = errors.New("records are no longer kept")
	// ErrOutOfOrder reports that a record has neither the writer's next number nor the
	// number of a recent record, or that the writer has a higher epoch. Nothing was
	// written.
	ErrOutOfOrder = errors.New("writer's record is out of order")
	// ErrUnavailable reports that the store failed to carry out a call.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrOutcomeUnknown reports a write without a response. The write may have taken
	// effect, or may take effect later.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
)

// Offset numbers the records of a partition from 0, without gaps.
type Offset int64

// Entry is one record.
type Entry struct {
	Key string
	// Value is nil if the record deletes its key.
	Value  []byte
	Offset Offset
}

// Partition identifies a partition of a topic.
type Partition struct {
	Topic string
	Index int
}

// Page is a part of a partition's records. Pages that are read one after another
// are not a consistent snapshot.
type Page struct {
	Entries []Entry
	// End is the offset of the next record to be written.
	End Offset
	// More is set by Newest if there are keys after the key of the last entry, and by Read if
	// there are records after the last entry.
	More bool
	// LogEpoch is the epoch in which the store responded.
	LogEpoch LogEpoch
}

// Store is a client of the store. Implementations are safe for concurrent use.
// Newest and Read fail with ErrUnavailable or ErrTrimmed.
type Store interface {
	// Newest returns the newest record of each key after the given key, in the
	// order of the keys. One page may not contain all of them; see Page.More.
	Newest(ctx context.Context, p Partition, after string) (Page, error)
	// Read returns the records from an offset on. If there are none yet, it waits for
	// the first one. It returns an empty page if none arrives within the duration wait.
	Read(ctx context.Context, p Partition, from Offset, wait time.Duration) (Page, error)
	// Write writes a record. The writer's epoch and number identify the record. A
	// record that is sent again has no second effect, and a record has no effect after
	// a later one of its writer.
	Write(ctx context.Context, p Partition, w Writer, e Entry) error
	// Append writes records without a writer's number, all or none. A record may take
	// effect late, and again after a later record of its key. It is meant for records
	// that readers merge.
	Append(ctx context.Context, p Partition, entries []Entry) error
}

// Writer numbers the records that one process writes to a partition.
type Writer struct {
	ID string
	// Epoch is the writer's epoch. The first record of a higher epoch may have any
	// number. After it, records of lower epochs fail with ErrOutOfOrder.
	Epoch int64
	// Number is one more than the number of the writer's previous record in the epoch.
	Number int64
}

// maxPages bounds the pages of one snapshot. A thousand pages hold 500,000 keys.
const maxPages = 1000

// Snapshot returns the newest records of all keys, which it reads page by page. End
// of the result is the End of the first page, so a Read from there returns every
// change made while the pages were read. Snapshot fails with ErrUnavailable after
// 1000 pages, and if the store was restored while the pages were read.
func Snapshot(ctx context.Context, s Store, p Partition) (Page, error) {
	var all Page
	after := ""
	for n := range maxPages {
		page, err := s.Newest(ctx, p, after)
		if err != nil {
			return Page{}, err
		}
		if n == 0 {
			all.End, all.LogEpoch = page.End, page.LogEpoch
		}
		if page.LogEpoch != all.LogEpoch {
			return Page{}, errors.Join(ErrUnavailable, fmt.Errorf("store was restored during a snapshot: epoch %d after %d", page.LogEpoch, all.LogEpoch))
		}
		all.Entries = append(all.Entries, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			return all, nil
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
	return Page{}, errors.Join(ErrUnavailable, fmt.Errorf("snapshot has more than %d pages", maxPages))
}
