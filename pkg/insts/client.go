package insts

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

var (
	// ErrUnavailable reports that the instance list did not respond, or responded
	// with a status other than success.
	ErrUnavailable = errors.New("instance list is unavailable")
	// ErrMalformed reports a response that violates the protocol.
	ErrMalformed = errors.New("response of the instance list is malformed")
)

const (
	// callTimeout bounds a call.
	callTimeout = 3 * time.Second
	// maxHead bounds the head of a response in bytes.
	maxHead = 64 << 10
	// maxResponse bounds a response body in bytes.
	maxResponse = 4 << 20
	// maxMessage bounds the part of a failed response's body that an error quotes,
	// in bytes.
	maxMessage = 200
)

// defaultHTTP is the HTTP client of each Client whose HTTP field is nil.
var defaultHTTP = &http.Client{Transport: &http.Transport{
	IdleConnTimeout:        30 * time.Second,
	MaxResponseHeaderBytes: maxHead,
}}

// Client speaks the HTTP protocol of the instance list.
type Client struct {
	// Addr is the host and port of the service, or its base URL.
	Addr string
	// HTTP sends the requests; nil means a client that is shared by the package.
	HTTP *http.Client
}

// List returns the instances in the list.
func (c *Client) List(ctx context.Context) ([]Instance, error) {
	raw, err := c.call(ctx, http.MethodGet, "/instances", nil)
	if err != nil {
		return nil, err
	}
	return decodeList(raw)
}

// Announce adds the instance to the list, or renews its entry. It replaces an entry
// of the same name.
func (c *Client) Announce(ctx context.Context, inst Instance) error {
	if err := inst.Validate(); err != nil {
		return err
	}
	body, err := json.Marshal(inst)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	_, err = c.call(ctx, http.MethodPut, "/instances/"+url.PathEscape(inst.Name), body)
	return err
}

// Withdraw removes the named instance from the list.
func (c *Client) Withdraw(ctx context.Context, name string) error {
	_, err := c.call(ctx, http.MethodDelete, "/instances/"+url.PathEscape(name), nil)
	return err
}

// call sends one request and returns the body of a successful response.
func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, baseURL(c.Addr)+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	resp, err := c.client().Do(req)
	if errors.Is(err, context.DeadlineExceeded) {
		// The idle connections may be dead too.
		c.client().CloseIdleConnections()
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if resp.StatusCode/100 != 2 {
		text := bytes.TrimSpace(raw[:min(len(raw), maxMessage)])
		return nil, fmt.Errorf("%w: %s %s: status %d, %q", ErrUnavailable, method, path, resp.StatusCode, text)
	}
	return raw, nil
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return defaultHTTP
}

// baseURL adds the scheme to a bare host and port.
func baseURL(addr string) string {
	if u, err := url.Parse(addr); err == nil && (u.Scheme == "http" || u.Scheme == "https") {
		return addr
	}
	return "http://" + addr
}

// decodeList decodes the response to a list call. It rejects the whole list if one
// entry is invalid. If it dropped only this entry, the entry's instance would appear
// to have departed.
func decodeList(raw []byte) ([]Instance, error) {
	if len(raw) > maxResponse {
		return nil, fmt.Errorf("%w: list exceeds the limit of %d bytes", ErrMalformed, maxResponse)
	}
	var response struct {
		Instances *[]Instance `json:"instances"`
	}
	if err := json.Unmarshal(raw, &response); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if response.Instances == nil {
		return nil, fmt.Errorf("%w: field \"instances\" is missing", ErrMalformed)
	}
	seen := make(map[string]bool)
	for _, inst := range *response.Instances {
		if err := inst.Validate(); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		if seen[inst.Name] {
			return nil, fmt.Errorf("%w: instance %q is listed twice", ErrMalformed, inst.Name)
		}
		seen[inst.Name] = true
	}
	return *response.Instances, nil
}
