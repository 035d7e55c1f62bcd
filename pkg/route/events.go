package route

import "time"

const (
	// lateFactor is the factor beyond the usual interval at which events are late. leastLate is
	// the least interval that counts as late.
	lateFactor = 2.5
	leastLate  = 40 * time.Millisecond
	// shorterWeight and longerWeight are the weights of an interval that is shorter or longer
	// than the usual one. The usual interval is one without a prompt being read.
	shorterWeight, longerWeight = 0.5, 0.02
	// unknownPaceMs is the cost in ms of a target at which this instance has no stream: it may
	// be reading prompts.
	unknownPaceMs = 25
	// readingMs is the least cost in ms of a target that reads prompts. It rises with the time for
	// which the target has read, up to maxReading: sizes of prompts differ so much that a long
	// reading is likely to last.
	readingMs  = 80
	maxReading = time.Second
)

// eventPace is what the events of this instance's streams show of a target. An engine reads
// prompts between the events of running streams, which then come later than usual. Unlike a
// report, the pace shows prompts that other instances have just sent.
type eventPace struct {
	// streams is the number of streams that have begun.
	streams int
	// last is when events last arrived, and usual the interval between them.
	last  time.Time
	usual time.Duration
	// lateSince is since when events have been late, or zero.
	lateSince time.Time
}

// record records events of a stream that arrived an interval after those before.
func (e *eventPace) record(now time.Time, interval time.Duration) {
	late := e.isLate(interval)
	switch {
	case e.usual == 0:
		e.usual = interval
	case interval < e.usual:
		e.usual += time.Duration(shorterWeight * float64(interval-e.usual))
	default:
		// Most of a long interval is the prompts' time.
		e.usual += time.Duration(longerWeight * float64(min(interval, 4*e.usual)-e.usual))
	}
	if !late {
		e.lateSince = time.Time{}
	} else if e.lateSince.IsZero() {
		e.lateSince = now.Add(-interval)
	}
}

func (e *eventPace) isLate(interval time.Duration) bool {
	return e.usual > 0 && interval > max(leastLate, time.Duration(lateFactor*float64(e.usual)))
}

// cost estimates the time in ms that a new prompt waits for those that the target reads.
func (e *eventPace) cost(now time.Time) float64 {
	if e.streams == 0 || e.usual == 0 {
		return unknownPaceMs
	}
	since := e.lateSince
	if since.IsZero() {
		if !e.isLate(now.Sub(e.last)) {
			return 0
		}
		since = e.last
	}
	return readingMs + float64(min(maxReading, now.Sub(since)).Milliseconds())
}

// isFree reports whether the events show that the target reads no prompt.
func (e *eventPace) isFree(now time.Time) bool { return e.cost(now) == 0 }

// Events records that events of the attempt's stream arrived. held is set if the instance holds
// events back, so that the interval shows nothing.
func (p *Picker) Events(now time.Time, a *Attempt, held bool) {
	t := p.byName[a.Target]
	if t == nil {
		return
	}
	if a.lastEvents.IsZero() {
		t.pace.streams++
	} else if !held {
		t.pace.record(now, now.Sub(a.lastEvents))
	}
	a.lastEvents, t.pace.last = now, now
}

// EventsEnded records that no further events of the attempt's stream arrive. Only the first call
// for an attempt has an effect.
func (p *Picker) EventsEnded(a *Attempt) {
	t := p.byName[a.Target]
	if t == nil || a.lastEvents.IsZero() {
		return
	}
	a.lastEvents = time.Time{}
	if t.pace.streams = max(0, t.pace.streams-1); t.pace.streams == 0 {
		t.pace.lateSince = time.Time{}
	}
}
