package logsvc

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"
)

const (
	// responseTimeout bounds a call whose context has no deadline, in addition to
	// the time that a read waits for a record. It ends calls on dead connections.
	responseTimeout = 5 * time.Second
	// maxHead bounds the head of a response in bytes.
	maxHead = 64 << 10
	// maxResponse bounds a response body in bytes. It has room for the largest page
	// in base64 and for the offsets of its records.
	maxResponse = 4 * (MaxPage + MaxRecord)
	// maxMessage bounds the part of a failed response's body that an error quotes,
	// and the response to an append, in bytes.
	maxMessage = 200
	// idleConns bounds the idle connections kept to the service.
	idleConns = 32
)

// defaultHTTP is the HTTP client of each Client whose HTTP field is nil.
var defaultHTTP = &http.Client{Transport: &http.Transport{
	MaxIdleConnsPerHost: idleConns,
	IdleConnTimeout:     30 * time.Second,

	MaxResponseHeaderBytes: maxHead,
}}

// Client speaks the HTTP protocol of the log service. It implements Service.
type Client struct {
	// Addr is the host and port of the service, or its base URL.
	Addr string
	// HTTP sends the requests; nil means a client that is shared by the package.
	HTTP *http.Client
}

// Append adds one record. See Service.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (Offset, error) {
	if len(data) > MaxRecord {
		return 0, fmt.Errorf("%w: record has %d bytes, limit is %d", ErrTooLarge, len(data), MaxRecord)
	}
	ctx, cancel := withDeadline(ctx, responseTimeout)
	defer cancel()
	// An append that got no connection cannot have had an effect.
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream), bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	resp, err := c.do(req)
	if err != nil {
		return 0, sendError(err, connected)
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return 0, statusError(resp, ErrOutcomeUnknown)
	}
	return decodeAppend(resp.Body)
}

// Read returns records from the given offset on. See Service.
func (c *Client) Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Page, error) {
	ctx, cancel := withDeadline(ctx, wait+responseTimeout)
	defer cancel()
	query := url.Values{
		"from":    {strconv.FormatUint(uint64(from), 10)},
		"limit":   {strconv.Itoa(limit)},
		"wait-ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return Page{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	resp, err := c.do(req)
	if err != nil {
		return Page{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return Page{}, statusError(resp, ErrUnavailable)
	}
	return decodePage(resp.Body, from, limit)
}

// do sends a request. If the request times out, the idle connections may be dead
// too, so do closes them. The next request gets a new connection.
func (c *Client) do(req *http.Request) (*http.Response, error) {
	resp, err := c.client().Do(req)
	if errors.Is(err, context.DeadlineExceeded) {
		c.client().CloseIdleConnections()
	}
	return resp, err
}

// withDeadline adds a timeout to a context without a deadline.
func withDeadline(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, d)
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return defaultHTTP
}

// url returns the URL of a stream's records.
func (c *Client) url(stream string) string {
	return baseURL(c.Addr) + "/streams/" + url.PathEscape(stream) + "/records"
}

// baseURL adds the scheme to a bare host and port.
func baseURL(addr string) string {
	if u, err := url.Parse(addr); err == nil && (u.Scheme == "http" || u.Scheme == "https") {
		return addr
	}
	return "http://" + addr
}

// sendError returns the error of an append that got no response. The error is
// ErrUnavailable if the append got no connection, and so was not sent, else
// ErrOutcomeUnknown.
func sendError(err error, connected bool) error {
	if connected {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// statusError returns the error for a response's status. fallback is the error for
// statuses that the protocol does not define.
func statusError(resp *http.Response, fallback error) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxMessage))
	sentinel := fallback
	switch resp.StatusCode {
	case http.StatusTooManyRequests:
		sentinel = ErrRateLimited
	case http.StatusServiceUnavailable:
		sentinel = ErrUnavailable
	case http.StatusRequestEntityTooLarge:
		sentinel = ErrTooLarge
	}
	return fmt.Errorf("%w: status %d, %q", sentinel, resp.StatusCode, bytes.TrimSpace(text))
}

// decodeAppend decodes the response to an append.
func decodeAppend(body io.Reader) (Offset, error) {
	var response struct {
		Offset Offset `json:"offset"`
	}
	err := json.NewDecoder(io.LimitReader(body, maxMessage)).Decode(&response)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if response.Offset == 0 {
		return 0, fmt.Errorf("%w: the response has no offset", ErrOutcomeUnknown)
	}
	return response.Offset, nil
}

// closeBody reads up to maxMessage more bytes of a body and closes it. The connection
// can be reused only if the body was read to its end.
func closeBody(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxMessage)
	_ = resp.Body.Close()
}
