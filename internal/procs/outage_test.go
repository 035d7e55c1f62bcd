package procs

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/beryllanding/beryllanding/internal/stand/engd"
	"github.com/beryllanding/beryllanding/internal/stand/logd"
)

// TestChatsThroughOutage guards against refused chats and wrong bills during an outage of
// the log service. The lease covers all chats. After the outage each must be billed once,
// although responses to appends are lost and copies are delivered late.
func TestChatsThroughOutage(t *testing.T) {
	w := newWorld(t, 1_000_000)
	engine, _ := w.engine("engine-0", engd.Switches{AnswerTokens: 10})
	r := w.router("router-a")
	w.ready(r)
	if got := r.chat("", "first question", 20); got.status != http.StatusOK {
		t.Fatalf("before the outage: got %+v, want status 200", got)
	}
	w.log.Switches.Set(logd.Switches{Outage: true})
	for i := range 20 {
		if got := r.chat("", "question", 20); got.status != http.StatusOK {
			t.Errorf("chat %d in the outage: got %+v, want status 200", i, got)
		}
	}
	w.log.Switches.Set(logd.Switches{LoseEvery: 2, DuplicateEvery: 3, DuplicateAfterMS: 50})
	r.terminate()
	w.eventually("all usage is billed and the rest of the lease is returned", func() bool {
		b := w.budget()
		return b.Billed == tokens(engine) && b.Granted == b.Billed
	})
}

// TestStartsInOutage guards against instances that need the log service to start. An
// entry instance that starts during an outage must get the catalogue and tokens from
// its peer.
func TestStartsInOutage(t *testing.T) {
	w := newWorld(t, 1_000_000)
	w.engine("engine-0", engd.Switches{AnswerTokens: 10})
	a := w.router("router-a")
	w.ready(a)
	if got := a.chat("", "first question", 20); got.status != http.StatusOK {
		t.Fatalf("before the outage: got %+v, want status 200", got)
	}
	w.log.Switches.Set(logd.Switches{Outage: true})
	b := w.router("router-b")
	w.eventually("the new instance has the catalogue", func() bool {
		return b.chat("", "question", 20).status != http.StatusUnauthorized
	})
	w.eventually("the new instance serves with tokens of its peer", func() bool {
		return b.chat("", "question", 20).status == http.StatusOK
	})
}

// TestPlannedStopUnderLoad guards against planned stops that lose work. An entry instance
// and a side process are stopped while streams are open. No stream may be cut off, and
// all unused tokens must be returned.
func TestPlannedStopUnderLoad(t *testing.T) {
	const streams, words = 8, 60
	w := newWorld(t, 1_000_000)
	switches := engd.Switches{TokenMicros: slowToken, AnswerTokens: words}
	e0, side0 := w.engine("engine-0", switches)
	e1, side1 := w.engine("engine-1", switches)
	r := w.router("router-a")
	w.ready(r)
	var open []*stream
	for i := range streams {
		s, err := r.openStream("", fmt.Sprintf("question %d", i), words)
		if err != nil {
			t.Fatal(err)
		}
		s.next()
		open = append(open, s)
	}
	r.signal(syscall.SIGTERM)
	side0.signal(syscall.SIGTERM)
	var wg sync.WaitGroup
	for i, s := range open {
		wg.Go(func() {
			if got := len(strings.Fields(s.rest())); !s.done || got != words {
				t.Errorf("stream %d: got %d words, complete %t; want %d words, complete", i, got, s.done, words)
			}
		})
	}
	wg.Wait()
	r.await()
	side0.await()
	side1.terminate()
	b := w.budget()
	if want := tokens(e0) + tokens(e1); b.Billed != want || b.Granted != want {
		t.Errorf("got %d tokens billed and %d granted, want both %d", b.Billed, b.Granted, want)
	}
}

// TestDrainingTargetGetsNoNewWork guards against requests sent to a target that is
// draining. The side process of one of two targets is stopped. New chats must go to the
// other target, and open streams must be completed.
func TestDrainingTargetGetsNoNewWork(t *testing.T) {
	w := newWorld(t, 1_000_000)
	switches := engd.Switches{TokenMicros: slowToken, AnswerTokens: 50}
	draining, side := w.engine("engine-0", switches)
	w.engine("engine-1", switches)
	r := w.router("router-a")
	w.ready(r)
	var open []*stream
	for draining.Counts().Total.Runs == 0 {
		s, err := r.openStream("", "question", 50)
		if err != nil {
			t.Fatal(err)
		}
		s.next()
		open = append(open, s)
	}
	side.signal(syscall.SIGTERM)
	w.eventually("the side process refuses new work", func() bool {
		return strings.Contains(side.output(), "draining")
	})
	before := draining.Counts().Total.Runs
	for i := range 10 {
		if got := r.chat("", "question", 5); got.status != http.StatusOK {
			t.Errorf("chat %d: got %+v, want status 200", i, got)
		}
	}
	if got := draining.Counts().Total.Runs; got != before {
		t.Errorf("got %d more runs at the draining target, want 0", got-before)
	}
	for _, s := range open {
		if s.rest(); !s.done {
			t.Error("a stream at the draining target was cut off, want it complete")
		}
	}
	side.await()
}

// TestOperatorsRace guards against lost updates of the catalogue. Two operators change
// the same entry at the same time, based on the same state: one change must be accepted,
// the other must get a conflict.
func TestOperatorsRace(t *testing.T) {
	w := newWorld(t, 1000)
	for round := range 5 {
		base := w.latest(account)
		codes := make([]int, 2)
		var wg sync.WaitGroup
		for i := range codes {
			wg.Go(func() { codes[i] = w.put(t, fmt.Sprintf("operator-%d", i), base, round) })
		}
		wg.Wait()
		if codes[0]+codes[1] != 2 || codes[0] == codes[1] {
			t.Errorf("round %d: got exit codes %v, want one 0 (accepted) and one 2 (conflict)", round, codes)
		}
	}
}

// put publishes a change of the sample budget and returns the exit code.
func (w *world) put(t *testing.T, operator string, base uint64, round int) int {
	file := filepath.Join(w.dir, operator+".json")
	entry := fmt.Sprintf(`{"budget": {"name": %q, "owner": "kowhai", "class": "batch", "limits": {"max-concurrent": %d}}}`, account, round+1)
	writeFile(t, file, entry)
	cmd := exec.Command(filepath.Join(binaries, "beryl"), "--log-service", w.logURL, "--instance-list", w.listURL,
		"--operator", operator, "catalogue", "put", "--base", fmt.Sprint(base), file)
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return cmd.ProcessState.ExitCode()
}

// latest returns the offset of an entry's latest change.
func (w *world) latest(name string) uint64 {
	w.t.Helper()
	r, ok := w.catalogue().Get(name)
	if !ok {
		w.t.Fatalf("entry %q does not exist", name)
	}
	return uint64(r.At)
}
