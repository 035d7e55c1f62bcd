package sheet

import (
	"math"
	"time"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// maxPledgeAge is the age up to which a pledge is believed. The clock of a machine
// that lost power starts anew anywhere; this makes a match by chance unlikely,
// and no slice lasts that long.
const maxPledgeAge = 20 * time.Second

// At returns the most that may be used at an age of the pledge.
func (p Pledge) At(age time.Duration) ledger.Tokens {
	early := min(age, p.After).Seconds()
	late := max(0, age-p.After).Seconds()
	return p.Base + p.Head + ledger.Tokens(math.Ceil(float64(p.PerSecond)*early+float64(p.LatePerSecond)*late))
}

// Line returns the holder's pledge for a budget.
func (p *Pledges) Line(holder ident.Incarnation, budget string) (Pledge, bool) {
	if p == nil || p.Holder != holder {
		return Pledge{}, false
	}
	for _, l := range p.Lines {
		if l.Budget == budget {
			return l, true
		}
	}
	return Pledge{}, false
}

// age returns the age of the pledges when their machine's clock shows a time, and
// whether it can be believed.
func (p *Pledges) age(machine string, clock time.Duration) (time.Duration, bool) {
	age := clock - p.Clock
	return age, p.Machine != "" && p.Machine == machine && age >= 0 && age <= maxPledgeAge
}

// Closing is the end of an incarnation, as its successor on the same machine sees
// it.
type Closing struct {
	// Pledges are the newest that the store has of the instance, or nil.
	Pledges *Pledges
	// Machine and Clock are the successor's.
	Machine string
	Clock   time.Duration
}

// Close returns the lines of an ended holder's account, with what it used counted as
// spent: what its pledge allowed for, or all that it held where no pledge says so.
// The rest is free again.
//
// Only a later process of the same instance on the same machine may do so: that it
// runs proves that the holder does not.
func (a *Account) Close(c Closing) []Line {
	lines := make([]Line, 0, len(a.Lines))
	for _, l := range a.Lines {
		used, probable := l.Held(), ledger.Tokens(0)
		if p, ok := c.Pledges.Line(a.Holder, l.Budget); ok {
			probable = p.Base + p.Head
			if age, ok := c.Pledges.age(c.Machine, c.Clock); ok {
				used = min(used, p.At(age))
			}
		}
		l.Spent += used
		l.Lost += max(0, used-probable)
		l.Granted, l.Returned, l.Claim, l.PerSecond = 0, 0, 0, 0
		lines = append(lines, l)
	}
	return lines
}
