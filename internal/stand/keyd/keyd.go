// Package keyd is a stand-in for a compacted store, for tests and the emulator. It keeps
// the newest record of each key and the order of each writer's records, in memory, and
// has switches for its failures. It implements keyed.Store.
package keyd

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/toggle"
	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/pause"
)

// resendWindow is the number of a writer's last records that it may send again.
const resendWindow = 5

// Switches are the store's failures. The zero value has none.
type Switches struct {
	// Down refuses every call without effect.
	Down bool `json:"down"`
	// Delay is the duration of each call.
	Delay time.Duration `json:"delay"`
	// Lost is the share of the writes whose answer is lost, from 0 to 1. Each of these
	// writes is applied either at once or after Late, with equal chances.
	Lost float64 `json:"lost"`
	// Late is the delay of a late write whose answer is lost. Such a write has no
	// effect if the store refuses it because a later write of the same writer arrived
	// first.
	Late time.Duration `json:"late"`
	// PageSize bounds the number of entries that Newest returns; 0 is no bound.
	PageSize int `json:"page-size"`
}

// Store is the store. The zero value is empty and has no failures. It is safe for
// concurrent use.
type Store struct {
	Switches toggle.Box[Switches]
	// Rand is the random source of the failures; nil stands for the global one. Set
	// it before use.
	Rand *rand.Rand

	mu         sync.Mutex
	partitions map[keyed.Partition]*partition
	epoch      keyed.LogEpoch
}

// partition is one partition of a topic.
type partition struct {
	// log holds the records from offset first on.
	log    []keyed.Entry
	first  keyed.Offset
	newest map[string]keyed.Entry
	// writers holds each writer's epoch and number at its last record.
	writers map[string]keyed.Writer
	// changed is closed when the next record is written.
	changed chan struct{}
	// history holds everything that was written, also records that were compacted. It
	// is what an older copy is made from.
	history []change
}

// change is one record that was written.
type change struct {
	at    time.Time
	entry keyed.Entry
	// writer is nil for a record of Put.
	writer *keyed.Writer
}

func (p *partition) end() keyed.Offset { return p.first + keyed.Offset(len(p.log)) }

// partition returns the partition with an id and creates it if necessary. The caller holds
// the lock.
func (s *Store) partition(id keyed.Partition) *partition {
	p := s.partitions[id]
	if p == nil {
		if s.partitions == nil {
			s.partitions = make(map[keyed.Partition]*partition)
		}
		p = &partition{newest: make(map[string]keyed.Entry), writers: make(map[string]keyed.Writer), changed: make(chan struct{})}
		s.partitions[id] = p
	}
	return p
}

// errDown is returned if the store is switched down.
var errDown = errors.New("store is down")

// begin applies the switches that concern every call: the delay and the outage.
func (s *Store) begin(ctx context.Context) error {
	sw := s.Switches.Get()
	if sw.Delay > 0 && !pause.For(ctx, sw.Delay) {
		return errors.Join(keyed.ErrUnavailable, ctx.Err())
	}
	if s.Switches.Get().Down {
		return errors.Join(keyed.ErrUnavailable, errDown)
	}
	return nil
}

// Newest returns the newest records of all keys greater than after, ordered by key. It
// returns keyed.ErrUnavailable if the store is down or ctx ends.
func (s *Store) Newest(ctx context.Context, id keyed.Partition, after string) (keyed.Page, error) {
	if err := s.begin(ctx); err != nil {
		return keyed.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(id)
	page := keyed.Page{End: p.end(), LogEpoch: s.epoch}
	for _, e := range p.newest {
		if e.Key > after {
			page.Entries = append(page.Entries, e)
		}
	}
	slices.SortFunc(page.Entries, func(a, b keyed.Entry) int { return strings.Compare(a.Key, b.Key) })
	if n := s.Switches.Get().PageSize; n > 0 && len(page.Entries) > n {
		page.Entries, page.More = page.Entries[:n], true
	}
	return page, nil
}

// Read returns the records from an offset on. If there are none, it waits up to wait for
// the next one. It returns keyed.ErrTrimmed if the record at from was dropped, or if the
// partition ends before from.
func (s *Store) Read(ctx context.Context, id keyed.Partition, from keyed.Offset, wait time.Duration) (keyed.Page, error) {
	if err := s.begin(ctx); err != nil {
		return keyed.Page{}, err
	}
	timeout := time.After(wait)
	for {
		page, changed, err := s.read(id, from)
		if err != nil || len(page.Entries) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return keyed.Page{}, errors.Join(keyed.ErrUnavailable, ctx.Err())
		}
	}
}

func (s *Store) read(id keyed.Partition, from keyed.Offset) (keyed.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(id)
	if from < p.first || from > p.end() {
		return keyed.Page{}, nil, keyed.ErrTrimmed
	}
	page := keyed.Page{End: p.end(), LogEpoch: s.epoch}
	if from < p.end() {
		page.Entries = slices.Clone(p.log[from-p.first:])
	}
	return page, p.changed, nil
}

// Write writes the next record of a writer. It returns keyed.ErrOutcomeUnknown if the
// answer is lost, and keyed.ErrOutOfOrder if the record is out of order. A record that
// was written before is accepted without effect.
func (s *Store) Write(ctx context.Context, id keyed.Partition, w keyed.Writer, e keyed.Entry) error {
	if err := s.begin(ctx); err != nil {
		return err
	}
	if s.lose(func() { _ = s.write(id, w, e) }) { // The result is lost with the answer.
		return keyed.ErrOutcomeUnknown
	}
	return s.write(id, w, e)
}

// Append writes records without a writer's number. It returns keyed.ErrOutcomeUnknown if
// the answer is lost.
func (s *Store) Append(ctx context.Context, id keyed.Partition, entries []keyed.Entry) error {
	if err := s.begin(ctx); err != nil {
		return err
	}
	write := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, e := range entries {
			s.partition(id).put(e, &keyed.Writer{}) // Unlike a record of Put, it is lost with a restore.
		}
	}
	if s.lose(write) {
		return keyed.ErrOutcomeUnknown
	}
	write()
	return nil
}

// lose decides whether the answer of a write is lost. If so, it runs the write at once
// or after Late, and returns true.
func (s *Store) lose(write func()) bool {
	sw := s.Switches.Get()
	if sw.Lost == 0 || s.chance() >= sw.Lost {
		return false
	}
	if s.chance() < 0.5 {
		write()
	} else {
		time.AfterFunc(sw.Late, write)
	}
	return true
}

func (s *Store) write(id keyed.Partition, w keyed.Writer, e keyed.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(id)
	last, known := p.writers[w.ID]
	switch {
	case !known || w.Epoch > last.Epoch:
	case w.Epoch < last.Epoch || w.Number > last.Number+1 || w.Number <= last.Number-resendWindow:
		return keyed.ErrOutOfOrder
	case w.Number <= last.Number:
		return nil // already written
	}
	p.put(e, &w)
	return nil
}

// chance returns a random number in [0, 1).
func (s *Store) chance() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Rand != nil {
		return s.Rand.Float64()
	}
	return rand.Float64()
}

// Put writes a record, regardless of the switches, and returns the new end of the
// partition. A nil value deletes the key.
func (s *Store) Put(id keyed.Partition, e keyed.Entry) keyed.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(id)
	p.put(e, nil)
	return p.end()
}

func (p *partition) put(e keyed.Entry, w *keyed.Writer) {
	p.history = append(p.history, change{at: time.Now(), entry: e, writer: w})
	p.apply(e, w)
	p.wake()
}

// apply adds a record at the end of the log.
func (p *partition) apply(e keyed.Entry, w *keyed.Writer) {
	if w != nil {
		p.writers[w.ID] = *w
	}
	e.Offset = p.end()
	p.log = append(p.log, e)
	p.newest[e.Key] = e
	if e.Value == nil {
		delete(p.newest, e.Key)
	}
}

// wake wakes the reads that wait for a record.
func (p *partition) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Restore replaces the store by its copy of some time ago and starts the next epoch of
// the log. Records written since are lost, with the numbers of their writers, and their
// offsets are given out again. Those of Put are written again after the duration rewrite,
// in their order.
func (s *Store) Restore(age, rewrite time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	copied := time.Now().Add(-age)
	for id, p := range s.partitions {
		if again := p.restore(copied); len(again) > 0 {
			time.AfterFunc(rewrite, func() {
				for _, e := range again {
					s.Put(id, e)
				}
			})
		}
	}
}

// Epoch returns the number of restores.
func (s *Store) Epoch() keyed.LogEpoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// restore replaces the partition by its copy at a time, and returns the lost records of
// Put.
func (p *partition) restore(copied time.Time) (lost []keyed.Entry) {
	history := p.history
	p.history, p.log, p.newest, p.writers = nil, nil, make(map[string]keyed.Entry), make(map[string]keyed.Writer)
	first := p.first
	p.first = 0
	for _, c := range history {
		switch {
		case !c.at.After(copied):
			p.history = append(p.history, c)
			p.apply(c.entry, c.writer)
		case c.writer == nil:
			lost = append(lost, c.entry)
		}
	}
	dropped := min(first, p.end())
	p.first, p.log = dropped, p.log[dropped:]
	p.wake()
	return lost
}

// Compact drops the history of a partition but keeps the newest record of each key.
func (s *Store) Compact(id keyed.Partition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(id)
	p.first, p.log = p.end(), nil
}
