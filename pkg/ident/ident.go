// Package ident makes the identifiers that are unique without coordination.
package ident

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
)

// incarnationBytes is the random part of an incarnation.
const incarnationBytes = 6

// requestBytes is the size of a request or attempt id made by the system.
const requestBytes = 12

// Incarnation names one life of an instance, such as "chc-a-r1~9f2c01d4e8aa".
// Every start of a process takes a new one.
type Incarnation string

// NewIncarnation returns a new incarnation of the named instance.
func NewIncarnation(instance string) Incarnation {
	return Incarnation(instance + "~" + random(incarnationBytes))
}

// Instance returns the name of the instance without its random part.
func (i Incarnation) Instance() string {
	name, _, _ := strings.Cut(string(i), "~")
	return name
}

// NewRequest returns a new id for a request or an attempt.
func NewRequest() string { return random(requestBytes) }

// random returns n random bytes in hexadecimal.
func random(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b) // never fails, as crypto/rand documents
	return hex.EncodeToString(b)
}
