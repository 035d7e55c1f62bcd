package room

import "time"

const (
	// leaveAfter is how long an instance is overloaded before it leaves the rotation.
	leaveAfter = 400 * time.Millisecond
	// stayOut and stayIn are the least times out of the rotation and in it. The balancer
	// takes up to two seconds to notice.
	stayOut = 3 * time.Second
	stayIn  = 3 * time.Second
	// longestOut bounds the time out of the rotation.
	longestOut = 8 * time.Second
	// LinkGoal is the use of the link, as a share of its rate, above which packets begin to
	// queue in bursts.
	LinkGoal = 0.7
	// emptyBelow is the part of the goals below which an instance returns.
	emptyBelow = 0.5
	// outOf and outOfHere are the numbers of instances, in all and in the data centre, of
	// which one may be out of the rotation.
	outOf     = 10
	outOfHere = 3
)

// Others is what an instance knows of the instances that share the callers.
type Others struct {
	// All and Here are the numbers of instances, in all and in the same data centre, with
	// this one. Out and OutHere are those of them that are out of the rotation, without this
	// one.
	All, Here, Out, OutHere int
}

// mayLeave reports whether one more instance may leave the rotation.
func (o Others) mayLeave() bool {
	return (o.Out+1)*outOf <= o.All && (o.OutHere+1)*outOfHere <= o.Here
}

// Rotation decides whether an instance takes new connections. It answers a load that the
// platform's hash sends to one small instance as a whole: connections that are opened while
// it is out of the rotation go to others, and stay there. The zero value is in the rotation.
type Rotation struct {
	out bool
	// changed is when the instance last left or returned, and overSince since when it has
	// been overloaded.
	changed, overSince time.Time
}

// Out reports whether the instance is out of the rotation.
func (r *Rotation) Out() bool { return r.out }

// Observe adapts to a sample of the processor and of the link. It reports whether the
// instance leaves or returns.
func (r *Rotation) Observe(s Sample, link float64, others Others) (changed bool) {
	load := max(s.pressure(), link/LinkGoal)
	if load <= 1 {
		r.overSince = time.Time{}
	} else if r.overSince.IsZero() {
		r.overSince = s.At
	}
	since := s.At.Sub(r.changed)
	switch {
	case r.out:
		changed = since >= longestOut || (since >= stayOut && load < emptyBelow)
	default:
		changed = !r.overSince.IsZero() && s.At.Sub(r.overSince) >= leaveAfter && since >= stayIn && others.mayLeave()
	}
	if changed {
		r.out, r.changed = !r.out, s.At
	}
	return changed
}
