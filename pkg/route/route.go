// Package route picks the target for a request, queues requests while all targets
// are at their limit, and limits retries. It starts no goroutines, reads no clock
// and opens no connections: the caller passes in the time and the source of
// randomness, and does the locking.
package route

import (
	"cmp"
	"errors"
	"time"
)

// Errors of Pick. Test for them with errors.Is.
var (
	// ErrNoTarget reports that the service has no target that takes new work.
	ErrNoTarget = errors.New("no target takes work")
	// ErrSaturated reports that every target is at its concurrency limit, which is
	// Policy.MaxInFlight.
	ErrSaturated = errors.New("every target is at its concurrency limit")
	// ErrVersion reports that no target of Request.Version takes new work.
	ErrVersion = errors.New("no target of the version that began the stream takes work")
)

// Target is one target of a service, as the instance list shows it.
type Target struct {
	// Name is unique among the targets of all services.
	Name       string
	DataCentre string
	// Version is the version of the target's software. It may be empty.
	Version string
	// Address is the host:port of the side process.
	Address string
	// Incarnation identifies the run of the side process that was listed. It may
	// be empty or out of date.
	Incarnation string
	// Draining is set if the target takes no new work.
	Draining bool
}

// Status is a target's own report of its load. It may be out of date.
type Status struct {
	// Running and Waiting are the numbers of requests at the target.
	Running int64
	Waiting int64
	// Draining is set if the target takes no new work.
	Draining bool
	// Slowdown is how long work takes at the target now, as a multiple of the usual; 0 if the
	// target doesn't tell.
	Slowdown float64
}

// Request describes the request for which a target is picked.
type Request struct {
	// Key is the request's id if the caller chose it and may send the request again
	// with it. For other requests, Key is empty. All instances rank the targets for a
	// key in the same order.
	Key string
	// Prefix is the hash of the prompt's prefix, or 0 if there is none.
	Prefix uint64
	// Exclude names the targets that were already tried for this request.
	Exclude []string
	// Version, if it is not empty, is that of the only targets that may be picked.
	Version string
	// Prompt is the size of the prompt in tokens, if known. With Policy.Cost, the
	// choice of the target depends on it.
	Prompt Prompt
}

// Result is what the end of an attempt shows about the target.
type Result int

// The results of attempts.
const (
	// Responded means that the target or its side process sent a response or a
	// refusal.
	Responded Result = iota
	// Unknown means that the attempt ended before it showed anything about the
	// target.
	Unknown
)

// Policy holds the settings of a Picker. A field that is zero has its default.
type Policy struct {
	// RemotePenalty is added to the load of a target in another data centre, in
	// requests.
	RemotePenalty float64
	// AffinityFactor and AffinitySlack limit the imbalance that prefix affinity
	// causes: a target is preferred only while its load is at most AffinityFactor
	// times the mean, plus AffinitySlack requests.
	AffinityFactor float64
	AffinitySlack  float64
	// KeyFactor replaces AffinityFactor for requests with a key. It is larger,
	// because a retry that reaches another target than the running attempt is
	// computed twice.
	KeyFactor float64
	// MaxInFlight is the maximum number of this instance's own requests at one
	// target.
	MaxInFlight int
	// EjectAfter is the number of consecutive failures that eject a target.
	EjectAfter int
	// EjectBase is the time of a first ejection. It doubles with each further
	// ejection without a success in between, up to EjectMax.
	EjectBase time.Duration
	EjectMax  time.Duration
	// NoAffinity disables prefix affinity.
	NoAffinity bool
	// NoEventPace disables the use of the pace of events, and NoEasyWeight the higher weight of
	// reading a prefix again while first tokens come early.
	NoEventPace, NoEasyWeight bool
	// Cost compares targets by the estimated time to the first token instead of
	// the number of requests.
	Cost bool
	// TokensPerMs is the prefill speed of a target: the prompt tokens it reads in
	// a millisecond.
	TokensPerMs float64
	// RequestMs is the estimated delay, in ms, that each request at a target adds to
	// the first token of a new request.
	RequestMs float64
	// RemoteMs is added to the estimated time of a target in another data centre,
	// in ms. It stands for the latency and the price of the traffic.
	RemoteMs float64
}

// Defaults of Policy.
const (
	defaultRemotePenalty  = 2
	defaultAffinityFactor = 1
	defaultAffinitySlack  = 2
	defaultKeyFactor      = 2
	defaultMaxInFlight    = 256
	defaultEjectAfter     = 3
	defaultEjectBase      = time.Second
	defaultEjectMax       = 30 * time.Second
	// reportWeight is the weight of the newest report in the moving average of
	// the load.
	reportWeight = 0.2
	// drainingTTL is how long a target's report that it is draining stays valid.
	drainingTTL = 30 * time.Second
)

// withDefaults returns the policy with the defaults in place of zero fields.
func (p Policy) withDefaults() Policy {
	p.RemotePenalty = cmp.Or(p.RemotePenalty, defaultRemotePenalty)
	p.AffinityFactor = cmp.Or(p.AffinityFactor, defaultAffinityFactor)
	p.AffinitySlack = cmp.Or(p.AffinitySlack, defaultAffinitySlack)
	p.KeyFactor = cmp.Or(p.KeyFactor, defaultKeyFactor)
	p.MaxInFlight = cmp.Or(p.MaxInFlight, defaultMaxInFlight)
	p.EjectAfter = cmp.Or(p.EjectAfter, defaultEjectAfter)
	p.EjectBase = cmp.Or(p.EjectBase, defaultEjectBase)
	p.EjectMax = cmp.Or(p.EjectMax, defaultEjectMax)
	p.TokensPerMs = cmp.Or(p.TokensPerMs, defaultTokensPerMs)
	p.RequestMs = cmp.Or(p.RequestMs, defaultRequestMs)
	p.RemoteMs = cmp.Or(p.RemoteMs, defaultRemoteMs)
	return p
}
