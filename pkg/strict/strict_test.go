package strict_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/beryllanding/beryllanding/pkg/http1"
	"github.com/beryllanding/beryllanding/pkg/strict"
)

// scripted is a transport with one response. It counts what is closed.
type scripted struct {
	status       int
	name         string
	bodies, idle int
	io.Reader
}

func (s *scripted) RoundTrip(*http.Request) (*http.Response, error) {
	s.Reader = strings.NewReader("body")
	return &http.Response{StatusCode: s.status, Header: http.Header{s.name: {"x"}}, Body: s}, nil
}

func (s *scripted) Close() error {
	s.bodies++
	return nil
}

func (s *scripted) CloseIdleConnections() { s.idle++ }

// TestInvalidResponses guards against invalid responses that are returned, or whose connections
// stay open, and against the refusal of valid ones.
func TestInvalidResponses(t *testing.T) {
	for _, test := range []struct {
		status int
		name   string
		valid  bool
	}{
		{200, "X", true},
		{599, "x-~!#$%&'*+.^_`|", true},
		{0, "X", false},
		{99, "X", false},
		{101, "X", false},
		{199, "X", false},
		{600, "X", false},
		{200, "", false},
		{200, "Content-Length ", false},
		{200, "A B", false},
		{200, "A\tB", false},
		{200, "A\x00B", false},
		{200, "A\x7fB", false},
		{200, "\xc3\xa9", false},
	} {
		base := &scripted{status: test.status, name: test.name}
		client := &http.Client{Transport: &strict.Transport{Base: base}}
		resp, err := client.Get("http://target/")
		switch {
		case test.valid && err != nil:
			t.Errorf("status %d, name %q: got error %v, want none", test.status, test.name, err)
		case test.valid:
			_ = resp.Body.Close()
		case !errors.Is(err, http1.ErrMalformed):
			t.Errorf("status %d, name %q: got error %v, want %v", test.status, test.name, err, http1.ErrMalformed)
		}
		if base.bodies != 1 {
			t.Errorf("status %d, name %q: the body was closed %d times, want once", test.status, test.name, base.bodies)
		}
	}
}

// TestIdleConnectionsAreClosed guards against a client that keeps silent connections because its
// transport doesn't pass on the call that closes them.
func TestIdleConnectionsAreClosed(t *testing.T) {
	base := &scripted{}
	(&http.Client{Transport: &strict.Transport{Base: base}}).CloseIdleConnections()
	if base.idle != 1 {
		t.Errorf("idle connections were closed %d times, want once", base.idle)
	}
}
