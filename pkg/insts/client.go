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
	// ErrUnavailable reports that the instance list did not answer, or not with
	// success.
	ErrUnavailable = errors.New("instance list is unavailable")
	// ErrMalformed reports an answer that breaks the protocol.
	ErrMalformed = errors.New("answer of the instance list is malformed")
)

const (
	// answerTimeout bounds a call.
	answerTimeout = 3 * time.Second
	// maxAnswer bounds an answer's body in bytes.
	maxAnswer = 4 << 20
	// maxMessage bounds what is quoted of an error's body, in bytes.
	maxMessage = 200
)

// defaultHTTP is used by clients without one of their own.
var defaultHTTP = &http.Client{Transport: &http.Transport{IdleConnTimeout: 30 * time.Second}}

// Client speaks the HTTP protocol of the instance list.
type Client struct {
	// Addr is the service's host and port, or its base URL.
	Addr string
	// HTTP sends the requests; nil stands for a client shared by the package.
	HTTP *http.Client
}

// List returns the instances that the service shows.
func (c *Client) List(ctx context.Context) ([]Instance, error) {
	raw, err := c.call(ctx, http.MethodGet, "/instances", nil)
	if err != nil {
		return nil, err
	}
	return decodeList(raw)
}

// Announce puts the instance on the list, or keeps it there.
func (c *Client) Announce(ctx context.Context, inst Instance) error {
	if err := inst.Check(); err != nil {
		return err
	}
	body, err := json.Marshal(inst)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	_, err = c.call(ctx, http.MethodPut, "/instances/"+url.PathEscape(inst.Name), body)
	return err
}

// Withdraw takes the named instance off the list.
func (c *Client) Withdraw(ctx context.Context, name string) error {
	_, err := c.call(ctx, http.MethodDelete, "/instances/"+url.PathEscape(name), nil)
	return err
}

// call sends one request and returns the body of a successful answer.
func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, baseURL(c.Addr)+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	resp, err := c.client().Do(req)
	if errors.Is(err, context.DeadlineExceeded) {
		// The idle connections may be silent as well.
		c.client().CloseIdleConnections()
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
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

// decodeList decodes the answer to a list call. An entry that is wrong spoils
// the whole list, as a partial one would look like departures.
func decodeList(raw []byte) ([]Instance, error) {
	if len(raw) > maxAnswer {
		return nil, fmt.Errorf("%w: list is longer than %d bytes", ErrMalformed, maxAnswer)
	}
	var answer struct {
		Instances *[]Instance `json:"instances"`
	}
	if err := json.Unmarshal(raw, &answer); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if answer.Instances == nil {
		return nil, fmt.Errorf("%w: instances are missing", ErrMalformed)
	}
	seen := make(map[string]bool)
	for _, inst := range *answer.Instances {
		if err := inst.Check(); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		if seen[inst.Name] {
			return nil, fmt.Errorf("%w: instance %q is listed twice", ErrMalformed, inst.Name)
		}
		seen[inst.Name] = true
	}
	return *answer.Instances, nil
}
