package edge

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/pkg/http1"
	"github.com/beryllanding/beryllanding/pkg/roster"
)

// slowTarget reads requests at a low rate, and answers them when it has read them.
func slowTarget(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		head := &http1.Head{}
		if err := head.ReadRequest(r, 1<<16); err != nil {
			return
		}
		body := http1.NewBody(r, head)
		buf := make([]byte, 64<<10)
		for !body.Complete() {
			if _, err := body.Read(buf); err != nil {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		if !write(c, okResponse(string(head.Get("Request-Id")), "read")) {
			return
		}
	}
}

// TestLargeBodiesShareMemory guards against a process that outgrows its memory because many
// callers send large bodies at the same time, to targets that read slowly. Those for which
// there is no room are refused at once, and small requests are served.
func TestLargeBodiesShareMemory(t *testing.T) {
	const (
		callers  = 60
		bodySize = 4 << 20
		maxHeap  = 120 << 20
	)
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %v", chunked), func(t *testing.T) {
			defer debug.SetMemoryLimit(debug.SetMemoryLimit(110 << 20))
			w := newTestEnv(t)
			address := w.listen(func(l net.Listener) {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go slowTarget(c)
				}
			})
			w.engine.fleet.update([]roster.Target{{ID: "slow", Service: "s", Address: address, DataCentre: "here"}})
			tbl := *w.engine.view.Load()
			tbl.Limits.BodyBytes = bodySize
			w.setTable(&tbl)
			w.setTimeouts(30 * time.Second)
			body := bytes.Repeat([]byte("x"), bodySize)
			framing := fmt.Sprintf("Content-Length: %d\r\n\r\n", bodySize)
			if chunked {
				framing = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", bodySize)
			}
			statuses := make(map[int]int)
			var mu sync.Mutex
			var wg sync.WaitGroup
			for i := range callers {
				wg.Go(func() {
					c, err := net.Dial("tcp", w.addr)
					if err != nil {
						t.Error(err)
						return
					}
					defer func() { _ = c.Close() }()
					go func() {
						_, _ = io.WriteString(c, fmt.Sprintf("POST /once/ HTTP/1.1\r\nHost: h\r\nRequest-Id: b%d\r\nDeadline: 30000\r\nKey: k\r\n", i)+framing)
						_, _ = c.Write(body)
						_, _ = io.WriteString(c, "\r\n0\r\n\r\n")
					}()
					got := read(bufio.NewReader(c))
					if got.status == 503 && got.head.Get("Retry-After") == nil {
						t.Error("got status 503 without a time for a retry")
					}
					mu.Lock()
					defer mu.Unlock()
					statuses[got.status]++
				})
			}
			var peak uint64
			for range 20 {
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				peak = max(peak, m.HeapInuse)
				time.Sleep(20 * time.Millisecond)
			}
			if got := w.ask("/open/", "Request-Id: small\nDeadline: 20000\n", "x"); got.status != 200 {
				t.Errorf("small request: got status %d, want 200", got.status)
			}
			wg.Wait()
			if peak > maxHeap {
				t.Errorf("the heap grew to %d MB, want at most %d", peak>>20, maxHeap>>20)
			}
			if statuses[200] == 0 || statuses[200]+statuses[503] != callers {
				t.Errorf("got statuses %v of %d requests, want some 200 and the rest 503", statuses, callers)
			}
		})
	}
}
