package side

import (
	"context"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/beryllanding/beryllanding/pkg/claim"
)

const (
	// dialTimeout bounds a connection's set-up to the target.
	dialTimeout = 2 * time.Second
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 30 * time.Second
)

// Headers of requests to a target.
const (
	headerRequest  = "X-Request-Id"
	headerPriority = "X-Priority"
	headerFence    = "X-Fence"
)

// newClients returns the client of repeatable requests and that of
// non-idempotent ones. net/http repeats a request by itself where a reused
// connection breaks and the request looks idempotent, for which a GET or an
// Idempotency-Key header is enough. It never does so on a fresh connection, so
// the second client reuses none.
func newClients(opts Options) (client, once *http.Client) {
	if opts.Transport != nil {
		client = &http.Client{Transport: opts.Transport, CheckRedirect: noRedirect}
		return client, client
	}
	client = &http.Client{Transport: newTransport(opts), CheckRedirect: noRedirect}
	fresh := newTransport(opts)
	fresh.DisableKeepAlives = true
	return client, &http.Client{Transport: fresh, CheckRedirect: noRedirect}
}

// newTransport returns a transport that uses no proxy and leaves bodies as they
// are.
func newTransport(opts Options) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: opts.MaxRunning,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// noRedirect makes a redirect the answer.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// setFence adds the fencing number.
func setFence(h http.Header, fence uint64) {
	h.Set(headerFence, strconv.FormatUint(fence, 10))
}

// hopHeaders are not passed on. The idempotency key is among them, since its
// presence alone makes net/http repeat a request; the target gets the request's
// id instead.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true,
	"Idempotency-Key": true, "X-Idempotency-Key": true,
	headerRequest: true, headerPriority: true, headerFence: true,
}

// hopHeader reports whether a header is not passed on.
func hopHeader(name string) bool { return hopHeaders[http.CanonicalHeaderKey(name)] }

// keptHeaders returns the headers of an answer that are passed on, in order of
// name.
func keptHeaders(h http.Header) []claim.Header {
	var out []claim.Header
	for _, name := range slices.Sorted(maps.Keys(h)) {
		if hopHeader(name) {
			continue
		}
		for _, value := range h[name] {
			out = append(out, claim.Header{Name: name, Value: value})
		}
	}
	return out
}

// sendTrace notes whether a request had a connection.
type sendTrace struct {
	asked, got atomic.Bool
}

// newTrace returns the trace of one request. The server's own transports always
// ask for a connection before they send, so a request that fails without one was
// not sent. Of another transport that is known only once it has asked.
func (s *Server) newTrace() *sendTrace {
	t := new(sendTrace)
	t.asked.Store(s.opts.Transport == nil)
	return t
}

// attach returns a context that traces the request made with it.
func (t *sendTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { t.asked.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { t.got.Store(true) },
	})
}

// notSent reports that the request certainly had no connection.
func (t *sendTrace) notSent() bool { return t.asked.Load() && !t.got.Load() }
