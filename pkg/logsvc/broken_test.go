package logsvc_test

import (
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/beryllanding/beryllanding/internal/stand/check"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// TestEndlessHead guards against a client that keeps a head without end.
func TestEndlessHead(t *testing.T) {
	const most = 2 << 20 // The sockets hold a part of it.
	address, taken := check.EndlessHead(t)
	c := &logsvc.Client{Addr: address}
	if _, err := c.Read(t.Context(), "s", 1, 10, 0); !errors.Is(err, logsvc.ErrUnavailable) {
		t.Errorf("got error %v, want %v", err, logsvc.ErrUnavailable)
	}
	if n := taken(); n > most {
		t.Errorf("the client took %d KB of a head, want at most %d", n>>10, most>>10)
	}
}

// TestCutResponses guards against a part of a response that counts as a whole one, at each byte
// of responses that end with their connections.
func TestCutResponses(t *testing.T) {
	for whole, call := range map[string]func(c *logsvc.Client) error{
		`{"first":1,"next":3,"records":[{"offset":1,"data":"YQ=="},{"offset":2,"data":"YQ=="}]}`: func(c *logsvc.Client) error {
			_, err := c.Read(t.Context(), "s", 1, 10, 0)
			return err
		},
		`{"offset":123}`: func(c *logsvc.Client) error {
			_, err := c.Append(t.Context(), "s", []byte("a"))
			return err
		},
	} {
		var body string
		c := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Transfer-Encoding", "identity")
			_, _ = io.WriteString(w, body)
		}))
		for i := range len(whole) + 1 {
			body = whole[:i]
			if err := call(c); (err == nil) != (i == len(whole)) {
				t.Errorf("response cut after %q: got error %v, want none only for the whole one", body, err)
			}
		}
	}
}
