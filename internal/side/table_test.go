package side

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// tableModel applies random histories to a table, and records what was done to
// each run.
type tableModel struct {
	table table
	now   time.Time
	n     int
	runs  []*modelledRun
	// barred lists the attempts that were reported as not run before they arrived.
	barred []string
}

// modelledRun is a run and its expected state.
type modelledRun struct {
	run *run
	// output lists the chunks added before the run ended.
	output    []string
	ended     bool
	cancelled bool
	settled   bool
	readers   []*reader
}

// reader is an attempt that reads a run.
type reader struct {
	cursor cursor
	got    []string
	events uint64
	final  *wire.RunEvent
	left   bool
}

func newTableModel() *tableModel {
	return &tableModel{
		now:   time.Unix(1000, 0),
		table: table{maxLive: 5, maxKept: 30, maxAttempts: 12, keep: time.Minute, grace: 10 * time.Second},
	}
}

// arrive begins an attempt at one of three requests. The attempt is new, barred or
// already delivered.
func (m *tableModel) arrive(t *rapid.T) {
	m.n++
	id := fmt.Sprintf("attempt-%d", m.n)
	if len(m.barred) > 0 && rapid.IntRange(0, 4).Draw(t, "late") == 0 {
		id = m.barred[0]
	}
	if len(m.runs) > 0 && rapid.IntRange(0, 9).Draw(t, "twice") == 0 {
		id = m.runs[len(m.runs)-1].run.owner
	}
	request := fmt.Sprintf("o/%d", rapid.IntRange(1, 3).Draw(t, "request"))
	a := attempt{
		id: id, request: request, fingerprint: []byte("f"),
		charges: []ledger.Charge{{Holder: ident.Incarnation(rapid.SampledFrom([]string{"h1", "h2"}).Draw(t, "holder")), Tokens: 9}},
		keyed:   rapid.Bool().Draw(t, "keyed"), once: rapid.IntRange(0, 5).Draw(t, "once") == 0,
	}
	if rapid.IntRange(0, 9).Draw(t, "reused") == 0 {
		a.fingerprint = []byte("g")
	}
	switch d := m.table.begin(a, m.now).(type) {
	case start:
		m.checkAccepted(t, id, d.run)
		for _, other := range m.runs {
			if other.run.request == request && !other.ended && !other.cancelled {
				t.Fatalf("two runs of %s are in progress", request)
			}
		}
		m.runs = append(m.runs, &modelledRun{run: d.run, readers: []*reader{{cursor: cursor{attempt: id}}}})
	case join:
		m.checkAccepted(t, id, d.run)
		r := m.modelOf(d.run)
		if r.cancelled || r.run.request != request || string(r.run.fingerprint) != string(a.fingerprint) {
			t.Fatalf("attempt at %s joined a run of %s, cancelled %v, want a run of its request with its fingerprint, not cancelled", request, r.run.request, r.cancelled)
		}
		r.readers = append(r.readers, &reader{cursor: cursor{attempt: id, joined: d.run.owner != id}})
	case reject:
		if d.refusal.Outcome != refuse.NotRun && m.table.attempts[id] == nil {
			t.Fatalf("attempt that started no run was refused with outcome %q, want not-run", d.refusal.Outcome)
		}
	}
}

// checkAccepted checks that an accepted attempt was not reported as not run before
// and does not own another run.
func (m *tableModel) checkAccepted(t *rapid.T, id string, r *run) {
	if m.table.attemptsForgotten {
		return
	}
	if slices.Contains(m.barred, id) {
		t.Fatalf("attempt %s ran after it was reported as not run", id)
	}
	for _, other := range m.runs {
		if other.run != r && other.run.owner == id {
			t.Fatalf("attempt %s started two runs", id)
		}
	}
}

func (m *tableModel) modelOf(r *run) *modelledRun {
	return m.runs[slices.IndexFunc(m.runs, func(v *modelledRun) bool { return v.run == r })]
}

// askOutcome asks for the outcome of an attempt that has not arrived.
func (m *tableModel) askOutcome(*rapid.T) {
	m.n++
	id := fmt.Sprintf("attempt-%d", m.n)
	if r := m.table.outcomeRun(id, true); r != nil {
		m.barred = append(m.barred, id)
	}
}

// work adds output to one run, ends it, settles it, or lets time pass.
func (m *tableModel) work(t *rapid.T) {
	if len(m.runs) == 0 {
		return
	}
	r := rapid.SampledFrom(m.runs).Draw(t, "run")
	switch rapid.IntRange(0, 7).Draw(t, "work") {
	case 0:
		r.run.markSent()
	case 1, 2, 3:
		r.run.markSent()
		data := fmt.Sprintf("%s-%d", r.run.owner, len(r.output))
		if r.run.add(chunk{data: []byte(data), tokens: 1}) {
			r.output = append(r.output, data)
		} else if !r.ended {
			t.Fatalf("output of a run in progress was dropped")
		}
	case 4:
		n := ledger.Tokens(len(r.output))
		if !r.ended {
			m.table.finish(r.run, end{billed: n, charges: wire.FirstCharges(r.run.charges, n)}, m.now)
		}
		r.ended = true
	case 5:
		m.table.refuse(r.run, unknown(refuse.CodeInterrupted, 0, "cut"), end{})
		r.ended = true
	case 6:
		if r.ended {
			m.table.settled(r.run)
			r.settled = true
		}
	case 7:
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 70).Draw(t, "seconds")) * time.Second)
		if m.table.graceExpired(r.run, m.now) {
			r.cancelled = true
		}
	}
}

// read makes one attempt read the available events, and sometimes stop reading.
func (m *tableModel) read(t *rapid.T) {
	if len(m.runs) == 0 {
		return
	}
	r := rapid.SampledFrom(m.runs).Draw(t, "run")
	v := rapid.SampledFrom(r.readers).Draw(t, "reader")
	if v.left {
		return
	}
	r.readAll(t, v)
	if v.final == nil && rapid.IntRange(0, 3).Draw(t, "leaves") > 0 {
		return
	}
	v.left = true
	if cancel, _ := m.table.detachReader(r.run, m.now); cancel {
		r.cancelled = true
		if r.run.keyed || r.run.once || r.reading() > 0 {
			t.Fatalf("run was cancelled with keyed %v, non-idempotent %v and %d readers, want false, false and 0", r.run.keyed, r.run.once, r.reading())
		}
	}
}

func (r *modelledRun) reading() int {
	n := 0
	for _, v := range r.readers {
		if !v.left {
			n++
		}
	}
	return n
}

// readAll reads all available events of an attempt and checks them.
func (r *modelledRun) readAll(t *rapid.T, v *reader) {
	for _, ev := range v.cursor.read(r.run) {
		if ev.GetIndex() != v.events || ev.GetAttemptId() != v.cursor.attempt || v.final != nil {
			t.Fatalf("event %v after %d events of attempt %s, want the next index, the id of the attempt, and no event after the final one", ev, v.events, v.cursor.attempt)
		}
		v.events++
		if k := ev.GetChunk(); k != nil {
			v.got = append(v.got, string(k.GetData()))
		}
		if ev.GetFinish() != nil || ev.GetRefused() != nil {
			v.final = ev
		}
	}
	if !slices.Equal(v.got, r.output[:len(v.got)]) {
		t.Fatalf("attempt %s read %q, want a prefix of the output %q", v.cursor.attempt, v.got, r.output)
	}
	f := v.final.GetFinish()
	if f == nil {
		return
	}
	if len(v.got) != len(r.output) {
		t.Fatalf("attempt %s finished with %q, want the whole output %q", v.cursor.attempt, v.got, r.output)
	}
	want := ledger.Tokens(len(r.output))
	if v.cursor.attempt != r.run.owner {
		want = 0
	}
	if f.GetBilled() != want {
		t.Fatalf("attempt %s was billed %d, want %d", v.cursor.attempt, f.GetBilled(), want)
	}
}

// check compares the table's counts with those of the modelled runs.
func (m *tableModel) check(t *rapid.T) {
	live, charged := 0, map[ident.Incarnation]int{}
	for _, r := range m.runs {
		if !r.settled {
			live++
			charged[r.run.charges[0].Holder]++
		}
	}
	for _, h := range []ident.Incarnation{"h1", "h2"} {
		if m.table.charged[h] != charged[h] {
			t.Fatalf("want %d runs charged to holder %s, table has %d", charged[h], h, m.table.charged[h])
		}
	}
	if m.table.live != live || live > m.table.maxLive || m.table.keptBytes > m.table.maxKept {
		t.Fatalf("want %d outstanding runs, table has %d and keeps %d bytes of responses", live, m.table.live, m.table.keptBytes)
	}
	if n := len(m.table.ended); n > m.table.maxAttempts {
		t.Fatalf("%d ended attempts are remembered, want at most %d", n, m.table.maxAttempts)
	}
}

// TestEveryAttemptReadsTheWholeOutputAndOneIsBilled guards against lost or repeated
// output, output of another run, double bills, and wrong counts of outstanding runs.
// Attempts at the same requests arrive, join, stop reading and arrive again in any
// order.
func TestEveryAttemptReadsTheWholeOutputAndOneIsBilled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTableModel()
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				m.arrive(t)
			case 2:
				m.askOutcome(t)
			case 3, 4, 5, 6:
				m.work(t)
			default:
				m.read(t)
			}
			m.check(t)
		}
		for _, r := range m.runs {
			for _, v := range r.readers {
				if !v.left {
					r.readAll(t, v)
				}
			}
		}
	})
}

// BenchmarkToken measures one streamed token through a run to one reader.
func BenchmarkToken(b *testing.B) {
	data := []byte(`{"id":"c1","choices":[{"delta":{"content":"token "}}]}`)
	var sh shard
	sh.table = table{maxLive: 1 << 30, maxKept: 1 << 20, maxAttempts: 100}
	const runTokens = 500
	var r *run
	var c cursor
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		if n%runTokens == 0 {
			d := sh.table.begin(attempt{id: fmt.Sprint(n), request: fmt.Sprint(n)}, time.Time{})
			r = d.(start).run
			r.markSent()
			c = cursor{attempt: "a"}
		}
		n++
		sh.mu.Lock()
		r.wait()
		sh.mu.Unlock()
		sh.update(r, func(*table) { r.add(chunk{data: data, tokens: 1}) })
		sh.mu.Lock()
		c.read(r)
		sh.mu.Unlock()
	}
}

// BenchmarkMeter measures parsing and metering one engine event.
func BenchmarkMeter(b *testing.B) {
	data := []byte(`{"id":"c1","choices":[{"delta":{"content":"token "}}]}`)
	m := newMeter(10, 1<<40, 1<<41)
	b.ReportAllocs()
	for b.Loop() {
		d, err := parseDelta(data)
		if err != nil || d.content() == "" || !m.addOutput(1) {
			b.Fatal(err)
		}
	}
}
