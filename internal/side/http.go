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
	"github.com/beryllanding/beryllanding/pkg/duplex"
	"github.com/beryllanding/beryllanding/pkg/strict"
)

const (
	// dialTimeout limits the time to connect to the target.
	dialTimeout = 2 * time.Second
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 30 * time.Second
	// maxResponseHead bounds the head of a response, in bytes, as that of a caller's request is
	// bounded. Short fields take many times their size.
	maxResponseHead = 32 << 10
)

// Headers of requests to a target.
const (
	headerRequest  = "X-Request-Id"
	headerPriority = "X-Priority"
	headerFence    = "X-Fence"
)

// newClients returns a client for idempotent requests and one for non-idempotent
// requests. net/http sends a request again if a reused connection breaks and the
// request has the method GET or an Idempotency-Key header. It never sends a request
// again on a new connection, so the second client reuses no connection.
func newClients(opts Options) (client, noReuse *http.Client) {
	if opts.Transport != nil {
		client = newClient(opts.Transport)
		return client, client
	}
	fresh := newTransport(opts)
	fresh.DisableKeepAlives = true
	return newClient(newTransport(opts)), newClient(fresh)
}

// newClient returns a client that rejects invalid responses and returns a redirect as the response.
func newClient(transport http.RoundTripper) *http.Client {
	return &http.Client{Transport: &strict.Transport{Base: transport}, CheckRedirect: noRedirect}
}

// newTransport returns a transport that uses no proxy and does not decompress
// bodies.
func newTransport(opts Options) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         duplex.Dialer(dialer),
		MaxIdleConnsPerHost: opts.MaxRunning,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxResponseHead,
	}
}

// noRedirect makes the client return a redirect as the response.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// setFence sets the header of the fencing number.
func setFence(h http.Header, fence uint64) {
	h.Set(headerFence, strconv.FormatUint(fence, 10))
}

// hopHeaders are the headers that are not forwarded. The idempotency key is one of
// them, since net/http may send a request with an idempotency key twice. The target
// gets the request's id instead.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true,
	"Idempotency-Key": true, "X-Idempotency-Key": true,
	headerRequest: true, headerPriority: true, headerFence: true,
}

// isHopHeader reports whether a header is not forwarded.
func isHopHeader(name string) bool { return hopHeaders[http.CanonicalHeaderKey(name)] }

// forwardedHeaders returns the headers of a response that are forwarded, sorted by
// name.
func forwardedHeaders(h http.Header) []claim.Header {
	var out []claim.Header
	for _, name := range slices.Sorted(maps.Keys(h)) {
		if isHopHeader(name) {
			continue
		}
		for _, value := range h[name] {
			out = append(out, claim.Header{Name: name, Value: value})
		}
	}
	return out
}

// sendTrace records whether a request obtained a connection.
type sendTrace struct {
	connRequested, connObtained atomic.Bool
}

// newTrace returns the trace of one request. The server's own transports always
// ask for a connection before they send, so a request that failed without a
// connection was not sent. With another transport, this conclusion holds only if
// the trace has recorded that the transport asked for a connection.
func (s *Server) newTrace() *sendTrace {
	t := new(sendTrace)
	t.connRequested.Store(s.opts.Transport == nil)
	return t
}

// attach returns a context that traces the request made with it.
func (t *sendTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { t.connRequested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { t.connObtained.Store(true) },
	})
}

// notSent reports whether the request asked for a connection and obtained none. It
// was then not sent.
func (t *sendTrace) notSent() bool { return t.connRequested.Load() && !t.connObtained.Load() }
