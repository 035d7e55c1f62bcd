// Package reaper closes the slices of entry instances that are gone, and
// reclaims their tokens once the closing is final.
//
// The decision is a plain function of what the instance list, the fleet stream
// and the budget streams show. A wrong guess costs no promise: a holder that is
// closed while it lives is refused everywhere, starts again as a new
// incarnation, and its old slice is reclaimed only after every side process
// has acknowledged. The absence time only keeps wrong guesses rare.
package reaper

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

const (
	// DefaultAbsence is how long a holder has to be missing from the instance
	// list before its closing is proposed.
	DefaultAbsence = 30 * time.Second
	// DefaultStagger is how long each further candidate waits for the one before
	// it, so that a closing is seldom proposed twice.
	DefaultStagger = 10 * time.Second
	// repeatAfter is how long a proposal may take to show up in its fold before
	// it is made again.
	repeatAfter = 30 * time.Second
)

// Input is what one round of decisions is based on.
type Input struct {
	Now time.Time
	// ListAt is when the instance list was last read with success. Absence is
	// counted up to this time only, so that an outage of the list makes nobody
	// absent.
	ListAt time.Time
	// Listed are the incarnations of entry instances in the list, leaving ones
	// included.
	Listed []ident.Incarnation
	// Holders are the incarnations whose slices are not reclaimed.
	Holders []ident.Incarnation
	// Closed and Final are queries of the fleet fold.
	Closed func(ident.Incarnation) bool
	Final  func(ident.Incarnation) (logsvc.Offset, bool)
}

// Effect is a proposal: Close or Reclaim.
type Effect interface{ effect() }

// Close proposes the closing of a holder on the fleet stream.
type Close struct{ Holder ident.Incarnation }

// Reclaim proposes, on the budget streams, to release the slices of a holder
// whose closing is final.
type Reclaim struct {
	Holder ident.Incarnation
	// Fleet is the offset in the fleet stream that made the closing final.
	Fleet logsvc.Offset
}

func (Close) effect()   {}
func (Reclaim) effect() {}

// Planner keeps what the rounds have to remember. The zero value with Self set
// works. It is not safe for concurrent use.
type Planner struct {
	// Self is the incarnation of the entry instance that plans.
	Self ident.Incarnation
	// Absence and Stagger default to DefaultAbsence and DefaultStagger.
	Absence time.Duration
	Stagger time.Duration

	// absentSince holds when a holder was first missing from a list.
	absentSince map[ident.Incarnation]time.Time
	// proposed holds when an effect was last returned.
	proposed map[Effect]time.Time
}

// Plan returns the proposals that are due.
func (p *Planner) Plan(in Input) []Effect {
	p.noteAbsence(in)
	var effects []Effect
	for _, holder := range in.Holders {
		effect := p.decide(in, holder)
		if effect != nil && p.due(effect, in.Now) {
			effects = append(effects, effect)
		}
	}
	return effects
}

// decide returns the next step for one holder, or nil.
func (p *Planner) decide(in Input, holder ident.Incarnation) Effect {
	if at, ok := in.Final(holder); ok {
		return Reclaim{Holder: holder, Fleet: at}
	}
	if in.Closed(holder) || holder == p.Self {
		return nil
	}
	since, absent := p.absentSince[holder]
	if !absent || in.ListAt.Sub(since) < p.patience(in, holder) {
		return nil
	}
	return Close{Holder: holder}
}

// patience returns how long this instance waits before it closes the holder.
// The listed instances take turns in an order that depends on the holder.
func (p *Planner) patience(in Input, holder ident.Incarnation) time.Duration {
	rank := 0
	own := score(holder, p.Self)
	for _, other := range in.Listed {
		if other != p.Self && score(holder, other) > own {
			rank++
		}
	}
	return cmp.Or(p.Absence, DefaultAbsence) + time.Duration(rank)*cmp.Or(p.Stagger, DefaultStagger)
}

// noteAbsence updates since when each holder is missing from the list.
func (p *Planner) noteAbsence(in Input) {
	if p.absentSince == nil {
		p.absentSince = make(map[ident.Incarnation]time.Time)
	}
	missing := make(map[ident.Incarnation]bool, len(in.Holders))
	for _, holder := range in.Holders {
		missing[holder] = !slices.Contains(in.Listed, holder)
	}
	for holder := range p.absentSince {
		if !missing[holder] {
			delete(p.absentSince, holder)
		}
	}
	for holder, absent := range missing {
		if _, known := p.absentSince[holder]; absent && !known {
			p.absentSince[holder] = in.ListAt
		}
	}
}

// due reports whether the effect was not returned lately, and notes it.
func (p *Planner) due(effect Effect, now time.Time) bool {
	if p.proposed == nil {
		p.proposed = make(map[Effect]time.Time)
	}
	for old, at := range p.proposed {
		if now.Sub(at) >= repeatAfter {
			delete(p.proposed, old)
		}
	}
	if _, lately := p.proposed[effect]; lately {
		return false
	}
	p.proposed[effect] = now
	return true
}

// score orders the candidates for closing a holder.
func score(holder, candidate ident.Incarnation) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(holder))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(candidate))
	return h.Sum64()
}
