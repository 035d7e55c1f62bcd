// Package catal folds the catalogue stream: the services that the system
// routes to and the budgets that pay for their use.
//
// Operators propose changes. A change carries the offset of the entry's latest
// accepted change, and is accepted only where that is still so; of two racing
// operators one gets Accepted and the other Conflict, which names the winner.
package catal

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"path"
	"slices"
	"strings"
)

// Entry is what the catalogue holds under a name: *Service or *Budget. Entries
// that a query returned are shared and must not be modified.
type Entry interface {
	// EntryName is unique among all entries, whatever their type.
	EntryName() string
	entry()
}

// Class orders requests by urgency.
type Class string

// The classes, from the most urgent to the least.
const (
	Interactive Class = "interactive"
	Standard    Class = "standard"
	Batch       Class = "batch"
)

// Priority returns 0 for interactive, 1 for standard and 2 for batch. Smaller
// numbers go first.
func (c Class) Priority() uint32 {
	switch c {
	case Interactive:
		return 0
	case Batch:
		return 2
	}
	return 1
}

// Kind tells how a service is called.
type Kind string

// The kinds of services.
const (
	// Model services answer chat completions and are billed by the token.
	Model Kind = "model"
	// App services are plain HTTP services and are billed by the call.
	App Kind = "app"
)

// Service describes a model or application service.
type Service struct {
	// Name matches [a-z0-9][a-z0-9./-]{0,127}.
	Name string `json:"name"`
	// Owner is the organisation that answers for the entry.
	Owner string `json:"owner"`
	Class Class  `json:"class"`
	Kind  Kind   `json:"kind"`
	// Price is the tokens billed for a call that ran. It is 0 for a model.
	Price int64 `json:"price,omitempty"`
	// PromptBytesPerToken is the fewest prompt bytes that make one token, at
	// least 1 for a model: prompt bytes divided by it bound the prompt's tokens
	// from above. It is 0 for an application.
	PromptBytesPerToken int64 `json:"prompt-bytes-per-token,omitempty"`
	// MaxOutput bounds the output tokens of one request, at least 1 for a model.
	MaxOutput int64 `json:"max-output,omitempty"`
	// DefaultOutput is the output limit of a request that names none, from 1 to
	// MaxOutput for a model.
	DefaultOutput int64 `json:"default-output,omitempty"`
	// OnceMethods are the HTTP methods whose calls are not idempotent. Where it
	// is empty, all but the methods that HTTP defines as idempotent are.
	OnceMethods []string `json:"once-methods,omitempty"`
	// IdempotentPaths are path prefixes, of whole segments, below which every
	// call is idempotent.
	IdempotentPaths []string `json:"idempotent-paths,omitempty"`
	// AllowUnkeyed admits non-idempotent calls without an idempotency key. Such
	// a call runs at most once, but its caller can't ask for its outcome.
	AllowUnkeyed bool `json:"allow-unkeyed,omitempty"`
	// FenceChecked says that the targets refuse orders with an old fencing
	// number.
	FenceChecked bool `json:"fence-checked,omitempty"`
	// Weights are what the targets of a model hold, in the order in which they
	// are loaded: a version, and then adapters of it. Requests run on the last.
	// Where it is empty, the targets are taken as they are.
	Weights []string `json:"weights,omitempty"`
	// Role is the role that the engines of a model are ordered to take. Where it
	// is empty, they keep theirs.
	Role string `json:"role,omitempty"`
	// MaxLoads is how many targets may load weights at one time; 0 stands for 2.
	MaxLoads int64 `json:"max-loads,omitempty"`
}

// EntryName returns the service's name.
func (s *Service) EntryName() string { return s.Name }

func (s *Service) entry() {}

// idempotentMethods are those that RFC 9110 defines as idempotent.
var idempotentMethods = []string{"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"}

// Once reports whether a call is not idempotent and must run at most once. The
// path is the one below the service, and may carry a query. A path that the
// target might read as another one, because it holds an escape or a dot
// segment, is never taken as idempotent by its prefix.
func (s *Service) Once(method, target string) bool {
	if s.idempotentPath(target) {
		return false
	}
	if len(s.OnceMethods) > 0 {
		return slices.Contains(s.OnceMethods, method)
	}
	return !slices.Contains(idempotentMethods, method)
}

func (s *Service) idempotentPath(target string) bool {
	p, _, _ := strings.Cut(target, "?")
	if !plainPath(p) {
		return false
	}
	for _, prefix := range s.IdempotentPaths {
		if underPrefix(p, prefix) {
			return true
		}
	}
	return false
}

// plainPath reports whether the path can be read in one way only.
func plainPath(p string) bool {
	if !strings.HasPrefix(p, "/") || strings.ContainsAny(p, `%\;`) {
		return false
	}
	return p == "/" || path.Clean(p) == strings.TrimSuffix(p, "/")
}

// underPrefix reports whether p is the prefix or continues it at a slash.
func underPrefix(p, prefix string) bool {
	rest, ok := strings.CutPrefix(p, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// Limits bound the use of a budget. 0 stands for no limit.
type Limits struct {
	// MaxTokens bounds the reservation of one request.
	MaxTokens int64 `json:"max-tokens,omitempty"`
	// MaxConcurrent bounds the requests that run at one time at each entry
	// instance.
	MaxConcurrent int64 `json:"max-concurrent,omitempty"`
}

// Budget describes a prepaid token budget and who may draw on it. The tokens
// themselves are on the budget streams.
type Budget struct {
	// Name matches [a-z0-9][a-z0-9./-]{0,127}.
	Name string `json:"name"`
	// Owner is the organisation that pays.
	Owner  string `json:"owner"`
	Class  Class  `json:"class"`
	Limits Limits `json:"limits,omitzero"`
	// KeyHashes identify the callers that may draw on the budget. A hash is in
	// one budget at most.
	KeyHashes []KeyHash `json:"key-hashes,omitempty"`
}

// EntryName returns the budget's name.
func (b *Budget) EntryName() string { return b.Name }

func (b *Budget) entry() {}

// KeyHash is the SHA-256 of a caller's key. It is written in hexadecimal.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a caller's key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String returns the hash in hexadecimal.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText encodes the hash in hexadecimal.
func (h KeyHash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText decodes 64 hexadecimal digits.
func (h *KeyHash) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(h)) {
		return fmt.Errorf("key hash has %d characters, expected %d hexadecimal digits", len(text), hex.EncodedLen(len(h)))
	}
	if _, err := hex.Decode(h[:], text); err != nil {
		return fmt.Errorf("key hash is not hexadecimal: %w", err)
	}
	return nil
}
