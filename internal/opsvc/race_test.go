package opsvc

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/pkg/catal"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

const (
	operators = 6
	rounds    = 8
	// firstTimeout is the timeout of the first try of a command. It is too short
	// for some commands; each further try adds the same time.
	firstTimeout = 21 * time.Millisecond
)

// newFaultyLog returns a log service that loses answers, appends twice and is slow.
func newFaultyLog() *logd.Store {
	return logd.New(logd.Switches{LoseEvery: 3, DuplicateEvery: 4, DuplicateAfterMS: 400, SlowMS: 20})
}

// runOperators runs fn for every round of every operator, the operators concurrently.
func runOperators(log *logd.Store, fn func(s *Service, round int)) {
	var wg sync.WaitGroup
	for i := range operators {
		s := &Service{Log: log, Operator: fmt.Sprint("op", i)}
		wg.Go(func() {
			for round := range rounds {
				fn(s, round)
			}
		})
	}
	wg.Wait()
}

// TestRacingOperators lets operators concurrently read a number from an entry and
// increment it. The final number must be the number of accepted changes, so that no
// change is lost or made twice, and every conflict must name the winner.
func TestRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFaultyLog()
		accepted, conflicts, unknown := 0, 0, 0
		var mu sync.Mutex
		runOperators(log, func(s *Service, round int) {
			id := fmt.Sprintf("%s-%d", s.Operator, round)
			r, copied := runTwice(func() ChangeResult { return increment(t, s, id, &unknown, &mu) })
			if r.Outcome != copied.Outcome || r.At != copied.At {
				t.Errorf("the same change has the results %+v and %+v, want one outcome and offset", r, copied)
			}
			mu.Lock()
			defer mu.Unlock()
			switch r.Outcome {
			case Accepted:
				accepted++
			case Conflict:
				conflicts++
				if r.Winner == "" || r.Winner == id || r.WinnerOperator == "" {
					t.Errorf("the conflict of %s names change %q by %q, want another change and its operator", id, r.Winner, r.WinnerOperator)
				}
			default:
				t.Errorf("change %s has the result %+v, want accepted or conflict", id, r)
			}
		})
		e, err := (&Service{Log: log}).CatalogueEntry(t.Context(), "b")
		if err != nil {
			t.Fatal(err)
		}
		if e.Budget.Limits.MaxTokens != int64(accepted) || accepted+conflicts != operators*rounds {
			t.Errorf("got %d accepted changes, %d conflicts and the final number %d; want %d changes in total, and the accepted ones as the final number",
				accepted, conflicts, e.Budget.Limits.MaxTokens, operators*rounds)
		}
		if conflicts == 0 || unknown == 0 {
			t.Errorf("got %d conflicts and %d unknown outcomes, want some of each", conflicts, unknown)
		}
	})
}

// runTwice runs fn twice concurrently, like two processes with the same command.
func runTwice[T any](fn func() T) (a, b T) {
	var wg sync.WaitGroup
	wg.Go(func() { a = fn() })
	b = fn()
	wg.Wait()
	return a, b
}

// increment makes one change, and repeats it until its outcome is known.
func increment(t *testing.T, s *Service, id string, unknown *int, mu *sync.Mutex) ChangeResult {
	e, _ := s.CatalogueEntry(t.Context(), "b")
	next := &catal.Budget{Name: "b", Owner: "o", Class: catal.Batch, Limits: catal.Limits{MaxTokens: 1}}
	if e.Budget != nil {
		next.Limits.MaxTokens = e.Budget.Limits.MaxTokens + 1
	}
	return untilKnown(t, func(ctx context.Context) (ChangeResult, Outcome, error) {
		r, err := s.Change(ctx, Change{ID: id, Base: &e.At, Entry: next})
		if err == nil && undecided(r.Outcome) {
			mu.Lock()
			*unknown++
			mu.Unlock()
		}
		return r, r.Outcome, err
	})
}

// untilKnown repeats a command, each time with a longer timeout, until its outcome
// is known.
func untilKnown[R any](t *testing.T, command func(context.Context) (R, Outcome, error)) R {
	for try := time.Duration(1); ; try++ {
		ctx, cancel := context.WithTimeout(t.Context(), try*firstTimeout)
		r, outcome, err := command(ctx)
		cancel()
		if errors.Is(err, context.DeadlineExceeded) {
			continue
		}
		if err != nil {
			t.Error(err)
			return r
		}
		if !undecided(outcome) {
			return r
		}
	}
}

// undecided reports whether a command has to be repeated.
func undecided(o Outcome) bool { return o == Unknown || o == NotAppended }

// TestRacingTopUps makes each top-up twice concurrently, and repeats those whose
// outcome is unknown. Each must be paid exactly once.
func TestRacingTopUps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFaultyLog()
		runOperators(log, func(s *Service, round int) {
			ask := TopUp{ID: fmt.Sprintf("%s-%d", s.Operator, round), Budget: "b", Tokens: 1, Unlisted: true}
			a, b := runTwice(func() TopUpResult { return topUp(t, s, ask) })
			if a.Outcome != Accepted || b.Outcome != Accepted {
				t.Errorf("top-up %s has the results %+v and %+v, want both accepted", ask.ID, a, b)
			}
		})
		b, err := (&Service{Log: log}).Budget(t.Context(), "b")
		if err != nil || b.Paid != ledger.Tokens(operators*rounds) {
			t.Errorf("after %d top-ups of one token: got %d paid, error %v; want as many paid as top-ups", operators*rounds, b.Paid, err)
		}
	})
}

// topUp makes one top-up, and repeats it until its outcome is known.
func topUp(t *testing.T, s *Service, ask TopUp) TopUpResult {
	return untilKnown(t, func(ctx context.Context) (TopUpResult, Outcome, error) {
		r, err := s.TopUp(ctx, ask)
		return r, r.Outcome, err
	})
}
