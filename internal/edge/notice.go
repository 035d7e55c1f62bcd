package edge

import (
	"bytes"
	"math"
	"strconv"
	"time"

	"github.com/beryllanding/beryllanding/internal/trial"
	"github.com/beryllanding/beryllanding/pkg/http1"
)

// Notices of targets, in the log and the metrics.
const (
	noticeLeaving = "leaving"
	noticeRest    = "rest"
	noticeLimit   = "limit"
	noticeNoLimit = "no-limit"
)

// leavingValue is the value of Dialect.Leaving in the responses of a target that leaves.
const leavingValue = "1"

// recordNotices records what a response says about the target that sent it: that the
// target leaves, or that it wants no request for a time. It is called for each response
// read from a target, whatever its status and whichever request it belongs to.
func (x *exchange) recordNotices(a *attempt, head *http1.Head) {
	if string(bytes.TrimSpace(head.Get(x.e.Dialect.Leaving))) == leavingValue && x.e.fleet.leave(x.service, a) {
		x.e.Meter.Notice(x.service, noticeLeaving)
		x.logNotice("target says that it leaves; it gets no new requests", a)
	}
	if head.Status != statusUnavailable {
		return
	}
	if wish := restWish(head.Get("Retry-After")); wish > 0 {
		if until, news := x.e.fleet.rest(x.service, a, wish); news {
			x.e.Meter.Notice(x.service, noticeRest)
			x.logNotice("target asks for a rest; it gets no requests until it ends", a, "wish", wish, "rest", time.Until(until))
		}
	}
}

// recordLimit records the limit that a response names, or that it names none. It is called
// for each response to this request by the target that it was sent to.
func (x *exchange) recordLimit(a *attempt, head *http1.Head) {
	field := head.Get(x.e.Dialect.Limit)
	rate, valid := parseLimit(field)
	if !valid {
		if x.e.Logger != nil {
			x.e.Logger.Warn("target names a limit that is no number of requests a second; ignoring it", "request-id", string(x.id), "target", a.target.ID, "limit", string(field[:min(maxLoggedField, len(field))]))
		}
		return
	}
	switch news := x.e.fleet.limit(a, rate); {
	case news && rate > 0:
		x.e.Meter.Notice(x.service, noticeLimit)
		x.logNotice("target names a limit of requests a second, for all instances together", a, "limit", rate)
	case news:
		x.e.Meter.Notice(x.service, noticeNoLimit)
		x.logNotice("target names no limit any more", a)
	}
}

// maxLoggedField bounds the part of a header field in a log line, in bytes.
const maxLoggedField = 40

// parseLimit returns the requests a second of a Limit field, or 0 if there is no field.
func parseLimit(field []byte) (rate float64, valid bool) {
	if field == nil {
		return 0, true
	}
	rate, err := strconv.ParseFloat(string(bytes.TrimSpace(field)), 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return 0, false
	}
	return max(rate, minLimit), true
}

// minLimit is the lowest limit in requests a second. A lower one counts as this, so that a
// request finds out now and then whether it still holds.
const minLimit = 0.01

func (x *exchange) logNotice(msg string, a *attempt, more ...any) {
	if x.e.Logger == nil {
		return
	}
	fields := append([]any{"request-id", string(x.id), "service", x.service, "target", a.target.ID, "address", a.target.Address}, more...)
	x.e.Logger.Info(msg, fields...)
}

// restWish returns the time that a Retry-After field asks for, in seconds with or without
// a fraction. A date, and any value that is not a number above 0, give 0. Values too
// large for a time.Duration give the largest one.
func restWish(field []byte) time.Duration {
	seconds, err := strconv.ParseFloat(string(bytes.TrimSpace(field)), 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	if seconds >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(seconds * float64(time.Second))
}

// leave records that the target of an attempt said that it leaves. It reports whether
// this is news.
func (f *fleet) leave(service string, a *attempt) bool {
	f.mu.Lock()
	news := f.group(service).picker.Leave(time.Now(), a.target.name)
	f.mu.Unlock()
	a.target.leaving.Store(true)
	if news {
		a.target.pool.CloseIdle()
	}
	return news
}

// rest records that the target of an attempt asked for a rest. It returns the end of the
// rest, and whether the target did not rest before.
func (f *fleet) rest(service string, a *attempt, wish time.Duration) (until time.Time, news bool) {
	if f.off[trial.Resting] {
		return time.Time{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.group(service).picker.Rest(time.Now(), a.target.name, wish)
}

// firstReturn returns the time until the first target of a service takes work again. why is
// nil unless all targets of the service that may take work rest or are at their limit.
func (f *fleet) firstReturn(service string) (wait time.Duration, why error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	end, why := f.group(service).picker.AllRest(now)
	return end.Sub(now), why
}

// withdrawn returns the number of targets that leave, of those that rest, and of those that
// name a limit, by service.
func (f *fleet) withdrawn() (leaving, resting, limited map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	leaving, resting, limited = make(map[string]int, len(f.groups)), make(map[string]int, len(f.groups)), make(map[string]int, len(f.groups))
	for service, g := range f.groups {
		leaving[service], resting[service] = g.picker.Withdrawn(now)
		limited[service] = g.picker.Limited()
	}
	return leaving, resting, limited
}
