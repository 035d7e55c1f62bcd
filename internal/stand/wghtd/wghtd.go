// Package wghtd is a stand-in for the platform's rate-limited weight store, for
// tests.
package wghtd

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/beryllanding/beryllanding/internal/stand/toggle"
)

const (
	// defaultSize is the size of each weight file, in bytes.
	defaultSize = 1 << 20
	// pieceBytes is the size of one write, and the burst of the rate limit, in bytes.
	pieceBytes = 16 << 10
)

// Switches are the speed and the failures of the weight store. The zero value
// has no limit and no failures.
type Switches struct {
	// BytesPerSecond is the rate limit for all transfers together; 0 is no limit.
	BytesPerSecond int `json:"bytes-per-second"`
	// SizeBytes is the size of each weight file; 0 stands for 1 MiB.
	SizeBytes int `json:"size-bytes"`
	// MaxTransfers bounds the transfers at a time. Further ones are refused with status
	// 429; 0 is no bound.
	MaxTransfers int `json:"max-transfers"`
	// Outage refuses every transfer.
	Outage bool `json:"outage"`
}

// Counts counts the transfers of the store.
type Counts struct {
	Transfers int   `json:"transfers"`
	Bytes     int64 `json:"bytes"`
	Refused   int   `json:"refused"`
	// Peak is the largest number of transfers at a time.
	Peak int `json:"peak"`
}

// Store is the weight store. The zero value works. It is safe for concurrent
// use.
type Store struct {
	// Switches may be changed at any time.
	Switches toggle.Box[Switches]

	mu      sync.Mutex
	limiter *rate.Limiter
	open    int
	counts  Counts
}

// New returns a store with the given switches.
func New(s Switches) *Store {
	st := &Store{}
	st.Switches.Set(s)
	return st
}

// Counts returns the counts so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Handler serves weights, counts and the switches.
func (s *Store) Handler() http.Handler {
	r := mux.NewRouter()
	s.Switches.Register(r)
	r.HandleFunc("/weights/{name}", s.serveWeights).Methods(http.MethodGet)
	r.HandleFunc("/counts", func(w http.ResponseWriter, _ *http.Request) {
		toggle.WriteJSON(w, http.StatusOK, s.Counts())
	}).Methods(http.MethodGet)
	return r
}

func (s *Store) serveWeights(w http.ResponseWriter, r *http.Request) {
	sw := s.Switches.Get()
	if sw.Outage {
		http.Error(w, "weight store has an outage", http.StatusServiceUnavailable)
		return
	}
	if !s.begin(sw) {
		http.Error(w, "too many transfers", http.StatusTooManyRequests)
		return
	}
	defer s.finish()
	size := sw.SizeBytes
	if size <= 0 {
		size = defaultSize
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	piece := make([]byte, pieceBytes)
	for left := size; left > 0; left -= len(piece) {
		piece = piece[:min(left, len(piece))]
		if s.wait(r, len(piece)) != nil {
			return
		}
		if _, err := w.Write(piece); err != nil {
			return
		}
		s.count(len(piece))
	}
}

// begin starts a transfer. It returns false if there are too many.
func (s *Store) begin(sw Switches) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sw.MaxTransfers > 0 && s.open >= sw.MaxTransfers {
		s.counts.Refused++
		return false
	}
	s.open++
	s.counts.Transfers++
	s.counts.Peak = max(s.counts.Peak, s.open)
	return true
}

func (s *Store) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

func (s *Store) count(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Bytes += int64(n)
}

// wait waits until the rate limit allows n more bytes.
func (s *Store) wait(r *http.Request, n int) error {
	perSecond := s.Switches.Get().BytesPerSecond
	if perSecond <= 0 {
		return nil
	}
	s.mu.Lock()
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(rate.Limit(perSecond), pieceBytes)
	}
	if s.limiter.Limit() != rate.Limit(perSecond) {
		s.limiter.SetLimitAt(time.Now(), rate.Limit(perSecond))
	}
	limiter := s.limiter
	s.mu.Unlock()
	return limiter.WaitN(r.Context(), n)
}
