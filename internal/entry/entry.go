// Package entry carries a caller's request from its reservation to its bill:
// reserve, choose a target, attempt, stream, settle.
//
// Flow decides and has no goroutine, clock or socket; Engine does the input and
// output around it.
package entry

import (
	"context"
	"time"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/route"
)

// DefaultMaxOutput is the output bound, in tokens, of a service that sets none.
const DefaultMaxOutput = 4096

// Kind says what stands behind a service.
type Kind string

// The kinds of services.
const (
	KindModel Kind = "model"
	KindApp   Kind = "app"
)

// Account is what the catalogue says about the owner of a key.
type Account struct {
	Organisation string
	// Budget names the prepaid budget that requests are charged to.
	Budget string
	// Class is the priority; smaller numbers go first.
	Class uint32
	// MaxTokens bounds the reservation of one request; 0 is no bound.
	MaxTokens ledger.Tokens
	// MaxConcurrent bounds the requests in progress at one entry instance; 0
	// is no bound.
	MaxConcurrent int
}

// Service is what the catalogue says about a service.
type Service struct {
	Name string
	Kind Kind
	// Price is the tokens of one call, for KindApp.
	Price ledger.Tokens
	// PromptBytesPerToken is the least number of request bytes that make up a
	// token; 0 stands for 1.
	PromptBytesPerToken int64
	// MaxOutput bounds the output tokens of a request; 0 stands for
	// DefaultMaxOutput.
	MaxOutput int64
	// DefaultOutput is the output bound of a request that names none; 0 stands
	// for MaxOutput.
	DefaultOutput int64
	// Once reports whether a call must run at most once, for KindApp. The path
	// is below /apps/{service}, as the caller sent it. Nil means that each call
	// must.
	Once func(method, path string) bool
	// AllowUnkeyed admits such calls without an idempotency key.
	AllowUnkeyed bool
}

// Catalogue is what the entry instance knows of the operators' catalogue. It
// is safe for concurrent use.
type Catalogue interface {
	Authenticate(key string) (Account, bool)
	Service(name string) (Service, bool)
	Offset() uint64
}

// Ticket is a reservation of tokens.
type Ticket struct {
	ID     string
	Budget string
	// Charges say which holders' slices the tokens come from. They are drained
	// in this order.
	Charges []ledger.Charge
}

// Budgets reserves tokens and settles reservations. Of Settle, Cancel and
// Defer, exactly one is called for each ticket, once. It is safe for concurrent
// use.
type Budgets interface {
	// Reserve takes tokens out of reach of all others. The errors are
	// *refuse.Refusal with the outcome not-run.
	Reserve(ctx context.Context, budget string, tokens ledger.Tokens) (Ticket, error)
	// Settle charges what was used for the request and puts the rest back.
	Settle(t Ticket, request, service string, used []ledger.Charge)
	// Cancel puts all of it back: nothing ran, or nothing is charged to t.
	Cancel(t Ticket)
	// Defer holds the ticket until the log tells what the request was billed, or
	// that none of the named incarnations of side processes can bill it any
	// more. An empty name stands for one that is not known.
	Defer(t Ticket, request string, sides []string)
	// CloseHolder reports that a side process refused charges on the holder's
	// slices because the holder was closed.
	CloseHolder(h ident.Incarnation)
}

// Targets lists the targets of a service. It is safe for concurrent use.
type Targets interface {
	Targets(service string) []route.Target
}

// Dialer gives the client of a target's side process. It is safe for concurrent
// use.
type Dialer interface {
	// Side returns a client on the shared connection.
	Side(t route.Target) (wire.SideClient, error)
	// Fresh replaces the shared connection by a new one, unless that was
	// already done since the client was obtained from Side.
	Fresh(t route.Target, old wire.SideClient) (wire.SideClient, error)
}

// Orphans bills the output of runs whose side process is gone.
type Orphans interface {
	// BillOrphan bills what was passed on to the caller, under the request's
	// id. The fold ignores it where the side process billed before it died.
	BillOrphan(request string, ticket Ticket, service string, charges []ledger.Charge)
}

// Sink takes the answer on its way to the caller. An error means that the
// caller has gone.
type Sink interface {
	// Head gives the status and headers of an application's answer. It is
	// called at most once, before the first Chunk.
	Head(status int, headers []*wire.Header) error
	// Chunk gives one server-sent event's data of a streamed model answer, or
	// a part of the body of any other. It does not keep data.
	Chunk(data []byte) error
}

// Work is what is asked of the target: Chat or Call.
type Work interface{ work() }

// Chat is a chat completion.
type Chat struct {
	// Body is the request as the caller sent it, JSON.
	Body   []byte
	Stream bool
	// PromptBound and OutputBound are upper bounds in tokens; the output is
	// cut at its bound.
	PromptBound ledger.Tokens
	OutputBound ledger.Tokens
	// Prefix is route.HashPrefix of the prompt's beginning.
	Prefix uint64
}

// Call is a call of a plain application service.
type Call struct {
	Method string
	// Path is the path below /apps/{service}, with the query.
	Path    string
	Headers []*wire.Header
	Body    []byte
	// Idempotent calls may be tried again after they may have run.
	Idempotent bool
}

func (Chat) work() {}
func (Call) work() {}

// Request is one request of a caller.
type Request struct {
	// ID is unique to the request; a retry by the caller has the same ID.
	ID string
	// Keyed is set where the caller gave the idempotency key in the ID.
	Keyed   bool
	Account Account
	Service Service
	// Once is set where the work must run at most once.
	Once bool
	// Fingerprint is the SHA-256 of method, path and body.
	Fingerprint []byte
	Work        Work
}

// Result tells what became of a request that was answered, or was not.
type Result struct {
	// Target is the name of the last target tried.
	Target   string
	Attempts int
	// Billed is the tokens that were settled, where they are known.
	Billed ledger.Tokens
	// Joined is set where the answer came from a run that an earlier request
	// with the same ID began.
	Joined bool
	// Reserved and Queued are the times that the reservation and the wait for
	// a target took.
	Reserved time.Duration
	Queued   time.Duration
	// FirstByte is the time until the answer's first byte.
	FirstByte time.Duration
}

// bound returns the upper bound of the request's cost.
func (r *Request) bound() ledger.Tokens {
	switch w := r.Work.(type) {
	case Chat:
		return w.PromptBound + w.OutputBound
	case Call:
		return r.Service.Price
	}
	return 0
}

// rerunnable reports whether the work may run a second time where the first
// run's outcome is unknown.
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
