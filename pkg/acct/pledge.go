package acct

import (
	"math"
	"time"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// maxPledgeAge is the highest age of a pledge that a successor believes; see Pledges.age.
// After a power loss, a machine's clock may restart at any value. The limit makes it
// unlikely that a wrong age is accepted. No lease lasts as long as maxPledgeAge.
const maxPledgeAge = 20 * time.Second

// At returns the total of tokens that the holder may have used when the pledge has the
// given age.
func (p Pledge) At(age time.Duration) ledger.Tokens {
	early := min(age, p.After).Seconds()
	late := max(0, age-p.After).Seconds()
	return p.Base + p.Burst + ledger.Tokens(math.Ceil(float64(p.PerSecond)*early+float64(p.LatePerSecond)*late))
}

// Line returns the holder's pledge for a budget. ok is false if there is none.
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

// age returns the age of the pledges at a clock reading, and whether it can be trusted:
// the clock has to be from the same boot of the same machine.
func (p *Pledges) age(bootID string, clock time.Duration) (time.Duration, bool) {
	age := clock - p.Clock
	return age, p.BootID != "" && p.BootID == bootID && age >= 0 && age <= maxPledgeAge
}

// Closing is what a successor knows about the ended incarnation whose account it
// closes.
type Closing struct {
	// Pledges are the instance's newest pledges in the store, or nil.
	Pledges *Pledges
	// BootID and Clock are those of the successor; see Pledges.
	BootID string
	Clock  time.Duration
	// LogEpoch is the epoch of the log that the successor has read.
	LogEpoch int64
}

// Close returns the lines of an ended holder's account, with the holder's use added to
// Spent. The use is what the pledge allowed, or all that the holder held if there is no
// pledge that can be trusted. The remaining tokens are free again. A pledge from before a
// restore of the store is not trusted: the holder may have written later ones.
//
// Only a later process of the same instance on the same machine may call Close. That
// this process runs proves that the holder has ended.
func (a *Account) Close(c Closing) []Line {
	lines := make([]Line, 0, len(a.Lines))
	for _, l := range a.Lines {
		used, likelyUsed := l.Held(), ledger.Tokens(0)
		confirmed := a.LogEpoch == c.LogEpoch
		if p, ok := c.Pledges.Line(a.Holder, l.Budget); ok {
			likelyUsed = p.Base + p.Burst
			if age, ok := c.Pledges.age(c.BootID, c.Clock); ok && confirmed && c.Pledges.LogEpoch == c.LogEpoch {
				used = min(used, p.At(age))
			}
		}
		l.Spent += used
		l.Lost += max(0, used-likelyUsed)
		l.Granted, l.Returned, l.Pending, l.PerSecond = 0, 0, 0, 0
		lines = append(lines, l)
	}
	return lines
}
