// Package side implements the side process (sidecar) of one target. All work of
// the target passes through the side process. It admits runs, meters and bills them,
// claims non-idempotent requests, and fences off earlier side processes of the
// target.
//
// The decision logic is in table.go, meter.go, the step method in claims.go and
// the checks in admit.go. This logic reads no clock and opens no connection.
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

// Defaults of Options. MaxBody, MaxResponse, MaxBuffers and MaxKept are in bytes.
const (
	defaultMaxRunning    = 64
	defaultMaxQueue      = 256
	defaultMaxBody       = 1 << 20
	defaultMaxResponse   = 8 << 20
	defaultMaxBuffers    = 24 << 20
	defaultMaxKept       = 16 << 20
	defaultMaxAttempts   = 1 << 16
	defaultGrace         = 10 * time.Second
	defaultKeep          = 10 * time.Minute
	defaultFirstByte     = 30 * time.Second
	defaultBetweenTokens = 10 * time.Second
	defaultCallWait      = 10 * time.Second
	defaultLateResponse  = 5 * time.Minute
	defaultClaimWait     = 2 * time.Second
	defaultQueueWait     = 10 * time.Second
	defaultStatusEvery   = 250 * time.Millisecond
)

// Options are the settings of a Server. A zero limit or duration means the
// default.
type Options struct {
	// Incarnation identifies this start of the process.
	Incarnation ident.Incarnation
	// Slot identifies the target across restarts. Successive side processes of one
	// target have the same slot.
	Slot string
	// Service is the name of the service that the target serves. Requests for
	// other services are refused.
	Service    string
	DataCentre string
	// Target is the base URL of the target, such as "http://10.0.0.7:8000".
	Target string
	// TargetChecksFence reports that the target refuses orders and requests whose
	// fencing number is lower than the highest it has received.
	TargetChecksFence bool
	// Log is the platform's log service.
	Log logsvc.Service
	// Shard returns the shard of a budget; nil means that there is one shard.
	Shard func(budget string) int
	// ModelsOnly reports that the target is a model engine. Calls are refused, and
	// the claims stream is not read.
	ModelsOnly bool
	// FollowWeights makes the target load the weights and take the role in the
	// service's catalogue entry, if the entry names weights.
	FollowWeights bool
	// LoadTimeout is how long a load of another target of the service may take
	// before its load request is skipped; 0 means loads.DefaultTimeout.
	LoadTimeout time.Duration
	// CheckpointEvery is the time after a checkpoint of a stream at which the next
	// one is due, even if the stream has no new records. 0 means
	// fold.DefaultCheckpointInterval.
	CheckpointEvery time.Duration
	// Transport sends requests to the target; nil means that the server creates
	// its own transports.
	Transport http.RoundTripper
	// Logger receives a line for each run that ended, in addition to warnings and
	// errors. If it is nil, nothing is logged.
	Logger *log.Logger

	// MaxRunning is the largest number of concurrent runs at the target.
	MaxRunning int
	// MaxQueue is the largest number of queued runs.
	MaxQueue int
	// MaxBody is the largest size of a request's body in bytes.
	MaxBody int
	// MaxResponse is the largest size of a response in bytes.
	MaxResponse int
	// MaxBuffers is the memory, in bytes, that all responses in progress share beyond 64 KB
	// each.
	MaxBuffers int
	// MaxKept is the largest total size, in bytes, of the finished responses kept
	// for replay.
	MaxKept int
	// MaxAttempts is the largest number of ended attempts whose outcomes are kept.
	MaxAttempts int

	// Grace is how long a run with an idempotency key continues when no caller
	// reads it.
	Grace time.Duration
	// Keep is how long the response of a finished run with an idempotency key is
	// kept.
	Keep time.Duration
	// FirstByte limits the time to an engine's first output.
	FirstByte time.Duration
	// BetweenTokens limits the time between two outputs of an engine.
	BetweenTokens time.Duration
	// CallWait limits how long a caller waits for the response to a call.
	CallWait time.Duration
	// LateResponse limits how long the server waits for the response to a
	// non-idempotent call after it sent the call. After CallWait, callers get a
	// refusal with outcome "unknown".
	LateResponse time.Duration
	// ClaimWait limits how long a call waits for the decision on its claim.
	ClaimWait time.Duration
	// QueueWait limits how long a run waits in the queue.
	QueueWait time.Duration
	// StatusEvery is the interval between two reads of the target's load report.
	StatusEvery time.Duration
}

// withDefaults returns the options with zero limits and durations replaced.
func (o Options) withDefaults() Options {
	o.MaxRunning = cmp.Or(o.MaxRunning, defaultMaxRunning)
	o.MaxQueue = cmp.Or(o.MaxQueue, defaultMaxQueue)
	o.MaxBody = cmp.Or(o.MaxBody, defaultMaxBody)
	o.MaxResponse = cmp.Or(o.MaxResponse, defaultMaxResponse)
	o.MaxBuffers = cmp.Or(o.MaxBuffers, defaultMaxBuffers)
	o.MaxKept = cmp.Or(o.MaxKept, defaultMaxKept)
	o.MaxAttempts = cmp.Or(o.MaxAttempts, defaultMaxAttempts)
	o.Grace = cmp.Or(o.Grace, defaultGrace)
	o.Keep = cmp.Or(o.Keep, defaultKeep)
	o.FirstByte = cmp.Or(o.FirstByte, defaultFirstByte)
	o.BetweenTokens = cmp.Or(o.BetweenTokens, defaultBetweenTokens)
	o.CallWait = cmp.Or(o.CallWait, defaultCallWait)
	o.LateResponse = cmp.Or(o.LateResponse, defaultLateResponse)
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

// tableShards is the number of run tables. Each has its own lock.
const tableShards = 16

// shardOf returns the index of a request's run table.
func shardOf(request string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(request))
	return int(h.Sum32() % tableShards)
}
