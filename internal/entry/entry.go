// Package entry serves callers' requests from the reservation of tokens to the
// settlement: reserve, pick a target, attempt, stream, settle.
//
// Flow holds the decisions and has no goroutine, clock or socket. Engine does the
// input and output around it.
package entry

import (
	"context"
	"time"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/route"
)

// DefaultMaxOutput is the output limit, in tokens, of a service that sets none.
const DefaultMaxOutput = 4096

// Kind is the kind of a service.
type Kind string

// The kinds of services.
const (
	KindModel Kind = "model"
	KindApp   Kind = "app"
)

// Account is the catalogue's entry for the owner of a key.
type Account struct {
	Organisation string
	// Budget names the prepaid budget that requests are charged to.
	Budget string
	// Class is the priority; smaller numbers go first.
	Class uint32
	// MaxTokens limits the reservation of one request; 0 means no limit.
	MaxTokens ledger.Tokens
	// MaxConcurrent limits the requests in progress at one entry instance; 0
	// means no limit.
	MaxConcurrent int
}

// Service is the catalogue's entry for a service.
type Service struct {
	Name string
	Kind Kind
	// Price is the price of one call in tokens, for KindApp.
	Price ledger.Tokens
	// PromptBytesPerToken is the smallest number of request bytes that make up
	// a token; 0 means 1.
	PromptBytesPerToken int64
	// MaxOutput limits the output tokens of a request; 0 means DefaultMaxOutput.
	MaxOutput int64
	// DefaultOutput is the output limit of a request that names none; 0 means
	// MaxOutput.
	DefaultOutput int64
	// Once reports whether a call must run at most once, for KindApp. The path
	// is the part below /apps/{service}, as the caller sent it. If nil, every
	// call must run at most once.
	Once func(method, path string) bool
	// AllowUnkeyed admits at-most-once calls without an idempotency key.
	AllowUnkeyed bool
}

// Catalogue is this instance's copy of the operators' catalogue. It is safe for
// concurrent use.
type Catalogue interface {
	Authenticate(key string) (Account, bool)
	Service(name string) (Service, bool)
	Offset() uint64
}

// Reservation sets tokens of a budget aside.
type Reservation struct {
	ID     string
	Budget string
	// Charges name the holders whose leases the tokens come from, in the order
	// in which they are used up.
	Charges []ledger.Charge
}

// Budgets reserves tokens and settles reservations. Exactly one of Settle, Cancel
// and Defer is called for each reservation, once. It is safe for concurrent use.
type Budgets interface {
	// Reserve sets tokens aside for the reservation alone. The errors are
	// *refuse.Refusal with the outcome not-run.
	Reserve(ctx context.Context, budget string, tokens ledger.Tokens) (Reservation, error)
	// Settle charges the tokens used by the request and returns the rest.
	Settle(t Reservation, request, service string, used []ledger.Charge)
	// Cancel returns all tokens of t, because nothing ran or nothing is charged to t.
	Cancel(t Reservation)
	// Defer keeps the tokens reserved until the log shows what the request was
	// billed, or shows that none of the named incarnations of side processes
	// can bill it any more. An empty name stands for an unknown incarnation.
	Defer(t Reservation, request string, sides []string)
	// ReportClosedHolder reports that a side process refused charges on the holder's
	// leases because the holder was closed.
	ReportClosedHolder(h ident.Incarnation)
}

// Targets lists the targets of a service. It is safe for concurrent use.
type Targets interface {
	Targets(service string) []route.Target
}

// Dialer returns clients of targets' side processes. It is safe for concurrent
// use.
type Dialer interface {
	// Side returns a client on the shared connection.
	Side(t route.Target) (wire.SideClient, error)
	// Reconnect replaces the shared connection by a new one, unless it has been replaced
	// since old was obtained from Side. It returns a client on the current connection.
	Reconnect(t route.Target, old wire.SideClient) (wire.SideClient, error)
}

// OrphanBiller bills the output of runs whose side process has died.
type OrphanBiller interface {
	// BillOrphan bills the output that was sent to the caller, under the
	// request's id. The fold ignores this bill if the side process had billed
	// the request before it died.
	BillOrphan(request string, reservation Reservation, service string, charges []ledger.Charge)
}

// Sink receives the response for the caller. An error means that the caller has
// hung up.
type Sink interface {
	// WriteHead passes the status and headers of an application's response. It is
	// called at most once, before the first WriteChunk.
	WriteHead(status int, headers []*wire.Header) error
	// WriteChunk passes the data of one server-sent event of a streamed model response, or a
	// part of the body of any other response. It does not retain data.
	WriteChunk(data []byte) error
}

// Work is the work for the target: Chat or Call.
type Work interface{ work() }

// Chat is a chat completion.
type Chat struct {
	// Body is the request as the caller sent it, JSON.
	Body   []byte
	Stream bool
	// PromptBound and OutputBound are upper bounds in tokens. Output beyond
	// OutputBound is cut off.
	PromptBound ledger.Tokens
	OutputBound ledger.Tokens
	// Prefix is route.HashPrefix of the beginning of the prompt.
	Prefix uint64
}

// Call is a call of an application service.
type Call struct {
	Method string
	// Path is the path below /apps/{service}, including the query.
	Path    string
	Headers []*wire.Header
	Body    []byte
	// Idempotent is set if the call may be repeated when it may already have
	// run.
	Idempotent bool
}

func (Chat) work() {}
func (Call) work() {}

// Request is one request of a caller.
type Request struct {
	// ID is unique to the request. A caller's retry with the same idempotency
	// key has the same ID.
	ID string
	// Keyed is set if the ID contains an idempotency key of the caller.
	Keyed   bool
	Account Account
	Service Service
	// Once is set if the work must run at most once.
	Once bool
	// Fingerprint is the SHA-256 of method, path and body.
	Fingerprint []byte
	Work        Work
}

// Result describes how a request was served. It is also returned with an error.
type Result struct {
	// Target is the name of the last target tried.
	Target   string
	Attempts int
	// Billed is the number of tokens settled, or 0 if that is not known when Do
	// returns.
	Billed ledger.Tokens
	// Joined is set if the response came from a run that an earlier request with
	// the same ID started.
	Joined bool
	// Reserved is the total time that was spent on reserving tokens.
	Reserved time.Duration
	// Queued is the total time that was spent waiting for a target.
	Queued time.Duration
	// FirstByte is the time from the request's arrival to the first byte of the
	// response.
	FirstByte time.Duration
}

// maxCost returns the upper bound of the request's cost.
func (r *Request) maxCost() ledger.Tokens {
	switch w := r.Work.(type) {
	case Chat:
		return w.PromptBound + w.OutputBound
	case Call:
		return r.Service.Price
	}
	return 0
}

// rerunnable reports whether the work may run a second time while the outcome of
// the first run is unknown.
func (r *Request) rerunnable() bool {
	if r.Once {
		return false
	}
	switch w := r.Work.(type) {
	case Chat:
		return true
	case Call:
		return w.Idempotent
	}
	return false
}

// RunsOnce reports whether a call must run at most once.
func (s Service) RunsOnce(method, path string) bool {
	return s.Once == nil || s.Once(method, path)
}
