package lease

import (
	"math"
	"time"

	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// Policy holds the settings that size leases. Larger leases cause fewer false refusals,
// but bind more tokens at holders. No setting can cause overspend. A field that is zero
// has its default, unless its comment states another meaning.
type Policy struct {
	// Horizon is the period of demand that a lease covers. If the log is unreachable
	// for longer, requests are refused.
	Horizon time.Duration
	// LowWater is the fraction of the desired level below which a lease is refilled.
	LowWater float64
	// Floor is the lowest desired level of a lease in use, in tokens.
	Floor ledger.Tokens
	// Share bounds the desired level near exhaustion to Share x the tokens left / the
	// number of holders of the budget. The tokens left are those not yet granted and
	// the free tokens of the holder. With pledges, the part of a holder is in
	// proportion to its demand instead. 0 means no bound.
	Share float64
	// IdleReturn is the time without a request after which a lease is returned. A
	// surplus is returned earlier. 0 means that neither is returned.
	IdleReturn time.Duration
	// RateTime is the time constant of the average demand. A long one suits steady
	// demand. With a short one, leases follow the demand within seconds. If RateTime is
	// set, demand is measured by the tokens asked for instead of those used; see
	// RecordDemand.
	RateTime time.Duration
	// ScarceShare turns the floor off when few tokens are left: the floor does not
	// apply if the ungranted tokens are fewer than ScarceShare of the paid tokens, or
	// fewer than the sum of all holders' floors. Unused floors at many holders would
	// be a large part of what is left. 0 keeps the floor.
	ScarceShare float64
	// PledgeEvery is the time after which a holder renews its pledge; 0 turns pledges
	// off. With pledges, a holder uses no more than its last pledge allows. PledgeShare
	// is the fraction of a budget that all holders together may use without a new
	// pledge. See acct.Pledge.
	PledgeEvery time.Duration
	PledgeShare float64
	// PaceTime is the time constant with which pacing releases the last tokens of a
	// budget; 0 turns pacing off. A budget is paced if its remaining tokens last for
	// less than PaceThreshold, and tokens were lost: at least PaceShare of its paid
	// tokens, according to View.Lost.
	PaceTime      time.Duration
	PaceThreshold time.Duration
	PaceShare     float64
	// UrgentTime is the time for which the tokens of more urgent requests are kept when a
	// budget comes to its end after a loss; see Holder.Yields. 0 keeps none.
	UrgentTime time.Duration
	// FloorInUse applies the floor only to budgets that a request has asked for here.
	FloorInUse bool
	// FirstShare bounds the first grant of a budget to this fraction of the free
	// tokens, or to what waiting requests lack if that is more. Holders that start at
	// the same time do not know each other's demand. 0 means no bound.
	FirstShare float64
	// NoTransfer turns off transfers between peers.
	NoTransfer bool
	// MinTransferShare is the fraction of the tokens asked for below which a peer gets
	// none. Small amounts from many peers would cover no request, and would leave the
	// tokens where there is no demand. With 0, a peer gets whatever there is.
	MinTransferShare float64
	// ReturnOwnOnly limits returns to tokens of the holder's own lease, for budgets in
	// which only a lease's holder may return them. Tokens from peers are kept until
	// they are used.
	ReturnOwnOnly bool
	// Weight is the operator's preference, from 0 (avoid false refusals) to 1 (avoid
	// overspend). It raises every reservation by Weight x marginShare, in case targets
	// exceed the bound of a request. It also shortens the horizon, so that fewer tokens
	// are held in leases, where their use is not visible.
	Weight float64
}

const (
	// DefaultHorizon is the horizon of the zero policy.
	DefaultHorizon = time.Hour
	// DefaultLowWater is the low-water fraction of the zero policy.
	DefaultLowWater = 0.8
	// DefaultFloor is the floor of the zero policy, in tokens.
	DefaultFloor ledger.Tokens = 8192

	// marginShare is the fraction by which a reservation is raised at Weight 1.
	marginShare = 0.05
	// weightHorizonCut is the fraction of the horizon that is cut at Weight 1.
	weightHorizonCut = 0.5
	// defaultRateTime is the RateTime of the zero policy.
	defaultRateTime = 60 * time.Second
	// peakTime is the time constant of the peak's decay.
	peakTime = 5 * time.Minute
	// surplusFactor is the multiple of the desired level that the free tokens have to
	// exceed before the surplus is returned.
	surplusFactor = 2
)

func (p Policy) horizon() time.Duration {
	d := p.Horizon
	if d == 0 {
		d = DefaultHorizon
	}
	return time.Duration(float64(d) * (1 - weightHorizonCut*p.weight()))
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

// floorOf returns the lowest desired level of a budget.
func (p Policy) floorOf(b *budgetState) ledger.Tokens {
	floors := float64(p.floor()) * float64(b.seen.Holders)
	if p.ScarceShare > 0 && float64(b.seen.Free) < max(p.ScarceShare*float64(b.seen.Paid), floors) {
		return 0
	}
	if p.FloorInUse && b.demand.last.IsZero() {
		return 0
	}
	return p.floor()
}

// withMargin raises a reservation by the margin of the weight.
func (p Policy) withMargin(n ledger.Tokens) ledger.Tokens {
	margin := math.Ceil(float64(n) * marginShare * p.weight())
	return min(ledger.MaxTokens, n+ledger.Tokens(margin))
}

// desiredLevel returns how many free tokens the holder should have of the budget.
func (p Policy) desiredLevel(b *budgetState, now time.Time) ledger.Tokens {
	level := max(b.demand.level(p.horizon(), p.rateTime(), p.RateTime > 0, now), p.floorOf(b))
	if p.Share > 0 {
		level = min(level, p.maxLevel(b, now))
	}
	return level
}

// maxLevel returns the highest level that leaves enough ungranted tokens for the other
// holders. The holder's free tokens count as left. If they did not, each grant would
// lower the bound.
func (p Policy) maxLevel(b *budgetState, now time.Time) ledger.Tokens {
	left := float64(b.seen.Free + b.free)
	if p.PledgeEvery > 0 {
		// The rates of all holders are known, and each gets its part by rate. If all
		// callers of an organisation use one instance, that instance may hold nearly
		// all of the bound.
		own := b.demand.rateNow(p.rateTime(), p.RateTime > 0, now)
		if all := own + float64(b.seen.OthersPerSecond); all > 0 {
			return ledger.Tokens(p.Share * left * own / all)
		}
	}
	return ledger.Tokens(p.Share * left / float64(max(1, b.seen.Holders)))
}

// transferable returns how many tokens the holder transfers to a peer that asks for some.
func (p Policy) transferable(b *budgetState, tokens ledger.Tokens, now time.Time) ledger.Tokens {
	if p.NoTransfer {
		return 0
	}
	n := max(0, min(tokens, b.usable(p.PledgeEvery > 0, now)))
	if float64(n) < p.MinTransferShare*float64(tokens) {
		return 0
	}
	return n
}

// demand estimates the tokens that requests for a budget need at one holder.
type demand struct {
	// usageRate is the average of the tokens used per second.
	usageRate   float64
	usageRateAt time.Time
	// peak is the highest amount reserved at one time, with exponential decay.
	peak   float64
	peakAt time.Time
	// last is the time of the last attempt to reserve.
	last time.Time
	// since is the time of the first request.
	since time.Time
	// requestRate is the average of the tokens asked for per second, reserved or not.
	requestRate   float64
	requestRateAt time.Time
	// reservedRate is the average of the tokens reserved per second.
	reservedRate   float64
	reservedRateAt time.Time
}

// addRequest records the tokens that a request asks for, whether or not it gets them.
func (d *demand) addRequest(n ledger.Tokens, constant time.Duration, now time.Time) {
	if d.since.IsZero() {
		d.since = now
	}
	d.requestRate = d.requestRateNow(constant, now) + float64(n)/constant.Seconds()
	d.requestRateAt = now
}

func (d *demand) requestRateNow(constant time.Duration, now time.Time) float64 {
	return decayed(d.requestRate, d.requestRateAt, now, constant)
}

// addReservation records the tokens that a request reserved.
func (d *demand) addReservation(n ledger.Tokens, constant time.Duration, now time.Time) {
	d.reservedRate = decayed(d.reservedRate, d.reservedRateAt, now, constant) + float64(n)/constant.Seconds()
	d.reservedRateAt = now
}

// mostlyServed reports whether at least half of the tokens recently asked for were
// reserved.
func (d *demand) mostlyServed(constant time.Duration, now time.Time) bool {
	return 2*decayed(d.reservedRate, d.reservedRateAt, now, constant) >= d.requestRateNow(constant, now)
}

// minRateAge is the least age that rateNow assumes when it scales up a new rate. With the
// real age, one request in the first moments would give a very high rate.
const minRateAge = time.Second

// updatePeak records an attempt to reserve that would bring the tokens reserved to n.
func (d *demand) updatePeak(n ledger.Tokens, now time.Time) {
	d.peak = max(d.peakNow(now), float64(n))
	d.peakAt = now
	d.last = now
}

// addUsage records the tokens that a request used.
func (d *demand) addUsage(n ledger.Tokens, constant time.Duration, now time.Time) {
	d.usageRate = decayed(d.usageRate, d.usageRateAt, now, constant) + float64(n)/constant.Seconds()
	d.usageRateAt = now
}

// rateNow returns the demand in tokens per second: the tokens used or, if asked is set,
// the tokens asked for. Soon after the first request, the average of the tokens asked
// for covers only a part of its time constant, and is scaled up.
func (d *demand) rateNow(constant time.Duration, asked bool, now time.Time) float64 {
	if !asked {
		return decayed(d.usageRate, d.usageRateAt, now, constant)
	}
	if d.since.IsZero() {
		return 0
	}
	age := max(minRateAge, now.Sub(d.since)).Seconds()
	return d.requestRateNow(constant, now) / (1 - math.Exp(-age/constant.Seconds()))
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
