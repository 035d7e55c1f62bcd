package reaper

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

const (
	self  = ident.Incarnation("r1~a")
	other = ident.Incarnation("r2~b")
	dead  = ident.Incarnation("r3~c")
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// round is an input in which dead holds tokens and is not listed.
func round(at time.Time) Input {
	return Input{
		Now:        at,
		ListReadAt: at,
		Listed:     []ident.Incarnation{self},
		Holders:    []ident.Incarnation{self, dead},
		Closed:     func(ident.Incarnation) bool { return false },
		Final:      func(ident.Incarnation) (logsvc.Offset, bool) { return 0, false },
	}
}

func TestClosesAfterAbsence(t *testing.T) {
	p := Planner{Self: self}
	if got := p.Plan(round(start)); got != nil {
		t.Errorf("first round: got %v, want nothing", got)
	}
	if got := p.Plan(round(start.Add(DefaultAbsence - time.Second))); got != nil {
		t.Errorf("before the absence time: got %v, want nothing", got)
	}
	want := []Effect{Close{Holder: dead}}
	if diff := cmp.Diff(want, p.Plan(round(start.Add(DefaultAbsence)))); diff != "" {
		t.Errorf("after the absence time (-want +got):\n%s", diff)
	}
	if got := p.Plan(round(start.Add(DefaultAbsence + time.Second))); got != nil {
		t.Errorf("one second after the proposal: got %v, want nothing", got)
	}
}

func TestListOutageMakesNobodyAbsent(t *testing.T) {
	p := Planner{Self: self}
	p.Plan(round(start))
	in := round(start.Add(time.Hour))
	in.ListReadAt = start.Add(time.Second)
	if got := p.Plan(in); got != nil {
		t.Errorf("with a list that is an hour old: got %v, want nothing", got)
	}
}

func TestReturnToTheListResetsAbsence(t *testing.T) {
	p := Planner{Self: self}
	p.Plan(round(start))
	back := round(start.Add(20 * time.Second))
	back.Listed = append(back.Listed, dead)
	p.Plan(back)
	if got := p.Plan(round(start.Add(DefaultAbsence + time.Second))); got != nil {
		t.Errorf("after a return to the list: got %v, want nothing, because earlier absence does not count", got)
	}
}

func TestCandidatesTakeTurns(t *testing.T) {
	at := start.Add(DefaultAbsence)
	proposers := 0
	for _, who := range []ident.Incarnation{self, other} {
		p := Planner{Self: who}
		first := round(start)
		first.Listed = []ident.Incarnation{self, other}
		p.Plan(first)
		second := round(at)
		second.Listed = first.Listed
		proposers += len(p.Plan(second))
	}
	if proposers != 1 {
		t.Errorf("got %d proposers at the end of the absence time, want 1", proposers)
	}
}

func TestReclaimsOnlyWhenFinal(t *testing.T) {
	p := Planner{Self: self}
	closed := round(start.Add(time.Hour))
	closed.Closed = func(h ident.Incarnation) bool { return h == dead }
	if got := p.Plan(closed); got != nil {
		t.Errorf("closed but not final: got %v, want nothing", got)
	}
	final := closed
	final.Final = func(h ident.Incarnation) (logsvc.Offset, bool) { return 7, h == dead }
	want := []Effect{Reclaim{Holder: dead, Fleet: 7}}
	if diff := cmp.Diff(want, p.Plan(final)); diff != "" {
		t.Errorf("final (-want +got):\n%s", diff)
	}
}
