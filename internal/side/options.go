// Package side is the process that stands beside one target. Work starts here,
// so this is where it is admitted, metered, billed, claimed and fenced.
//
// The decisions are in table.go, meter.go, claims.go and admit.go; they read no
// clock and open no connection. The other files do the input and output.
package side

import (
	"cmp"
	"hash/fnv"
	"io"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// Defaults of Options; MaxBody, MaxAnswer and MaxKept are in bytes.
const (
	defaultMaxRunning    = 64
	defaultMaxQueue      = 256
	defaultMaxBody       = 1 << 20
	defaultMaxAnswer     = 8 << 20
	defaultMaxKept       = 16 << 20
	defaultMaxAttempts   = 1 << 16
	defaultGrace         = 10 * time.Second
	defaultKeep          = 10 * time.Minute
	defaultFirstByte     = 30 * time.Second
	defaultBetweenTokens = 10 * time.Second
	defaultCallWait      = 10 * time.Second
	defaultLateAnswer    = 5 * time.Minute
	defaultClaimWait     = 2 * time.Second
	defaultQueueWait     = 10 * time.Second
	defaultStatusEvery   = 250 * time.Millisecond
)

// Options are the settings of a Server. A zero limit or duration stands for its
// default.
type Options struct {
	// Incarnation is this life of the process.
	Incarnation ident.Incarnation
	// Slot names the place beside the target; a replacement has the same.
	Slot string
	// Service is the only service that is served.
	Service    string
	DataCentre string
	// Target is the base URL of the target, such as "http://10.0.0.7:8000".
	Target string
	// EngineChecksFence says that the target refuses orders and requests with a
	// lower fencing number than the highest it was told.
	EngineChecksFence bool
	// Log is the platform's log service.
	Log logsvc.Service
	// Shard returns the shard of a budget; nil stands for one shard.
	Shard func(budget string) int
	// ModelsOnly says that the target is an engine. Calls are refused, and the
	// claims stream is not followed.
	ModelsOnly bool
	// FollowWeights says that the target's weights and role follow the catalogue
	// where its entry names weights.
	FollowWeights bool
	// LoadTimeout is how long a load may take at another side of the service
	// before it is skipped; 0 stands for loads.DefaultTimeout.
	LoadTimeout time.Duration
	// CheckpointEvery is the time after which the state of a quiet stream is
	// appended again; 0 stands for fold.DefaultKeepInterval.
	CheckpointEvery time.Duration
	// Transport reaches the target; nil stands for one of the server's own.
	Transport http.RoundTripper
	// Logger gets a line for each run that ended, and what an operator should
	// see; nil stands for none.
	Logger *log.Logger

	// MaxRunning bounds the runs at the target at one time.
	MaxRunning int
	// MaxQueue bounds the runs that wait for their turn.
	MaxQueue int
	// MaxBody bounds a request's body in bytes.
	MaxBody int
	// MaxAnswer bounds an answer's size in bytes.
	MaxAnswer int
	// MaxKept bounds the bytes of the finished answers kept for replay.
	MaxKept int
	// MaxAttempts bounds the ended attempts whose outcome is remembered.
	MaxAttempts int

	// Grace is how long a keyed run goes on when nobody waits for it.
	Grace time.Duration
	// Keep is how long a finished answer of a keyed run is kept.
	Keep time.Duration
	// FirstByte bounds the time to a target's first output.
	FirstByte time.Duration
	// BetweenTokens bounds the time between two outputs of a target.
	BetweenTokens time.Duration
	// CallWait bounds how long a caller waits for the answer to a call.
	CallWait time.Duration
	// LateAnswer bounds how long a late answer to a non-idempotent call is
	// awaited after the callers were told that its outcome is unknown.
	LateAnswer time.Duration
	// ClaimWait bounds how long a call waits for the decision on its claim.
	ClaimWait time.Duration
	// QueueWait bounds how long a run waits for its turn.
	QueueWait time.Duration
	// StatusEvery is the period of the load reports read from the target.
	StatusEvery time.Duration
}

// withDefaults returns the options with zero limits and durations replaced.
func (o Options) withDefaults() Options {
	o.MaxRunning = cmp.Or(o.MaxRunning, defaultMaxRunning)
	o.MaxQueue = cmp.Or(o.MaxQueue, defaultMaxQueue)
	o.MaxBody = cmp.Or(o.MaxBody, defaultMaxBody)
	o.MaxAnswer = cmp.Or(o.MaxAnswer, defaultMaxAnswer)
	o.MaxKept = cmp.Or(o.MaxKept, defaultMaxKept)
	o.MaxAttempts = cmp.Or(o.MaxAttempts, defaultMaxAttempts)
	o.Grace = cmp.Or(o.Grace, defaultGrace)
	o.Keep = cmp.Or(o.Keep, defaultKeep)
	o.FirstByte = cmp.Or(o.FirstByte, defaultFirstByte)
	o.BetweenTokens = cmp.Or(o.BetweenTokens, defaultBetweenTokens)
	o.CallWait = cmp.Or(o.CallWait, defaultCallWait)
	o.LateAnswer = cmp.Or(o.LateAnswer, defaultLateAnswer)
	o.ClaimWait = cmp.Or(o.ClaimWait, defaultClaimWait)
	o.QueueWait = cmp.Or(o.QueueWait, defaultQueueWait)
	o.StatusEvery = cmp.Or(o.StatusEvery, defaultStatusEvery)
	if o.Logger == nil {
		o.Logger = log.New(io.Discard)
	}
	if o.Shard == nil {
		o.Shard = func(string) int { return 0 }
	}
	return o
}

// tableShards is the number of run tables, each under its own lock.
const tableShards = 16

// shardOf returns the run table of a request.
func shardOf(request string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(request))
	return int(h.Sum32() % tableShards)
}
