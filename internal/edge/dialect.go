// Package edge implements an entry instance that calls its targets directly. For
// each request it reserves tokens, chooses a target, forwards the request byte for
// byte and forwards the response as it arrives.
//
// engine.go processes a request, attempt.go makes one attempt at a target, and
// stream.go forwards an event stream. retry.go decides what follows an attempt; it
// performs no I/O.
package edge

import (
	"github.com/beryllanding/beryllanding/pkg/route"
)

// Dialect names the header fields that callers, instances and targets exchange.
type Dialect struct {
	// RequestID identifies a caller's attempt. Targets repeat it in the response.
	RequestID string
	// Deadline is the remaining time, in whole milliseconds.
	Deadline string
	// Key is the caller's API key. It is never forwarded.
	Key string
	// Organisation is the organisation that the key belongs to. The instance sets it.
	Organisation string
	// Tokens bounds the prompt and the output; see ParseTokens.
	Tokens string
	// Prefix lists the shared parts of the prompt; see ParsePrefix.
	Prefix string
	// LastEvent is the id of the last event that the caller received. A stream resumes
	// after that event.
	LastEvent string
	// Resumes is the RequestID of the try that brought the first event of the stream that the
	// request takes up after LastEvent.
	Resumes string
	// Signature marks a response as produced by the target itself.
	Signature string
	// Expect is the id of the target that a request is meant for.
	Expect string
	// NotRun in a response guarantees that the target did not execute the request.
	NotRun string
	// Leaving is in the responses of a target that leaves, with the value "1".
	Leaving string
	// Limit is the number of requests a second, a decimal number, that a target in need
	// takes from all instances together. A response without it names no limit.
	Limit string
	// Load is the load that the target reports; see ParseLoad.
	Load string
	// Priority ranks requests at a target; 0 is the most urgent.
	Priority string
	// Internal lists fields reserved for the system. They are dropped from callers'
	// requests.
	Internal []string
	// ParseTokens returns the bounds of a Tokens field.
	ParseTokens func(field []byte) (Tokens, error)
	// ParsePrefix returns what a Prefix field says of the prompt.
	ParsePrefix func(field []byte) Prefix
	// ParseLoad returns the load of a Load field.
	ParseLoad func(field []byte) (route.Status, bool)
}

// Prefix describes the parts of a prompt that other requests may share.
type Prefix struct {
	// Key is the affinity key, or 0 if there is none. Requests with the same shared parts
	// have the same key.
	Key uint64
	// Shared is the number of prompt tokens in the shared parts that are not cached
	// everywhere.
	Shared int64
	// Parts are the ids of the shared parts, in order. Own is the id of the last part, which
	// belongs to the request itself or to its session.
	Parts []string
	Own   string
}

// Tokens bounds the prompt and the output of a request, in tokens.
type Tokens struct {
	Prompt int64
	Output int64
}
