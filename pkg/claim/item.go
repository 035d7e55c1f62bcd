// Package claim folds the claims stream. The stream decides which side process
// may run a non-idempotent request, and keeps the response for retries.
package claim

import (
	"encoding/json"
	"fmt"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
)

// MaxBody is the largest response body, in bytes, that a Done item carries.
const MaxBody = 16 << 10

// Item is a proposal in the claims stream: Claim, Release or Done.
type Item interface{ kind() string }

// Claim requests the right to run a request. It has no effect unless the request
// is free.
type Claim struct {
	// Request is the organisation and the idempotency key, joined by a slash.
	Request string            `json:"request"`
	Attempt string            `json:"attempt"`
	Side    ident.Incarnation `json:"side"`
	// Fingerprint distinguishes different requests that use the same key.
	Fingerprint []byte `json:"fingerprint"`
}

// Release frees a request. The attempt that claimed the request has not run it and
// never will.
type Release struct {
	Request string            `json:"request"`
	Side    ident.Incarnation `json:"side"`
	Attempt string            `json:"attempt"`
}

// Done records the response to a request. It is final.
type Done struct {
	Request string            `json:"request"`
	Side    ident.Incarnation `json:"side"`
	Attempt string            `json:"attempt"`
	Status  int               `json:"status"`
	Headers []Header          `json:"headers,omitempty"`
	// Body has at most MaxBody bytes.
	Body []byte `json:"body,omitempty"`
	// Truncated reports that the response is not stored and cannot be replayed,
	// since it was too large or was lost.
	Truncated bool `json:"truncated,omitempty"`
}

// Header is one header of a response.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

func (Claim) kind() string   { return "claim" }
func (Release) kind() string { return "release" }
func (Done) kind() string    { return "done" }

// Encode returns the item in the form that is stored on the log.
func Encode(item Item) fold.Item { return fold.NewItem(item.kind(), item) }

// Decode parses an item of the claims stream.
func Decode(item fold.Item) (Item, error) {
	switch item.Kind {
	case "claim":
		return decodeAs[Claim](item)
	case "release":
		return decodeAs[Release](item)
	case "done":
		return decodeAs[Done](item)
	}
	return nil, fmt.Errorf("kind %q does not exist in the claims stream", item.Kind)
}

func decodeAs[T Item](item fold.Item) (Item, error) {
	var v T
	if err := json.Unmarshal(item.Body, &v); err != nil {
		return nil, fmt.Errorf("item of kind %q: %w", item.Kind, err)
	}
	return v, nil
}
