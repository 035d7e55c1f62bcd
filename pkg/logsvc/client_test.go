package logsvc_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/internal/stand/memnet"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// serve starts a server on loopback and returns a client of it.
func serve(t *testing.T, h http.Handler) *logsvc.Client {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return &logsvc.Client{Addr: server.URL}
}

func TestClient(t *testing.T) {
	store := &logd.Store{}
	c := serve(t, store.Handler())
	for i, data := range []string{"a", "", "\x00\xff"} {
		at, err := c.Append(t.Context(), "odd name %?", []byte(data))
		if err != nil || at != logsvc.Offset(i+1) {
			t.Fatalf("append %d: offset %d, error %v; want consecutive offsets from 1", i, at, err)
		}
	}
	page, err := c.Read(t.Context(), "odd name %?", 2, 10, 0)
	want := logsvc.Page{First: 1, Next: 4, Records: []logsvc.Record{{Offset: 2, Data: []byte{}}, {Offset: 3, Data: []byte("\x00\xff")}}}
	if diff := cmp.Diff(want, page); diff != "" || err != nil {
		t.Error(err, diff)
	}
	if page, err := c.Read(t.Context(), "empty", 1, 10, 0); err != nil || page.Next != 1 {
		t.Errorf("empty stream: page %+v, error %v; want next offset 1", page, err)
	}
	if _, err := c.Append(t.Context(), "s", make([]byte, logsvc.MaxRecord+1)); !errors.Is(err, logsvc.ErrTooLarge) {
		t.Errorf("error is %v, want ErrTooLarge", err)
	}
}

// TestPagesAreBounded reads records of the largest size. They must be split into
// pages of at most MaxPage bytes.
func TestPagesAreBounded(t *testing.T) {
	store := &logd.Store{}
	c := serve(t, store.Handler())
	for range 9 {
		if _, err := store.Append(t.Context(), "s", make([]byte, logsvc.MaxRecord)); err != nil {
			t.Fatal(err)
		}
	}
	var sizes []int
	for from := logsvc.Offset(1); from < 10; {
		page, err := c.Read(t.Context(), "s", from, 100, 0)
		if err != nil {
			t.Fatal(err)
		}
		sizes = append(sizes, len(page.Records))
		from += logsvc.Offset(len(page.Records))
	}
	if diff := cmp.Diff([]int{4, 4, 1}, sizes); diff != "" {
		t.Error(diff)
	}
}

// TestAppendErrors checks the error of each failure of an append. If an append that
// may have taken effect got an error for appends without effect, callers would report
// records that are on the log as not appended.
func TestAppendErrors(t *testing.T) {
	respond := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		want    error
	}{
		"429":              {respond(429, "slow down"), logsvc.ErrRateLimited},
		"503":              {respond(503, ""), logsvc.ErrUnavailable},
		"413":              {respond(413, ""), logsvc.ErrTooLarge},
		"500":              {respond(500, ""), logsvc.ErrOutcomeUnknown},
		"404":              {respond(404, ""), logsvc.ErrOutcomeUnknown},
		"empty response":   {respond(200, ""), logsvc.ErrOutcomeUnknown},
		"no offset":        {respond(200, "{}"), logsvc.ErrOutcomeUnknown},
		"offset of text":   {respond(200, `{"offset":"1"}`), logsvc.ErrOutcomeUnknown},
		"endless response": {respond(200, strings.Repeat(" ", 1<<20)+`{"offset":1}`), logsvc.ErrOutcomeUnknown},
		"cut":              {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, logsvc.ErrOutcomeUnknown},
	} {
		client := serve(t, c.handler)
		for range 2 { // the second time on a reused connection, if it was kept open
			if _, err := client.Append(t.Context(), "s", []byte("x")); !errors.Is(err, c.want) {
				t.Errorf("%s: error is %v, want %v", name, err, c.want)
			}
		}
	}
	closed := httptest.NewServer(nil)
	closed.Close()
	client := &logsvc.Client{Addr: closed.Listener.Addr().String()}
	if _, err := client.Append(t.Context(), "s", nil); !errors.Is(err, logsvc.ErrUnavailable) {
		t.Errorf("refused: error is %v, want ErrUnavailable", err)
	}
	if _, err := client.Read(t.Context(), "s", 1, 1, 0); !errors.Is(err, logsvc.ErrUnavailable) {
		t.Errorf("refused: error is %v, want ErrUnavailable", err)
	}
}

// TestSilentConnections makes all open connections stop delivering data. The first
// call on one of them must time out. The next call must use a new connection and not
// another dead one.
func TestSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		server := &http.Server{Handler: (&logd.Store{}).Handler()}
		var wg sync.WaitGroup
		wg.Go(func() { _ = server.Serve(network) })
		c := &logsvc.Client{Addr: "log:1", HTTP: &http.Client{
			Transport: &http.Transport{DialContext: network.Dial, MaxIdleConnsPerHost: 8},
		}}
		wait := func() {
			if _, err := c.Read(t.Context(), "s", 1, 1, time.Second); err != nil {
				t.Error(err)
			}
		}
		var readers sync.WaitGroup
		for range 5 {
			readers.Go(wait)
		}
		readers.Wait()
		network.Blackhole()
		start := time.Now()
		if _, err := c.Append(t.Context(), "s", []byte("x")); !errors.Is(err, logsvc.ErrOutcomeUnknown) {
			t.Errorf("error is %v, want ErrOutcomeUnknown", err)
		}
		if d := time.Since(start); d != 5*time.Second {
			t.Errorf("append on a dead connection failed after %v, want 5s", d)
		}
		if at, err := c.Append(t.Context(), "s", []byte("x")); err != nil || at != 1 {
			t.Errorf("append on a new connection: offset %d, error %v; want offset 1", at, err)
		}
		_ = server.Close()
		wg.Wait()
	})
}
