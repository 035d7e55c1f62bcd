package side

import (
	"bytes"
	"time"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// table holds the runs of a share of the requests, and remembers the outcomes of
// their attempts. It decides what an attempt does; it has no lock, clock or
// connection.
type table struct {
	// maxLive bounds the runs that have not ended or are not yet billed.
	maxLive int
	// maxKept bounds the bytes of the finished answers kept for replay.
	maxKept int
	// maxAttempts bounds the ended attempts remembered.
	maxAttempts int
	// keep is how long a finished answer is kept; grace how long a keyed run
	// goes on when nobody waits for it.
	keep, grace time.Duration

	// runs are the runs that a new attempt joins, by request.
	runs map[string]*run
	// charged counts for each holder the runs charged to it that have not
	// ended, or whose usage is not yet known to be on the log.
	charged map[ident.Incarnation]int
	// live counts the same for all runs, charged or not.
	live int
	// attempts are the attempts seen, of live and of ended runs.
	attempts map[string]*run
	// ended are the attempts that may be forgotten, oldest first.
	ended []string
	// forgot says that an attempt was forgotten, so that an unknown one can no
	// longer be told from one that ran.
	forgot bool
	// kept are the finished runs whose answers are kept, oldest first.
	kept      []*run
	keptBytes int
}

// attempt is one try at a request, as it arrives.
type attempt struct {
	id          string
	request     string
	fingerprint []byte
	budget      string
	charges     []ledger.Charge
	keyed       bool
	once        bool
	// joinOnly attempts start no run of their own.
	joinOnly bool
}

// decision is what an attempt does: start, join or reject.
type decision interface{ decision() }

// start begins a run, which is in the table already.
type start struct{ run *run }

// join attaches the attempt to a run that goes on or has finished.
type join struct{ run *run }

// reject refuses the attempt.
type reject struct{ refusal *refuse.Refusal }

func (start) decision()  {}
func (join) decision()   {}
func (reject) decision() {}

// barred stands in the table for an attempt that was answered as not run before
// it arrived.
var barred = &run{phase: phaseRefused, refusal: notRun(refuse.CodeInterrupted, 0, "the attempt was given up before it arrived")}

// begin decides on an attempt that arrives.
func (t *table) begin(a attempt, now time.Time) decision {
	t.forgetAnswers(now)
	r := t.runs[a.request]
	if old := t.attempts[a.id]; old != nil && old != r {
		return reject{refusal: old.again()}
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
	r.abandoned = time.Time{}
	t.remember(a.id, r)
	return join{run: r}
}

// insert adds a new run.
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

// leave detaches a reader. It returns whether the run must be cancelled now;
// otherwise, where the second result is set, overdue must be asked then.
//
// A non-idempotent run is never cancelled, since its answer has to be recorded.
func (t *table) leave(r *run, now time.Time) (cancel bool, ask time.Time) {
	r.readers--
	t.trim(r)
	if r.readers > 0 || r.ended() || r.once {
		return false, time.Time{}
	}
	if !r.keyed {
		t.detach(r)
		return true, time.Time{}
	}
	r.abandoned = now
	return false, now.Add(t.grace)
}

// overdue reports whether a run that nobody waits for must be cancelled. No
// attempt joins it after that.
func (t *table) overdue(r *run, now time.Time) bool {
	if r.readers > 0 || r.ended() || r.abandoned.IsZero() || now.Before(r.abandoned.Add(t.grace)) {
		return false
	}
	t.detach(r)
	return true
}

// detach takes a run off the ones that an attempt joins.
func (t *table) detach(r *run) {
	if t.runs[r.request] == r {
		delete(t.runs, r.request)
	}
}

// finish ends a run with an answer. It has no effect on a run that ended, but
// for its bill: an answer that comes after the refusal is billed.
func (t *table) finish(r *run, end end, now time.Time) {
	r.end = end
	if r.ended() {
		r.late = true
		return
	}
	r.phase = phaseFinished
	if !r.keyed || r.bytes > t.maxKept || t.runs[r.request] != r {
		t.detach(r)
		t.trim(r)
		return
	}
	r.finishedAt = now
	t.kept = append(t.kept, r)
	t.keptBytes += r.bytes
	t.forgetAnswers(now)
}

// refuse ends a run without an answer. Attempts that come later start anew.
func (t *table) refuse(r *run, refusal *refuse.Refusal, end end) {
	if r.ended() {
		return
	}
	r.end = end
	r.phase = phaseRefused
	r.refusal = refusal
	t.detach(r)
	t.trim(r)
}

// settled notes that a run has ended and that its usage, if any, is on the log.
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

// remember notes which run an attempt belongs to.
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

// forgetAttempts drops the oldest ended attempts beyond the bound.
func (t *table) forgetAttempts() {
	for len(t.ended) > t.maxAttempts {
		delete(t.attempts, t.ended[0])
		t.ended = t.ended[1:]
		t.forgot = true
	}
}

// forgetAnswers drops the finished answers that are too old, and the oldest
// ones where all together are too large.
func (t *table) forgetAnswers(now time.Time) {
	for len(t.kept) > 0 {
		r := t.kept[0]
		if t.keptBytes <= t.maxKept && now.Before(r.finishedAt.Add(t.keep)) {
			return
		}
		t.keptBytes -= r.bytes
		t.kept[0] = nil
		t.kept = t.kept[1:]
		t.detach(r)
		t.trim(r)
	}
}

// trim drops the output of an ended run that no attempt reads or can join.
func (t *table) trim(r *run) {
	if r.ended() && r.readers == 0 && t.runs[r.request] != r {
		r.chunks = nil
	}
}
