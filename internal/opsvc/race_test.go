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
	// patience is how long the first try of a command waits for its decision,
	// which is too short for some; each further one waits that much longer.
	patience = 21 * time.Millisecond
)

// faulty is a log service that loses answers, appends twice and is slow.
func faulty() *logd.Store {
	return logd.New(logd.Switches{LoseEvery: 3, DuplicateEvery: 4, DuplicateAfterMS: 400, SlowMS: 20})
}

// race runs fn for every operator and round.
func race(log *logd.Store, fn func(s *Service, round int)) {
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

// TestRacingOperators lets operators read a number from an entry and put it back
// plus one. The number in the end is that of the changes accepted: no change is
// lost, none is made twice, and every conflict names who won.
func TestRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := faulty()
		accepted, conflicts, unknown := 0, 0, 0
		var mu sync.Mutex
		race(log, func(s *Service, round int) {
			id := fmt.Sprintf("%s-%d", s.Operator, round)
			r, copied := twice(func() ChangeResult { return increment(t, s, id, &unknown, &mu) })
			if r.Outcome != copied.Outcome || r.At != copied.At {
				t.Errorf("the same change ended as %+v and as %+v", r, copied)
			}
			mu.Lock()
			defer mu.Unlock()
			switch r.Outcome {
			case Accepted:
				accepted++
			case Conflict:
				conflicts++
				if r.Winner == "" || r.Winner == id || r.WinnerOperator == "" {
					t.Errorf("the conflict of %s names %q by %q", id, r.Winner, r.WinnerOperator)
				}
			default:
				t.Errorf("change %s ended as %+v", id, r)
			}
		})
		e, err := (&Service{Log: log}).CatalogueEntry(t.Context(), "b")
		if err != nil {
			t.Fatal(err)
		}
		if e.Budget.Limits.MaxTokens != int64(accepted) || accepted+conflicts != operators*rounds {
			t.Errorf("%d changes were accepted and %d in conflict, but the number is %d",
				accepted, conflicts, e.Budget.Limits.MaxTokens)
		}
		if conflicts == 0 || unknown == 0 {
			t.Errorf("%d conflicts and %d unknown outcomes: the operators did not race", conflicts, unknown)
		}
	})
}

// twice runs fn two times at once, as two processes with the same command do.
func twice[T any](fn func() T) (a, b T) {
	var wg sync.WaitGroup
	wg.Go(func() { a = fn() })
	b = fn()
	wg.Wait()
	return a, b
}

// increment makes one change, and asks for its outcome until it is known.
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

// untilKnown repeats a command, each time with more patience, until its outcome
// is known.
func untilKnown[R any](t *testing.T, command func(context.Context) (R, Outcome, error)) R {
	for try := time.Duration(1); ; try++ {
		ctx, cancel := context.WithTimeout(t.Context(), try*patience)
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

// TestRacingTopUps makes each top-up twice at once, and repeats those whose outcome
// is unknown. Each is paid once.
func TestRacingTopUps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := faulty()
		race(log, func(s *Service, round int) {
			ask := TopUp{ID: fmt.Sprintf("%s-%d", s.Operator, round), Budget: "b", Tokens: 1, Unlisted: true}
			a, b := twice(func() TopUpResult { return topUp(t, s, ask) })
			if a.Outcome != Accepted || b.Outcome != Accepted {
				t.Errorf("top-up %s ended as %+v and as %+v", ask.ID, a, b)
			}
		})
		b, err := (&Service{Log: log}).Budget(t.Context(), "b")
		if err != nil || b.Paid != ledger.Tokens(operators*rounds) {
			t.Errorf("%d top-ups of one token made %d tokens, %v", operators*rounds, b.Paid, err)
		}
	})
}

// topUp makes one top-up, and asks for its outcome until it is known.
func topUp(t *testing.T, s *Service, ask TopUp) TopUpResult {
	return untilKnown(t, func(ctx context.Context) (TopUpResult, Outcome, error) {
		r, err := s.TopUp(ctx, ask)
		return r, r.Outcome, err
	})
}
