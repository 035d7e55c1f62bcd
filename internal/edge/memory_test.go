package edge

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestEndlessAnswersShareMemory: many bodies and events without end at the same time take no
// more memory together than a fixed amount, and sound requests beside them are served.
func TestEndlessAnswersShareMemory(t *testing.T) {
	const (
		callers = 60
		// maxHeap is below the memory of the smallest machines.
		maxHeap = 120 << 20
		// softLimit is what beryl-edge sets on a machine of that size.
		softLimit = 110 << 20
	)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(softLimit))
	w := newTestEnv(t, func(a receivedRequest, w io.Writer) bool {
		switch {
		case strings.Contains(a.head, " /stream/"):
			return endless(w, streamHead(a.id), "40\r\n"+strings.Repeat("x", 64)+"\r\n")
		case strings.Contains(a.head, " /once/"):
			return endless(w, "HTTP/1.1 200 OK\r\nRequest-Id: "+a.id+"\r\nSignature: s\r\n\r\n", "x")
		}
		return respondOK(a, w)
	})
	w.setTimeouts(30 * time.Second)
	stop := make(chan struct{})
	var peak uint64
	var sampler, wg sync.WaitGroup
	sampler.Go(func() {
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapInuse)
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	for i := range callers {
		wg.Go(func() {
			path := []string{"/stream/", "/once/"}[i%2]
			if got := w.ask(path, fmt.Sprintf("Request-Id: e%d\nDeadline: 30000\nKey: k\n", i), "x"); got.status == 200 && got.err == nil {
				t.Errorf("%s: got a whole success", path)
			}
		})
	}
	for i := range 5 {
		if got := w.ask("/open/", fmt.Sprintf("Request-Id: m%d\nDeadline: 20000\n", i), "x"); got.status != 200 {
			t.Errorf("sound request: got status %d, body %s; want 200", got.status, got.body)
		}
	}
	wg.Wait()
	close(stop)
	sampler.Wait()
	if peak > maxHeap {
		t.Errorf("the heap grew to %d MB, want at most %d", peak>>20, maxHeap>>20)
	}
}
