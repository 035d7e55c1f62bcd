// Package reaper closes the leases of entry instances that have ended, and reclaims
// their tokens once the closing is final.
//
// Decisions depend only on the instance list, the fleet stream, the budget streams and
// the proposals made so far. Closing a holder that is still alive is safe. The holder
// is refused everywhere and starts again as a new incarnation. Its old leases are
// reclaimed only after every side process has acknowledged the closing. The absence
// time only keeps such closings rare.
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
	// DefaultAbsence is how long a holder has to be missing from the instance list
	// before its closing is proposed.
	DefaultAbsence = 30 * time.Second
	// DefaultStagger is the additional time that each listed instance waits after the
	// one before it, so that a closing is seldom proposed twice.
	DefaultStagger = 10 * time.Second
	// proposalTimeout is how long a proposal may take to appear in the folded state of
	// its stream. After that, it is made again.
	proposalTimeout = 30 * time.Second
)

// Input is the data for one call of Plan.
type Input struct {
	Now time.Time
	// ListReadAt is when the instance list was last read successfully. Absence is counted
	// up to this time only, so an outage of the list makes no holder absent.
	ListReadAt time.Time
	// Listed are the incarnations of the entry instances in the list, including those
	// that are draining.
	Listed []ident.Incarnation
	// Holders are the incarnations whose leases have not been reclaimed.
	Holders []ident.Incarnation
	// Closed reports whether the fleet stream has closed a holder. Final reports
	// whether that closing is final, and the offset at which it became final.
	Closed func(ident.Incarnation) bool
	Final  func(ident.Incarnation) (logsvc.Offset, bool)
}

// Effect is a proposal: Close or Reclaim.
type Effect interface{ effect() }

// Close proposes the closing of a holder on the fleet stream.
type Close struct{ Holder ident.Incarnation }

// Reclaim proposes, on the budget streams, to release the leases of a holder
// whose closing is final.
type Reclaim struct {
	Holder ident.Incarnation
	// Fleet is the offset in the fleet stream at which the closing became final.
	Fleet logsvc.Offset
}

func (Close) effect()   {}
func (Reclaim) effect() {}

// Planner keeps the state between calls of Plan. Only Self has to be set. It is not
// safe for concurrent use.
type Planner struct {
	// Self is the incarnation of the entry instance that plans.
	Self ident.Incarnation
	// Absence and Stagger default to DefaultAbsence and DefaultStagger.
	Absence time.Duration
	Stagger time.Duration

	// absentSince is when each absent holder was first missing from a list.
	absentSince map[ident.Incarnation]time.Time
	// proposed is when each effect was last returned.
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
	if !absent || in.ListReadAt.Sub(since) < p.closeDelay(in, holder) {
		return nil
	}
	return Close{Holder: holder}
}

// closeDelay returns how long a holder has to be absent before this instance proposes
// its closing. The delay grows by Stagger for each listed instance that ranks before
// this one. The ranking depends on the holder, so that no instance is always first.
func (p *Planner) closeDelay(in Input, holder ident.Incarnation) time.Duration {
	rank := 0
	own := rankScore(holder, p.Self)
	for _, other := range in.Listed {
		if other != p.Self && rankScore(holder, other) > own {
			rank++
		}
	}
	return cmp.Or(p.Absence, DefaultAbsence) + time.Duration(rank)*cmp.Or(p.Stagger, DefaultStagger)
}

// noteAbsence records since when each holder has been missing from the list. It removes
// the holders that are listed again.
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
			p.absentSince[holder] = in.ListReadAt
		}
	}
}

// due reports whether the effect was not returned within the last proposalTimeout. If
// so, it records the effect as returned now.
func (p *Planner) due(effect Effect, now time.Time) bool {
	if p.proposed == nil {
		p.proposed = make(map[Effect]time.Time)
	}
	for old, at := range p.proposed {
		if now.Sub(at) >= proposalTimeout {
			delete(p.proposed, old)
		}
	}
	if _, lately := p.proposed[effect]; lately {
		return false
	}
	p.proposed[effect] = now
	return true
}

// rankScore returns the score of a listed instance for closing a holder. The instance
// with the highest score proposes the closing first.
func rankScore(holder, candidate ident.Incarnation) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(holder))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(candidate))
	return h.Sum64()
}
