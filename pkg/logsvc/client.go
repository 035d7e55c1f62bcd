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
	// answerTimeout bounds a call without a deadline, beyond the time that a read
	// waits, so that a connection that went silent is given up.
	answerTimeout = 5 * time.Second
	// maxAnswer bounds an answer's body in bytes: a page in base64, with room
	// for its offsets.
	maxAnswer = 4 * (MaxPage + MaxRecord)
	// maxMessage bounds what is quoted of an error's body, in bytes.
	maxMessage = 200
	// idleConns bounds the idle connections kept to the service.
	idleConns = 32
)

// defaultHTTP is used by clients without one of their own.
var defaultHTTP = &http.Client{Transport: &http.Transport{
	MaxIdleConnsPerHost: idleConns,
	IdleConnTimeout:     30 * time.Second,
}}

// Client speaks the HTTP protocol of the log service. It implements Service.
type Client struct {
	// Addr is the service's host and port, or its base URL.
	Addr string
	// HTTP sends the requests; nil stands for a client shared by the package.
	HTTP *http.Client
}

// Append adds one record. See Service.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (Offset, error) {
	if len(data) > MaxRecord {
		return 0, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, len(data), MaxRecord)
	}
	ctx, cancel := withDeadline(ctx, answerTimeout)
	defer cancel()
	// A request that never got a connection cannot have had an effect.
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
	ctx, cancel := withDeadline(ctx, wait+answerTimeout)
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

// do sends a request. After one that timed out, the idle connections may be
// silent as well, so that the next request gets a fresh one.
func (c *Client) do(req *http.Request) (*http.Response, error) {
	resp, err := c.client().Do(req)
	if errors.Is(err, context.DeadlineExceeded) {
		c.client().CloseIdleConnections()
	}
	return resp, err
}

// withDeadline bounds a context that has no deadline.
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

// sendError tells an append that was never sent from one whose outcome is unknown.
func sendError(err error, connected bool) error {
	if connected {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// statusError turns an answer's status into an error; other stands for the
// statuses that the protocol does not name.
func statusError(resp *http.Response, other error) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxMessage))
	sentinel := other
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

// decodeAppend decodes the answer to an append.
func decodeAppend(body io.Reader) (Offset, error) {
	var answer struct {
		Offset Offset `json:"offset"`
	}
	err := json.NewDecoder(io.LimitReader(body, maxMessage)).Decode(&answer)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if answer.Offset == 0 {
		return 0, fmt.Errorf("%w: the answer has no offset", ErrOutcomeUnknown)
	}
	return answer.Offset, nil
}

// closeBody reads the rest of a body, within bounds, so that the connection can
// be used again.
func closeBody(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxMessage)
	_ = resp.Body.Close()
}
