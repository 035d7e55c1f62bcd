package procs

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// response is what a request returned: the HTTP response, or the error in err.
type response struct {
	status int
	body   string
	// outcome is the outcome of a refused request, from the response header.
	outcome string
	err     error
}

// post sends a request to an entry instance as the sample account.
func (p *proc) post(path, key, body string) response {
	resp, err := p.send(context.Background(), path, key, body)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, body: string(raw), outcome: resp.Header.Get("X-Beryl-Outcome"), err: err}
}

func (p *proc) send(ctx context.Context, path, key, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.http+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	// Each request has its own connection, as behind a load balancer.
	req.Close = true
	return http.DefaultClient.Do(req)
}

// reserve makes a reservation with an idempotency key.
func (p *proc) reserve(key string) response {
	return p.post("/apps/"+app+"/reservations", key, `{"part": "brake-block", "qty": 1}`)
}

// chat sends a chat request with a limit of the output, in tokens.
func (p *proc) chat(key, question string, limit int) response {
	return p.post("/v1/chat/completions", key, chatBody(question, limit, false))
}

func chatBody(question string, limit int, stream bool) string {
	return fmt.Sprintf(`{"model": %q, "stream": %t, "max_tokens": %d, "messages": [{"role": "user", "content": %q}]}`,
		model, stream, limit, question)
}

// stream is a streamed chat in progress.
type stream struct {
	resp *http.Response
	scan *bufio.Scanner
	// text is the content so far. done is set once the stream has ended properly.
	text strings.Builder
	done bool
}

// openStream starts a streamed chat.
func (p *proc) openStream(key, question string, limit int) (*stream, error) {
	resp, err := p.send(context.Background(), "/v1/chat/completions", key, chatBody(question, limit, true))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		return nil, fmt.Errorf("%s: %s", resp.Status, raw)
	}
	return &stream{resp: resp, scan: bufio.NewScanner(resp.Body)}, nil
}

// next reads the next piece of content. It returns false at the end of the stream or
// if the stream is malformed.
func (s *stream) next() bool {
	for s.scan.Scan() {
		data, ok := strings.CutPrefix(s.scan.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.done = true
			return false
		}
		var event struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(data), &event) != nil {
			return false
		}
		if len(event.Choices) > 0 && event.Choices[0].Delta.Content != "" {
			s.text.WriteString(event.Choices[0].Delta.Content)
			return true
		}
	}
	return false
}

// rest reads to the end, closes the stream and returns the whole content.
func (s *stream) rest() string {
	for s.next() {
	}
	_ = s.resp.Body.Close()
	return s.text.String()
}
