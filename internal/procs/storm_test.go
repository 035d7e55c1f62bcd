package procs

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/appd"
	"github.com/beryllanding/beryllanding/internal/stand/engd"
	"github.com/beryllanding/beryllanding/internal/stand/instd"
	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

const (
	// stormPaid is the number of prepaid tokens, low enough to be spent during the
	// faults.
	stormPaid = 60_000
	// stormTime is how long faults are injected.
	stormTime = 12 * time.Second
	// stormCallers is the number of concurrent callers.
	stormCallers = 6
	// stormPause is the mean time between two faults.
	stormPause = 400 * time.Millisecond
)

// storm is a fleet under faults, with a record of the responses that its callers got.
type storm struct {
	*world
	rnd     *rand.Rand
	engines []*engd.Engine
	apps    []*appd.App

	mu sync.Mutex
	// routers and sides are the running processes. A killed one is replaced.
	routers, sides []*proc
	// generation is the number of entry instances started so far.
	generation int
	// responses holds the bodies of the successful responses, by reservation key.
	responses map[string][]string
	// notRun is set for a key that was never answered and was last refused as not run.
	notRun map[string]bool
	// history describes all responses, by reservation key.
	history map[string][]string
	// violations describes the wrong responses.
	violations []string
}

// TestStorm guards against overspending, double runs and wrong responses under overlapping
// faults: entry instances and side processes are killed or frozen, and the log service and
// the instance list fail, while callers chat and reserve. After all faults have ended, the
// counts of the targets are compared with the bill and with the responses.
func TestStorm(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { newStorm(t, seed).run() })
	}
}

func newStorm(t *testing.T, seed uint64) *storm {
	s := &storm{
		world: newWorld(t, stormPaid), rnd: rand.New(rand.NewPCG(seed, 0)),
		responses: make(map[string][]string), notRun: make(map[string]bool), history: make(map[string][]string),
	}
	for i := range 2 {
		e, side := s.engine(fmt.Sprintf("engine-%d", i), engd.Switches{TokenMicros: 500, AnswerTokens: 40, CheckFence: true})
		a, appSide := s.application(fmt.Sprintf("app-%d", i), appd.Switches{SlowMS: 20})
		s.engines, s.apps = append(s.engines, e), append(s.apps, a)
		s.sides = append(s.sides, side, appSide)
	}
	for range 3 {
		s.addRouter()
	}
	s.ready(s.routers...)
	return s
}

func (s *storm) addRouter() {
	s.generation++
	r := s.router(fmt.Sprintf("router-%d", s.generation))
	s.mu.Lock()
	s.routers = append(s.routers, r)
	s.mu.Unlock()
}

// run injects faults under load for stormTime, ends them, and checks the result.
func (s *storm) run() {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range stormCallers {
		callers.Go(func() { s.call(i, stop) })
	}
	for end := time.Now().Add(stormTime); time.Now().Before(end); {
		s.fault()
	}
	s.heal()
	close(stop)
	callers.Wait()
	s.check()
}

// fault injects one random fault, or ends the faults of the log service and the
// instance list. Faults may overlap.
func (s *storm) fault() {
	switch s.rnd.IntN(7) {
	case 0:
		s.kill()
	case 1, 2:
		s.freeze(time.Duration(s.rnd.IntN(4000)) * time.Millisecond)
	case 3:
		s.log.Switches.Set(logd.Switches{Outage: true})
	case 4:
		s.log.Switches.Set(logd.Switches{LoseEvery: 2, DuplicateEvery: 3, DuplicateAfterMS: 100, SlowMS: 20})
	case 5:
		s.list.Switches.Set(instd.Switches{TTLMS: 1000, Outage: true})
	case 6:
		s.log.Switches.Set(logd.Switches{})
		s.list.Switches.Set(instd.Switches{TTLMS: 1000, LagMS: 500})
	}
	time.Sleep(time.Duration(s.rnd.IntN(2 * int(stormPause))))
}

// kill kills an entry instance and starts another.
func (s *storm) kill() {
	s.mu.Lock()
	i := s.rnd.IntN(len(s.routers))
	victim := s.routers[i]
	s.routers = append(s.routers[:i], s.routers[i+1:]...)
	s.mu.Unlock()
	victim.kill()
	s.addRouter()
}

// freeze pauses an entry instance or a side process for d. This may be long enough for
// the holder of an entry instance to be closed.
func (s *storm) freeze(d time.Duration) {
	s.mu.Lock()
	all := append(append([]*proc(nil), s.routers...), s.sides...)
	s.mu.Unlock()
	victim := all[s.rnd.IntN(len(all))]
	_ = victim.cmd.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { _ = victim.cmd.Process.Signal(syscall.SIGCONT) })
}

// heal ends all faults.
func (s *storm) heal() {
	s.log.Switches.Set(logd.Switches{})
	s.list.Switches.Set(instd.Switches{TTLMS: 2000})
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range append(append([]*proc(nil), s.routers...), s.sides...) {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// call sends chats and reservations until stop is closed. It sends each reservation
// three times.
func (s *storm) call(caller int, stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		key := fmt.Sprintf("c%d-%d", caller, n)
		if n%3 == 0 {
			for range 3 {
				s.noteReservation(key, s.pick(caller+n).reserve(key))
			}
			continue
		}
		question := "question " + key
		s.noteChat(question, s.pick(caller+n).chat(key, question, 60))
	}
}

// pick returns one of the running entry instances, by number.
func (s *storm) pick(n int) *proc {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routers[n%len(s.routers)]
}

// noteReservation records the response to a reservation.
func (s *storm) noteReservation(key string, got response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history[key] = append(s.history[key], fmt.Sprintf("%d %s %s %v", got.status, got.outcome, got.body, got.err))
	switch {
	case got.err != nil:
	case got.status == http.StatusCreated:
		s.responses[key] = append(s.responses[key], got.body)
		delete(s.notRun, key)
	case got.outcome == "not-run":
		s.notRun[key] = len(s.responses[key]) == 0
	case got.outcome == "unknown":
		delete(s.notRun, key)
	default:
		s.violations = append(s.violations, fmt.Sprintf("reservation %s: got a refusal without an outcome: %+v", key, got))
	}
}

// noteChat checks that the response to a chat is complete and belongs to the question.
func (s *storm) noteChat(question string, got response) {
	if got.err != nil || got.status != http.StatusOK {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if strings.Count(got.body, question) == 0 || !strings.Contains(got.body, `"completion_tokens":40`) {
		s.violations = append(s.violations, fmt.Sprintf("chat %q: got %q, want a complete response to it", question, got.body))
	}
}

// check compares the targets' counts with the bill and with the callers' responses.
func (s *storm) check() {
	s.t.Helper()
	for _, w := range s.violations {
		s.t.Error(w)
	}
	s.checkReservations()
	var made ledger.Tokens
	for _, e := range s.engines {
		made += tokens(e)
	}
	runs := 0
	for _, a := range s.apps {
		runs += a.Counts().Reservations
	}
	if spent := made + ledger.Tokens(runs*callPrice); spent > stormPaid {
		s.t.Errorf("got work of %d tokens, want at most the %d paid", spent, stormPaid)
	}
	for _, r := range s.routers {
		r.terminate()
	}
	for _, p := range s.sides {
		p.terminate()
	}
	b := s.budget()
	if spent := made + ledger.Tokens(runs*callPrice); b.Billed > spent || b.Billed > b.Paid {
		s.t.Errorf("got %d tokens billed, want at most the %d paid and the work of %d tokens", b.Billed, b.Paid, spent)
	}
	s.t.Logf("paid %d, work %d, billed %d, granted %d; %d reservations ran, %d were answered",
		b.Paid, made+ledger.Tokens(runs*callPrice), b.Billed, b.Granted, runs, len(s.responses))
}

// checkReservations checks that no reservation ran twice, that all responses to one
// reservation are equal, and that no reservation ran that was last refused as not
// run.
func (s *storm) checkReservations() {
	s.t.Helper()
	for i := range stormCallers {
		for n := 0; n < 10_000; n += 3 {
			key := fmt.Sprintf("c%d-%d", i, n)
			runs := runsOf(s.apps, "kowhai/"+key)
			if runs > 1 {
				s.t.Errorf("reservation %s: got %d runs, want at most 1", key, runs)
			}
			if s.notRun[key] && runs > 0 {
				s.t.Errorf("reservation %s: got %d runs, want 0 as it was refused as not run: %q", key, runs, s.history[key])
			}
			for _, a := range s.responses[key] {
				if a != s.responses[key][0] {
					s.t.Errorf("reservation %s: got the responses %q and %q, want equal ones", key, s.responses[key][0], a)
				}
			}
		}
	}
}
