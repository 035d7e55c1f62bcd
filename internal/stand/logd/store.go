// Package logd is a stand-in for the platform's log service, for tests. It
// keeps its streams in memory and has switches for the service's failures.
package logd

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/beryllanding/beryllanding/internal/stand/toggle"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
	"github.com/beryllanding/beryllanding/pkg/pause"
)

// Store is the in-memory log service. The zero value is empty and has no failures. It
// implements logsvc.Service and is safe for concurrent use.
type Store struct {
	// Switches may be changed at any time.
	Switches toggle.Box[Switches]

	mu      sync.Mutex
	streams map[string]*stream
	limiter *rate.Limiter
	// appends counts the accepted appends.
	appends int
}

// New returns a store with the given switches.
func New(s Switches) *Store {
	st := &Store{}
	st.Switches.Set(s)
	return st
}

// Append appends a record. See logsvc.Service.
func (s *Store) Append(ctx context.Context, name string, data []byte) (logsvc.Offset, error) {
	sw := s.Switches.Get()
	if err := s.admit(ctx, sw, len(data)); err != nil {
		return 0, err
	}
	at, n := s.accept(name, data, sw)
	if !pause.For(ctx, millis(sw.SlowMS)) {
		return 0, fmt.Errorf("%w: %w", logsvc.ErrOutcomeUnknown, ctx.Err())
	}
	if nth(n, sw.LoseEvery) {
		return 0, fmt.Errorf("%w: the answer was lost", logsvc.ErrOutcomeUnknown)
	}
	return at, nil
}

// admit decides whether an append may proceed. It returns nil if it may, else the error
// with which the append fails without effect.
func (s *Store) admit(ctx context.Context, sw Switches, size int) error {
	if sw.Outage {
		return logsvc.ErrUnavailable
	}
	if sw.Silent {
		<-ctx.Done()
		return fmt.Errorf("%w: %w", logsvc.ErrOutcomeUnknown, ctx.Err())
	}
	if size > logsvc.MaxRecord {
		return fmt.Errorf("%w: %d bytes, at most %d", logsvc.ErrTooLarge, size, logsvc.MaxRecord)
	}
	if !s.allow(sw.AppendsPerSecond) {
		return logsvc.ErrRateLimited
	}
	return nil
}

// allow reports whether the rate limit allows an append. The burst is the number of
// appends in 0.1 s, but at least 1.
func (s *Store) allow(perSecond float64) bool {
	if perSecond <= 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limiter == nil || s.limiter.Limit() != rate.Limit(perSecond) {
		s.limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
	}
	return s.limiter.AllowN(time.Now(), 1)
}

// accept stores the record, and a duplicate if the switches ask for one. It returns the
// offset of the record and the number of the append.
func (s *Store) accept(name string, data []byte, sw Switches) (logsvc.Offset, int) {
	s.mu.Lock()
	s.appends++
	n := s.appends
	s.mu.Unlock()
	st := s.stream(name)
	at := st.append(data, sw)
	if nth(n, sw.DuplicateEvery) {
		if sw.DuplicateAfterMS == 0 {
			st.append(data, sw)
		} else {
			time.AfterFunc(millis(sw.DuplicateAfterMS), func() { st.append(data, sw) })
		}
	}
	return at, n
}

// Read returns records from the given offset on. See logsvc.Service.
func (s *Store) Read(ctx context.Context, name string, from logsvc.Offset, limit int, wait time.Duration) (logsvc.Page, error) {
	sw := s.Switches.Get()
	if sw.Silent {
		<-ctx.Done()
		return logsvc.Page{}, ctx.Err()
	}
	if !pause.For(ctx, millis(sw.SlowMS)) {
		return logsvc.Page{}, ctx.Err()
	}
	st := s.stream(name)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		sw, changed := s.Switches.Get(), s.Switches.Changed()
		if sw.Outage {
			return logsvc.Page{}, logsvc.ErrUnavailable
		}
		page, more := st.page(from, limit, sw)
		if len(page.Records) > 0 || wait <= 0 {
			return page, nil
		}
		select {
		case <-more:
		case <-changed:
		case <-timeout.C:
			wait = 0
		case <-ctx.Done():
			return logsvc.Page{}, ctx.Err()
		}
	}
}

// Expire drops all records of a stream but the last keep ones.
func (s *Store) Expire(name string, keep int) { s.stream(name).drop(keep) }

// Records returns the retained records of a stream, regardless of failures.
func (s *Store) Records(name string) []logsvc.Record {
	return s.stream(name).all(s.Switches.Get())
}

// stream returns the named stream and creates it if necessary.
func (s *Store) stream(name string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams == nil {
		s.streams = make(map[string]*stream)
	}
	if s.streams[name] == nil {
		s.streams[name] = &stream{}
	}
	return s.streams[name]
}

// nth reports whether n, counted from 1, is a multiple of k. It is false for k = 0.
func nth(n, k int) bool { return k > 0 && n%k == 0 }

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
