package claim

import (
	"bytes"

	"github.com/beryllanding/beryllanding/pkg/ident"
)

// Verdict is the state of a request in the fold: Free, Held, Finished or
// KeyReused.
type Verdict interface{ verdict() }

// Free means that no attempt holds the request and none has run it. A request that
// has run is free again once the hash of its id has been dropped; see State.
type Free struct{}

// Held means that the named attempt may be running the request or may have run
// it.
type Held struct {
	Side    ident.Incarnation
	Attempt string
}

// Finished means that the request ran. It contains the response if the response is
// kept.
type Finished struct {
	Side    ident.Incarnation
	Attempt string
	Status  int
	Headers []Header
	Body    []byte
	// Truncated reports that the response's headers and body are not kept. Status
	// is, unless the request has expired: then no other field is set.
	Truncated bool
}

// KeyReused means that a request with the same id and another fingerprint is held
// or has run.
type KeyReused struct{}

func (Free) verdict()      {}
func (Held) verdict()      {}
func (Finished) verdict()  {}
func (KeyReused) verdict() {}

// Lookup returns the verdict on a request with the given fingerprint.
func (s *State) Lookup(request string, fingerprint []byte) Verdict {
	e := s.requests[request]
	if e == nil {
		return s.lookupExpired(request)
	}
	if !bytes.Equal(e.Fingerprint, fingerprint) {
		return KeyReused{}
	}
	if e.Response == nil {
		return Held{Side: e.Side, Attempt: e.Attempt}
	}
	return Finished{
		Side: e.Side, Attempt: e.Attempt, Status: e.Response.Status,
		Headers: e.Response.Headers, Body: e.Response.Body, Truncated: e.Response.Truncated,
	}
}

// lookupExpired returns the verdict on a request that has no entry: Finished if the
// hash of its id is kept, else Free.
func (s *State) lookupExpired(request string) Verdict {
	if s.expiredSet[hashOf(request)] {
		return Finished{Truncated: true}
	}
	return Free{}
}

// Len returns the number of requests that are held, or finished and within
// Window.
func (s *State) Len() int { return len(s.requests) }
