package side

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// Records expire. A side that starts later still has to know the closings and
// the claims that were made before.
func TestStateOutlivesRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, a := &logd.Store{}, &app{}
		s1 := newServer(t, log, "s1", a, nil)
		s2 := newServer(t, log, "s2", a, nil)
		try(t.Context(), s1, callRequest("o/1", "a1"))
		s1.fleetWriter.Propose(closeHolder("dead~1"), nil)
		time.Sleep(2 * fold.DefaultKeepInterval)
		checkpoints := 0
		for _, stream := range []string{ledger.FleetStream, ledger.ClaimsStream} {
			for _, item := range itemsOf(t, log, stream) {
				if item.Kind == "checkpoint-chunk" {
					checkpoints++
				}
			}
			log.Expire(stream, 1)
		}
		if checkpoints != 2 {
			t.Errorf("%d checkpoints of 2 streams by 2 sides, want 2", checkpoints)
		}
		s3 := newServer(t, log, "s3", a, nil)
		if got := answerOf(t, "a2", try(t.Context(), s3, callRequest("o/1", "a2"))); got != "reserved o/1" || a.count("o/1") != 1 {
			t.Errorf("retry at a new side got %q after %d runs", got, a.count("o/1"))
		}
		dead := callRequest("o/2", "a3")
		dead.Charges = []*wire.Charge{{Holder: "dead~1", Tokens: 5}}
		wantRefusal(t, try(t.Context(), s3, dead), refuse.CodeHolderClosed, refuse.NotRun)
		stop(t, s1)
		stop(t, s2)
		stop(t, s3)
	})
}

// A side that cannot close the gap must not decide.
func TestSideBehindAGapStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, a := &logd.Store{}, &app{}
		s1 := newServer(t, log, "s1", a, nil)
		try(t.Context(), s1, callRequest("o/1", "a1"))
		time.Sleep(time.Second)
		log.Expire(ledger.ClaimsStream, 0)
		s2 := newServer(t, log, "s2", a, nil)
		wantRefusal(t, try(t.Context(), s2, callRequest("o/1", "a2")), refuse.CodeLogDown, refuse.NotRun)
		if a.count("o/1") != 1 {
			t.Errorf("target ran %d times", a.count("o/1"))
		}
		s2.shutDown()
		stop(t, s1)
	})
}
