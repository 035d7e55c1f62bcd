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

const testMemory = 3

var (
	testNames = []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	testKeys  = []string{"k1", "k2", "k3"}
)

// race is a history of operators who read at different times and write to one
// log, whose answers get lost and whose records are appended twice.
type race struct {
	log     []logsvc.Record
	model   naive
	reader  *fold.Reader
	state   *State
	views   [3]*fold.Reader
	readers [3]*State
	ids     []string
	seq     uint64
}

func newRace() *race {
	r := &race{model: naive{memory: testMemory}}
	r.reader, r.state = newReader()
	for i := range r.views {
		r.views[i], r.readers[i] = newReader()
	}
	return r
}

func newReader() (*fold.Reader, *State) {
	s := &State{memory: testMemory}
	return &fold.Reader{Machine: s}, s
}

// page returns the whole log, as a reader gets it.
func (r *race) page() logsvc.Page {
	return logsvc.Page{First: 1, Next: logsvc.Offset(len(r.log) + 1), Records: r.log}
}

// write draws the changes of one record.
func (r *race) write(t *rapid.T) {
	var list []Change
	for range rapid.SampledFrom([]int{1, 1, 2, 3}).Draw(t, "changes") {
		list = append(list, r.change(t))
	}
	r.append(t, list...)
}

// change draws a change that an operator makes from its own, old view.
func (r *race) change(t *rapid.T) Change {
	i := rapid.IntRange(0, len(r.views)-1).Draw(t, "operator")
	c := Change{
		ID:       fmt.Sprintf("c%d", len(r.ids)),
		Operator: fmt.Sprintf("op%d", i),
		Seen:     r.views[i].Offset(),
	}
	if len(r.ids) > 0 && rapid.IntRange(0, 9).Draw(t, "repeat") == 0 {
		c.ID = rapid.SampledFrom(r.ids).Draw(t, "id")
	}
	r.fill(t, &c)
	rec, _ := r.readers[i].Get(c.Name())
	c.Base = rec.At
	if rapid.IntRange(0, 9).Draw(t, "guess") == 0 {
		c.Base = logsvc.Offset(rapid.IntRange(0, len(r.log)+1).Draw(t, "base"))
	}
	r.ids = append(r.ids, c.ID)
	return c
}

// fill draws what the change is about.
func (r *race) fill(t *rapid.T, c *Change) {
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

// append appends a record with the changes, or loses it, or appends it twice.
func (r *race) append(t *rapid.T, list ...Change) {
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
			r.model.changes = append(r.model.changes, placed{at: at, Change: c})
		}
	}
	if err := r.reader.Feed(r.page()); err != nil {
		t.Fatal(err)
	}
}

// refresh lets one operator read on.
func (r *race) refresh(t *rapid.T) {
	i := rapid.IntRange(0, len(r.views)-1).Draw(t, "operator")
	if err := r.views[i].Feed(r.page()); err != nil {
		t.Fatal(err)
	}
}

// restart replaces the reader by one that starts from an operator's checkpoint,
// which may be older than the log.
func (r *race) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(r.views)-1).Draw(t, "operator")
	cp, err := r.views[i].Checkpoint()
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
		t.Fatalf("the state after a restart differs:\n%s\n%s", got, want)
	}
	r.reader, r.state = reader, state
}

// check compares every answer of the state with the naive one.
func (r *race) check(t *rapid.T) {
	want := r.model.walk()
	for _, id := range r.ids {
		if diff := cmp.Diff(want.verdicts[id], r.state.Verdict(id)); diff != "" {
			t.Fatalf("verdict of %s (-naive +state):\n%s", id, diff)
		}
	}
	for _, name := range testNames {
		old, known := want.latest[name]
		rec, ok := r.state.Get(name)
		if ok != (known && !old.forgotten) {
			t.Fatalf("entry %q is known: %v", name, ok)
		}
		if ok && (rec.At != old.at || rec.Change != old.ID || !cmp.Equal(rec.Entry, old.Entry)) {
			t.Fatalf("entry %q is %+v, expected %+v", name, rec, old)
		}
	}
	for _, k := range testKeys {
		b, ok := r.state.Authenticate(k)
		if owner := want.owner(HashKey(k)); ok != (owner != "") || ok && b.Name != owner {
			t.Fatalf("key %q belongs to %v, expected %q", k, b, owner)
		}
	}
}

func TestStateAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRace()
		t.Repeat(map[string]func(*rapid.T){
			"write": r.write, "write again": r.write, "refresh": r.refresh, "restart": r.restart, "": r.check,
		})
	})
}

// apply folds changes, one for each offset from 1.
func apply(s *State, changes ...Change) {
	for i, c := range changes {
		s.Apply(fold.Position{Offset: logsvc.Offset(i + 1)}, Encode(c))
	}
}

func TestNeverBack(t *testing.T) {
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
		t.Error("an older snapshot was restored")
	}
	for _, bad := range []string{``, `{}x`, `{"latest":9,"tombstones":["z"]}`, `{"latest":9,"verdicts":[{"id":"1"}]}`} {
		if err := s.Restore([]byte(bad)); err == nil {
			t.Errorf("snapshot %q was restored", bad)
		}
	}
	if b, _ := s.BudgetEntry("a"); b == nil || b.Owner != "p" {
		t.Errorf("the entry went back to %+v", b)
	}
}

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
		t.Errorf("the last change is not in force: %+v", b)
	}
}

// TestBounds checks that what a change makes the state keep is bounded.
func TestBounds(t *testing.T) {
	long := strings.Repeat("é", 100_000)
	b := &Budget{Name: long, Owner: long, Class: Class(long), KeyHashes: make([]KeyHash, 1000)}
	var s State
	apply(
		&s,
		Change{ID: long, Entry: &Budget{Name: "a", Owner: "o", Class: Batch}},
		Change{ID: "2", Entry: b, Operator: long},
	)
	if s.Verdict(long) != nil {
		t.Error("an id over the limit was decided on")
	}
	v, ok := s.Verdict("2").(Invalid)
	if !ok || len(v.Faults) != maxFaults+1 || v.Faults[maxFaults] != "and 984 more" {
		t.Errorf("the verdict is %T with %d faults, the last of them %q", s.Verdict("2"), len(v.Faults), v.Faults[len(v.Faults)-1])
	}
	data, err := s.Snapshot()
	if err != nil || len(data) > 2*maxFaults*maxFaultLen {
		t.Errorf("the state takes %d bytes, %v", len(data), err)
	}
	if err := new(State).Restore(data); err != nil {
		t.Error(err)
	}
}
