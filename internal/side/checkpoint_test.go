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

// TestStateOutlivesRetention guards against losing closings and claims when their
// records expire. A side process that starts later must get them from checkpoints.
func TestStateOutlivesRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, a := &logd.Store{}, &app{}
		s1 := newServer(t, log, "s1", a, nil)
		s2 := newServer(t, log, "s2", a, nil)
		runAttempt(t.Context(), s1, callRequest("o/1", "a1"))
		s1.fleetWriter.Propose(holderCloseItem("dead~1"), nil)
		time.Sleep(2 * fold.DefaultCheckpointInterval)
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
			t.Errorf("2 sides wrote %d checkpoints of 2 streams in total, want 2", checkpoints)
		}
		s3 := newServer(t, log, "s3", a, nil)
		if got := responseOf(t, "a2", runAttempt(t.Context(), s3, callRequest("o/1", "a2"))); got != "reserved o/1" || a.count("o/1") != 1 {
			t.Errorf("retry at a new side got %q after %d runs, want \"reserved o/1\" after 1", got, a.count("o/1"))
		}
		dead := callRequest("o/2", "a3")
		dead.Charges = []*wire.Charge{{Holder: "dead~1", Tokens: 5}}
		wantRefusal(t, runAttempt(t.Context(), s3, dead), refuse.CodeHolderClosed, refuse.NotRun)
		stop(t, s1)
		stop(t, s2)
		stop(t, s3)
	})
}

// TestSideWithStaleClaimsStartsNothing guards against a second run of a request
// whose claim expired before a new side process could read it. If there is no
// checkpoint, the claims state is stale, and no claim may be decided on it.
func TestSideWithStaleClaimsStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, a := &logd.Store{}, &app{}
		s1 := newServer(t, log, "s1", a, nil)
		runAttempt(t.Context(), s1, callRequest("o/1", "a1"))
		time.Sleep(time.Second)
		log.Expire(ledger.ClaimsStream, 0)
		s2 := newServer(t, log, "s2", a, nil)
		wantRefusal(t, runAttempt(t.Context(), s2, callRequest("o/1", "a2")), refuse.CodeLogUnavailable, refuse.NotRun)
		if a.count("o/1") != 1 {
			t.Errorf("target ran %d times, want 1", a.count("o/1"))
		}
		s2.shutDown()
		stop(t, s1)
	})
}
