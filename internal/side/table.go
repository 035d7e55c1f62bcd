package side

import (
	"bytes"
	"time"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// table holds the runs of the requests of one shard, and the outcomes of their
// attempts. It decides whether an attempt starts or joins a run. It has no lock,
// reads no clock and opens no connection.
type table struct {
	// maxLive is the largest number of outstanding runs. A run is outstanding until
	// it has ended and is billed.
	maxLive int
	// maxKept is the largest total size, in bytes, of the finished responses kept
	// for replay.
	maxKept int
	// maxAttempts is the largest number of ended attempts that are remembered.
	maxAttempts int
	// keep is how long a finished response is kept. grace is how long a keyed run
	// continues without a reader.
	keep, grace time.Duration

	// released is called with memory that is no longer reserved for a run, in bytes; nil if none
	// is ever reserved.
	released func(bytes int64)

	// runs holds, by request, the runs that a new attempt joins.
	runs map[string]*run
	// charged counts the outstanding runs charged to each holder.
	charged map[ident.Incarnation]int
	// live counts the outstanding runs, whether or not they are charged.
	live int
	// attempts holds the runs of the known attempts, by attempt id.
	attempts map[string]*run
	// ended lists the attempts that may be forgotten, oldest first.
	ended []string
	// attemptsForgotten reports that at least one attempt was forgotten. An attempt
	// that is not in attempts may then have run.
	attemptsForgotten bool
	// kept lists the finished runs whose responses are kept, oldest first.
	kept      []*run
	keptBytes int
}

// attempt is one attempt at a request, as received.
type attempt struct {
	id          string
	request     string
	fingerprint []byte
	budget      string
	charges     []ledger.Charge
	keyed       bool
	once        bool
	// joinOnly reports that the attempt may join a run, but not start one.
	joinOnly bool
}

// decision is the table's decision on an attempt: start, join or reject.
type decision interface{ decision() }

// start starts a run. The run is in the table already.
type start struct{ run *run }

// join attaches the attempt to a run that is in progress or has finished.
type join struct{ run *run }

// reject refuses the attempt.
type reject struct{ refusal *refuse.Refusal }

func (start) decision()  {}
func (join) decision()   {}
func (reject) decision() {}

// barred is the run of attempts that were reported as not run before they arrived.
var barred = &run{phase: phaseRefused, refusal: notRun(refuse.CodeInterrupted, 0, "the attempt was reported as not run before it arrived")}

// begin decides on an attempt that arrives.
func (t *table) begin(a attempt, now time.Time) decision {
	t.forgetResponses(now)
	r := t.runs[a.request]
	if old := t.attempts[a.id]; old != nil && old != r {
		return reject{refusal: old.repeatRefusal()}
	}
	if r != nil {
		return t.joinRun(r, a)
	}
	if a.joinOnly {
		return reject{refusal: notRun(refuse.CodeInterrupted, 0, "no run of the request is known here")}
	}
	if t.live >= t.maxLive {
		return reject{refusal: notRun(refuse.CodeBusy, time.Second, "too many requests are in progress")}
	}
	return start{run: t.insert(a)}
}

// joinRun attaches the attempt to a run of the same request.
func (t *table) joinRun(r *run, a attempt) decision {
	if !bytes.Equal(r.fingerprint, a.fingerprint) {
		return reject{refusal: notRun(refuse.CodeKeyReused, 0, "the idempotency key was used with another request")}
	}
	r.readers++
	r.abandonedAt = time.Time{}
	t.remember(a.id, r)
	return join{run: r}
}

// insert adds a run that is owned and read by the attempt.
func (t *table) insert(a attempt) *run {
	r := &run{
		request: a.request, fingerprint: a.fingerprint, budget: a.budget,
		charges: a.charges, keyed: a.keyed, once: a.once, owner: a.id, readers: 1,
	}
	if t.runs == nil {
		t.runs = make(map[string]*run)
		t.charged = make(map[ident.Incarnation]int)
	}
	t.runs[a.request] = r
	t.live++
	for _, c := range r.charges {
		t.charged[c.Holder]++
	}
	t.remember(a.id, r)
	return r
}

// detachReader removes a reader and reports whether the run must be cancelled now.
// If cancel is false and checkAt is not zero, the caller must call graceExpired at
// the time checkAt.
//
// A non-idempotent run is never cancelled, since its response must be recorded.
func (t *table) detachReader(r *run, now time.Time) (cancel bool, checkAt time.Time) {
	r.readers--
	t.dropOutput(r)
	if r.readers > 0 || r.ended() || r.once {
		return false, time.Time{}
	}
	if !r.keyed {
		t.removeRun(r)
		return true, time.Time{}
	}
	r.abandonedAt = now
	return false, now.Add(t.grace)
}

// graceExpired reports whether a run must be cancelled because it had no reader
// for the grace period. If it returns true, attempts can no longer join the run.
func (t *table) graceExpired(r *run, now time.Time) bool {
	if r.readers > 0 || r.ended() || r.abandonedAt.IsZero() || now.Before(r.abandonedAt.Add(t.grace)) {
		return false
	}
	t.removeRun(r)
	return true
}

// removeRun removes a run from the runs that attempts can join.
func (t *table) removeRun(r *run) {
	if t.runs[r.request] == r {
		delete(t.runs, r.request)
	}
}

// finish ends a run with a response. If the run was already refused, its refusal
// stays and only its bill changes.
func (t *table) finish(r *run, end end, now time.Time) {
	r.end = end
	if r.ended() {
		r.lateResponse = true
		return
	}
	r.phase = phaseFinished
	if !r.keyed || r.memory() > t.maxKept || t.runs[r.request] != r {
		t.removeRun(r)
		t.dropOutput(r)
		return
	}
	r.finishedAt = now
	t.releaseReserved(r)
	t.kept = append(t.kept, r)
	t.keptBytes += r.memory()
	t.forgetResponses(now)
}

// refuse ends a run without a response. Later attempts at the request start a new
// run. refuse has no effect on a run that has already ended.
func (t *table) refuse(r *run, refusal *refuse.Refusal, end end) {
	if r.ended() {
		return
	}
	r.end = end
	r.phase = phaseRefused
	r.refusal = refusal
	t.removeRun(r)
	t.dropOutput(r)
}

// settled records that a run has ended and that its usage, if any, is on the log.
func (t *table) settled(r *run) {
	if r.settled {
		return
	}
	r.settled = true
	t.live--
	for _, c := range r.charges {
		t.charged[c.Holder]--
		if t.charged[c.Holder] == 0 {
			delete(t.charged, c.Holder)
		}
	}
	for _, id := range r.attempts {
		t.ended = append(t.ended, id)
	}
	r.attempts = nil
	t.forgetAttempts()
}

// remember records the run of an attempt, if the attempt has none yet.
func (t *table) remember(id string, r *run) {
	if t.attempts == nil {
		t.attempts = make(map[string]*run)
	}
	if t.attempts[id] != nil {
		return
	}
	t.attempts[id] = r
	if r.settled || r == barred {
		t.ended = append(t.ended, id)
		t.forgetAttempts()
		return
	}
	r.attempts = append(r.attempts, id)
}

// forgetAttempts drops the oldest ended attempts beyond maxAttempts.
func (t *table) forgetAttempts() {
	for len(t.ended) > t.maxAttempts {
		delete(t.attempts, t.ended[0])
		t.ended = t.ended[1:]
		t.attemptsForgotten = true
	}
}

// forgetResponses drops the finished responses that are older than keep. It then
// drops the oldest responses until the total size is at most maxKept.
func (t *table) forgetResponses(now time.Time) {
	for len(t.kept) > 0 {
		r := t.kept[0]
		if t.keptBytes <= t.maxKept && now.Before(r.finishedAt.Add(t.keep)) {
			return
		}
		t.keptBytes -= r.memory()
		t.kept[0] = nil
		t.kept = t.kept[1:]
		t.removeRun(r)
		t.dropOutput(r)
	}
}

// dropOutput drops the output of a run that has ended, has no reader and cannot be
// joined. It leaves the output of other runs as it is.
func (t *table) dropOutput(r *run) {
	if !r.ended() || r.readers > 0 || t.runs[r.request] == r {
		return
	}
	r.chunks = nil
	t.releaseReserved(r)
}

// releaseReserved releases the memory that is reserved for the run's output.
func (t *table) releaseReserved(r *run) {
	if r.reserved > 0 {
		t.released(r.reserved)
		r.reserved = 0
	}
}

// keepReserved makes the run hold reserved memory until its output is dropped, or kept for replay.
func (t *table) keepReserved(r *run, bytes int64) {
	r.reserved += bytes
	t.dropOutput(r) // The run may have ended without a reader meanwhile.
}
