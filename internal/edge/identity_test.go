package edge

import (
	"bytes"
	"io"
	"regexp"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
)

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// TestIdentityIsLogged: attempts that break off are logged with the same identity for equal
// requests of one caller, and with another one if caller, path, prompt or body differ.
func TestIdentityIsLogged(t *testing.T) {
	breakOff := func(receivedRequest, io.Writer) bool { return false }
	w := newTestEnv(t, breakOff)
	var lines lockedBuffer
	w.engine.Logger = log.NewWithOptions(&lines, log.Options{Formatter: log.JSONFormatter})
	const fields = "Request-Id: q1\nDeadline: 1500\nKey: k\n"
	w.ask("/once/a", fields, "x")
	w.ask("/once/a", "Request-Id: q2\nDeadline: 900\nKey: k\n", "x")
	w.ask("/once/b", fields, "x")
	w.ask("/once/a", fields, "y")
	w.ask("/once/a", "Request-Id: q1\nDeadline: 1500\nKey: p\n", "x")
	w.ask("/once/a", promptFields("q1", "a,b"), "x")
	// A line may be written after the caller has its response.
	var found [][]string
	for end := time.Now().Add(5 * time.Second); len(found) < 6 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		found = regexp.MustCompile(`attempt ended.*"identity":"([^"]+)"`).FindAllStringSubmatch(lines.String(), -1)
	}
	if len(found) != 6 {
		t.Fatalf("%d lines have an identity, want 6:\n%s", len(found), lines.String())
	}
	distinct := make(map[string]bool)
	for _, m := range found {
		distinct[m[1]] = true
	}
	if found[0][1] != found[1][1] || len(distinct) != 5 {
		t.Errorf("identities are %v, want the first two equal and five distinct ones", found)
	}
}
