package insts_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/beryllanding/beryllanding/internal/stand/check"
	"github.com/beryllanding/beryllanding/pkg/insts"
)

// TestEndlessHead guards against a client that keeps a head without end.
func TestEndlessHead(t *testing.T) {
	const most = 2 << 20 // The sockets hold a part of it.
	address, taken := check.EndlessHead(t)
	if _, err := (&insts.Client{Addr: address}).List(t.Context()); !errors.Is(err, insts.ErrUnavailable) {
		t.Errorf("got error %v, want %v", err, insts.ErrUnavailable)
	}
	if n := taken(); n > most {
		t.Errorf("the client took %d KB of a head, want at most %d", n>>10, most>>10)
	}
}

// TestCutList guards against instances that seem to have left because the list was cut, at each
// byte of a response that ends with its connection.
func TestCutList(t *testing.T) {
	const whole = `{"instances":[]}`
	var body string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.Header().Set("Transfer-Encoding", "identity")
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	for i := range len(whole) + 1 {
		body = whole[:i]
		if _, err := (&insts.Client{Addr: server.URL}).List(t.Context()); (err == nil) != (i == len(whole)) {
			t.Errorf("list cut after %q: got error %v, want none only for the whole one", body, err)
		}
	}
}
