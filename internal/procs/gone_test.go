package procs

import (
	"os/exec"
	"path/filepath"
	"slices"
	"testing"

	"github.com/beryllanding/beryllanding/internal/stand/engd"
	"github.com/beryllanding/beryllanding/pkg/insts"
)

// TestGoneSideFreesReservations guards against tokens that stay reserved for ever. A
// side process is killed during a chat without streaming. The tokens of the chat stay
// reserved until an operator declares the side process gone, because it may have
// billed them. Then they must be returned.
func TestGoneSideFreesReservations(t *testing.T) {
	w := newWorld(t, 100_000)
	engine, side := w.engine("engine-0", engd.Switches{TokenMicros: slowToken, AnswerTokens: longResponse})
	r := w.router("router-a")
	w.ready(r)
	done := make(chan response)
	go func() { done <- r.chat("", "question", longResponse) }()
	w.eventually("the engine runs the chat", func() bool { return engine.Counts().Total.Runs == 1 })
	incarnation := string(w.fleet().Sides()[0].Side)
	side.kill()
	<-done
	w.eventually("the killed side process is not on the list", func() bool {
		list, err := w.list.Instances()
		return err == nil && !slices.ContainsFunc(list, func(inst insts.Instance) bool { return inst.Role == insts.Side })
	})
	gone := exec.Command(filepath.Join(binaries, "beryl"), "--log-service", w.logURL, "--instance-list", w.listURL,
		"fleet", "gone", incarnation, "--reason", "killed by the test")
	if out, err := gone.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	r.terminate()
	if b := w.budget(); b.Granted != b.Billed {
		t.Errorf("got %d tokens granted and %d billed, want both equal", b.Granted, b.Billed)
	}
}
