package slice

import (
	"math"
	"time"

	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// Policy holds the settings that size slices. They weigh false refusals against
// tokens bound at holders; no setting can cause overspend. A zero field stands
// for its default, unless its comment says otherwise.
type Policy struct {
	// Horizon is the time of demand that a slice is sized for: how long the log
	// may be out of reach without a refusal.
	Horizon time.Duration
	// LowWater is the share of the wanted level under which a slice is renewed.
	LowWater float64
	// Floor is the least wanted level of a slice in use, in tokens.
	Floor ledger.Tokens
	// Share bounds the wanted level near exhaustion: Share x the tokens not yet
	// granted / the holders of the budget. 0 is no bound.
	Share float64
	// IdleReturn is the time without a request after which a slice is given
	// back; a surplus is given back earlier. 0 is never.
	IdleReturn time.Duration
	// RateTime is the time constant of the demand's rate: long where demand is
	// steady, short where slices have to follow it within seconds.
	// Where it is set, the rate is that of the tokens asked for; see Wanted.
	RateTime time.Duration
	// ScarceShare is the share of the paid tokens below which, once no more is
	// ungranted, the floor no longer applies: idle floors at many holders would
	// be a large part of what is left. Nor does it apply once no more is ungranted
	// than the floors of all holders. 0 is never.
	ScarceShare float64
	// PledgeEvery turns pledges on: a holder uses little more than it last pledged
	// to have used, and renews the pledge after this time. PledgeShare is the part
	// of a budget that all holders together may use without a new pledge. See
	// sheet.Pledge.
	PledgeEvery time.Duration
	PledgeShare float64
	// PaceTime and PaceShare turn pacing on: see pace.go. 0 is off.
	PaceTime  time.Duration
	PaceBelow time.Duration
	PaceShare float64
	// FloorInUse keeps the floor from budgets that no request has asked for here.
	FloorInUse bool
	// FirstShare bounds the first grant of a budget by a share of what is free, but for
	// what requests lack: holders that begin at a time do not know of each other's
	// demand. 0 is no bound.
	FirstShare float64
	// NoTransfer turns off transfers between peers.
	NoTransfer bool
	// GiveLeast is the share of the tokens asked for under which a peer gets none: small
	// parts of many peers serve nobody, and lie where they are not asked for. 0 gives
	// whatever there is.
	GiveLeast float64
	// ReturnOwn keeps what a peer gave until it is used: only tokens of the own slice
	// are given back, where nobody but a slice's holder may.
	ReturnOwn bool
	// Weight says what the operator minds most: 0 false refusals, 1 overspend.
	// It raises every reservation by Weight x marginShare, against targets whose
	// work exceeds its bound, and shortens the horizon, so that fewer tokens are
	// bound where they cannot be seen.
	Weight float64
}

const (
	// DefaultHorizon is the horizon of the zero policy.
	DefaultHorizon = time.Hour
	// DefaultLowWater is the low-water share of the zero policy.
	DefaultLowWater = 0.8
	// DefaultFloor is the floor of the zero policy, in tokens.
	DefaultFloor ledger.Tokens = 8192

	// marginShare is the part by which a reservation is raised at Weight 1.
	marginShare = 0.05
	// weightHorizon is the part of the horizon that is cut at Weight 1.
	weightHorizon = 0.5
	// defaultRateTime is the RateTime of the zero policy.
	defaultRateTime = 60 * time.Second
	// peakTime is the time constant by which the peak decays.
	peakTime = 5 * time.Minute
	// surplus is the multiple of the wanted level above which the rest is
	// returned.
	surplus = 2
)

func (p Policy) horizon() time.Duration {
	d := p.Horizon
	if d == 0 {
		d = DefaultHorizon
	}
	return time.Duration(float64(d) * (1 - weightHorizon*p.weight()))
}

func (p Policy) weight() float64 { return min(1, max(0, p.Weight)) }

func (p Policy) lowWater() float64 {
	if p.LowWater == 0 {
		return DefaultLowWater
	}
	return p.LowWater
}

func (p Policy) floor() ledger.Tokens {
	if p.Floor == 0 {
		return DefaultFloor
	}
	return p.Floor
}

func (p Policy) rateTime() time.Duration {
	if p.RateTime == 0 {
		return defaultRateTime
	}
	return p.RateTime
}

// floorOf returns the least wanted level of a book.
func (p Policy) floorOf(b *book) ledger.Tokens {
	floors := float64(p.floor()) * float64(b.seen.Holders)
	if p.ScarceShare > 0 && float64(b.seen.Free) < max(p.ScarceShare*float64(b.seen.Paid), floors) {
		return 0
	}
	if p.FloorInUse && b.need.last.IsZero() {
		return 0
	}
	return p.floor()
}

// withMargin raises a reservation by the margin of the weight.
func (p Policy) withMargin(n ledger.Tokens) ledger.Tokens {
	margin := math.Ceil(float64(n) * marginShare * p.weight())
	return min(ledger.MaxTokens, n+ledger.Tokens(margin))
}

// wanted returns the level of free tokens that the book should have.
func (p Policy) wanted(b *book, now time.Time) ledger.Tokens {
	level := max(b.need.level(p.horizon(), p.rateTime(), p.RateTime > 0, now), p.floorOf(b))
	if p.Share > 0 {
		level = min(level, p.cap(b, now))
	}
	return level
}

// cap returns the level that leaves enough ungranted for the other holders. It
// counts the own free tokens in, so that a grant does not lower it.
func (p Policy) cap(b *book, now time.Time) ledger.Tokens {
	left := float64(b.seen.Free + b.free)
	if p.PledgeEvery > 0 {
		// Pledges say how fast the others use the budget. An organisation whose
		// callers come through one instance has nearly all of it there.
		own := b.need.rateNow(p.rateTime(), p.RateTime > 0, now)
		if all := own + float64(b.seen.OthersPerSecond); all > 0 {
			return ledger.Tokens(p.Share * left * own / all)
		}
	}
	return ledger.Tokens(p.Share * left / float64(max(1, b.seen.Holders)))
}

// giving returns how many tokens a holder parts with when a peer asks.
func (p Policy) giving(b *book, tokens ledger.Tokens, now time.Time) ledger.Tokens {
	if p.NoTransfer {
		return 0
	}
	n := max(0, min(tokens, b.usable(p.PledgeEvery > 0, now)))
	if float64(n) < p.GiveLeast*float64(tokens) {
		return 0
	}
	return n
}

// demand estimates what a budget's requests need at one holder.
type demand struct {
	// rate is an average of the tokens used a second.
	rate   float64
	rateAt time.Time
	// peak is the most that was reserved at once, decaying.
	peak   float64
	peakAt time.Time
	// last is when the last request came.
	last time.Time
	// since is when the first request came.
	since time.Time
	// asks is an average of the tokens asked for a second, served or not.
	asks   float64
	asksAt time.Time
	// served is an average of those that were reserved.
	served   float64
	servedAt time.Time
}

// wanted notes the tokens of a request, which may be turned away.
func (d *demand) wanted(n ledger.Tokens, constant time.Duration, now time.Time) {
	if d.since.IsZero() {
		d.since = now
	}
	d.asks = d.askedNow(constant, now) + float64(n)/constant.Seconds()
	d.asksAt = now
}

func (d *demand) askedNow(constant time.Duration, now time.Time) float64 {
	return decayed(d.asks, d.asksAt, now, constant)
}

// reserved notes the tokens of a request that got them.
func (d *demand) reserved(n ledger.Tokens, constant time.Duration, now time.Time) {
	d.served = decayed(d.served, d.servedAt, now, constant) + float64(n)/constant.Seconds()
	d.servedAt = now
}

// mostlyServed reports whether at least half of the tokens asked for lately were
// reserved.
func (d *demand) mostlyServed(constant time.Duration, now time.Time) bool {
	return 2*decayed(d.served, d.servedAt, now, constant) >= d.askedNow(constant, now)
}

// minRateAge is the least age at which a young rate is scaled up: one request
// alone is no rate.
const minRateAge = time.Second

// asked notes a reservation that brings the tokens reserved to n.
func (d *demand) asked(n ledger.Tokens, now time.Time) {
	d.peak = max(d.peakNow(now), float64(n))
	d.peakAt = now
	d.last = now
}

// used notes the tokens that a request used.
func (d *demand) used(n ledger.Tokens, constant time.Duration, now time.Time) {
	d.rate = decayed(d.rate, d.rateAt, now, constant) + float64(n)/constant.Seconds()
	d.rateAt = now
}

// rateNow returns the rate of the demand: of the tokens used, or of those asked
// for. The latter is scaled up where it began lately, since the average has seen a
// part of its time constant only.
func (d *demand) rateNow(constant time.Duration, asked bool, now time.Time) float64 {
	if !asked {
		return decayed(d.rate, d.rateAt, now, constant)
	}
	if d.since.IsZero() {
		return 0
	}
	age := max(minRateAge, now.Sub(d.since)).Seconds()
	return d.askedNow(constant, now) / (1 - math.Exp(-age/constant.Seconds()))
}

func (d *demand) peakNow(now time.Time) float64 { return decayed(d.peak, d.peakAt, now, peakTime) }

// level returns the tokens needed over the horizon.
func (d *demand) level(horizon, constant time.Duration, asked bool, now time.Time) ledger.Tokens {
	rate := d.rateNow(constant, asked, now)
	return ledger.Tokens(d.peakNow(now) + rate*horizon.Seconds())
}

// decayed returns v after an exponential decay since at.
func decayed(v float64, at, now time.Time, constant time.Duration) float64 {
	if v == 0 || !now.After(at) {
		return v
	}
	return v * math.Exp(-now.Sub(at).Seconds()/constant.Seconds())
}
