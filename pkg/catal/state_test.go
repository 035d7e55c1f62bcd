package catal

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/logsvc"

	"github.com/beryllanding/beryllanding/internal/stand/check"
)

func TestMain(m *testing.M) {
	check.Main(m, map[string]string{"rapid.seed": "20261203", "rapid.nofailfile": "true"})
}

const testMaxHistory = 3

var (
	testNames = []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	testKeys  = []string{"k1", "k2", "k3"}
)

// simulation is a history of operators who read one log at different times and write
// to it. Records may be lost or appended twice.
type simulation struct {
	log             []logsvc.Record
	model           naive
	reader          *fold.Reader
	state           *State
	operatorReaders [3]*fold.Reader
	operatorStates  [3]*State
	ids             []string
	seq             uint64
}

func newSimulation() *simulation {
	r := &simulation{model: naive{maxHistory: testMaxHistory}}
	r.reader, r.state = newReader()
	for i := range r.operatorReaders {
		r.operatorReaders[i], r.operatorStates[i] = newReader()
	}
	return r
}

func newReader() (*fold.Reader, *State) {
	s := &State{maxHistory: testMaxHistory}
	return &fold.Reader{Machine: s}, s
}

// page returns the whole log as one page.
func (r *simulation) page() logsvc.Page {
	return logsvc.Page{First: 1, Next: logsvc.Offset(len(r.log) + 1), Records: r.log}
}

// write draws the changes of one record and appends it.
func (r *simulation) write(t *rapid.T) {
	var list []Change
	for range rapid.SampledFrom([]int{1, 1, 2, 3}).Draw(t, "changes") {
		list = append(list, r.change(t))
	}
	r.append(t, list...)
}

// change draws a change based on an operator's view, which may be out of date.
func (r *simulation) change(t *rapid.T) Change {
	i := rapid.IntRange(0, len(r.operatorReaders)-1).Draw(t, "operator")
	c := Change{
		ID:       fmt.Sprintf("c%d", len(r.ids)),
		Operator: fmt.Sprintf("op%d", i),
		Seen:     r.operatorReaders[i].Offset(),
	}
	if len(r.ids) > 0 && rapid.IntRange(0, 9).Draw(t, "repeat") == 0 {
		c.ID = rapid.SampledFrom(r.ids).Draw(t, "id")
	}
	r.fill(t, &c)
	rec, _ := r.operatorStates[i].Get(c.Name())
	c.Base = rec.At
	if rapid.IntRange(0, 9).Draw(t, "guess") == 0 {
		c.Base = logsvc.Offset(rapid.IntRange(0, len(r.log)+1).Draw(t, "base"))
	}
	r.ids = append(r.ids, c.ID)
	return c
}

// fill draws the entry that the change writes or deletes.
func (r *simulation) fill(t *rapid.T, c *Change) {
	name := rapid.SampledFrom(testNames).Draw(t, "name")
	switch rapid.IntRange(0, 9).Draw(t, "what") {
	case 0, 1, 2, 3:
		c.Delete = name
	case 4:
		c.Entry = &Service{Name: name, Owner: "o", Class: Batch, Kind: App, Price: 3}
	case 5:
		c.Entry = &Budget{Name: name, Class: Batch}
	default:
		b := &Budget{Name: name, Owner: "o", Class: Standard}
		for _, k := range rapid.SliceOfNDistinct(rapid.SampledFrom(testKeys), 0, 2, rapid.ID).Draw(t, "keys") {
			b.KeyHashes = append(b.KeyHashes, HashKey(k))
		}
		c.Entry = b
	}
}

// append appends a record with the changes once, twice or not at all. The second
// copy must have no effect, so the model does not get it.
func (r *simulation) append(t *rapid.T, list ...Change) {
	r.seq++
	batch := fold.Batch{Writer: "w", Seq: r.seq}
	for _, c := range list {
		batch.Items = append(batch.Items, Encode(c))
	}
	data, _ := json.Marshal(batch)
	copies := rapid.SampledFrom([]int{1, 1, 1, 1, 0, 2}).Draw(t, "copies")
	for n := range copies {
		at := logsvc.Offset(len(r.log) + 1)
		r.log = append(r.log, logsvc.Record{Offset: at, Data: data})
		for _, c := range list[:len(list)*(1-n)] {
			r.model.changes = append(r.model.changes, loggedChange{at: at, Change: c})
		}
	}
	if err := r.reader.Feed(r.page()); err != nil {
		t.Fatal(err)
	}
}

// refresh lets one operator read to the end of the log.
func (r *simulation) refresh(t *rapid.T) {
	i := rapid.IntRange(0, len(r.operatorReaders)-1).Draw(t, "operator")
	if err := r.operatorReaders[i].Feed(r.page()); err != nil {
		t.Fatal(err)
	}
}

// restart replaces the reader with one that starts from an operator's checkpoint,
// which may be older than the end of the log.
func (r *simulation) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(r.operatorReaders)-1).Draw(t, "operator")
	cp, err := r.operatorReaders[i].Checkpoint()
	if err != nil {
		t.Fatal(err)
	}
	reader, state := newReader()
	if err := reader.Restore(cp); err != nil {
		t.Fatal(err)
	}
	if err := reader.Feed(r.page()); err != nil {
		t.Fatal(err)
	}
	want, _ := r.state.Snapshot()
	got, _ := state.Snapshot()
	if !bytes.Equal(got, want) {
		t.Fatalf("snapshot after a restart is\n%s\nwant\n%s", got, want)
	}
	r.reader, r.state = reader, state
}

// check compares the results of all queries with the model's.
func (r *simulation) check(t *rapid.T) {
	want := r.model.replay()
	for _, id := range r.ids {
		if diff := cmp.Diff(want.verdicts[id], r.state.Verdict(id)); diff != "" {
			t.Fatalf("verdict of %s (-naive +state):\n%s", id, diff)
		}
	}
	for _, name := range testNames {
		old, known := want.latest[name]
		rec, ok := r.state.Get(name)
		if ok != (known && !old.forgotten) {
			t.Fatalf("entry %q: Get reports a record: %v, want the opposite", name, ok)
		}
		if ok && (rec.At != old.at || rec.Change != old.ID || !cmp.Equal(rec.Entry, old.Entry)) {
			t.Fatalf("entry %q is %+v, want %+v", name, rec, old)
		}
	}
	for _, k := range testKeys {
		b, ok := r.state.Authenticate(k)
		if owner := want.owner(HashKey(k)); ok != (owner != "") || ok && b.Name != owner {
			t.Fatalf("key %q belongs to budget %v, want %q", k, b, owner)
		}
	}
}

// TestStateMatchesNaiveModel compares the state with the naive model during random
// histories of concurrent operators.
func TestStateMatchesNaiveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"write": r.write, "write again": r.write, "refresh": r.refresh, "restart": r.restart, "": r.check,
		})
	})
}

// apply folds the changes at the offsets 1, 2 and so on.
func apply(s *State, changes ...Change) {
	for i, c := range changes {
		s.Apply(fold.Position{Offset: logsvc.Offset(i + 1)}, Encode(c))
	}
}

// TestRestoreRefusesOldOrMalformedSnapshot checks that Restore refuses snapshots
// that are older than the state or inconsistent, and leaves the state unchanged.
func TestRestoreRefusesOldOrMalformedSnapshot(t *testing.T) {
	var s State
	first := Change{ID: "1", Operator: "op", Entry: &Budget{Name: "a", Owner: "o", Class: Batch}}
	second := Change{ID: "2", Base: 1, Operator: "op", Entry: &Budget{Name: "a", Owner: "p", Class: Batch}}
	apply(&s, first)
	old, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	apply(&s, first, second)
	if err := s.Restore(old); err == nil {
		t.Error("Restore accepted a snapshot older than the state, want an error")
	}
	for _, bad := range []string{``, `{}x`, `{"latest":9,"tombstones":["z"]}`, `{"latest":9,"verdicts":[{"id":"1"}]}`} {
		if err := s.Restore([]byte(bad)); err == nil {
			t.Errorf("Restore accepted the snapshot %q, want an error", bad)
		}
	}
	if b, _ := s.BudgetEntry("a"); b == nil || b.Owner != "p" {
		t.Errorf("entry is %+v after the refused snapshots, want owner p", b)
	}
}

// TestQueriesWhileApplying checks that a key hash that the old and the new version
// of a budget have in common is found at every moment of the change.
func TestQueriesWhileApplying(t *testing.T) {
	var s State
	apply(&s, Change{ID: "0", Entry: &Budget{Name: "a", Owner: "o", Class: Batch, KeyHashes: []KeyHash{HashKey("k")}}})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 500 {
			e := &Budget{Name: "a", Owner: fmt.Sprint(i), Class: Batch, KeyHashes: []KeyHash{HashKey("k")}}
			c := Change{ID: fmt.Sprint("c", i), Base: logsvc.Offset(i + 1), Entry: e}
			s.Apply(fold.Position{Offset: logsvc.Offset(i + 2)}, Encode(c))
		}
	}()
	for running := true; running; {
		select {
		case <-done:
			running = false
		default:
		}
		if _, ok := s.Authenticate("k"); !ok {
			t.Fatal("a key that both versions hold was refused")
		}
	}
	if b, _ := s.BudgetEntry("a"); b.Owner != "499" {
		t.Errorf("entry is %+v after the last change, want owner 499", b)
	}
}

// TestStateSizeIsBounded checks that a change with oversized fields adds only a
// bounded amount to the state.
func TestStateSizeIsBounded(t *testing.T) {
	long := strings.Repeat("é", 100_000)
	b := &Budget{Name: long, Owner: long, Class: Class(long), KeyHashes: make([]KeyHash, 1000)}
	var s State
	apply(
		&s,
		Change{ID: long, Entry: &Budget{Name: "a", Owner: "o", Class: Batch}},
		Change{ID: "2", Entry: b, Operator: long},
	)
	if s.Verdict(long) != nil {
		t.Error("change with an ID over the limit has a verdict, want none")
	}
	v, ok := s.Verdict("2").(Invalid)
	if !ok || len(v.Faults) != maxFaults+1 || v.Faults[maxFaults] != "and 984 more" {
		t.Errorf("verdict is %T with %d faults, the last is %q; want Invalid with maxFaults+1 faults, the last \"and 984 more\"", s.Verdict("2"), len(v.Faults), v.Faults[len(v.Faults)-1])
	}
	data, err := s.Snapshot()
	if err != nil || len(data) > 2*maxFaults*maxFaultLen {
		t.Errorf("snapshot has %d bytes, error %v; want a bounded size and no error", len(data), err)
	}
	if err := new(State).Restore(data); err != nil {
		t.Error(err)
	}
}
