// Package catal folds the catalogue stream. The catalogue has the services that the
// system routes to, and the budgets that pay for their use.
//
// Operators propose changes. A change contains the offset of the entry's latest
// accepted change, as read by the operator. It is accepted only if the entry has no
// later accepted change. If two operators change an entry concurrently, one gets
// Accepted and the other gets a Conflict that names the winner.
package catal

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"path"
	"slices"
	"strings"
)

// Entry is an entry of the catalogue: *Service or *Budget. Entries returned by a
// query are shared and must not be modified.
type Entry interface {
	// EntryName is unique among the entries of both types.
	EntryName() string
	entry()
}

// Class is the urgency of requests.
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

// Kind is the protocol and the billing unit of a service.
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
	// Owner is the organisation that is responsible for the entry.
	Owner string `json:"owner"`
	Class Class  `json:"class"`
	Kind  Kind   `json:"kind"`
	// Price is the number of tokens billed for each call that ran. It is 0 for a
	// model.
	Price int64 `json:"price,omitempty"`
	// PromptBytesPerToken is a lower bound on the prompt bytes per token. It is at
	// least 1 for a model and 0 for an application. The prompt's size in bytes
	// divided by PromptBytesPerToken is an upper bound on the prompt's tokens.
	PromptBytesPerToken int64 `json:"prompt-bytes-per-token,omitempty"`
	// MaxOutput is the maximum number of output tokens of one request, at least
	// 1 for a model.
	MaxOutput int64 `json:"max-output,omitempty"`
	// DefaultOutput is the output limit of a request that sets none, from 1 to
	// MaxOutput for a model.
	DefaultOutput int64 `json:"default-output,omitempty"`
	// OnceMethods are the HTTP methods whose calls are not idempotent. An empty list
	// stands for all methods except those that HTTP defines as idempotent.
	OnceMethods []string `json:"once-methods,omitempty"`
	// IdempotentPaths are path prefixes of whole segments. Every call to a path
	// that equals or extends one of them is idempotent.
	IdempotentPaths []string `json:"idempotent-paths,omitempty"`
	// AllowUnkeyed admits non-idempotent calls without an idempotency key. Such
	// a call runs at most once, but its caller cannot query the outcome.
	AllowUnkeyed bool `json:"allow-unkeyed,omitempty"`
	// FenceChecked means that the targets reject orders with an old fencing
	// number.
	FenceChecked bool `json:"fence-checked,omitempty"`
	// Weights are the weights that the targets of a model have to load, in load
	// order: a version, followed by adapters of this version. Requests run on the
	// last element. If the list is empty, the targets' weights are not managed.
	Weights []string `json:"weights,omitempty"`
	// Role is the role that the engines of a model are ordered to take. If it is
	// empty, they keep their current role.
	Role string `json:"role,omitempty"`
	// MaxLoads is the number of targets that may load weights at the same time;
	// 0 means 2.
	MaxLoads int64 `json:"max-loads,omitempty"`
}

// EntryName returns the service's name.
func (s *Service) EntryName() string { return s.Name }

func (s *Service) entry() {}

// idempotentMethods are the methods that RFC 9110 defines as idempotent.
var idempotentMethods = []string{"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"}

// Once reports whether a call is not idempotent and must run at most once. The
// path is relative to the service and may have a query. A path that the target
// might interpret as a different one, because it has an escape or a dot segment,
// never counts as idempotent by its prefix.
func (s *Service) Once(method, pathQuery string) bool {
	if s.idempotentPath(pathQuery) {
		return false
	}
	if len(s.OnceMethods) > 0 {
		return slices.Contains(s.OnceMethods, method)
	}
	return !slices.Contains(idempotentMethods, method)
}

func (s *Service) idempotentPath(pathQuery string) bool {
	p, _, _ := strings.Cut(pathQuery, "?")
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

// plainPath reports whether the path has only one interpretation: it is absolute
// and clean, and has no escapes, backslashes or semicolons.
func plainPath(p string) bool {
	if !strings.HasPrefix(p, "/") || strings.ContainsAny(p, `%\;`) {
		return false
	}
	return p == "/" || path.Clean(p) == strings.TrimSuffix(p, "/")
}

// underPrefix reports whether p equals the prefix or extends it by whole segments.
func underPrefix(p, prefix string) bool {
	rest, ok := strings.CutPrefix(p, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// Limits restrict the use of a budget. 0 means no limit.
type Limits struct {
	// MaxTokens is the maximum reservation of one request.
	MaxTokens int64 `json:"max-tokens,omitempty"`
	// MaxConcurrent is the maximum number of concurrent requests at each entry
	// instance.
	MaxConcurrent int64 `json:"max-concurrent,omitempty"`
}

// Budget describes a prepaid token budget and who may draw on it. The tokens
// themselves are accounted for in the budget streams.
type Budget struct {
	// Name matches [a-z0-9][a-z0-9./-]{0,127}.
	Name string `json:"name"`
	// Owner is the organisation that pays.
	Owner  string `json:"owner"`
	Class  Class  `json:"class"`
	Limits Limits `json:"limits,omitzero"`
	// KeyHashes identify the callers that may draw on the budget. A hash
	// belongs to at most one budget.
	KeyHashes []KeyHash `json:"key-hashes,omitempty"`
}

// EntryName returns the budget's name.
func (b *Budget) EntryName() string { return b.Name }

func (b *Budget) entry() {}

// KeyHash is the SHA-256 hash of a caller's key. Its text form is hexadecimal.
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
