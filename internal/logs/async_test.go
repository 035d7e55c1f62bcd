package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

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

// TestWriteAfterClose guards against a process that ends with a panic because a request that
// is still in progress writes a log line after the writer was closed.
func TestWriteAfterClose(t *testing.T) {
	var out bytes.Buffer
	a := logs.NewAsync(&out)
	var writers sync.WaitGroup
	stop := make(chan struct{})
	for range 4 {
		writers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_, _ = a.Write([]byte("line\n"))
				}
			}
		})
	}
	time.Sleep(10 * time.Millisecond)
	a.Close()
	written := out.Len()
	before := a.Dropped()
	if n, err := a.Write([]byte("late\n")); n != 5 || err != nil {
		t.Errorf("write after Close: got %d, %v; want 5 and no error", n, err)
	}
	close(stop)
	writers.Wait()
	if out.Len() != written || a.Dropped() <= before {
		t.Errorf("got %d bytes after Close and %d lines dropped, want none and more than %d", out.Len()-written, a.Dropped(), before)
	}
}
