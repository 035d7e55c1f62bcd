package logd

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// fill appends n records.
func fill(t *testing.T, log logsvc.Service, n int) {
	t.Helper()
	for range n {
		if _, err := log.Append(t.Context(), "s", []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
}

// bounds returns the first and the next offset of the stream and the number of records
// that a read from offset 1 returns.
func bounds(t *testing.T, log logsvc.Service) [3]int {
	t.Helper()
	p, err := log.Read(t.Context(), "s", 1, 100, 0)
	if err != nil {
		t.Fatal(err)
	}
	return [3]int{int(p.First), int(p.Next), len(p.Records)}
}

// TestRetention guards against records that outlive the retention by count or by age, or
// are dropped before it.
func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Switches{RetainRecords: 3})
		fill(t, s, 5)
		if diff := cmp.Diff([3]int{3, 6, 3}, bounds(t, s)); diff != "" {
			t.Errorf("retention by count: bounds (-want +got):\n%s", diff)
		}
		s.Switches.Set(Switches{RetainMS: 1000})
		time.Sleep(600 * time.Millisecond)
		fill(t, s, 1)
		time.Sleep(600 * time.Millisecond)
		if diff := cmp.Diff([3]int{6, 7, 1}, bounds(t, s)); diff != "" {
			t.Errorf("retention by age: bounds (-want +got):\n%s", diff)
		}
		time.Sleep(600 * time.Millisecond)
		if diff := cmp.Diff([3]int{7, 7, 0}, bounds(t, s)); diff != "" {
			t.Errorf("all records expired: bounds (-want +got):\n%s", diff)
		}
	})
}

// TestRateLimit guards against a rate limit that lets too many or too few appends pass.
func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Switches{AppendsPerSecond: 100})
		accepted := 0
		for range 10_000 {
			_, err := s.Append(t.Context(), "s", nil)
			if err == nil {
				accepted++
			} else if !errors.Is(err, logsvc.ErrRateLimited) {
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond)
		}
		if accepted < 1000 || accepted > 1010 {
			t.Errorf("got %d appends accepted in 10 s, want 1000 and a burst of 10", accepted)
		}
	})
}

// TestLongPoll guards against a long poll that returns too early, or misses an append or
// an outage while it waits.
func TestLongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Store{}
		start := time.Now()
		if p, err := s.Read(t.Context(), "s", 1, 1, time.Second); err != nil || len(p.Records) != 0 || time.Since(start) != time.Second {
			t.Errorf("after %v: got page %+v, error %v; want an empty page after 1 s", time.Since(start), p, err)
		}
		time.AfterFunc(300*time.Millisecond, func() { _, _ = s.Append(context.Background(), "s", nil) })
		start = time.Now()
		if p, err := s.Read(t.Context(), "s", 1, 1, time.Second); err != nil || len(p.Records) != 1 || time.Since(start) != 300*time.Millisecond {
			t.Errorf("after %v: got page %+v, error %v; want one record after 300 ms", time.Since(start), p, err)
		}
		time.AfterFunc(300*time.Millisecond, func() { s.Switches.Set(Switches{Outage: true}) })
		if _, err := s.Read(t.Context(), "s", 2, 1, time.Second); !errors.Is(err, logsvc.ErrUnavailable) {
			t.Errorf("read when an outage begins: got error %v, want ErrUnavailable", err)
		}
	})
}

// TestEffects guards against failures with the wrong effect: it checks, for each switch,
// the error of an append and the number of records on the stream.
func TestEffects(t *testing.T) {
	for name, c := range map[string]struct {
		sw    Switches
		err   error
		stays int
	}{
		"outage":    {Switches{Outage: true}, logsvc.ErrUnavailable, 0},
		"silent":    {Switches{Silent: true}, logsvc.ErrOutcomeUnknown, 0},
		"slow":      {Switches{SlowMS: 2000}, logsvc.ErrOutcomeUnknown, 1},
		"lost":      {Switches{LoseEvery: 1}, logsvc.ErrOutcomeUnknown, 1},
		"duplicate": {Switches{DuplicateEvery: 1}, nil, 2},
		"later":     {Switches{DuplicateEvery: 1, DuplicateAfterMS: 5000}, nil, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(c.sw)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if _, err := s.Append(ctx, "s", nil); !errors.Is(err, c.err) {
					t.Errorf("got error %v, want %v", err, c.err)
				}
				time.Sleep(time.Minute)
				s.Switches.Set(Switches{})
				if got := bounds(t, s)[2]; got != c.stays {
					t.Errorf("got %d records, want %d", got, c.stays)
				}
			})
		})
	}
}

// TestViewCut guards against a cut that affects other clients or does not end a read
// in progress. It also guards against an append that has no effect if its answer is
// lost.
func TestViewCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Store{}
		cut, other := s.View(), s.View()
		time.AfterFunc(time.Second, func() { cut.SetCut(true) })
		if _, err := cut.Read(t.Context(), "s", 1, 1, time.Minute); !errors.Is(err, logsvc.ErrUnavailable) {
			t.Errorf("read while cut: got error %v, want ErrUnavailable", err)
		}
		if _, err := cut.Append(t.Context(), "s", nil); !errors.Is(err, logsvc.ErrUnavailable) {
			t.Errorf("append while cut: got error %v, want ErrUnavailable", err)
		}
		fill(t, other, 1)
		cut.SetCut(false)
		cut.LoseNext(1)
		if _, err := cut.Append(t.Context(), "s", nil); !errors.Is(err, logsvc.ErrOutcomeUnknown) {
			t.Errorf("append with a lost answer: got error %v, want ErrOutcomeUnknown", err)
		}
		fill(t, cut, 1)
		if got := bounds(t, cut)[2]; got != 3 {
			t.Errorf("got %d records, want 3", got)
		}
		synctest.Wait()
	})
}

// TestSwitchesOverHTTP guards against a PUT that resets switches it does not name, and
// against malformed requests that are accepted.
func TestSwitchesOverHTTP(t *testing.T) {
	s := New(Switches{SlowMS: 1})
	put := func(body string) int {
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/switches", strings.NewReader(body)))
		return w.Code
	}
	if code := put(`{"outage":true,"lose-every":3}`); code != http.StatusOK {
		t.Errorf("PUT /switches: got status %d, want 200", code)
	}
	for _, bad := range []string{`{"outage":false,"unknown":1}`, `{"slow-ms":"x"}`, ``} {
		if code := put(bad); code != http.StatusBadRequest {
			t.Errorf("%q: got status %d, want 400", bad, code)
		}
	}
	if diff := cmp.Diff(Switches{SlowMS: 1, Outage: true, LoseEvery: 3}, s.Switches.Get()); diff != "" {
		t.Error(diff)
	}
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/streams/s/records?from=x", nil))
	if w.Code != http.StatusBadRequest {
		t.Errorf("got status %d, want 400", w.Code)
	}
}
