package logs_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/beryllanding/beryllanding/internal/logs"
)

// blockedWriter is a writer that blocks until open is closed.
type blockedWriter struct {
	open chan struct{}
	buf  bytes.Buffer
}

func (g *blockedWriter) Write(p []byte) (int, error) {
	<-g.open
	return g.buf.Write(p)
}

// TestAsyncNeverBlocks checks that Write does not block while the underlying
// writer does, that the dropped lines are counted, and that their number is logged
// once the underlying writer continues.
func TestAsyncNeverBlocks(t *testing.T) {
	g := &blockedWriter{open: make(chan struct{})}
	a := logs.NewAsync(g)
	const lines = 5000
	for range lines {
		if n, err := a.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	dropped := a.Dropped()
	close(g.open)
	a.Close()
	written := int64(strings.Count(g.buf.String(), "line\n"))
	if dropped == 0 || written+dropped != lines || !strings.Contains(g.buf.String(), "log lines dropped") {
		t.Errorf("got %d lines written and %d dropped; want a sum of %d, some lines dropped, and a line that reports them", written, dropped, lines)
	}
}
