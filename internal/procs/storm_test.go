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
	// stormPaid is little enough to be spent in the storm.
	stormPaid = 60_000
	// stormTime is how long the faults go on.
	stormTime = 12 * time.Second
	// stormCallers is the number of callers at one time.
	stormCallers = 6
	// stormPause is the pause between two faults.
	stormPause = 400 * time.Millisecond
)

// storm is a fleet under faults, with what its callers were told.
type storm struct {
	*world
	rnd     *rand.Rand
	engines []*engd.Engine
	apps    []*appd.App

	mu sync.Mutex
	// routers and sides are the living processes; a killed one is replaced.
	routers, sides []*proc
	generation     int
	// told holds, by reservation, the answers and the refusals.
	answers map[string][]string
	notRun  map[string]bool
	history map[string][]string
	wrong   []string
}

// TestStorm kills and freezes entry instances, and takes the log service and the
// instance list away, one over the other, while callers chat and reserve. Then
// all heals, and the counts of the targets are held against the bill and against
// what the callers were told.
func TestStorm(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { newStorm(t, seed).run() })
	}
}

func newStorm(t *testing.T, seed uint64) *storm {
	s := &storm{
		world: newWorld(t, stormPaid), rnd: rand.New(rand.NewPCG(seed, 0)),
		answers: make(map[string][]string), notRun: make(map[string]bool), history: make(map[string][]string),
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

// run lets the storm pass, and checks what it left.
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

// fault causes one fault. Its length is drawn too, and it may meet the next one.
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

// kill ends an entry instance without warning, and starts another.
func (s *storm) kill() {
	s.mu.Lock()
	i := s.rnd.IntN(len(s.routers))
	victim := s.routers[i]
	s.routers = append(s.routers[:i], s.routers[i+1:]...)
	s.mu.Unlock()
	victim.kill()
	s.addRouter()
}

// freeze stops an entry instance for some time, or long enough to be closed.
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

// call asks for chats and reservations, and tries each reservation a few times.
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

// pick returns an entry instance.
func (s *storm) pick(n int) *proc {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routers[n%len(s.routers)]
}

// noteReservation keeps what the caller was told about a reservation.
func (s *storm) noteReservation(key string, got answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history[key] = append(s.history[key], fmt.Sprintf("%d %s %s %v", got.status, got.outcome, got.body, got.err))
	switch {
	case got.err != nil:
	case got.status == http.StatusCreated:
		s.answers[key] = append(s.answers[key], got.body)
		delete(s.notRun, key)
	case got.outcome == "not-run":
		s.notRun[key] = len(s.answers[key]) == 0
	case got.outcome == "unknown":
		delete(s.notRun, key)
	default:
		s.wrong = append(s.wrong, fmt.Sprintf("reservation %s was refused without an outcome: %+v", key, got))
	}
}

// noteChat checks that an answer is the caller's own, and whole.
func (s *storm) noteChat(question string, got answer) {
	if got.err != nil || got.status != http.StatusOK {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if strings.Count(got.body, question) == 0 || !strings.Contains(got.body, `"completion_tokens":40`) {
		s.wrong = append(s.wrong, fmt.Sprintf("%q was answered %q", question, got.body))
	}
}

// check holds the targets' counts against the bill and the callers' answers.
func (s *storm) check() {
	s.t.Helper()
	for _, w := range s.wrong {
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
		s.t.Errorf("work of %d tokens was done, paid are %d", spent, stormPaid)
	}
	for _, r := range s.routers {
		r.terminate()
	}
	for _, p := range s.sides {
		p.terminate()
	}
	b := s.budget()
	if spent := made + ledger.Tokens(runs*callPrice); b.Billed > spent || b.Billed > b.Paid {
		s.t.Errorf("billed %d of %d paid, for work of %d tokens", b.Billed, b.Paid, spent)
	}
	s.t.Logf("paid %d, work %d, billed %d, granted %d; %d reservations ran, %d were answered",
		b.Paid, made+ledger.Tokens(runs*callPrice), b.Billed, b.Granted, runs, len(s.answers))
}

// checkReservations checks that no reservation ran twice, that all answers to it
// are one, and that none that was last refused as not run had run.
func (s *storm) checkReservations() {
	s.t.Helper()
	for i := range stormCallers {
		for n := 0; n < 10_000; n += 3 {
			key := fmt.Sprintf("c%d-%d", i, n)
			runs := runsOf(s.apps, "kowhai/"+key)
			if runs > 1 {
				s.t.Errorf("reservation %s ran %d times", key, runs)
			}
			if s.notRun[key] && runs > 0 {
				s.t.Errorf("reservation %s ran %d times, and was refused as not run: %q", key, runs, s.history[key])
			}
			for _, a := range s.answers[key] {
				if a != s.answers[key][0] {
					s.t.Errorf("reservation %s was answered %q and %q", key, s.answers[key][0], a)
				}
			}
		}
	}
}
