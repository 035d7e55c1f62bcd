// Package ident generates identifiers that are unique without coordination.
package ident

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
)

// incarnationBytes is the size of the random part of an incarnation, in bytes.
const incarnationBytes = 6

// requestBytes is the size of a generated request or attempt id, in bytes.
const requestBytes = 12

// Incarnation identifies one run of an instance, such as "chc-a-r1~9f2c01d4e8aa".
// Each start of the process gets a new one.
type Incarnation string

// NewIncarnation returns a new incarnation of the named instance.
func NewIncarnation(instance string) Incarnation {
	return Incarnation(instance + "~" + random(incarnationBytes))
}

// Instance returns the name of the instance, without the random part.
func (i Incarnation) Instance() string {
	name, _, _ := strings.Cut(string(i), "~")
	return name
}

// NewRequestID returns a new id for a request or an attempt.
func NewRequestID() string { return random(requestBytes) }

// random returns n random bytes in hexadecimal.
func random(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b) // never fails, as crypto/rand documents
	return hex.EncodeToString(b)
}
