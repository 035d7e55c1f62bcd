package claim

import (
	"bytes"

	"github.com/beryllanding/beryllanding/pkg/ident"
)

// Verdict is what the fold says about a request: Free, Held, Finished or
// KeyReused.
type Verdict interface{ verdict() }

// Free says that nobody runs or ran the request, as far as the window reaches.
type Free struct{}

// Held says that the named attempt may be running the request, or may have run
// it.
type Held struct {
	Side    ident.Incarnation
	Attempt string
}

// Finished says that the request ran, and what it answered.
type Finished struct {
	Side    ident.Incarnation
	Attempt string
	Status  int
	Headers []Header
	Body    []byte
	// Truncated says that the answer was not kept.
	Truncated bool
}

// KeyReused says that another request was made with the same id.
type KeyReused struct{}

func (Free) verdict()      {}
func (Held) verdict()      {}
func (Finished) verdict()  {}
func (KeyReused) verdict() {}

// Lookup returns the verdict on a request with the given fingerprint.
func (s *State) Lookup(request string, fingerprint []byte) Verdict {
	e := s.requests[request]
	if e == nil {
		return Free{}
	}
	if !bytes.Equal(e.Fingerprint, fingerprint) {
		return KeyReused{}
	}
	if e.Answer == nil {
		return Held{Side: e.Side, Attempt: e.Attempt}
	}
	return Finished{
		Side: e.Side, Attempt: e.Attempt, Status: e.Answer.Status,
		Headers: e.Answer.Headers, Body: e.Answer.Body, Truncated: e.Answer.Truncated,
	}
}

// Len returns the number of requests that are held or remembered.
func (s *State) Len() int { return len(s.requests) }
