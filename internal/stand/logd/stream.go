package logd

import (
	"bytes"
	"sync"
	"time"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// stream is one append-only stream.
type stream struct {
	mu sync.Mutex
	// first is the number of expired records: records[0] has offset first+1.
	first   logsvc.Offset
	records []stored
	// more is closed at the next append.
	more chan struct{}
}

// stored is a record with the time of its append.
type stored struct {
	data []byte
	at   time.Time
}

// append appends a copy of data and returns its offset.
func (st *stream) append(data []byte, sw Switches) logsvc.Offset {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.records = append(st.records, stored{data: bytes.Clone(data), at: time.Now()})
	st.expireLocked(sw)
	if st.more != nil {
		close(st.more)
		st.more = nil
	}
	return st.first + logsvc.Offset(len(st.records))
}

// page returns up to limit records from the given offset on. They have at most
// logsvc.MaxPage bytes together, unless the first record alone is larger. It also
// returns a channel that is closed at the next append.
func (st *stream) page(from logsvc.Offset, limit int, sw Switches) (logsvc.Page, <-chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expireLocked(sw)
	if st.more == nil {
		st.more = make(chan struct{})
	}
	p := logsvc.Page{First: st.first + 1, Next: st.first + logsvc.Offset(len(st.records)) + 1}
	size := 0
	for at := max(from, p.First); at < p.Next && len(p.Records) < limit; at++ {
		data := st.records[at-p.First].data
		size += len(data)
		if size > logsvc.MaxPage && len(p.Records) > 0 {
			break
		}
		p.Records = append(p.Records, logsvc.Record{Offset: at, Data: data})
	}
	return p, st.more
}

// expireLocked drops the records beyond the retention.
func (st *stream) expireLocked(sw Switches) {
	n := 0
	if sw.RetainRecords > 0 {
		n = max(0, len(st.records)-sw.RetainRecords)
	}
	if sw.RetainMS > 0 {
		oldest := time.Now().Add(-millis(sw.RetainMS))
		for n < len(st.records) && st.records[n].at.Before(oldest) {
			n++
		}
	}
	st.dropLocked(n)
}

// drop drops all records but the last keep ones.
func (st *stream) drop(keep int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.dropLocked(max(0, len(st.records)-keep))
}

// dropLocked drops the first n records.
func (st *stream) dropLocked(n int) {
	clear(st.records[:n])
	st.records = st.records[n:]
	st.first += logsvc.Offset(n)
}

// all returns the retained records.
func (st *stream) all(sw Switches) []logsvc.Record {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expireLocked(sw)
	list := make([]logsvc.Record, 0, len(st.records))
	for i, r := range st.records {
		list = append(list, logsvc.Record{Offset: st.first + logsvc.Offset(i) + 1, Data: r.data})
	}
	return list
}
